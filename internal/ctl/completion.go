package ctl

import (
	_ "embed"
	"fmt"
)

//go:embed completion.bash
var bashCompletion string

// CompletionBash prints a script that completes commands and options in bash.
// The script calls eelgrassctl with GO_FLAGS_COMPLETION set, which makes go-flags
// print the completions.
type CompletionBash struct {
	*Globals `no-flag:"true"`
}

// Execute implements flags.Commander. The script is the same in all output
// formats.
func (c *CompletionBash) Execute([]string) error {
	_, err := fmt.Fprint(c.out, bashCompletion)
	return err
}
