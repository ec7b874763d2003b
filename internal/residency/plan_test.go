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

// play steps a planner over a world without faults.
func play(w *world, p *Planner, d time.Duration, demand func(now time.Duration) map[ModelKey]Rates) {
	for end := w.now + d; w.now < end; {
		w.tick()
		p.SetDemand(demand(w.now))
		p.SetEngines(w.now, w.config, w.list())
		for _, a := range p.Step(w.now) {
			w.carryOut(p, 1, a, 0)
		}
	}
}

func (w *world) replicas(model string) int {
	n := 0
	for _, e := range w.engines {
		if fleet.Find(e.models, model) != nil {
			n++
		}
	}
	return n
}

func modelKey(name string) ModelKey { return ModelKey{Service: testService, Model: name} }

// Demand that moves to a model with one replica brings it more within seconds,
// and leaves every model with one.
func TestReplicasFollowDemandThatMoves(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 6, 9)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		steady := func(hot string) func(time.Duration) map[ModelKey]Rates {
			return func(time.Duration) map[ModelKey]Rates {
				return map[ModelKey]Rates{modelKey(hot): {Fast: 40_000, Slow: 20_000}}
			}
		}
		play(w, p, 20*time.Second, steady("m0"))
		first := fmt.Sprintf("m%d", rapid.IntRange(1, 8).Draw(rt, "next"))
		if n := w.replicas("m0"); n < 3 {
			rt.Fatalf("m0 has %d replicas under load", n)
		}
		play(w, p, 12*time.Second, steady(first))
		if n := w.replicas(first); n < 3 {
			rt.Fatalf("%s has %d replicas 12 s after demand moved to it", first, n)
		}
		for _, name := range w.spec.ModelNames {
			if w.replicas(name) == 0 {
				rt.Fatalf("nothing holds %s", name)
			}
		}
	})
}

// Rare models that are asked for at once: those that nothing holds are loaded
// first, in the place of second replicas.
func TestModelsThatNothingHoldsGoFirst(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 4, 11)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		all := func(time.Duration) map[ModelKey]Rates {
			d := map[ModelKey]Rates{}
			for _, name := range w.spec.ModelNames {
				d[modelKey(name)] = Rates{Fast: 500, Slow: 500}
			}
			return d
		}
		play(w, p, 15*time.Second, all)
		for _, name := range w.spec.ModelNames {
			if w.replicas(name) == 0 {
				rt.Fatalf("nothing holds %s", name)
			}
		}
	})
}

// The weight store's rate holds in every window, whatever is asked for.
func TestLoadsKeepTheStoresRate(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 10, 20)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		play(w, p, 30*time.Second, func(now time.Duration) map[ModelKey]Rates {
			hot := fmt.Sprintf("m%d", int(now.Seconds()/2)%20)
			return map[ModelKey]Rates{modelKey(hot): {Fast: 60_000, Slow: 30_000}}
		})
		for i, from := range w.loads {
			n := 0
			for _, at := range w.loads[i:] {
				if at-from < 5*time.Second {
					n++
				}
			}
			if most := int(w.spec.LoadsPerS*5) + 1; n > most {
				rt.Fatalf("%d loads within 5 s of %v, the store allows %d", n, from, most)
			}
		}
		if len(w.loads) == 0 {
			rt.Fatal("nothing was loaded")
		}
	})
}

func TestCalmDemandMovesNothing(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 6, 6)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		calm := func(time.Duration) map[ModelKey]Rates {
			return map[ModelKey]Rates{modelKey("m0"): {Fast: 1500, Slow: 1500}, modelKey("m1"): {Fast: 900, Slow: 900}}
		}
		play(w, p, 15*time.Second, calm)
		before := len(w.loads)
		play(w, p, 15*time.Second, calm)
		if len(w.loads) != before {
			rt.Fatalf("%d loads in calm times", len(w.loads)-before)
		}
	})
}

func TestMeterFades(t *testing.T) {
	m := NewMeter()
	m.Count(time.Second, modelKey("m"), 1200)
	must.Eq(t, 1000, m.Rates(time.Second)[modelKey("m")].Fast)
	rates := m.Rates(time.Second + 2*fastWindow)
	must.Less(t, 150.0, rates[modelKey("m")].Fast)
	must.MapEmpty(t, m.Rates(time.Second+20*slowWindow))
}

func TestBoardBringsCopiesUpToDate(t *testing.T) {
	holder, copied := NewBoard(), NewBoard()
	resident := func(id, coming string) Resident { return Resident{ID: id, Born: 1, Coming: coming} }
	must.True(t, holder.Publish(7, "n1", []Resident{resident("a", ""), resident("b", "")}))
	must.False(t, holder.Publish(7, "n1", []Resident{resident("a", ""), resident("b", "")}))
	pull := func(from, to *Board) int {
		v, name := from.Version()
		mine, _ := to.Version()
		changes := from.Since(mine)
		to.Merge(v, name, changes)
		return len(changes)
	}
	must.Eq(t, 2, pull(holder, copied))
	must.True(t, holder.Publish(7, "n1", []Resident{resident("a", "m"), resident("b", "")}))
	must.Eq(t, 1, pull(holder, copied))
	must.Eq(t, 0, pull(holder, copied))
	next := NewBoard()
	must.True(t, next.Publish(9, "n2", []Resident{resident("b", "")}))
	must.Eq(t, 1, pull(next, copied))
	must.Len(t, 1, copied.Entries()) // what a former holder knew is forgotten
	must.Eq(t, 0, pull(holder, copied))
	_, name := copied.Version()
	must.Eq(t, "n2", name)
}

// One model that nothing holds costs one replica of others, not one on each
// engine: found by trouble-3 of lsct-fogline, where ten engines made room for
// the same model.
func TestRoomIsMadeOnceForAModel(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 6, 4)
		w.spec.Models["m3"].Adapters = 0 // nothing else asks for a second replica
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		for _, e := range w.engines {
			e.models = []fleet.ResidentModel{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}}
			e.history = nil
		}
		p.SetDemand(map[ModelKey]Rates{modelKey("m0"): {Fast: 9000, Slow: 9000}, modelKey("m1"): {Fast: 9000, Slow: 9000}})
		p.SetEngines(w.now, w.config, w.list())
		unloads := map[string]int{}
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			w.tick()
			for range 3 { // outcomes cause further steps in the same instant
				for _, a := range p.Step(w.now) {
					if a.Order != nil && a.Order.Kind == fleet.OrderUnload {
						unloads[a.Reason]++
					}
					w.carryOut(p, 1, a, 0)
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

// Models that are likely to be asked for stand by in several zones before
// they are, in the place of replicas that are not needed; the models in use
// keep enough.
func TestLikelyModelsStandBy(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 6, 6)
		for _, e := range w.engines {
			e.models = []fleet.ResidentModel{{Model: "m0"}, {Model: "m2"}}
		}
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		play(w, p, 40*time.Second, func(time.Duration) map[ModelKey]Rates {
			return map[ModelKey]Rates{modelKey("m0"): {Fast: 4000, Slow: 4000}, modelKey("m2"): {Fast: 4000, Slow: 4000}}
		})
		for _, name := range []string{"m1", "m3", "m5"} { // those with adapters
			if n := w.replicas(name); n < 2 {
				rt.Fatalf("%s has %d replicas", name, n)
			}
		}
		for _, name := range []string{"m0", "m2"} {
			if n := w.replicas(name); n < 2 {
				rt.Fatalf("%s, which is in use, has %d replicas", name, n)
			}
		}
	})
}

// Before anybody has asked for anything, a model on many engines counts as
// one that will be: found by an incident of laufzeit-wien, where standby of
// other models had taken its replicas before the first request came.
func TestManyReplicasAreKeptBeforeTheFirstRequest(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 6, 8)
		for i, e := range w.engines {
			e.models = []fleet.ResidentModel{{Model: "m0"}, {Model: "m2"}, {Model: fmt.Sprintf("m%d", []int{1, 3, 4, 5, 6, 7}[i])}}
		}
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		play(w, p, 20*time.Second, func(time.Duration) map[ModelKey]Rates { return nil })
		for _, name := range []string{"m0", "m2"} {
			if n := w.replicas(name); n < 4 {
				rt.Fatalf("%s had 6 replicas and has %d", name, n)
			}
		}
	})
}
