package placementsim

import (
	"testing"

	"github.com/shoenig/test/must"
)

// seed of the comparison; each line of the log prints it.
const seed = 20261203

func TestDemandBesideBaselines(t *testing.T) {
	for _, w := range []Workload{Lakeshore(seed), Laufzeit(seed)} {
		results := map[string]Result{}
		for _, r := range Compare(w) {
			t.Log(r)
			results[r.Policy] = r
		}
		ours, static := results["demand"], results["static"]
		must.Greater(t, static.Attainment, ours.Attainment)
		must.Less(t, results["greedy"].Loads/2, ours.Loads)
		must.Eq(t, 0, ours.UnreachableSeconds)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	w := Laufzeit(seed)
	w.Measured = w.Warmup
	must.Eq(t, Run(w, Policies()[3]), Run(w, Policies()[3]))
}
