package placementsim

import (
	"testing"

	"github.com/shoenig/test/must"
)

// seed is the seed of the comparison; each logged result includes it.
const seed = 20261203

func TestDemandComparedWithBaselines(t *testing.T) {
	for _, w := range []Workload{Lakeshore(seed), Laufzeit(seed)} {
		results := map[string]Result{}
		for _, r := range Compare(w) {
			t.Log(r)
			results[r.Policy] = r
		}
		demand, static := results["demand"], results["static"]
		must.Greater(t, static.Attainment, demand.Attainment)
		must.Less(t, results["greedy"].Loads/2, demand.Loads)
		must.Eq(t, 0, demand.UnreachableSeconds)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	w := Laufzeit(seed)
	w.Measured = w.Warmup
	must.Eq(t, Run(w, Policies()[3]), Run(w, Policies()[3]))
}
