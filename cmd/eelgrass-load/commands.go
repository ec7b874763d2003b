package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/load"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// experimentOptions are the options of the commands that send load.
type experimentOptions struct {
	Config      string        `long:"config" value-name:"FILE" required:"true" description:"experiment file (HuJSON)"`
	CheckConfig bool          `long:"check-config" description:"check the experiment and exit"`
	Targets     []string      `long:"target" value-name:"URL" description:"base URL in place of the experiment's targets; may be repeated"`
	Seed        *uint64       `long:"seed" description:"seed in place of the experiment's"`
	Duration    time.Duration `long:"duration" description:"duration in place of the experiment's, such as 10s"`
	RunID       string        `long:"run-id" value-name:"ID" description:"beginning of all request ids (default: random)"`
	AllowRemote bool          `long:"allow-remote" description:"allow targets that are not on loopback"`
	Report      string        `long:"report" value-name:"FILE" description:"write the report as JSON"`
}

// newUsageError returns err with the exit code for invalid arguments or settings.
func newUsageError(err error) error { return &codedError{code: cli.ExitUsage, err: err} }

// experiment reads the experiment file and applies the options, which override it.
func (o *experimentOptions) experiment() (*load.Experiment, error) {
	exp, err := load.LoadExperiment(o.Config)
	if err != nil {
		return nil, newUsageError(err)
	}
	if len(o.Targets) > 0 {
		exp.Targets.URLs = o.Targets
	}
	if o.Seed != nil {
		exp.Seed = *o.Seed
	}
	if o.Duration > 0 {
		exp.Duration = settings.Duration(o.Duration)
	}
	err = exp.CheckTargets(o.AllowRemote)
	switch {
	case errors.Is(err, load.ErrRemote):
		return nil, newUsageError(fmt.Errorf("%w (see --allow-remote)", err))
	case err != nil:
		return nil, newUsageError(err)
	}
	return exp, nil
}

// withExperiment runs fn with the experiment, or only validates the experiment if
// CheckConfig is set. SIGINT and SIGTERM cancel its context.
func (o *experimentOptions) withExperiment(fn func(context.Context, *load.Experiment, load.Options) error) error {
	exp, err := o.experiment()
	if err != nil || o.CheckConfig {
		return err
	}
	if err := exp.ReadKeys(); err != nil {
		return newUsageError(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return fn(ctx, exp, load.Options{RunID: o.RunID})
}

// write writes a report to the report file, if one is given.
func (o *experimentOptions) write(report any) error {
	if o.Report == "" {
		return nil
	}
	return load.WriteFile(o.Report, report)
}

// runCommand runs an experiment and reports the results.
type runCommand struct {
	experimentOptions
	Plot string `long:"plot" value-name:"FILE" description:"draw the report as .png or .svg"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error { return c.withExperiment(c.run) }

func (c *runCommand) run(ctx context.Context, exp *load.Experiment, opts load.Options) error {
	report, err := load.Run(ctx, exp, opts)
	if err != nil {
		return err
	}
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.WritePlot(c.Plot); err != nil {
			return err
		}
	}
	return faultyError(report)
}

// faultyError returns an error if the report has faulty responses.
func faultyError(report *load.Report) error {
	if n := report.Violations(); n > 0 {
		return &codedError{code: exitFaulty, err: fmt.Errorf("%d responses were wrong or incomplete, or check-ins ran more than once", n)}
	}
	return nil
}

// compareCommand sends the same load to a baseline and to the targets.
type compareCommand struct {
	experimentOptions
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error { return c.withExperiment(c.run) }

func (c *compareCommand) run(ctx context.Context, exp *load.Experiment, opts load.Options) error {
	comparison, err := load.RunComparison(ctx, exp, opts)
	if err != nil {
		return err
	}
	if err := comparison.WriteText(os.Stdout); err != nil {
		return err
	}
	if err := c.write(comparison); err != nil {
		return err
	}
	return faultyError(comparison.Target)
}

// plotCommand draws a report that was written as JSON.
type plotCommand struct {
	Args struct {
		Report string `positional-arg-name:"REPORT" description:"report of run, as JSON"`
		Image  string `positional-arg-name:"IMAGE" description:"file to write, .png or .svg"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	report, err := load.ReadReport(c.Args.Report)
	if err != nil {
		return err
	}
	return report.WritePlot(c.Args.Image)
}
