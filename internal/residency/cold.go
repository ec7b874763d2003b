package residency

import "time"

const (
	// coldCallInterval is the least time between two reports or orders to an engine that is
	// cold: these count as requests, and the instances that send callers' requests leave two
	// a second.
	coldCallInterval = 1100 * time.Millisecond
	// longCold is the cold time from which on the models of an engine are loaded elsewhere.
	// A load from the weight store takes some 4 s and displaces another model, so that it
	// pays only if the engine stays cold for longer than that.
	longCold = 10 * time.Second
)

// SetCold sets for how long engines are cold, by engine ID. One that stays cold for long does
// not count as a home of the models that it holds, unless half of its service are such
// engines.
func (p *Planner) SetCold(now time.Duration, left map[string]time.Duration) {
	all, long := map[string]int{}, map[string]int{}
	for id, e := range p.engines {
		e.coldUntil = now + left[id]
		e.longCold = left[id] >= longCold
		all[e.Upstream.Service]++
		if e.longCold {
			long[e.Upstream.Service]++
		}
	}
	for _, e := range p.engines {
		e.longCold = e.longCold && 2*long[e.Upstream.Service] < all[e.Upstream.Service]
	}
}

// mayCall reports whether a cold engine bears another report or order now.
func (e *Engine) mayCall(now time.Duration) bool {
	return now >= e.coldUntil || e.calledAt == 0 || now-e.calledAt >= coldCallInterval
}

// recordCall records that a report or an order is sent.
func (e *Engine) recordCall(now time.Duration) { e.callPending, e.calledAt = true, max(now, 1) }
