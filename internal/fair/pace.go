package fair

import (
	"math"
	"time"
)

// paceWindow is the time over which the pace is averaged.
const paceWindow = 5 * time.Second

// minRetry is the shortest Retry-After.
const minRetry = 100 * time.Millisecond

// pace measures how fast a queue is served while requests wait.
type pace struct {
	last    time.Duration
	busy    bool // requests waited after the last dispatch
	cost    float64
	elapsed float64 // nanoseconds
}

func (p *pace) served(now time.Duration, cost float64, waiting bool) {
	if p.busy {
		dt := float64(now - p.last)
		keep := math.Exp(-dt / float64(paceWindow))
		p.cost = p.cost*keep + cost
		p.elapsed = p.elapsed*keep + dt
	}
	p.last = now
	p.busy = waiting
}

// time is how long an amount of service takes; 0 while the pace is unknown.
func (p *pace) time(cost float64) time.Duration {
	if p.cost <= 0 || p.elapsed <= 0 {
		return 0
	}
	return time.Duration(cost * p.elapsed / p.cost)
}

// wait is about how long a new request of a flow waits: for all that is queued
// ahead of its class, or for the flow's own part at its share of the service,
// whichever is less.
func (q *Queue) wait(f *flow, r *Request) time.Duration {
	all := q.queued[Live]
	if r.Class == Batch || q.opts.Policy == FirstComeFirstServed {
		all += q.queued[Batch]
	}
	if q.opts.Policy != TokenCounters {
		return q.pace.time(all)
	}
	own, weights := 0.0, f.weight
	for i := range f.waiting[r.Class] {
		own += q.cost(&f.waiting[r.Class][i])
	}
	for _, other := range q.flows {
		if other != f && len(other.waiting[r.Class]) > 0 {
			weights += other.weight
		}
	}
	return q.pace.time(min(all, own*weights/f.weight))
}

// drainTime is how long it takes to serve all that waits.
func (q *Queue) drainTime() time.Duration {
	return max(minRetry, q.pace.time(q.queued[Live]+q.queued[Batch]))
}
