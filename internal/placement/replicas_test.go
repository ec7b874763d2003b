package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// newBoundedFleet returns a fleet in which some models have minimum or maximum
// replicas.
func newBoundedFleet(t *rapid.T) *fleet {
	f := newFleet(t, Demand{Options: DefaultDemandOptions()}, 4*modelSize)
	f.bounds[0].minReplicas = 3
	f.bounds[1].minReplicas = 5 // more than there are zones
	f.bounds[2].maxReplicas = 1
	f.bounds[3].minReplicas, f.bounds[3].maxReplicas = 2, 2
	f.bounds[4].maxReplicas = 4
	return f
}

// TestReplicasStayWithinTheirBounds puts high demand on the bounded models after
// random faults.
func TestReplicasStayWithinTheirBounds(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		f := newBoundedFleet(rt)
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			f.randomStep()
		}
		f.quiesce()
		for range 60 {
			hot := 2 + f.draw(3)
			for _, z := range f.zones {
				f.read(z)
				f.plan(z, func(m int) float64 {
					if m == hot {
						return 3
					}
					return 0.01
				}, func(string) bool { return true })
				for len(f.writes) > 0 {
					f.completeWrite(0, false)
				}
				f.progress(z)
				f.now += tick
				f.check()
			}
			for m, b := range f.bounds {
				if n := f.replicas(m); b.maxReplicas > 0 && n > b.maxReplicas {
					rt.Fatalf("m%d has %d replicas, want at most %d; homes %v", m, n, b.maxReplicas, f.homes.Models)
				}
				if n := f.replicas(m); n < b.minReplicas {
					rt.Fatalf("m%d has %d replicas, want at least %d; homes %v", m, n, b.minReplicas, f.homes.Models)
				}
			}
		}
		if f.readyZones(0) != 3 || f.readyZones(1) != 3 {
			rt.Fatalf("minimum replicas are not spread over zones: %v", f.homes.Models)
		}
	})
}

// TestMinimumComesBeforeDemand checks that a replica within a model's minimum
// evicts a replica that serves demand, but not the replica of an only home zone.
func TestMinimumComesBeforeDemand(t *testing.T) {
	in := Input{Zone: "a", LiveZones: []string{"a", "b", "c"}, LoadBudget: 1, Models: []Model{
		{Name: "kept", MemoryMB: 60, MinReplicas: 2, HomesElsewhere: 1, UnchangedFor: time.Hour},
		{Name: "asked", MemoryMB: 60, Fast: 0.8, Slow: 0.8, HomesElsewhere: 2},
	}, Upstreams: []Upstream{{Name: "u", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{
		{Model: 1, State: Ready, Age: time.Hour},
	}}}}
	moves := Demand{Options: DefaultDemandOptions()}.Plan(in)
	must.Eq(t, []Move{{Kind: Drain, Model: "asked", Upstream: "u", Reason: "min_replicas"}}, moves)
	in.Models[1].HomesElsewhere, in.Models[1].IsHome = 0, true
	must.SliceEmpty(t, Demand{Options: DefaultDemandOptions()}.Plan(in))
}

// TestReplicasAboveMaximumAreRemoved checks removal after a maximum was lowered,
// and in a zone that substituted for a lost home zone once that zone is back.
func TestReplicasAboveMaximumAreRemoved(t *testing.T) {
	in := Input{Zone: "a", LiveZones: []string{"a"}, Models: []Model{
		{Name: "m", MemoryMB: 60, Fast: 3, Slow: 3, MaxReplicas: 1, IsHome: true},
	}, Upstreams: []Upstream{
		{Name: "u", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{{State: Ready}}},
		{Name: "v", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{{State: Ready}}},
	}}
	planner := Demand{Options: DefaultDemandOptions()}
	must.Eq(t, []Move{{Kind: Drain, Model: "m", Upstream: "u", Reason: "above max_replicas"}}, planner.Plan(in))
	in.Upstreams = in.Upstreams[:1]
	must.SliceEmpty(t, planner.Plan(in))
	in.AllZones = []string{"a", "b"}
	for _, own := range in.AllZones {
		in.Zone, in.Models[0].HomesElsewhere = own, 0
		must.SliceEmpty(t, planner.Plan(in), must.Sprint("the only home"))
	}
	retired := 0
	for _, own := range in.AllZones {
		in.Zone, in.Models[0].HomesElsewhere = own, 1
		retired += len(planner.Plan(in))
	}
	must.Eq(t, 1, retired, must.Sprint("one of two homes retires"))
	in.Upstreams[0] = Upstream{Name: "u", MemoryMB: 60, Live: true}
	in.Models[0].IsHome, in.LoadBudget = false, 1
	for _, own := range in.AllZones {
		in.Zone = own
		must.SliceEmpty(t, planner.Plan(in), must.Sprint("the other zone holds the one replica"))
	}
}
