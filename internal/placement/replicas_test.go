package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

func bounded(t *rapid.T) *fleet {
	f := newFleet(t, Demand{Options: DefaultDemandOptions()}, 4*modelSize)
	f.bounds[0].least = 3
	f.bounds[1].least = 5 // more than zones
	f.bounds[2].most = 1
	f.bounds[3].least, f.bounds[3].most = 2, 2
	f.bounds[4].most = 4
	return f
}

// TestReplicasStayWithinTheirBounds gives the bounded models much demand after
// faults of all kinds.
func TestReplicasStayWithinTheirBounds(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		f := bounded(rt)
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			f.disturb()
		}
		f.settle()
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
					f.land(0, false)
				}
				f.progress(z)
				f.now += tick
				f.check()
			}
			for m, b := range f.bounds {
				if n := f.replicas(m); b.most > 0 && n > b.most {
					rt.Fatalf("m%d has %d replicas, at most %d may be; homes %v", m, n, b.most, f.homes.Models)
				}
				if n := f.replicas(m); n < b.least {
					rt.Fatalf("m%d has %d replicas, at least %d are kept; homes %v", m, n, b.least, f.homes.Models)
				}
			}
		}
		if f.reachable(0) != 3 || f.reachable(1) != 3 {
			rt.Fatalf("minimums are not spread over zones: %v", f.homes.Models)
		}
	})
}

// TestMinimumComesBeforeDemand displaces a replica that serves demand, but no
// home.
func TestMinimumComesBeforeDemand(t *testing.T) {
	in := Input{Zone: "a", Zones: []string{"a", "b", "c"}, Loads: 1, Models: []Model{
		{Name: "kept", MemoryMB: 60, MinReplicas: 2, Elsewhere: 1, Since: time.Hour},
		{Name: "asked", MemoryMB: 60, Fast: 0.8, Slow: 0.8, Elsewhere: 2},
	}, Upstreams: []Upstream{{Name: "u", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{
		{Model: 1, State: Ready, Age: time.Hour},
	}}}}
	moves := Demand{Options: DefaultDemandOptions()}.Plan(in)
	must.Eq(t, []Move{{Kind: Drain, Model: "asked", Upstream: "u", Reason: "min_replicas"}}, moves)
	in.Models[1].Elsewhere, in.Models[1].Designated = 0, true
	must.SliceEmpty(t, Demand{Options: DefaultDemandOptions()}.Plan(in))
}

// TestReplicasAboveTheMaximumLeave lowers a maximum, and lets a zone that stood
// in for a lost home give way.
func TestReplicasAboveTheMaximumLeave(t *testing.T) {
	in := Input{Zone: "a", Zones: []string{"a"}, Models: []Model{
		{Name: "m", MemoryMB: 60, Fast: 3, Slow: 3, MaxReplicas: 1, Designated: true},
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
		in.Zone, in.Models[0].Elsewhere = own, 0
		must.SliceEmpty(t, planner.Plan(in), must.Sprint("the only home"))
	}
	retired := 0
	for _, own := range in.AllZones {
		in.Zone, in.Models[0].Elsewhere = own, 1
		retired += len(planner.Plan(in))
	}
	must.Eq(t, 1, retired, must.Sprint("one of two homes gives way"))
	in.Upstreams[0] = Upstream{Name: "u", MemoryMB: 60, Live: true}
	in.Models[0].Designated, in.Loads = false, 1
	for _, own := range in.AllZones {
		in.Zone = own
		must.SliceEmpty(t, planner.Plan(in), must.Sprint("the other zone holds the one replica"))
	}
}
