// Package residency decides which models and adapters each engine holds. It
// performs no I/O: one instance at a time, the holder of the placement lease,
// passes in the engines' reports and the demand, sends the orders that a Planner
// returns and passes back their outcomes. A Meter measures demand, and a Table
// is an instance's copy of what the engines hold.
//
// Invariants:
//   - An order is based on a report, or on the outcome of the order before it,
//     and carries the sequence number that it is based on. An engine accepts
//     one order for each sequence number, so an order that arrives late, or one
//     of a former holder, cannot take effect in addition to later decisions.
//   - The last replica of a model is never unloaded to load a second replica
//     of another model while the engines have room for all models.
//   - In each window no more loads from the weight store begin than the store
//     allows.
package residency

import (
	"math"
	"time"
)

const (
	// fastTimeConstant is the time constant of the moving average that follows
	// demand that shifts within seconds.
	fastTimeConstant = 1200 * time.Millisecond
	// slowTimeConstant is the time constant of the moving average that shows
	// which models were requested lately.
	slowTimeConstant = 15 * time.Second
	// minRate is the work per second, in prompt tokens, below which demand is
	// not reported.
	minRate = 1.0
)

// ModelKey identifies a model of a service, or an adapter of a model.
type ModelKey struct{ Service, Model, Adapter string }

// Rates are exponential moving averages of the requested work per second, in
// prompt tokens.
type Rates struct{ Fast, Slow float64 }

// Meter measures the demand that one instance receives. It is not safe for
// concurrent use.
type Meter struct{ rates map[ModelKey]*decayingRates }

type decayingRates struct {
	Rates
	updatedAt time.Duration
}

func (r *decayingRates) decay(now time.Duration) {
	dt := (now - r.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	r.updatedAt = now
	r.Fast *= math.Exp(-dt / fastTimeConstant.Seconds())
	r.Slow *= math.Exp(-dt / slowTimeConstant.Seconds())
}

// NewMeter returns a meter without any demand.
func NewMeter() *Meter { return &Meter{rates: map[ModelKey]*decayingRates{}} }

// Count adds the work of one request, in prompt tokens.
func (m *Meter) Count(now time.Duration, key ModelKey, work float64) {
	r := m.rates[key]
	if r == nil {
		r = &decayingRates{updatedAt: now}
		m.rates[key] = r
	}
	r.decay(now)
	r.Fast += work / fastTimeConstant.Seconds()
	r.Slow += work / slowTimeConstant.Seconds()
}

// Rates returns the demand as of now and drops the keys whose Slow rate has
// decayed below minRate.
func (m *Meter) Rates(now time.Duration) map[ModelKey]Rates {
	out := make(map[ModelKey]Rates, len(m.rates))
	for key, r := range m.rates {
		r.decay(now)
		if r.Slow < minRate {
			delete(m.rates, key)
			continue
		}
		out[key] = r.Rates
	}
	return out
}
