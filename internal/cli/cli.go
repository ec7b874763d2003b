// Package cli holds what the commands share: exit codes, the version and how
// arguments and settings are read.
package cli

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all commands.
const (
	ExitOK      = 0
	ExitFailure = 1 // what was asked for could not be done
	ExitUsage   = 2 // wrong arguments or settings
)

// Version returns the version that the binary was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

// ParseArgs reads the arguments into opts. done is true if the command ends
// here, with the exit code given; go-flags has then printed the help or error.
func ParseArgs(opts any, args []string) (done bool, code int) {
	_, err := flags.NewParser(opts, flags.Default).ParseArgs(args)
	var fe *flags.Error
	switch {
	case err == nil:
		return false, ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		return true, ExitOK
	}
	return true, ExitUsage
}

// Fail prints an error and returns the code.
func Fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}
