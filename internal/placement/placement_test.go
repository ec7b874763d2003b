package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// randomStep performs one random event or fault and checks the invariant.
func (f *fleet) randomStep() {
	z := f.zones[f.draw(len(f.zones))]
	alive := func(string) bool { return true }
	if f.draw(6) == 0 {
		alive = func(name string) bool { return name != "z0" } // z0 is partitioned from the others
	}
	switch kind := f.draw(24); {
	case kind < 3:
		f.read(z)
	case kind < 12:
		hot := f.draw(fleetModels)
		f.plan(z, func(m int) float64 {
			if m == hot {
				return 3
			}
			return 0.01
		}, alive)
	case kind < 18 && len(f.writes) > 0:
		f.completeWrite(f.draw(len(f.writes)), f.draw(4) == 0)
	case kind == 18 && f.draw(4) == 0:
		f.restart(z)
	case kind == 19 && f.draw(10) == 0:
		f.failUpstream(z, f.draw(2))
	case kind < 22:
		f.progress(z)
	default:
		f.read(z)
	}
	f.now += tick
	f.check()
}

// quiesce runs the fleet without faults: views are current and all writes
// complete.
func (f *fleet) quiesce() {
	for range 60 {
		for _, z := range f.zones {
			f.read(z)
			f.plan(z, func(int) float64 { return 0.01 }, func(string) bool { return true })
			for len(f.writes) > 0 {
				f.completeWrite(0, false)
			}
			f.progress(z)
			f.now += tick
			f.check()
		}
	}
}

// plannerWithoutHysteresis returns a planner that moves replicas often, so that
// many moves of different zones overlap.
func plannerWithoutHysteresis() Planner {
	opt := DefaultDemandOptions()
	opt.MinGain, opt.MinStay, opt.ZoneStagger = 0, 0, 0
	opt.StandbyValue = 0.05
	return Demand{Options: opt}
}

func TestEveryModelKeepsAHome(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, plannerWithoutHysteresis(), 2*modelSize)
		f.quiesce()
		for range rapid.IntRange(200, 1500).Draw(rt, "steps") {
			f.randomStep()
		}
		f.quiesce()
		for m := range fleetModels {
			if f.readyZones(m) == 0 {
				rt.Fatalf("m%d is ready in no zone; homes %v", m, f.homes.Models)
			}
		}
	})
}

func TestStandbyReplicasAreInOtherZones(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, Demand{Options: DefaultDemandOptions()}, 3*modelSize)
		for range rapid.IntRange(0, 100).Draw(rt, "steps") {
			f.randomStep()
		}
		f.quiesce()
		for m := range fleetModels {
			if f.readyZones(m) < 2 {
				rt.Fatalf("m%d is ready in %d zones; homes %v", m, f.readyZones(m), f.homes.Models)
			}
		}
	})
}

// TestEvictedStandbyDoesNotReuseMemoryFreedForDemand plans after the standby
// replica of "gone" was evicted for "asked": the freed memory must go to
// "asked", not to the standby replica again.
func TestEvictedStandbyDoesNotReuseMemoryFreedForDemand(t *testing.T) {
	moves := Demand{Options: DefaultDemandOptions()}.Plan(Input{
		Zone: "a", LiveZones: []string{"a", "b"}, LoadBudget: 1, Models: []Model{
			{Name: "gone", MemoryMB: 60, HomesElsewhere: 1, UnchangedFor: time.Hour},
			{Name: "asked", MemoryMB: 60, Fast: 1.5, Slow: 1.5, IsHome: true, HomesElsewhere: 1},
		}, Upstreams: []Upstream{
			{Name: "u", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{{Model: 1, State: Ready, Age: time.Hour}}},
			{Name: "v", MemoryMB: 60, Live: true},
		}})
	must.Eq(t, []Move{{Kind: Load, Model: "asked", Upstream: "v", Reason: "demand"}}, moves)
}

func TestOnlyKnownHomeIsNeverUnloaded(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		in := Input{Zone: "a", LiveZones: []string{"a", "b"}, LoadBudget: 4, Models: []Model{
			{Name: "held", MemoryMB: 60, IsHome: true, HomesElsewhere: 1, Idle: time.Hour},
			{Name: "asked", MemoryMB: 60, Fast: 1, Slow: 1, HomesElsewhere: 1},
		}, Upstreams: []Upstream{{Name: "u", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{
			{Model: 0, State: Ready, Age: time.Hour},
		}}}}
		if isolated {
			in.Models[0].HomesElsewhere = 0
		}
		moves := Demand{Options: DefaultDemandOptions()}.Plan(in)
		if isolated {
			must.SliceEmpty(t, moves)
			continue
		}
		must.Eq(t, []Move{{Kind: RemoveHome, Model: "held", Reason: "demand"}}, moves)
		in.Models[0].IsHome = false
		moves = Demand{Options: DefaultDemandOptions()}.Plan(in)
		must.Eq(t, []Move{{Kind: Drain, Model: "held", Upstream: "u", Reason: "demand"}}, moves)
		in.Upstreams[0].Replicas[0].Draining = true
		in.Upstreams[0].Replicas[0].InFlight = 1
		must.SliceEmpty(t, Demand{Options: DefaultDemandOptions()}.Plan(in))
		in.Models[0].HomesElsewhere = 0
		moves = Demand{Options: DefaultDemandOptions()}.Plan(in)
		must.Eq(t, Move{Kind: Resume, Model: "held", Upstream: "u", Reason: "no other home"}, moves[0])
		in.Models[0].HomesElsewhere = 1
		in.Upstreams[0].Replicas[0].InFlight = 0
		moves = Demand{Options: DefaultDemandOptions()}.Plan(in)
		must.Eq(t, []Move{{Kind: Unload, Model: "held", Upstream: "u", Reason: "drained"}}, moves)
	}
}

// TestEvictionStartsWithoutLoadBudget checks that an eviction for another model
// starts, and is not undone, while the load budget is exhausted.
func TestEvictionStartsWithoutLoadBudget(t *testing.T) {
	in := Input{Zone: "a", LiveZones: []string{"a", "b"}, Models: []Model{
		{Name: "held", MemoryMB: 60, HomesElsewhere: 1},
		{Name: "homeless", MemoryMB: 60, IsHome: true, Lost: true},
	}, Upstreams: []Upstream{{Name: "u", MemoryMB: 60, CommittedMB: 60, Live: true, Replicas: []Replica{
		{Model: 0, State: Ready},
	}}}}
	moves := Demand{Options: DefaultDemandOptions()}.Plan(in)
	must.Eq(t, []Move{{Kind: Drain, Model: "held", Upstream: "u", Reason: "home"}}, moves)
}

func TestAdapterVictims(t *testing.T) {
	resident := []Adapter{
		{Name: "busy", MemoryMB: 5, InFlight: 1, Idle: time.Hour},
		{Name: "new", MemoryMB: 5, Idle: time.Second},
		{Name: "old", MemoryMB: 5, Idle: time.Minute},
	}
	victims, ok := AdapterVictims(resident, 1, 6)
	must.True(t, ok)
	must.Eq(t, []string{"old"}, victims)
	_, ok = AdapterVictims(resident, 1, 12)
	must.False(t, ok)
}

// fullZone returns the input of a zone of the largest fleet that the software is
// designed for (19 zones). The zone's upstreams hold four models each.
func fullZone(upstreams, models int) Input {
	rng := rand.New(rand.NewPCG(1, 2))
	in := Input{Zone: "z00", LoadBudget: 2}
	for z := range 19 {
		in.LiveZones = append(in.LiveZones, fmt.Sprintf("z%02d", z))
	}
	for m := range models {
		d := rng.ExpFloat64() * float64(upstreams) / float64(models)
		in.Models = append(in.Models, Model{
			Name: fmt.Sprint("m", m), MemoryMB: 20, Fast: d, Slow: d, HomesElsewhere: 2, UnchangedFor: time.Hour,
		})
	}
	for u := range upstreams {
		up := Upstream{Name: fmt.Sprint("u", u), MemoryMB: 80, CommittedMB: 80, Live: true}
		for i := range 4 {
			up.Replicas = append(up.Replicas, Replica{Model: (u*4 + i) % models, State: Ready, Age: time.Hour})
		}
		in.Upstreams = append(in.Upstreams, up)
	}
	return in
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ upstreams, models int }{{4, 20}, {29, 128}, {58, 255}, {116, 510}} {
		b.Run(fmt.Sprintf("upstreams=%d/models=%d", size.upstreams, size.models), func(b *testing.B) {
			in := fullZone(size.upstreams, size.models)
			planner := Demand{Options: DefaultDemandOptions()}
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(in)
			}
		})
	}
}

func TestHomesViewCountsWritesOfUnknownOutcome(t *testing.T) {
	all := func(string) bool { return true }
	v := NewHomeZonesView("a", 2)
	must.True(t, v.Designated("m"), must.Sprint("nothing is known"))
	v.Update(1, HomeZones{Owners: map[string]uint64{"a": 1}})
	must.True(t, v.Designated("m"), must.Sprint("a former owner may still designate"))
	claim, changed, err := v.Edit(nil, all)
	must.NoError(t, err)
	must.True(t, changed)
	v.Update(2, claim)
	must.False(t, v.Designated("m"))
	next, _, err := v.Edit([]Move{{Kind: Designate, Model: "m"}}, all)
	must.NoError(t, err)
	must.True(t, v.Designated("m"), must.Sprint("the write may take effect"))
	v.Update(2, claim)
	must.True(t, v.Designated("m"), must.Sprint("the write may still take effect"))
	v.Update(3, claim)
	must.False(t, v.Designated("m"), must.Sprint("another write took its version"))
	_, err = next.RemoveHome("m", "a", all)
	must.ErrorIs(t, err, ErrLastHomeZone)
	v.Update(4, HomeZones{Owners: map[string]uint64{"a": 3}})
	_, _, err = v.Edit(nil, all)
	must.ErrorIs(t, err, ErrSuperseded)
}
