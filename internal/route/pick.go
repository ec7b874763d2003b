package route

import (
	"math/rand/v2"
	"time"
)

// Pick selects the upstream that gets a request. It fails with ErrNoReplica,
// ErrAllLeaving or *OverloadedError; a refusal is final and immediate. Its
// running time grows only with the number of candidates of the request's model.
// A probe is sent regardless of the load that the upstream had before it failed.
func (t *Table) Pick(now time.Duration, r Request, random *rand.Rand) (Choice, error) {
	t.request = r
	list := t.models[r.Model]
	t.feasible = t.feasible[:0]
	var rejected [reasonCount]int
	t.collect(now, list, false, &rejected)
	if len(t.feasible) == 0 {
		// A draining replica still serves if the model has no other replica.
		rejected = [reasonCount]int{}
		t.collect(now, list, true, &rejected)
	}
	if len(t.feasible) == 0 && rejected[ReasonSuspect] > 0 {
		// A few failed answers of each replica do not prove that none can serve.
		t.request.allowSuspect = true
		var ignored [reasonCount]int
		t.collect(now, list, true, &ignored)
	}
	if len(t.feasible) == 0 {
		return Choice{}, t.refusalError(now, list, &rejected)
	}
	c := t.opts.Policy.Choose(&t.request, t.feasible, random)
	if !c.probe && r.Deadline > 0 && now+c.cost > r.Deadline {
		c = cheapest(t.feasible)
		remaining := max(0, r.Deadline-now)
		allowed := remaining + remaining*time.Duration(t.opts.RefusalMarginPercent)/100
		if excess := c.cost - allowed; excess > 0 {
			return Choice{}, &OverloadedError{RetryAfter: excess}
		}
	}
	return Choice{Upstream: c.up.Name, Expected: c.cost, HitTokens: c.hitTokens, Saturated: !c.probe && c.saturated(&t.request), Probe: c.probe}, nil
}

// collect scores the candidates that pass all filters and adds them to
// feasible. An upstream whose probe is due becomes the only candidate.
func (t *Table) collect(now time.Duration, list []*Candidate, includeDraining bool, rejected *[reasonCount]int) {
	for _, c := range list {
		if c.draining && !includeDraining {
			continue
		}
		if reason := t.filter(now, c); reason != ReasonNone {
			rejected[reason]++
			continue
		}
		t.score(now, c)
		if c.probe {
			t.feasible = append(t.feasible[:0], c)
			return
		}
		t.feasible = append(t.feasible, c)
	}
}

func (t *Table) filter(now time.Duration, c *Candidate) Reason {
	for _, f := range t.filters {
		if reason := f.Filter(now, &t.request, c); reason != ReasonNone {
			return reason
		}
	}
	return ReasonNone
}

func (t *Table) score(now time.Duration, c *Candidate) {
	c.cost = 0
	for _, s := range t.scores {
		c.cost += s.Score(now, &t.request, c)
	}
}

// saturated reports whether a request would wait for others to end.
func (c *Candidate) saturated(r *Request) bool {
	l := &c.up.load
	limit := c.up.MaxRunning
	if r.SaturationPercent > 0 {
		limit = max(1, limit*r.SaturationPercent/100)
	}
	if limit > 0 && l.sequences() >= limit {
		return true
	}
	free, ok := l.freeKV()
	return ok && free < int64(r.PromptTokens+r.MaxTokens)
}

// refusalError converts the filters' reasons into an error.
func (t *Table) refusalError(now time.Duration, list []*Candidate, rejected *[reasonCount]int) error {
	switch {
	case rejected[ReasonSuspect] > 0:
		wait := maxBackoff
		for _, c := range list {
			if c.up.health.ejected {
				wait = min(wait, c.up.health.probeDelay(now))
			}
		}
		return &OverloadedError{RetryAfter: wait, Suspect: true}
	case rejected[ReasonLeaving] > 0:
		return ErrAllLeaving
	default:
		return ErrNoReplica
	}
}
