package assign

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
)

// What the instances measure of upstreams is merged by package upstreamstats. The estimates are
// relative to these references.

const (
	// referencePrefillTokensPerMs is the number of prompt tokens per millisecond to which the
	// prefill time of models is relative. It is assumed for a model without observations.
	referencePrefillTokensPerMs = 25.0
	// minPrefillSample is the least prefill time, at the reference, from which the rate of a
	// model is learned. Below it, the delays that all requests have prevail.
	minPrefillSample = 10 * time.Millisecond
	// maxPrefillStep bounds one observation of a prefill time by a multiple of the estimate, as
	// pauses and full engines delay first tokens too.
	maxPrefillStep = 3.0
	// modelSubject precedes service and model in the name of a model's series. No upstream has
	// such a name.
	modelSubject = "\x00"
)

// Estimates returns what the fleet knows of upstreams.
func (s *Scheduler) Estimates() *upstreamstats.Stats { return s.stats }

// addEstimates adds the series of an upstream and of the models that it holds.
func (s *Scheduler) addEstimates(u *upstream) {
	if s.opts.OwnEstimates {
		return
	}
	series := func(k upstreamstats.Kind) *upstreamstats.Series {
		return s.stats.Series(upstreamstats.Key{Subject: u.entry.ID, StartedAtMS: u.entry.StartedAtMS, Kind: k}, u.entry.Service)
	}
	u.health.fleet = series(upstreamstats.Failures)
	if u.engine == nil {
		u.latency.series = series(upstreamstats.ServiceTime)
		return
	}
	u.latency.series = series(upstreamstats.Slowness)
	for _, m := range u.models {
		s.prefillSeries(u.entry.Service, m.Model)
	}
}

// keepEstimates forgets the estimates of upstreams that are not listed and of models of which
// no configured service has engines.
func (s *Scheduler) keepEstimates() {
	s.stats.Keep(func(k upstreamstats.Key) bool {
		if name, isModel := strings.CutPrefix(k.Subject, modelSubject); isModel {
			service, _, _ := strings.Cut(name, modelSubject)
			return len(s.services[service]) > 0
		}
		u := s.byID[k.Subject]
		return u != nil && u.entry.StartedAtMS == k.StartedAtMS
	})
}

// prefillSeries returns the series of a model. It is a group of its own, so that a model that is
// seldom requested keeps its estimate.
func (s *Scheduler) prefillSeries(service, model string) *upstreamstats.Series {
	name := modelSubject + service + modelSubject + model
	return s.stats.Series(upstreamstats.Key{Subject: name, Kind: upstreamstats.PrefillTime}, name)
}

// prefillFactor returns the prefill time of the job's model relative to the reference.
func (s *Scheduler) prefillFactor(j *Job) float64 {
	if s.opts.OwnEstimates {
		return 1
	}
	if j.prefill == nil {
		j.prefill = s.prefillSeries(j.Service, j.Model)
	}
	return j.prefill.Factor()
}

// referenceTokens returns how many prompt tokens of a model at the reference take as long as so
// many of the job's model.
func (s *Scheduler) referenceTokens(j *Job, tokens int) int {
	return max(int(s.prefillFactor(j)*float64(tokens)), 1)
}

// observePrefill learns the prefill time of a model from the time to a first token. What the
// estimate accounts for besides the prompt is subtracted; the rest is the prompt's. At an engine
// without slots to spare, first tokens wait for more than prompts.
func (s *Scheduler) observePrefill(now time.Duration, p *Placement) {
	reference := float64(p.uncached) / referencePrefillTokensPerMs * float64(time.Millisecond)
	if s.opts.OwnEstimates || reference < float64(minPrefillSample) || !p.hadRoom {
		return
	}
	factor := s.prefillFactor(p.job)
	other := float64(p.nominal) - float64(p.tokens)/referencePrefillTokensPerMs*float64(time.Millisecond)
	observed := (float64(now-p.sentAt) - other) / reference
	s.stats.Observe(now, p.job.prefill, min(max(observed, factor/maxPrefillStep), factor*maxPrefillStep))
}

// observeFailure records whether a request failed by the upstream's fault.
func (s *Scheduler) observeFailure(now time.Duration, u *upstream, failed bool) {
	if s.opts.OwnEstimates {
		return
	}
	value := 0.0
	if failed {
		value = 1
	}
	s.stats.Observe(now, u.health.fleet, value)
}

const (
	// slowFrom is the slowness from which on an engine is reported as slow, and slowUntil the
	// one below which it no longer is. Estimates vary by 0.06.
	slowFrom  = 1.5
	slowUntil = 1.2
)

// SlowChange says that an engine has become slow, or no longer is.
type SlowChange struct {
	ID       string
	Slow     bool
	Slowness float64
}

// SlowChanges returns the engines that became slow or recovered since the last call, by ID, and
// the number of slow ones.
func (s *Scheduler) SlowChanges() (changes []SlowChange, slow int) {
	for id, u := range s.byID {
		if u.engine == nil || s.opts.OwnEstimates {
			continue
		}
		slowness := u.latency.slowdown()
		if !u.slow && slowness >= slowFrom || u.slow && slowness < slowUntil {
			u.slow = !u.slow
			changes = append(changes, SlowChange{ID: id, Slow: u.slow, Slowness: slowness})
		}
		if u.slow {
			slow++
		}
	}
	slices.SortFunc(changes, func(a, b SlowChange) int { return cmp.Compare(a.ID, b.ID) })
	return changes, slow
}
