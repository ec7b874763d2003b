package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

const stepsPerRun = 400

func testOptions() Options {
	return Options{BaseTerm: 12 * time.Second, ExtraTerm: 2 * time.Second, LendTerm: 3 * time.Second, ClaimInterval: time.Second}
}

// TestNoWindowBeyondRateAndBurst exposes two zones of two instances to random
// restarts, pauses, outages, lost, late, reordered and repeated messages, and
// changes of the zone leaders and of the limits. No window may exceed rate and
// burst.
func TestNoWindowBeyondRateAndBurst(t *testing.T) {
	var admitted, refused, loans, lent, writes int
	rapidtest.Check(t, func(t *rapid.T) {
		limits := map[string]Limit{"a": {Rate: 100, Burst: 400}, "b": {Rate: 1000, Burst: 1000}}
		sim := newSimulation(t, testOptions(), 2, 2, limits)
		sim.setLeader(0, 0)
		sim.setLeader(1, 0)
		sim.advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "warm up")) * time.Second)
		for range stepsPerRun {
			sim.randomEvent()
			sim.checkShares()
		}
		sim.checkWindows()
		admitted += sim.stats.admitted
		refused += sim.stats.refused
		loans += sim.stats.loans
		lent += sim.stats.lent
		writes += sim.stats.writes
	})
	t.Logf("%d admitted, %d refused, %d loans, %d parts lent, %d writes", admitted, refused, loans, lent, writes)
	must.Positive(t, admitted)
	must.Positive(t, loans)
	must.Positive(t, lent)
}

// randomEvent draws one event and applies it.
func (sim *simulation) randomEvent() {
	t := sim.t
	pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	p := sim.procs[pick(len(sim.procs), "process")]
	in := sim.instances()[pick(len(sim.instances()), "instance")]
	switch event := pick(45, "event"); {
	case event < 4:
		if !in.paused {
			org := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org")
			sim.admit(in, org, rapid.SampledFrom([]int64{1, 10, 30, 100, 300}).Draw(t, "charge"))
		}
	case event < 10:
		sim.admitAll(pick(len(sim.instances())+1, "only"))
	case event < 16:
		if n := len(in.activeCharges); n > 0 && !in.paused {
			used := rapid.Int64Range(0, 2).Draw(t, "used")
			for i := pick(n, "request"); i >= 0; i-- {
				sim.finishRequest(in, i, in.activeCharges[i].tokens*used/4)
			}
		}
	case event < 24:
		if n := len(p.inbox); n > 0 && !p.paused {
			sim.deliver(p, pick(n, "message"), pick(5, "repeat") == 0)
		}
	case event < 30:
		sim.advance(time.Duration(pick(8, "quiet")) * 100 * time.Millisecond)
	case event < 33:
		sim.trueTime += time.Duration(pick(3000, "ms")) * time.Millisecond
	case event == 33:
		p.paused = !p.paused
	case event == 34:
		p.partitioned = !p.partitioned
	case event == 35:
		sim.setLeader(pick(sim.zones, "zone"), pick(3, "holder"))
	case event == 36:
		p.inbox = nil
	case event == 37:
		sim.store.SetFaults(objectstore.Faults{Outage: pick(3, "outage") == 0, LoseReplies: pick(3, "lost")})
	case event == 38:
		if pick(4, "new limits") == 0 {
			sim.limitVersions = append(sim.limitVersions, map[string]Limit{
				"a": {Rate: rapid.Int64Range(1, 300).Draw(t, "rate"), Burst: rapid.Int64Range(1, 800).Draw(t, "burst")},
				"b": {Rate: 1000, Burst: rapid.Int64Range(100, 2000).Draw(t, "burst")},
			})
		}
		sim.configure(p)
	case event == 39:
		if !in.paused && pick(4, "stop") == 0 {
			sim.step(in, Stop{})
		}
	case event == 40:
		sim.restart(pick(len(sim.procs), "killed"))
	case event >= 42:
		if !in.paused {
			sim.borrow(in)
		}
	case event == 41:
		sim.repairFaults()
		sim.advance(time.Duration(pick(6, "healthy")) * time.Second)
	}
}

// repairFaults ends all faults of the store and the processes. Late messages stay
// queued.
func (sim *simulation) repairFaults() {
	sim.store.SetFaults(objectstore.Faults{})
	for i, p := range sim.procs {
		p.paused, p.partitioned = false, false
		if p.instance != nil && p.instance.leaving {
			sim.restart(i)
		}
	}
	for z := range sim.zones {
		sim.setLeader(z, rapid.IntRange(0, 1).Draw(sim.t, "holder"))
	}
}
