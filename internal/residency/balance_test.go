package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"pgregory.net/rapid"
)

// steadyDemand returns a demand that does not change, by model.
func steadyDemand(rates map[string]float64) func(time.Duration) map[ModelKey]Rates {
	d := map[ModelKey]Rates{}
	for name, r := range rates {
		d[testModelKey(name)] = Rates{Fast: r, Slow: r}
	}
	return func(time.Duration) map[ModelKey]Rates { return d }
}

// holdEach gives each engine the models that the function names for it.
func (sim *simulation) holdEach(models func(i int) []string) {
	for i, e := range sim.engines {
		e.models, e.history = nil, nil
		for _, name := range models(i) {
			e.models = append(e.models, fleet.ResidentModel{Model: name})
		}
	}
}

// The load pattern of a calm day of bbgoods-shop-grown: a few engines hold several
// busy models, none of which alone is more than its engines bear, while other engines
// are idle. The work must spread.
func TestBusyModelsOnTheSameEnginesSpread(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 8, 9)
		sim.spec.Slots = 64
		sim.holdEach(func(i int) []string {
			if i < 2 {
				return []string{"m0", "m2", "m4"}
			}
			return []string{fmt.Sprintf("m%d", []int{1, 3, 5, 6, 7, 8}[i-2])}
		})
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		runPlanner(sim, p, 20*time.Second, steadyDemand(map[string]float64{"m0": 14_000, "m2": 14_000, "m4": 14_000}))
		states := p.modelStates(testService, sim.spec, p.enginesOf(testService))
		b := newBalance(p.enginesOf(testService), states)
		for e, work := range b.load {
			if work > 0.6*engineCapacity(sim.spec, 0) {
				rt.Fatalf("%s has work of %.0f tokens a second", e.Upstream.ID, work)
			}
		}
	})
}

// The load pattern of the small twin of lsct-fogline-large: more models than the
// engines have room for, each engine full of models that nobody requests, and a few
// busy models. The busy ones get the places, and one that is requested and absent is
// loaded.
func TestModelsInUseTakeThePlacesOfOthers(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 40)
		sim.holdEach(func(i int) []string {
			return []string{fmt.Sprintf("m%d", 3*i), fmt.Sprintf("m%d", 3*i+1), fmt.Sprintf("m%d", 3*i+2)}
		})
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		runPlanner(sim, p, 20*time.Second, steadyDemand(map[string]float64{"m0": 40_000, "m30": 2000}))
		if n := sim.replicas("m0"); n < 3 {
			rt.Fatalf("m0 has %d replicas under load", n)
		}
		if sim.replicas("m30") == 0 {
			rt.Fatal("no engine holds m30, which callers request")
		}
	})
}

// Where not all models fit, none that nobody requests is loaded in place of another.
func TestUnrequestedModelsAreNotLoadedWhereAllDoNotFit(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 40)
		sim.holdEach(func(i int) []string { return []string{"m0", "m1", fmt.Sprintf("m%d", 2+i)} })
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		runPlanner(sim, p, 15*time.Second, steadyDemand(nil))
		if len(sim.loads) > 0 {
			rt.Fatalf("%d loads before the first request", len(sim.loads))
		}
	})
}

// In the first seconds of traffic, models that many engines held and that have not
// been requested yet keep an engine although rarer models are requested before them.
func TestExpectedModelsKeepAnEngine(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 40)
		sim.holdEach(func(i int) []string { return []string{"m0", "m1", fmt.Sprintf("m%d", 2+i)} })
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		rates := map[string]float64{}
		for i := 20; i < 40; i++ {
			rates[fmt.Sprintf("m%d", i)] = 2000
		}
		runPlanner(sim, p, time.Second, steadyDemand(nil))
		runPlanner(sim, p, 8*time.Second, steadyDemand(rates))
		for _, name := range []string{"m0", "m1"} {
			if sim.replicas(name) == 0 {
				rt.Fatalf("no engine holds %s", name)
			}
		}
	})
}
