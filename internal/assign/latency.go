package assign

import (
	"math"
	"time"
)

const (
	// defaultPrefillTokensPerMs is the number of prompt tokens that an engine
	// processes per millisecond, assumed before the first observation.
	defaultPrefillTokensPerMs = 25.0
	// observationWeight is the weight of one observation in the moving averages.
	observationWeight = 0.15
	minSlowness       = 0.3
	maxSlowness       = 12.0
	// baseFirstTokenTime is the time to the first token without any backlog.
	baseFirstTokenTime = 15 * time.Millisecond
	// defaultServiceTime is the assumed duration of a plain request before the
	// first observation. It is short so that a new upstream gets requests.
	defaultServiceTime = 10 * time.Millisecond
	// observationHold is how long an observation counts in full. After that
	// the slowness decays towards 1 with the time constant observationDecay, so
	// that an upstream that was slow is tried again.
	observationHold  = 3 * time.Second
	observationDecay = 5 * time.Second
)

// latencyTracker detects upstreams that are slower than others. It compares the
// observed time to the first token with the time that the backlog accounts for.
type latencyTracker struct {
	slowness        float64       // observed over expected, 0 before the first observation
	meanServiceTime time.Duration // of plain requests, 0 before the first observation
	observedAt      time.Duration // of the last time to the first token
}

// slowdown returns the factor by which estimates for the upstream are
// multiplied at now.
func (t *latencyTracker) slowdown(now time.Duration) float64 {
	if t.slowness == 0 {
		return 1
	}
	if decayTime := now - t.observedAt - observationHold; decayTime > 0 {
		return 1 + (t.slowness-1)*math.Exp(-float64(decayTime)/float64(observationDecay))
	}
	return t.slowness
}

// observeFirstToken records an observed time to the first token and the time
// that was expected without the slowdown.
func (t *latencyTracker) observeFirstToken(now, observed, expected time.Duration) {
	ratio := float64(observed) / float64(max(expected, baseFirstTokenTime))
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness = t.slowdown(now)
	t.observedAt = now
	t.slowness += observationWeight * (ratio - t.slowness)
}

// observeServiceTime records the duration of a plain request.
func (t *latencyTracker) observeServiceTime(d time.Duration) {
	if t.meanServiceTime == 0 {
		t.meanServiceTime = d
		return
	}
	t.meanServiceTime += time.Duration(observationWeight * float64(d-t.meanServiceTime))
}

// serviceTime returns the expected duration of a plain request.
func (t *latencyTracker) serviceTime() time.Duration {
	if t.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return t.meanServiceTime
}
