// Command eelgrass-gateway runs one entry instance on the users' platform, with
// the store, upstream client and configuration format of package platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/gateway"
	"github.com/eelgrassbay/eelgrassbay/internal/logring"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
	"github.com/eelgrassbay/eelgrassbay/platform"
)

const (
	// logBufferLines is the number of log lines that are buffered for standard
	// output.
	logBufferLines = 2048
	// logFlushTimeout bounds the time to write buffered log lines on exit.
	logFlushTimeout = 200 * time.Millisecond
	// storeDialTimeout bounds the time to open a connection to the object store.
	storeDialTimeout = 500 * time.Millisecond
	// upstreamDialTimeout bounds the time to open a connection to the control API
	// of an upstream.
	upstreamDialTimeout = 300 * time.Millisecond
	// goMemoryLimitFraction is the fraction of the instance's memory limit that is
	// set as the memory limit of the Go runtime.
	goMemoryLimitFraction = 0.7
)

type options struct {
	Config      string `long:"config" value-name:"FILE" description:"settings file (HuJSON); default: the one that the platform names"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() {
	signal.Ignore(syscall.SIGHUP) // until Gateway.Run handles it: the settings are read anyway
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	if done, code := cli.ParseArgs(&opts, args); done {
		return code
	}
	if opts.Version {
		fmt.Println("eelgrass-gateway", cli.Version())
		return cli.ExitOK
	}
	if opts.Config == "" {
		opts.Config = os.Getenv(platform.SettingsVariable)
	}
	if opts.Config == "" {
		return cli.Fail(cli.ExitUsage, errors.New("eelgrass-gateway: --config FILE is required"))
	}
	s := gateway.DefaultSettings()
	if err := settings.Load(opts.Config, s); err != nil {
		return cli.Fail(cli.ExitUsage, err)
	}
	if opts.CheckConfig {
		return cli.ExitOK
	}
	if err := serve(s, opts.Config); err != nil {
		return cli.Fail(cli.ExitFailure, err)
	}
	return cli.ExitOK
}

func serve(s *gateway.Settings, file string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return err
	}
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryLimitFraction * float64(s.Memory.LimitMB) * (1 << 20)))
	}
	ring := logring.New(os.Stdout, logBufferLines)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		ring.Close(ctx)
	}()
	engines := platform.NewUpstreamClient(upstreamDialTimeout)
	g, err := gateway.New(gateway.Options{
		Settings: s, Format: platform.HTTPCodec{}, Engines: engines,
		Store: platform.NewStore(platform.StoreOptions{
			Address: s.Store.Address, DialTimeout: storeDialTimeout, WatchWait: s.Store.WatchWait.Std(),
		}),
		Decoder: storesync.Decoder{
			ConfigName: platform.ConfigName, Config: platform.NewConfigDecoder().Decode, Upstream: platform.DecodeUpstream,
			Evacuation: platform.DecodeEvacuation,
		},
		Now: boottime.Now,
		Log: slog.New(slog.NewJSONHandler(ring, &slog.HandlerOptions{Level: level})),
	})
	if err != nil {
		return err
	}
	engines.OnNotice, engines.OnMalformed = g.RecordNotice, g.RecordMalformedNotice
	return g.Run(file)
}
