// Command eelgrass-entry runs one entry instance with the settings of a file.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/entry"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

type options struct {
	Config      string `long:"config" value-name:"FILE" description:"settings file (HuJSON)"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	if done, code := cli.ParseArgs(&opts, args); done {
		return code
	}
	if opts.Version {
		fmt.Println("eelgrass-entry", cli.Version())
		return cli.ExitOK
	}
	if opts.Config == "" {
		return cli.Fail(cli.ExitUsage, errors.New("eelgrass-entry: --config FILE is required"))
	}
	s := entry.DefaultSettings()
	if err := settings.Load(opts.Config, s); err != nil {
		return cli.Fail(cli.ExitUsage, err)
	}
	if opts.CheckConfig {
		return cli.ExitOK
	}
	return serve(s)
}

// goMemoryLimitFraction is the fraction of the instance's memory limit that is set as the
// memory limit of the Go runtime.
const goMemoryLimitFraction = 0.7

func serve(s *entry.Settings) int {
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryLimitFraction * float64(s.Memory.LimitMB) * (1 << 20)))
	}
	log, err := entry.NewLogger(os.Stderr, s.Log)
	if err != nil {
		return cli.Fail(cli.ExitUsage, err)
	}
	node, err := entry.NewNode(s, log)
	if err != nil {
		return cli.Fail(cli.ExitFailure, err)
	}
	if err := node.Run(); err != nil {
		return cli.Fail(cli.ExitFailure, err)
	}
	return cli.ExitOK
}
