package limit

import (
	"math"
	"time"
)

// Time constants of the averages of demand.
const (
	shortTimeConstant = 2 * time.Second
	longTimeConstant  = 30 * time.Second
	// demandSteady averages what a zone hears of its instances.
	zoneTimeConstant = 5 * time.Second
)

// demand averages offered tokens per second over a short and a long time.
type demandAverage struct{ shortAvg, longAvg float64 }

func (d *demandAverage) update(tokens int64, span time.Duration) {
	rate := float64(tokens) / span.Seconds()
	d.shortAvg += (rate - d.shortAvg) * (1 - math.Exp(-span.Seconds()/shortTimeConstant.Seconds()))
	d.longAvg += (rate - d.longAvg) * (1 - math.Exp(-span.Seconds()/longTimeConstant.Seconds()))
}

// ppm returns the higher average as a part of the organisation's rate.
func (d *demandAverage) ratePPM(l Limit) int64 {
	if l.Rate <= 0 {
		return 0
	}
	return int64(min(PPM, max(d.shortAvg, d.longAvg)*PPM/float64(l.Rate)))
}
