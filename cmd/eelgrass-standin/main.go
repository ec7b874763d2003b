// Command eelgrass-standin runs stand-ins of the platform and of upstreams.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/eelgrassbay/eelgrassbay/internal/standin"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Config      string `long:"config" value-name:"FILE" description:"settings file (HuJSON)"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit"`
	LogFormat   string `long:"log-format" choice:"json" choice:"text" default:"json" description:"format of the log on standard error"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	if _, err := flags.ParseArgs(&opts, args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if opts.Version {
		fmt.Println("eelgrass-standin", version())
		return 0
	}
	if opts.Config == "" {
		fmt.Fprintln(os.Stderr, "eelgrass-standin: --config FILE is required")
		return exitUsage
	}
	config, err := standin.LoadConfig(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opts.CheckConfig {
		return 0
	}
	return serve(config, logger(opts.LogFormat))
}

func serve(config standin.Config, log *slog.Logger) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	group, err := standin.Start(config, log)
	if err != nil {
		log.Error("start failed", "error", err)
		return exitFailure
	}
	sig := <-signals
	log.Info("stopping", "signal", sig.String())
	if err := group.Stop(); err != nil {
		log.Error("stop was not graceful", "error", err)
		return exitFailure
	}
	log.Info("stopped")
	return 0
}

func logger(format string) *slog.Logger {
	if format == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
