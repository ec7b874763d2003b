package residency

import (
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"pgregory.net/rapid"
)

// Engines of an evacuated zone, which are left out of the list, must get no call, and models that
// are requested and held only there must be loaded elsewhere: their requests would be rejected as
// long as the evacuation lasts.
func TestModelsOfAnEvacuatedZoneAreLoadedElsewhere(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 6, 6)
		p := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second})
		demand := map[ModelKey]Rates{}
		for _, name := range sim.spec.ModelNames {
			demand[testModelKey(name)] = Rates{Fast: 500, Slow: 500}
		}
		runPlanner(sim, p, 5*time.Second, func(time.Duration) map[ModelKey]Rates { return demand })
		zones := map[string]string{}
		for _, u := range sim.upstreams() {
			zones[u.ID] = u.Zone
		}
		evacuated := zones[rapid.SampledFrom(sim.upstreams()).Draw(rt, "of the zone").ID]
		usable := func() []fleet.Upstream {
			return slices.DeleteFunc(sim.upstreams(), func(u fleet.Upstream) bool { return u.Zone == evacuated })
		}
		for end := sim.now + 10*time.Second; sim.now < end; {
			sim.tick()
			p.SetDemand(demand)
			p.SetEngines(sim.now, sim.config, usable())
			for _, a := range p.Step(sim.now) {
				if a.Engine.Upstream.Zone == evacuated {
					rt.Fatalf("call to %s of the evacuated zone", a.Engine.Upstream.ID)
				}
				sim.execute(p, 1, a, 0)
			}
		}
		for _, name := range sim.spec.ModelNames {
			if !slices.ContainsFunc(sim.engines, func(e *fakeEngine) bool {
				return zones[e.entry.ID] != evacuated && fleet.FindModel(e.models, name) != nil
			}) {
				rt.Fatalf("no engine outside %s holds %s", evacuated, name)
			}
		}
	})
}
