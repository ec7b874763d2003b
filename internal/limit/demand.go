package limit

import (
	"math"
	"time"
)

// Time constants of the moving averages of demand.
const (
	shortTimeConstant = 2 * time.Second
	longTimeConstant  = 30 * time.Second
	// zoneTimeConstant applies to the demand that instances report to the zone
	// leader.
	zoneTimeConstant = 5 * time.Second
)

// demandAverage holds exponential moving averages of the offered load, in tokens
// per second, with a short and a long time constant.
type demandAverage struct{ shortAvg, longAvg float64 }

func (d *demandAverage) update(tokens int64, span time.Duration) {
	rate := float64(tokens) / span.Seconds()
	d.shortAvg += (rate - d.shortAvg) * (1 - math.Exp(-span.Seconds()/shortTimeConstant.Seconds()))
	d.longAvg += (rate - d.longAvg) * (1 - math.Exp(-span.Seconds()/longTimeConstant.Seconds()))
}

// ratePPM returns the higher average in parts per million of the organisation's
// rate, at most PPM.
func (d *demandAverage) ratePPM(l Limit) int64 {
	if l.Rate <= 0 {
		return 0
	}
	return int64(min(PPM, max(d.shortAvg, d.longAvg)*PPM/float64(l.Rate)))
}
