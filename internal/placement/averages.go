package placement

import (
	"math"
	"time"
)

// Time constants of the exponential averages of demand.
const (
	FastWindow = 30 * time.Second
	SlowWindow = 10 * time.Minute
)

// Averages holds a fast and a slow exponential moving average of one model's
// demand, in accelerators.
type Averages struct {
	Fast        float64
	Slow        float64
	lastTime    time.Duration
	initialised bool
}

// Update updates the averages with the demand since the previous call, in
// accelerators. The time now is on the instance's own clock.
func (a *Averages) Update(now time.Duration, demand float64) {
	if !a.initialised {
		a.Fast, a.Slow, a.lastTime, a.initialised = demand, demand, now, true
		return
	}
	elapsed := now - a.lastTime
	a.lastTime = now
	a.Fast += (demand - a.Fast) * sampleWeight(elapsed, FastWindow)
	a.Slow += (demand - a.Slow) * sampleWeight(elapsed, SlowWindow)
}

// sampleWeight returns the weight of a new sample after the elapsed time.
func sampleWeight(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}
