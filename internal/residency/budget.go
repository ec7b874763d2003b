package residency

import (
	"math"
	"slices"
	"time"
)

// loadBudget limits loads from the weight store to the store's rate: a window of the
// platform's length contains no more loads than the rate allows, also across a change
// of the lease holder. Of the loads that a former holder began within the window, those
// that still run are counted when the engines' first reports show them. The others
// began in the part of the window that is longer ago than the time of a load. Each
// holder begins at most half of a window's loads in a time as long as that part, so
// half are counted as begun.
type loadBudget struct {
	window    time.Duration
	paced     time.Duration   // the part of the window that is longer than a load
	startedAt []time.Duration // of all loads that count
	ownAt     []time.Duration // of those that this holder ordered
	unread    int             // engines whose first report may show another load
}

// newLoadBudget returns the budget of a holder that takes over now. loadTime is the
// shortest time of a load from the store.
func newLoadBudget(now, window, loadTime time.Duration, loadsPerS float64) *loadBudget {
	b := &loadBudget{window: window, paced: max(window-loadTime, 0)}
	for range b.allowed(loadsPerS) / 2 {
		b.record(now - loadTime)
	}
	return b
}

// allowed returns how many loads a window may contain.
func (b *loadBudget) allowed(loadsPerS float64) int {
	return int(math.Floor(loadsPerS*b.window.Seconds())) + 1
}

// remaining returns how many loads may begin now, given the weight store's rate in
// loads per second.
func (b *loadBudget) remaining(now time.Duration, loadsPerS float64) int {
	b.startedAt = slices.DeleteFunc(b.startedAt, func(at time.Duration) bool { return now-at >= b.window })
	b.ownAt = slices.DeleteFunc(b.ownAt, func(at time.Duration) bool { return now-at >= b.paced })
	allowed := b.allowed(loadsPerS)
	return min(allowed-len(b.startedAt), max(allowed/2, 1)-len(b.ownAt)) - b.unread
}

// record counts a load that began, perhaps under a former holder.
func (b *loadBudget) record(at time.Duration) { b.startedAt = append(b.startedAt, at) }

// recordOwn counts a load that this holder orders.
func (b *loadBudget) recordOwn(at time.Duration) {
	b.record(at)
	b.ownAt = append(b.ownAt, at)
}
