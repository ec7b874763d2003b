package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

const stepsPerRun = 400

func testOptions() Options {
	return Options{BaseTerm: 12 * time.Second, ExtraTerm: 2 * time.Second, LendTerm: 3 * time.Second, MoveEvery: time.Second}
}

// TestNoWindowBeyondRateAndBurst runs two zones of two instances through
// random kills, pauses, outages, lost, late, reordered and repeated messages,
// changes of the duty holders and of the limits.
func TestNoWindowBeyondRateAndBurst(t *testing.T) {
	var admitted, refused, loans, lent, moves int
	rapidtest.Check(t, func(t *rapid.T) {
		limits := map[string]Limit{"a": {Rate: 100, Burst: 400}, "b": {Rate: 1000, Burst: 1000}}
		w := newWorld(t, testOptions(), 2, 2, limits)
		w.elect(0, 0)
		w.elect(1, 0)
		w.quiet(time.Duration(rapid.IntRange(0, 6).Draw(t, "warm up")) * time.Second)
		for range stepsPerRun {
			w.anyEvent()
			w.checkShares()
		}
		w.check()
		admitted += w.stats.admitted
		refused += w.stats.refused
		loans += w.stats.loans
		lent += w.stats.lent
		moves += w.stats.moves
	})
	t.Logf("%d admitted, %d refused, %d loans, %d parts lent, %d writes", admitted, refused, loans, lent, moves)
	must.Positive(t, admitted)
	must.Positive(t, loans)
	must.Positive(t, lent)
}

// anyEvent draws one event of the world.
func (w *world) anyEvent() {
	t := w.t
	pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	p := w.procs[pick(len(w.procs), "process")]
	in := w.instances()[pick(len(w.instances()), "instance")]
	switch event := pick(45, "event"); {
	case event < 4:
		if !in.paused {
			org := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org")
			w.admit(in, org, rapid.SampledFrom([]int64{1, 10, 30, 100, 300}).Draw(t, "charge"))
		}
	case event < 10:
		w.hammer(pick(len(w.instances())+1, "only"))
	case event < 16:
		if n := len(in.running); n > 0 && !in.paused {
			used := rapid.Int64Range(0, 2).Draw(t, "used")
			for i := pick(n, "request"); i >= 0; i-- {
				w.finish(in, i, in.running[i].tokens*used/4)
			}
		}
	case event < 24:
		if n := len(p.inbox); n > 0 && !p.paused {
			w.deliver(p, pick(n, "message"), pick(5, "repeat") == 0)
		}
	case event < 30:
		w.quiet(time.Duration(pick(8, "quiet")) * 100 * time.Millisecond)
	case event < 33:
		w.truth += time.Duration(pick(3000, "ms")) * time.Millisecond
	case event == 33:
		p.paused = !p.paused
	case event == 34:
		p.cut = !p.cut
	case event == 35:
		w.elect(pick(w.zones, "zone"), pick(3, "holder"))
	case event == 36:
		p.inbox = nil
	case event == 37:
		w.store.SetFaults(platform.Faults{Outage: pick(3, "outage") == 0, LoseReplies: pick(3, "lost")})
	case event == 38:
		if pick(4, "new limits") == 0 {
			w.versions = append(w.versions, map[string]Limit{
				"a": {Rate: rapid.Int64Range(1, 300).Draw(t, "rate"), Burst: rapid.Int64Range(1, 800).Draw(t, "burst")},
				"b": {Rate: 1000, Burst: rapid.Int64Range(100, 2000).Draw(t, "burst")},
			})
		}
		w.configure(p)
	case event == 39:
		if !in.paused && pick(4, "stop") == 0 {
			w.step(in, Stop{})
		}
	case event == 40:
		w.boot(pick(len(w.procs), "killed"))
	case event >= 42:
		if !in.paused {
			w.borrow(in)
		}
	case event == 41:
		w.heal()
		w.quiet(time.Duration(pick(6, "healthy")) * time.Second)
	}
}

// heal ends all faults that can end; late messages are still on their way.
func (w *world) heal() {
	w.store.SetFaults(platform.Faults{})
	for i, p := range w.procs {
		p.paused, p.cut = false, false
		if p.inst != nil && p.inst.leaving {
			w.boot(i)
		}
	}
	for z := range w.zones {
		w.elect(z, rapid.IntRange(0, 1).Draw(w.t, "holder"))
	}
}
