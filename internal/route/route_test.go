package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

func table(upstreams int, opts Options) *Table {
	t := New(opts)
	for i := range upstreams {
		name := fmt.Sprintf("u%d", i)
		t.SetUpstream(Upstream{Name: name, PrefillRate: 10_000, MaxRunning: 32})
		t.SetResident(name, []ResidentModel{{Model: "m", Ready: true}})
	}
	return t
}

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestLoadCorrectsLag checks that the estimate equals the true number of
// sequences although all reports lag.
func TestLoadCorrectsLag(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		tab := table(1, Options{})
		truth := []int{0} // sequences at each millisecond
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := time.Duration(len(truth)) * time.Millisecond
			running := truth[len(truth)-1]
			switch op := rapid.IntRange(0, 2).Draw(t, "op"); {
			case op == 0:
				tab.Started(now, Started{Upstream: "u0", PrefillTokens: 10})
				running++
			case op == 1 && running > 0:
				tab.Finished(now, Finished{Upstream: "u0", Duration: time.Millisecond})
				running--
			case op == 2:
				age := rapid.IntRange(1, min(len(truth), maxRecentEvents/2)).Draw(t, "age")
				seen := truth[len(truth)-age]
				tab.Report(now, "u0", Load{Running: seen, Age: time.Duration(age) * time.Millisecond})
			}
			truth = append(truth, running)
			must.Eq(t, running, tab.upstreams["u0"].load.sequences())
		}
	})
}

// TestPickObeysStates draws random states of the upstreams and checks Pick's
// choice or error against them.
func TestPickObeysStates(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 5).Draw(t, "upstreams")
		tab := table(n, Options{})
		type upstreamState struct{ leaving, ready, draining, dead bool }
		states := map[string]upstreamState{}
		usable, notDraining, leaving, dead := 0, 0, 0, 0
		for i := range n {
			name := fmt.Sprintf("u%d", i)
			draw := func(label string) bool { return rapid.Bool().Draw(t, label) }
			s := upstreamState{leaving: draw("leaving"), ready: draw("ready"), draining: draw("draining"), dead: draw("dead")}
			states[name] = s
			u := Upstream{Name: name, PrefillRate: 10_000, MaxRunning: 32}
			if s.leaving {
				u.State = StateLeaving
			}
			tab.SetUpstream(u)
			tab.SetResident(name, []ResidentModel{{Model: "m", Ready: s.ready, Draining: s.draining}})
			if s.dead {
				tab.Failed(0, Failed{Upstream: name, Unreachable: true})
			}
			switch {
			case !s.ready:
			case s.leaving:
				leaving++
			case s.dead:
				dead++
			default:
				usable++
				if !s.draining {
					notDraining++
				}
			}
		}
		c, err := tab.Pick(time.Millisecond, Request{Model: "m"}, random(1))
		var overloaded *OverloadedError
		switch {
		case usable > 0:
			must.NoError(t, err)
			s := states[c.Upstream]
			must.True(t, s.ready && !s.leaving && !s.dead)
			must.True(t, notDraining == 0 || !s.draining)
		case dead > 0:
			must.True(t, errors.As(err, &overloaded) && overloaded.Suspect)
			must.Positive(t, overloaded.RetryAfter)
		case leaving > 0:
			must.ErrorIs(t, err, ErrAllLeaving)
		default:
			must.ErrorIs(t, err, ErrNoReplica)
		}
	})
}

// TestSuspectsServeAsLastHomes checks that upstreams ejected after failed answers
// are avoided while another replica is usable, and serve if none is. Unreachable
// upstreams never serve.
func TestSuspectsServeAsLastHomes(t *testing.T) {
	fail := func(tab *Table, name string, unreachable bool) {
		for range failuresToEject {
			tab.Failed(0, Failed{Upstream: name, Unreachable: unreachable})
		}
	}
	tab := table(3, Options{})
	fail(tab, "u0", false)
	fail(tab, "u1", true)
	for seed := range uint64(20) {
		c, err := tab.Pick(time.Millisecond, Request{Model: "m"}, random(seed))
		must.NoError(t, err)
		must.Eq(t, "u2", c.Upstream)
	}
	fail(tab, "u2", true)
	c, err := tab.Pick(time.Millisecond, Request{Model: "m"}, random(1))
	must.NoError(t, err)
	must.Eq(t, "u0", c.Upstream)
	tab.Failed(time.Millisecond, Failed{Upstream: "u0", Unreachable: true})
	_, err = tab.Pick(2*time.Millisecond, Request{Model: "m"}, random(1))
	var overloaded *OverloadedError
	must.True(t, errors.As(err, &overloaded) && overloaded.Suspect)
}

// TestPickKeepsDeadline checks that a choice is expected to meet the deadline, or
// to exceed it by at most the margin if no upstream meets it, and that a request
// is refused only if no upstream is within the margin.
func TestPickKeepsDeadline(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		margin := rapid.IntRange(0, 100).Draw(t, "margin")
		tab := table(3, Options{RefusalMarginPercent: margin})
		best := time.Hour
		for i := range 3 {
			queued := rapid.Int64Range(0, 20_000).Draw(t, "queued")
			tab.Report(0, fmt.Sprintf("u%d", i), Load{QueuedPrefillTokens: queued})
			best = min(best, time.Duration(queued+1000)*100*time.Microsecond)
		}
		deadline := rapid.Int64Range(1, 2000).Draw(t, "deadline_ms")
		r := Request{Model: "m", PromptTokens: 1000, Deadline: time.Duration(deadline) * time.Millisecond}
		c, err := tab.Pick(0, r, random(1))
		var overloaded *OverloadedError
		if errors.As(err, &overloaded) {
			allowed := r.Deadline + r.Deadline*time.Duration(margin)/100
			must.Greater(t, allowed, best)
			must.Eq(t, best-allowed, overloaded.RetryAfter)
			return
		}
		must.NoError(t, err)
		if best <= r.Deadline {
			must.LessEq(t, r.Deadline, c.Expected)
			return
		}
		must.Eq(t, best, c.Expected)
		must.LessEq(t, r.Deadline+r.Deadline*time.Duration(margin)/100, c.Expected)
	})
}

// TestNoHerd checks that 400 instances that decide at once on the same report,
// without knowledge of each other's choices, spread over the upstreams.
func TestNoHerd(t *testing.T) {
	counts := map[string]int{}
	for instance := range 400 {
		tab := table(10, Options{})
		for i := range 10 {
			tab.Report(time.Second, fmt.Sprintf("u%d", i), Load{Running: 5, QueuedPrefillTokens: int64(8 * i), Age: 0})
		}
		c, err := tab.Pick(time.Second, Request{Model: "m", PromptTokens: 200}, random(uint64(instance)))
		must.NoError(t, err)
		counts[c.Upstream]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	must.LessEq(t, 100, most) // the mean is 40
}

// TestKilledUpstream checks that a dead upstream gets few attempts: one, then one
// probe at a time after growing intervals.
func TestKilledUpstream(t *testing.T) {
	tab := table(4, Options{})
	rnd := random(3)
	failed := 0
	for ms := range 60_000 {
		now := time.Duration(ms) * time.Millisecond
		c, err := tab.Pick(now, Request{Model: "m", PromptTokens: 10}, rnd)
		must.NoError(t, err)
		tab.Started(now, Started{Upstream: c.Upstream, PrefillTokens: 10})
		if c.Upstream == "u0" {
			failed++
			tab.Failed(now, Failed{Upstream: "u0", Unreachable: true})
			continue
		}
		tab.Finished(now, Finished{Upstream: c.Upstream, Duration: time.Millisecond})
	}
	must.Between(t, 2, failed, 10) // one attempt, then probes after 0.5, 1, 2, … s
	now := 2 * time.Minute
	c, err := tab.Pick(now, Request{Model: "m"}, rnd)
	must.NoError(t, err)
	must.True(t, c.Probe)
	tab.Started(now, Started{Upstream: "u0"})
	c, _ = tab.Pick(now, Request{Model: "m"}, rnd)
	must.NotEq(t, "u0", c.Upstream) // one probe at a time
	tab.Finished(now, Finished{Upstream: "u0"})
	must.Eq(t, healthy, tab.upstreams["u0"].health.state(now))
}

// TestProbeOfSaturatedUpstream checks that the load that an upstream had when it
// failed neither holds back requests that the model's other replicas could serve
// nor causes a refusal.
func TestProbeOfSaturatedUpstream(t *testing.T) {
	tab := table(2, Options{})
	tab.SetUpstream(Upstream{Name: "u0", PrefillRate: 10_000, MaxRunning: 4})
	tab.Report(0, "u0", Load{Running: 40, QueuedPrefillTokens: 1 << 30})
	tab.Failed(0, Failed{Upstream: "u0", Unreachable: true})
	now := 2 * minBackoff
	c, err := tab.Pick(now, Request{Model: "m", PromptTokens: 10, Deadline: now + time.Second}, random(1))
	must.NoError(t, err)
	must.True(t, c.Probe)
	must.False(t, c.Saturated)
}

// TestPrefixAffinity checks that instances without communication prefer the same
// upstream for a prefix, and that a loaded upstream loses the prefix.
func TestPrefixAffinity(t *testing.T) {
	chosen := map[string]bool{}
	r := Request{Model: "m", Prefix: 99, PrefixTokens: 800, PromptTokens: 1000}
	for seed := range uint64(10) {
		c, err := table(8, Options{}).Pick(0, r, random(seed))
		must.NoError(t, err)
		chosen[c.Upstream] = true
	}
	must.Eq(t, 1, len(chosen))
	tab := table(8, Options{})
	for preferred := range chosen {
		tab.Report(0, preferred, Load{Running: 20})
	}
	c, err := tab.Pick(0, r, random(1))
	must.NoError(t, err)
	must.False(t, chosen[c.Upstream])
}

// TestCorrectionConvergesToMeasuredRate checks that the expected time approaches
// the time that an upstream takes, whatever its nominal prefill rate is.
func TestCorrectionConvergesToMeasuredRate(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		tab := table(1, Options{})
		slower := rapid.Float64Range(0.6, 3.5).Draw(t, "slower")
		rnd := random(1)
		truth := time.Duration(0)
		var c Choice
		for i := range 300 {
			prompt := 100 + i*37%1500
			c, _ = tab.Pick(0, Request{Model: "m", PromptTokens: prompt}, rnd)
			truth = time.Duration(slower * float64(prompt) * float64(100*time.Microsecond))
			tab.FirstToken(FirstToken{Upstream: "u0", Expected: c.Expected, Measured: truth})
		}
		must.Between(t, truth*9/10, c.Expected, truth*11/10)
	})
}

// TestHintsDecay checks that hints lose weight with age and after gaps, and that
// evictions remove them.
func TestHintsDecay(t *testing.T) {
	tab := table(1, Options{})
	u := tab.upstreams["u0"]
	tab.CacheEvent(0, "u0", 5, 800, false)
	must.Eq(t, 800, tab.hints.expectedTokens(0, u, 5))
	last := 800
	for at := time.Second; at < time.Hour; at += 7 * time.Second {
		now := tab.hints.expectedTokens(at, u, 5)
		must.LessEq(t, last, now)
		last = now
	}
	must.Eq(t, 0, last)
	tab.CacheGap(time.Second, "u0")
	must.Between(t, 390, tab.hints.expectedTokens(time.Second, u, 5), 400)
	tab.CacheEvent(0, "u0", 5, 0, true)
	must.Eq(t, 0, tab.hints.expectedTokens(0, u, 5))
}

// TestBaselines checks that each baseline policy picks feasible candidates, and
// that only LeastLoaded avoids a loaded one.
func TestBaselines(t *testing.T) {
	for _, p := range []Policy{Random{}, &RoundRobin{}, LeastLoaded{}} {
		tab := table(3, Options{Policy: p})
		tab.Report(0, "u0", Load{Running: 9})
		var got []string
		for range 30 {
			c, err := tab.Pick(0, Request{Model: "m"}, random(uint64(len(got))))
			must.NoError(t, err)
			got = append(got, c.Upstream)
		}
		_, least := p.(LeastLoaded)
		must.Eq(t, !least, slices.Contains(got, "u0"))
	}
}
