// Command eelgrass-load sends open-loop load to running processes and reports the
// results. It also simulates the policies under workloads in virtual time.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/jessevdk/go-flags"
)

// Exit codes in addition to those of package cli.
const (
	exitFaulty = 3 // a response was wrong or incomplete, or a check-in ran more than once
)

type options struct {
	Version func() `long:"version" description:"print the version and exit"`

	Run      runCommand      `command:"run" description:"send an experiment's load and report"`
	Compare  compareCommand  `command:"compare" description:"send the same load to a baseline and to the targets, in turns"`
	Evaluate evaluateCommand `command:"evaluate" description:"measure the policies on workloads in virtual time, beside baselines"`
	Plot     plotCommand     `command:"plot" description:"draw a report as PNG or SVG"`
}

// codedError is an error with the exit code of the command.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

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
	var flagsErr *flags.Error
	var coded *codedError
	switch {
	case err == nil:
		return cli.ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return cli.ExitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, "eelgrass-load:", err)
		return cli.ExitUsage
	case errors.As(err, &coded):
		fmt.Fprintln(os.Stderr, "eelgrass-load:", err)
		return coded.code
	default:
		fmt.Fprintln(os.Stderr, "eelgrass-load:", err)
		return cli.ExitFailure
	}
}
