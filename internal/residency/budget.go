package residency

import (
	"math"
	"time"
)

// loadBudget limits loads from the weight store to the store's rate. A window of
// the same length as the platform's contains no more loads than the rate
// allows. The loads that a former holder of the lease began are counted as half
// of the loads of one window.
type loadBudget struct {
	window    time.Duration
	startedAt []time.Duration
}

func (b *loadBudget) trim(now time.Duration) {
	i := 0
	for i < len(b.startedAt) && now-b.startedAt[i] >= b.window {
		i++
	}
	b.startedAt = b.startedAt[i:]
}

// remaining returns how many loads may begin now, given the weight store's rate
// in loads per second.
func (b *loadBudget) remaining(now time.Duration, loadsPerS float64) int {
	b.trim(now)
	return int(math.Floor(loadsPerS*b.window.Seconds())) + 1 - len(b.startedAt)
}

func (b *loadBudget) record(now time.Duration) { b.startedAt = append(b.startedAt, now) }

// recordN records n loads as begun at now.
func (b *loadBudget) recordN(now time.Duration, n int) {
	for range n {
		b.record(now)
	}
}
