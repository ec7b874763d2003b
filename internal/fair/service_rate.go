package fair

import (
	"math"
	"time"
)

// rateWindow is the time constant over which the service rate is averaged.
const rateWindow = 5 * time.Second

// minRetryAfter is the shortest retry-after time.
const minRetryAfter = 100 * time.Millisecond

// serviceRate measures the rate at which a queue is served while requests are
// queued.
type serviceRate struct {
	lastDispatch time.Duration
	backlogged   bool // requests were queued after the last dispatch
	cost         float64
	elapsed      float64 // nanoseconds
}

func (s *serviceRate) observe(now time.Duration, cost float64, backlogged bool) {
	if s.backlogged {
		elapsed := float64(now - s.lastDispatch)
		decay := math.Exp(-elapsed / float64(rateWindow))
		s.cost = s.cost*decay + cost
		s.elapsed = s.elapsed*decay + elapsed
	}
	s.lastDispatch = now
	s.backlogged = backlogged
}

// time returns how long service of the given cost takes, or 0 while the rate is
// unknown.
func (s *serviceRate) time(cost float64) time.Duration {
	if s.cost <= 0 || s.elapsed <= 0 {
		return 0
	}
	return time.Duration(cost * s.elapsed / s.cost)
}

// expectedWait estimates how long a new request of a flow waits. It returns the
// time to serve all requests that its class is queued behind or, with
// TokenCounters, the time to serve the flow's own requests of that class at the
// flow's share of the service, if that is shorter.
func (q *Queue) expectedWait(f *flow, r *Request) time.Duration {
	ahead := q.queuedCost[Live]
	if r.Class == Batch || q.opts.Policy == FirstComeFirstServed {
		ahead += q.queuedCost[Batch]
	}
	if q.opts.Policy != TokenCounters {
		return q.rate.time(ahead)
	}
	ownCost, totalWeight := 0.0, f.weight
	for i := range f.requests[r.Class] {
		ownCost += q.cost(&f.requests[r.Class][i])
	}
	for _, other := range q.flows {
		if other != f && len(other.requests[r.Class]) > 0 {
			totalWeight += other.weight
		}
	}
	return q.rate.time(min(ahead, ownCost*totalWeight/f.weight))
}

// drainTime returns how long it takes to serve all queued requests.
func (q *Queue) drainTime() time.Duration {
	return max(minRetryAfter, q.rate.time(q.queuedCost[Live]+q.queuedCost[Batch]))
}
