package main

import (
	"fmt"
	"os"

	"github.com/eelgrassbay/eelgrassbay/internal/evaluate"
)

// evaluateCommand simulates the policies of the decision packages under workloads
// in virtual time. It sends no load.
type evaluateCommand struct {
	Seed   uint64 `long:"seed" default:"20261203" description:"seed of the trace and the policies"`
	Ablate bool   `long:"ablate" description:"put one policy at a time back to its baseline instead"`
	Plot   string `long:"plot" value-name:"PREFIX" description:"draw the attainment of each organisation into PREFIX-WORKLOAD.png"`
	Args   struct {
		Workloads []string `positional-arg-name:"FILE" required:"1" description:"workload in HuJSON"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evaluateCommand) Execute([]string) error {
	fmt.Printf("# seed %d\n# workload measure baseline ours ratio\n", c.Seed)
	for _, path := range c.Args.Workloads {
		w, err := evaluate.ReadWorkload(path)
		if err != nil {
			return newUsageError(err)
		}
		if c.Ablate {
			evaluate.Ablate(os.Stdout, w, c.Seed)
			continue
		}
		result := evaluate.Compare(w, c.Seed)
		result.Print(os.Stdout)
		if c.Plot == "" {
			continue
		}
		if err := result.WritePlot(fmt.Sprintf("%s-%s.png", c.Plot, w.Name)); err != nil {
			return err
		}
	}
	return nil
}
