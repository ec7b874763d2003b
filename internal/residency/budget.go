package residency

import (
	"math"
	"time"
)

// budget holds loads from the weight store to its rate. A window of the same
// length as the platform's holds no more loads than the rate gives; what a
// former holder began is counted as if it had used half of it.
type budget struct {
	window time.Duration
	begun  []time.Duration
}

func (b *budget) trim(now time.Duration) {
	i := 0
	for i < len(b.begun) && now-b.begun[i] >= b.window {
		i++
	}
	b.begun = b.begun[i:]
}

// left returns how many loads may begin now.
func (b *budget) left(now time.Duration, perS float64) int {
	b.trim(now)
	return int(math.Floor(perS*b.window.Seconds())) + 1 - len(b.begun)
}

func (b *budget) begin(now time.Duration) { b.begun = append(b.begun, now) }

// assume counts n loads as begun at now.
func (b *budget) assume(now time.Duration, n int) {
	for range n {
		b.begin(now)
	}
}
