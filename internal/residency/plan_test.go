package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// runPlanner steps a planner on a simulation without faults for a duration.
func runPlanner(sim *simulation, p *Planner, d time.Duration, demand func(now time.Duration) map[ModelKey]Rates) {
	for end := sim.now + d; sim.now < end; {
		sim.tick()
		p.SetDemand(demand(sim.now))
		p.SetEngines(sim.now, sim.config, sim.upstreams())
		for _, a := range p.Step(sim.now) {
			sim.execute(p, 1, a, 0)
		}
	}
}

func (sim *simulation) replicas(model string) int {
	n := 0
	for _, e := range sim.engines {
		if fleet.FindModel(e.models, model) != nil {
			n++
		}
	}
	return n
}

// mostLoads returns the most loads from the store that began within a window.
func (sim *simulation) mostLoads(window time.Duration) int {
	most := 0
	for i, from := range sim.loads {
		n := 0
		for _, at := range sim.loads[i:] {
			if at-from < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func testModelKey(name string) ModelKey { return ModelKey{Service: testService, Model: name} }

// When demand shifts to a model with one replica, the model must get more within
// seconds, and every model must keep at least one.
func TestReplicasFollowShiftingDemand(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 9)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		steady := func(hot string) func(time.Duration) map[ModelKey]Rates {
			return func(time.Duration) map[ModelKey]Rates {
				return map[ModelKey]Rates{testModelKey(hot): {Fast: 40_000, Slow: 20_000}}
			}
		}
		runPlanner(sim, p, 20*time.Second, steady("m0"))
		next := fmt.Sprintf("m%d", rapid.IntRange(1, 8).Draw(rt, "next"))
		if n := sim.replicas("m0"); n < 3 {
			rt.Fatalf("m0 has %d replicas under load", n)
		}
		runPlanner(sim, p, 12*time.Second, steady(next))
		if n := sim.replicas(next); n < 3 {
			rt.Fatalf("%s has %d replicas 12 s after demand moved to it", next, n)
		}
		for _, name := range sim.spec.ModelNames {
			if sim.replicas(name) == 0 {
				rt.Fatalf("no engine holds %s", name)
			}
		}
	})
}

// When rare models are requested at the same time, those that no engine holds
// must be loaded first, in place of second replicas.
func TestModelsWithoutReplicasAreLoadedFirst(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 4, 11)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		all := func(time.Duration) map[ModelKey]Rates {
			d := map[ModelKey]Rates{}
			for _, name := range sim.spec.ModelNames {
				d[testModelKey(name)] = Rates{Fast: 500, Slow: 500}
			}
			return d
		}
		runPlanner(sim, p, 15*time.Second, all)
		for _, name := range sim.spec.ModelNames {
			if sim.replicas(name) == 0 {
				rt.Fatalf("no engine holds %s", name)
			}
		}
	})
}

// No window may contain more loads than the weight store's rate allows, whatever
// the demand.
func TestLoadsStayWithinTheStoresRate(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 10, 20)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		runPlanner(sim, p, 30*time.Second, func(now time.Duration) map[ModelKey]Rates {
			hot := fmt.Sprintf("m%d", int(now.Seconds()/2)%20)
			return map[ModelKey]Rates{testModelKey(hot): {Fast: 60_000, Slow: 30_000}}
		})
		if n, allowed := sim.mostLoads(5*time.Second), int(sim.spec.LoadsPerS*5)+1; n > allowed {
			rt.Fatalf("%d loads within 5 s, the store allows %d", n, allowed)
		}
		if len(sim.loads) == 0 {
			rt.Fatal("nothing was loaded")
		}
	})
}

// The same if the lease changes hands, whenever that is: a former holder may have
// begun loads until shortly before. Found by a score of bbgoods-shop-grown, trouble-1.
func TestLoadsStayWithinTheStoresRateAcrossHolders(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 20, 40)
		loadTime := time.Duration(rapid.IntRange(1, 6).Draw(rt, "load_s")) * time.Second
		for _, m := range sim.spec.Models {
			m.StoreLoadTime = loadTime
		}
		for holder := range 4 {
			p := NewPlanner(Options{Holder: fmt.Sprint("n", holder), LoadWindow: 5 * time.Second})
			term := time.Duration(rapid.IntRange(1000, 6000).Draw(rt, "term_ms")) * time.Millisecond
			runPlanner(sim, p, term, func(now time.Duration) map[ModelKey]Rates {
				hot := fmt.Sprintf("m%d", int(now.Seconds())%40)
				return map[ModelKey]Rates{testModelKey(hot): {Fast: 90_000, Slow: 30_000}}
			})
		}
		if n, allowed := sim.mostLoads(5*time.Second), int(sim.spec.LoadsPerS*5*1.1)+3; n > allowed {
			rt.Fatalf("%d loads within 5 s, the platform allows %d", n, allowed)
		}
	})
}

func TestSteadyDemandCausesNoLoads(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 6)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		steady := func(time.Duration) map[ModelKey]Rates {
			return map[ModelKey]Rates{testModelKey("m0"): {Fast: 1500, Slow: 1500}, testModelKey("m1"): {Fast: 900, Slow: 900}}
		}
		runPlanner(sim, p, 15*time.Second, steady)
		before := len(sim.loads)
		runPlanner(sim, p, 15*time.Second, steady)
		if len(sim.loads) != before {
			rt.Fatalf("%d loads under steady demand", len(sim.loads)-before)
		}
	})
}

func TestMeterDecays(t *testing.T) {
	m := NewMeter()
	m.Count(time.Second, testModelKey("m"), 1200)
	must.Eq(t, 1000, m.Rates(time.Second)[testModelKey("m")].Fast)
	rates := m.Rates(time.Second + 2*fastTimeConstant)
	must.Less(t, 150.0, rates[testModelKey("m")].Fast)
	must.MapEmpty(t, m.Rates(time.Second+20*slowTimeConstant))
}

func TestBoardUpdatesCopies(t *testing.T) {
	holder, copied := NewTable(), NewTable()
	engineState := func(id, loading string) EngineState { return EngineState{ID: id, StartedAtMS: 1, Loading: loading} }
	must.True(t, holder.Publish(7, "n1", []EngineState{engineState("a", ""), engineState("b", "")}))
	must.False(t, holder.Publish(7, "n1", []EngineState{engineState("a", ""), engineState("b", "")}))
	pull := func(from, to *Table) int {
		v, name := from.Version()
		mine, _ := to.Version()
		changes := from.Since(mine)
		to.Merge(v, name, changes)
		return len(changes)
	}
	must.Eq(t, 2, pull(holder, copied))
	must.True(t, holder.Publish(7, "n1", []EngineState{engineState("a", "m"), engineState("b", "")}))
	must.Eq(t, 1, pull(holder, copied))
	must.Eq(t, 0, pull(holder, copied))
	next := NewTable()
	must.True(t, next.Publish(9, "n2", []EngineState{engineState("b", "")}))
	must.Eq(t, 1, pull(next, copied))
	must.Len(t, 1, copied.Entries()) // the entries of the former holder are dropped
	must.Eq(t, 0, pull(holder, copied))
	_, name := copied.Version()
	must.Eq(t, "n2", name)
}

// A model that no engine holds must cost other models one replica, not one on
// each engine. Found by trouble-3 of lsct-fogline, where ten engines made room
// for the same model.
func TestRoomIsMadeOnceForAModel(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 4)
		sim.spec.Models["m3"].Adapters = 0 // no other model needs a second replica
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		for _, e := range sim.engines {
			e.models = []fleet.ResidentModel{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}}
			e.history = nil
		}
		p.SetDemand(map[ModelKey]Rates{testModelKey("m0"): {Fast: 9000, Slow: 9000}, testModelKey("m1"): {Fast: 9000, Slow: 9000}})
		p.SetEngines(sim.now, sim.config, sim.upstreams())
		unloads := map[string]int{}
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			sim.tick()
			for range 3 { // outcomes cause further steps in the same instant
				for _, a := range p.Step(sim.now) {
					if a.Order != nil && a.Order.Kind == fleet.OrderUnload {
						unloads[a.Reason]++
					}
					sim.execute(p, 1, a, 0)
				}
			}
		}
		for reason, n := range unloads {
			if n > 1 {
				rt.Fatalf("%d unloads: %s", n, reason)
			}
		}
	})
}

// Models that are likely to be requested must get replicas in several zones in
// advance, in place of replicas that are not needed, while the models in use
// keep enough replicas.
func TestLikelyModelsGetStandbyReplicas(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 6)
		for _, e := range sim.engines {
			e.models = []fleet.ResidentModel{{Model: "m0"}, {Model: "m2"}}
		}
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		runPlanner(sim, p, 40*time.Second, func(time.Duration) map[ModelKey]Rates {
			return map[ModelKey]Rates{testModelKey("m0"): {Fast: 4000, Slow: 4000}, testModelKey("m2"): {Fast: 4000, Slow: 4000}}
		})
		for _, name := range []string{"m1", "m3", "m5"} { // those with adapters
			if n := sim.replicas(name); n < 2 {
				rt.Fatalf("%s has %d replicas", name, n)
			}
		}
		for _, name := range []string{"m0", "m2"} {
			if n := sim.replicas(name); n < 2 {
				rt.Fatalf("%s, which is in use, has %d replicas", name, n)
			}
		}
	})
}

// Before the first request, a model on many engines counts as one that will be
// requested. Found by an incident of laufzeit-wien, where standby replicas of
// other models had replaced its replicas before the first request arrived.
func TestManyReplicasAreKeptBeforeTheFirstRequest(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 8)
		for i, e := range sim.engines {
			e.models = []fleet.ResidentModel{{Model: "m0"}, {Model: "m2"}, {Model: fmt.Sprintf("m%d", []int{1, 3, 4, 5, 6, 7}[i])}}
		}
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		runPlanner(sim, p, 20*time.Second, func(time.Duration) map[ModelKey]Rates { return nil })
		for _, name := range []string{"m0", "m2"} {
			if n := sim.replicas(name); n < 4 {
				rt.Fatalf("%s had 6 replicas and has %d", name, n)
			}
		}
	})
}

// A model whose only holder takes few requests gets a replica on another engine, which is
// not such an engine itself.
func TestModelOfALimitedEngineGetsAnotherReplica(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 9)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		demand := func(name string) func(time.Duration) map[ModelKey]Rates {
			return func(time.Duration) map[ModelKey]Rates {
				return map[ModelKey]Rates{testModelKey(name): {Fast: 800, Slow: 800}}
			}
		}
		runPlanner(sim, p, 5*time.Second, demand("m0"))
		limited := sim.engines[rapid.IntRange(0, 5).Draw(rt, "limited")]
		if len(limited.models) == 0 {
			rt.Skip("holds no model")
		}
		name := limited.models[0].Model
		elsewhere := func() int {
			n := sim.replicas(name)
			if fleet.FindModel(limited.models, name) != nil {
				n--
			}
			return n
		}
		for end := sim.now + 15*time.Second; sim.now < end; {
			sim.tick()
			p.SetDemand(demand(name)(sim.now))
			p.SetEngines(sim.now, sim.config, sim.upstreams())
			p.SetLimits(map[string]float64{limited.entry.ID: 1})
			for _, a := range p.Step(sim.now) {
				sim.execute(p, 1, a, 0)
			}
		}
		if elsewhere() == 0 {
			rt.Fatalf("%s has no replica besides that of the limited engine", name)
		}
	})
}
