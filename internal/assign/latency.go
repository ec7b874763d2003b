package assign

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
)

const (
	// observationWeight is the weight of one observation in the moving averages.
	observationWeight = 0.15
	// baseFirstTokenTime is the time to the first token without any backlog.
	baseFirstTokenTime = 15 * time.Millisecond
	// defaultServiceTime is the assumed duration of a plain request before the
	// first observation. It is short so that a new upstream gets requests.
	defaultServiceTime = 10 * time.Millisecond
)

// latencyTracker detects upstreams that are slower than others. It compares the
// observed time to the first token with the time that the backlog accounts for, as the
// instances together have observed it.
type latencyTracker struct {
	series *upstreamstats.Series // slowness of an engine, or mean time of plain requests in ms
}

// slowdown returns the factor by which estimates for the upstream are multiplied. It
// approaches 1 as the upstream gets no requests while others of its service do, so that one
// that was slow is tried again.
func (t *latencyTracker) slowdown() float64 { return t.series.Factor() }

// serviceTime returns the expected duration of a plain request.
func (t *latencyTracker) serviceTime() time.Duration {
	mean, weight := t.series.Value()
	if weight == 0 {
		return defaultServiceTime
	}
	return time.Duration(mean * float64(time.Millisecond))
}

// observeFirstToken records an observed time to the first token and the time
// that was expected without the slowdown.
func (s *Scheduler) observeFirstToken(now, observed, expected time.Duration, u *upstream) {
	if s.opts.OwnEstimates {
		return
	}
	s.stats.Observe(now, u.latency.series, float64(observed)/float64(max(expected, baseFirstTokenTime)))
}
