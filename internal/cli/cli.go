// Package cli contains code that the commands share: exit codes, the version,
// the parsing of arguments, and the logger on standard error.
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
	ExitFailure = 1 // the operation failed
	ExitUsage   = 2 // invalid arguments or settings
)

// Version returns the module version that the binary was built from, or "devel"
// if there is none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

// ParseArgs parses the arguments into opts. If done is true, go-flags has printed
// the help or an error, and the command must exit with code.
func ParseArgs(opts any, args []string) (done bool, code int) {
	_, err := flags.NewParser(opts, flags.Default).ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return false, ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return true, ExitOK
	}
	return true, ExitUsage
}

// Fail prints an error to standard error and returns code.
func Fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}
