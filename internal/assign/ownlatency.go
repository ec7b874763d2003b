package assign

import (
	"math"
	"time"
)

const (
	minSlowness = 0.3
	maxSlowness = 12.0
	// observationHold is how long an own observation counts in full. After that the slowness
	// decays towards 1 with the time constant observationDecay, so that an upstream that was
	// slow is tried again.
	observationHold  = 3 * time.Second
	observationDecay = 5 * time.Second
)

// ownLatency is what this instance alone has observed of an upstream. It is used with
// Options.OwnEstimates.
type ownLatency struct {
	slowness        float64       // observed over expected, 0 before the first observation
	meanServiceTime time.Duration // of plain requests, 0 before the first observation
	observedAt      time.Duration // of the last time to the first token
}

// slowdown returns the factor by which estimates for the upstream are multiplied at now.
func (t *ownLatency) slowdown(now time.Duration) float64 {
	if t.slowness == 0 {
		return 1
	}
	if decayTime := now - t.observedAt - observationHold; decayTime > 0 {
		return 1 + (t.slowness-1)*math.Exp(-float64(decayTime)/float64(observationDecay))
	}
	return t.slowness
}

// observeFirstToken records an observed time to the first token and the time that was expected
// without the slowdown.
func (t *ownLatency) observeFirstToken(now, observed, expected time.Duration) {
	ratio := float64(observed) / float64(max(expected, baseFirstTokenTime))
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness = t.slowdown(now)
	t.observedAt = now
	t.slowness += observationWeight * (ratio - t.slowness)
}

// observeServiceTime records the duration of a plain request.
func (t *ownLatency) observeServiceTime(d time.Duration) {
	if t.meanServiceTime == 0 {
		t.meanServiceTime = d
		return
	}
	t.meanServiceTime += time.Duration(observationWeight * float64(d-t.meanServiceTime))
}

// slowdown returns the factor by which estimates for an upstream are multiplied at now.
func (s *Scheduler) slowdown(now time.Duration, u *upstream) float64 {
	if s.opts.OwnEstimates {
		return u.ownLatency.slowdown(now)
	}
	return u.latency.slowdown()
}

// serviceTime returns the expected duration of a request to an upstream of a plain service.
func (s *Scheduler) serviceTime(u *upstream) time.Duration {
	if !s.opts.OwnEstimates {
		return u.latency.serviceTime()
	}
	if u.ownLatency.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return u.ownLatency.meanServiceTime
}
