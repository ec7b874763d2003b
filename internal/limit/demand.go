package limit

import (
	"math"
	"time"
)

// Time constants of the averages of demand.
const (
	demandFast = 2 * time.Second
	demandSlow = 30 * time.Second
	// demandSteady averages what a zone hears of its instances.
	demandSteady = 5 * time.Second
)

// demand averages offered tokens per second over a short and a long time.
type demand struct{ fast, slow float64 }

func (d *demand) update(tokens int64, span time.Duration) {
	rate := float64(tokens) / span.Seconds()
	d.fast += (rate - d.fast) * (1 - math.Exp(-span.Seconds()/demandFast.Seconds()))
	d.slow += (rate - d.slow) * (1 - math.Exp(-span.Seconds()/demandSlow.Seconds()))
}

// ppm returns the higher average as a part of the organisation's rate.
func (d *demand) ppm(l Limit) int64 {
	if l.Rate <= 0 {
		return 0
	}
	return int64(min(PPM, max(d.fast, d.slow)*PPM/float64(l.Rate)))
}
