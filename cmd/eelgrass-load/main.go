// Command eelgrass-load sends open-loop load to real processes and reports
// what became of it. It also measures the policies in virtual time.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/jessevdk/go-flags"
)

// Exit codes beside those of package cli.
const (
	exitBroken = 3 // an answer was wrong or incomplete, or a check-in ran twice
)

type options struct {
	Version func() `long:"version" description:"print the version and exit"`

	Run      runCommand      `command:"run" description:"send an experiment's load and report"`
	Compare  compareCommand  `command:"compare" description:"send the same load to a baseline and to the targets, in turns"`
	Evaluate evaluateCommand `command:"evaluate" description:"measure the policies on workloads in virtual time, beside baselines"`
	Plot     plotCommand     `command:"plot" description:"draw a report as PNG or SVG"`
}

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	opts := options{Version: func() {
		fmt.Println("eelgrass-load", cli.Version())
		os.Exit(cli.ExitOK)
	}}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return cli.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return cli.ExitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(os.Stderr, "eelgrass-load:", err)
		return cli.ExitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(os.Stderr, "eelgrass-load:", err)
		return exit.code
	default:
		fmt.Fprintln(os.Stderr, "eelgrass-load:", err)
		return cli.ExitFailure
	}
}
