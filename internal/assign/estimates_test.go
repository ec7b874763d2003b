package assign

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
	"github.com/shoenig/test/must"
)

// serveAlone places a job at an idle engine and records its first token after the time that the
// engine needs.
func serveAlone(t *testing.T, s *Scheduler, now time.Duration, j *Job, need func(p *Placement) time.Duration) (expected time.Duration) {
	p, d := s.Submit(now, j)
	must.NotNil(t, p)
	s.RecordFirstToken(now+need(p), p)
	s.Release(now+need(p)+time.Millisecond, p, ResultOK)
	return d.Expected
}

// The prefill rate differs between models, by up to a factor of nine. With an assumed rate the
// estimates for a fast model are so high that its requests do not fit, and engines that hold it
// appear fast for other models.
func TestPrefillRateOfEachModelIsLearned(t *testing.T) {
	s := newTestScheduler(3, "small", "large")
	factors := map[string]float64{"small": 0.11, "large": 0.8}
	now, worst := start, 0.0
	for i := range 400 {
		now += 100 * time.Millisecond
		model := []string{"small", "large"}[i%2]
		j := newChatJob(i, now)
		j.Model, j.PromptTokens, j.Objective = model, 1000+37*(i%50), now+time.Second
		need := func(p *Placement) time.Duration {
			return baseFirstTokenTime + time.Duration(factors[model]*float64(p.uncached)/referencePrefillTokensPerMs*float64(time.Millisecond))
		}
		expected := serveAlone(t, s, now, j, need)
		if i >= 300 {
			actual := baseFirstTokenTime + time.Duration(factors[model]*float64(j.PromptTokens)/referencePrefillTokensPerMs*float64(time.Millisecond))
			worst = max(worst, float64(expected-actual)/float64(actual), float64(actual-expected)/float64(actual))
		}
	}
	must.Less(t, 0.15, worst)
}

// An instance that has sent nothing to an engine must avoid it if others have found it slow, and
// an upstream whose requests fail elsewhere must not look sound.
func TestInstanceWithoutEvidenceGoesByTheFleet(t *testing.T) {
	s, peer := newTestScheduler(2, "m"), newTestScheduler(2, "m")
	peer.stats.Restarted("s", "1")
	for range 30 {
		for id, slowness := range map[string]float64{"e0": 6, "e1": 1} {
			peer.stats.Observe(start, peer.byID[id].latency.series, slowness)
		}
		peer.observeFailure(start, peer.byID["a0"], true)
		peer.observeFailure(start, peer.byID["a1"], false)
	}
	from := upstreamstats.Sender{Incarnation: "p", SameZone: true, Scope: upstreamstats.ScopeOwn}
	must.Eq(t, 0, s.stats.Merge(start, from, peer.stats.Tell(start, "s", upstreamstats.ScopeOwn, false)))
	for i := range 4 {
		p, d := s.Submit(start, newChatJob(i, start))
		must.NotNil(t, p)
		must.Eq(t, "e1", d.Upstream.ID)
		s.Release(start, p, ResultUnknown)
	}
	must.True(t, s.byID["a0"].health.suspect(s.lowestFailureRate("app")))
	must.False(t, s.byID["a1"].health.suspect(s.lowestFailureRate("app")))
	for range enoughResponses {
		s.byID["a0"].health.recordSuccess(start) // its own link is sound
	}
	must.False(t, s.byID["a0"].health.suspect(s.lowestFailureRate("app")))
}

// Estimates of an upstream that has restarted are those of its new incarnation.
func TestEstimatesEndWithTheIncarnation(t *testing.T) {
	s := newTestScheduler(1, "m")
	for range 30 {
		s.stats.Observe(start, s.byID["e0"].latency.series, 6)
	}
	must.Greater(t, 5, s.byID["e0"].latency.slowdown())
	changes, slow := s.SlowChanges()
	must.Eq(t, 1, slow)
	must.SliceLen(t, 1, changes)
	changes, _ = s.SlowChanges()
	must.SliceEmpty(t, changes)
	entry := s.byID["e0"].entry
	entry.StartedAtMS++
	config := &fleet.Config{Services: map[string]*fleet.Service{"chat": {Name: "chat", Engine: &fleet.Engine{Slots: 8}}}}
	s.SetUpstreams(config, []fleet.Upstream{entry})
	must.Eq(t, 1, s.byID["e0"].latency.slowdown())
}
