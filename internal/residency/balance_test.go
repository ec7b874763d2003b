package residency

import (
	"cmp"
	"fmt"
	"slices"
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
			if work > 0.6*20_000 {
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

const (
	// balanceParts is the number of parts in which the work of a model is divided
	// among its engines.
	balanceParts = 8
	// balancePasses is the number of times that the work of each model is divided,
	// given that of the others.
	balancePasses = 2
)

// balance is an estimate of the work at each engine: instances send each request to
// the engine with the least work among those that hold its model, so that the work of
// a model evens out the load of its engines, whatever else these do.
type balance struct {
	load    map[*Engine]float64                 // work per second, in prompt tokens
	share   map[*modelState]map[*Engine]float64 // of the load, by model
	holders map[*modelState][]*Engine
}

// newBalance estimates the work at the engines, given the demand and the engines to
// which each model is assigned.
func newBalance(engines []*Engine, states map[string]*modelState) *balance {
	b := &balance{load: map[*Engine]float64{}, share: map[*modelState]map[*Engine]float64{}, holders: map[*modelState][]*Engine{}}
	var busy []*modelState
	for _, e := range engines {
		for _, name := range e.assignedModels() {
			if m := states[name]; m != nil {
				b.holders[m] = append(b.holders[m], e)
			}
		}
	}
	for _, m := range states {
		if m.fastRate > 0 && len(b.holders[m]) > 0 {
			busy = append(busy, m)
			b.share[m] = map[*Engine]float64{}
		}
	}
	slices.SortFunc(busy, func(x, y *modelState) int {
		return cmp.Or(cmp.Compare(y.fastRate, x.fastRate), cmp.Compare(x.spec.Name, y.spec.Name))
	})
	for range balancePasses {
		for _, m := range busy {
			b.divide(m)
		}
	}
	return b
}

// divide divides the work of a model anew, part by part, each to the engine with the
// least work.
func (b *balance) divide(m *modelState) {
	for e, work := range b.share[m] {
		b.load[e] -= work
	}
	clear(b.share[m])
	for range balanceParts {
		e := b.leastLoaded(m)
		b.load[e] += m.fastRate / balanceParts
		b.share[m][e] += m.fastRate / balanceParts
	}
}

func (b *balance) leastLoaded(m *modelState) *Engine {
	return slices.MinFunc(b.holders[m], func(x, y *Engine) int { return cmp.Compare(b.load[x], b.load[y]) })
}
