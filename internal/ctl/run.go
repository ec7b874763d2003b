package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/jessevdk/go-flags"
)

// Exit codes in addition to those of package cli.
const (
	ExitConflict = 3 // the document has changed, or the edit names no version
	ExitNotFound = 4
)

// Run executes the command in args, writes its output to out and errors to errOut,
// and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	g := &Globals{out: out}
	parser := flags.NewNamedParser("eelgrassctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(parser, g); err != nil {
		panic(err) // the declaration of a command is invalid
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(out, flagsErr.Message)
		return cli.ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var flagsErr *flags.Error
	var fieldErr *settings.FieldError
	switch {
	case err == nil:
		return cli.ExitOK
	case errors.As(err, &flagsErr), errors.As(err, &fieldErr), errors.Is(err, ErrUnconfirmed):
		return cli.ExitUsage
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNoVersion):
		return ExitConflict
	case errors.Is(err, ErrNotFound):
		return ExitNotFound
	}
	return cli.ExitFailure
}

// command declares one top-level command of eelgrassctl.
type command struct {
	name, short, long string
	data              any
}

// addCommands adds the global options and all commands to the parser.
func addCommands(parser *flags.Parser, g *Globals) error {
	if _, err := parser.AddGroup("Global options", "", g); err != nil {
		return err
	}
	for _, c := range []command{
		{"check", "check a document", "Checks a document without storing it.", &Check{Globals: g}},
		{"apply", "store a document", "Checks a document and stores it if the version that it is based on is still the stored one.", &Apply{Globals: g}},
		{"get", "print a document", "Prints the stored document in the form that apply takes.", &Get{Globals: g}},
		{"delete", "delete a document", "Deletes a document; the service is served no more.", &Delete{Globals: g}},
		{"status", "print what is in force where", "Prints which version of each document is in force in how many instances, and which versions failed their check.", &Status{Globals: g}},
		{"explain", "explain a request", "Prints what the service record says of a request: admitted, refused and why, attempts, outcome.", &Explain{Globals: g}},
		{"why", "say from logs why a request failed", "Reads collected logs of entry instances on the users' platform and prints why a request was refused, failed or late, and the events that led to it.", &Why{Globals: g}},
		{"version", "print the version", "Prints the version of eelgrassctl.", &Version{Globals: g}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	key, err := parser.AddCommand("key", "issue and withdraw keys", "Issues and withdraws keys of organisations.", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := key.AddCommand("issue", "issue a key", "Issues a key and prints it once.", &KeyIssue{Globals: g}); err != nil {
		return err
	}
	zone, err := parser.AddCommand("zone", "give up lost zones", "Gives up zones that are gone for good.", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := zone.AddCommand("forget", "free its shares", "Gives the shares of limits and of loads of a zone that is gone for good to the others. Every process of the zone must have ended.", &ZoneForget{Globals: g}); err != nil {
		return err
	}
	record, err := parser.AddCommand("record", "check the service record", "Checks the service record.", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := record.AddCommand("verify", "check its chains", "Checks the chains of the service record and names what was removed, changed or reordered.", &RecordVerify{Globals: g}); err != nil {
		return err
	}
	if _, err := key.AddCommand("withdraw", "withdraw a key", "Withdraws the key with an id.", &KeyWithdraw{Globals: g}); err != nil {
		return err
	}
	completion, err := parser.AddCommand("completion", "print a completion script", "Prints a script that completes the commands and options of eelgrassctl in a shell.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = completion.AddCommand("bash", "for bash", "Prints the script for bash; load it with: source <(eelgrassctl completion bash)", &CompletionBash{Globals: g})
	return err
}

// Version prints the version.
type Version struct {
	*Globals `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *Version) Execute([]string) error {
	return c.print(struct {
		Version string `json:"version"`
	}{cli.Version()}, "eelgrassctl "+cli.Version())
}
