package placement

import (
	"math"
	"time"
)

// Time constants of the averages of demand.
const (
	FastWindow = 30 * time.Second
	SlowWindow = 10 * time.Minute
)

// Averages are a fast and a slow exponential average of one model's demand,
// in accelerators.
type Averages struct {
	Fast float64
	Slow float64
	last time.Duration
	seen bool
}

// Add counts the demand since the last call, at the instance's own time.
func (a *Averages) Add(now time.Duration, demand float64) {
	if !a.seen {
		a.Fast, a.Slow, a.last, a.seen = demand, demand, now, true
		return
	}
	passed := now - a.last
	a.last = now
	a.Fast += (demand - a.Fast) * weight(passed, FastWindow)
	a.Slow += (demand - a.Slow) * weight(passed, SlowWindow)
}

func weight(passed, window time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/window.Seconds())
}
