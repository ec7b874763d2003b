// Command eelgrassctl is the command-line tool for operators. Package ctl
// implements its commands.
package main

import (
	"os"

	"github.com/eelgrassbay/eelgrassbay/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
