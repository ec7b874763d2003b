// Command standin2 has the stand-ins of the cases of the second review, and runs the cases.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 server|CASE ...")
		os.Exit(exitFailed)
	}
	var err error
	switch name := os.Args[1]; name {
	case "server":
		err = runServer(os.Args[2:])
	default:
		err = runCase(name)
	}
	switch {
	case errors.Is(err, errBroken):
		fmt.Println("BROKEN")
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin2:", err)
		os.Exit(exitFailed)
	}
}
