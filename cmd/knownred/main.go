// Command knownred reads the output of "go test -json" from standard input and
// fails unless every failed test is listed in KNOWN-RED.txt. It prints the failed
// tests, the listed failures that it ignores, and the listed tests that passed.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/knownred"
	"github.com/jessevdk/go-flags"
)

type options struct {
	List string `long:"list" description:"file of known failures" default:"KNOWN-RED.txt"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ok, err := run(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// run reads the test output, prints the summary and reports whether all failures
// are listed.
func run(opts options) (bool, error) {
	f, err := os.Open(opts.List)
	if err != nil {
		return false, fmt.Errorf("knownred: %w", err)
	}
	defer f.Close()
	list, err := knownred.ParseList(f)
	if err != nil {
		return false, err
	}
	summary, err := knownred.Classify(os.Stdin, list)
	if err != nil {
		return false, err
	}
	for _, id := range summary.Failures {
		fmt.Printf("FAIL %s\n%s", id, strings.Join(summary.Output[id], ""))
	}
	for _, id := range summary.KnownFailures {
		fmt.Printf("KNOWN-RED %s\n", id)
	}
	for _, id := range summary.UnexpectedPasses {
		fmt.Printf("KNOWN-RED but passed, take it off the list: %s\n", id)
	}
	fmt.Printf("passed %d, skipped %d, known red %d, failed %d\n",
		summary.Passed, summary.Skipped, len(summary.KnownFailures), len(summary.Failures))
	return summary.OK(), nil
}
