package ctl

import (
	_ "embed"
	"fmt"
)

//go:embed completion.bash
var bashCompletion string

// CompletionBash prints a script that completes commands and options in bash.
// The script asks eelgrassctl itself, through go-flags' GO_FLAGS_COMPLETION.
type CompletionBash struct {
	*Globals `no-flag:"true"`
}

// Execute implements flags.Commander. A script is the same in all forms of
// output.
func (c *CompletionBash) Execute([]string) error {
	_, err := fmt.Fprint(c.out, bashCompletion)
	return err
}
