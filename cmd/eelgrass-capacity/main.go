// Command eelgrass-capacity estimates the control-plane overhead at a planned
// size of the fleet. It fits linear models to samples of running instances and to
// results of benchmarks, and prints the estimate.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/eelgrassbay/eelgrassbay/internal/capacity"
)

type options struct {
	Plan       string `long:"plan" value-name:"FILE" default:"workloads/plan.hujson" description:"planned size (HuJSON)"`
	Benchmarks string `long:"benchmarks" value-name:"FILE" required:"true" description:"output of go test -bench"`
	Args       struct {
		Samples string `positional-arg-name:"DIR" required:"true" description:"samples of scripts/capacity.sh"`
	} `positional-args:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	plan, err := capacity.ReadPlan(opts.Plan)
	if err != nil {
		return err
	}
	sites, err := capacity.ReadSites(os.DirFS(opts.Args.Samples))
	if err != nil {
		return err
	}
	file, err := os.Open(opts.Benchmarks)
	if err != nil {
		return err
	}
	defer file.Close()
	benchmarks, err := capacity.ReadBenchmarks(file)
	if err != nil {
		return err
	}
	model, err := capacity.NewModel(sites)
	if err != nil {
		return err
	}
	model.Print(os.Stdout, plan, benchmarks)
	return nil
}
