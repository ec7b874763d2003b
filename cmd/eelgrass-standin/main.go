// Command eelgrass-standin runs stand-ins for the platform and for upstreams, for
// tests and experiments. A settings file lists them and their addresses.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/standin"
)

type options struct {
	cli.LogOptions
	Config      string `long:"config" value-name:"FILE" description:"settings file (HuJSON)"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	if done, code := cli.ParseArgs(&opts, args); done {
		return code
	}
	if opts.Version {
		fmt.Println("eelgrass-standin", cli.Version())
		return cli.ExitOK
	}
	if opts.Config == "" {
		return cli.Fail(cli.ExitUsage, errors.New("eelgrass-standin: --config FILE is required"))
	}
	config, err := standin.LoadConfig(opts.Config)
	if err != nil {
		return cli.Fail(cli.ExitUsage, err)
	}
	if opts.CheckConfig {
		return cli.ExitOK
	}
	return serve(config, opts.Logger())
}

func serve(config standin.Config, log *slog.Logger) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	group, err := standin.Start(config, log)
	if err != nil {
		log.Error("stand-ins failed to start", "error", err)
		return cli.ExitFailure
	}
	sig := <-signals
	log.Info("stopping", "signal", sig.String())
	if err := group.Stop(); err != nil {
		log.Error("stand-ins did not stop gracefully", "error", err)
		return cli.ExitFailure
	}
	log.Info("stopped")
	return cli.ExitOK
}
