// Command eelgrass-evaluate measures the policies on workloads in virtual time
// and prints one line per workload and measure, beside a baseline.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/eelgrassbay/eelgrassbay/internal/evaluate"
)

type options struct {
	Seed   uint64 `long:"seed" default:"20261203" description:"seed of the trace and the policies"`
	Ablate bool   `long:"ablate" description:"put one policy at a time back to its baseline instead"`
	Args   struct {
		Workloads []string `positional-arg-name:"FILE" required:"1" description:"workload in HuJSON"`
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
	fmt.Printf("# seed %d\n# workload measure baseline ours ratio\n", opts.Seed)
	for _, path := range opts.Args.Workloads {
		w, err := evaluate.ReadWorkload(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if opts.Ablate {
			evaluate.Ablate(os.Stdout, w, opts.Seed)
			continue
		}
		evaluate.Print(os.Stdout, w, opts.Seed)
	}
}
