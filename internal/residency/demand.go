// Package residency decides which models and adapters each engine holds. It is
// pure: one instance at a time, the holder of the lease, feeds it reports and
// demand, carries out its orders and reports their outcomes.
//
// Invariants:
//   - An order is decided on a report, or on the outcome of the order before
//     it, and carries the sequence that it was decided on. An engine accepts
//     one order for each sequence, so an order that arrives late, or one of a
//     former holder, cannot be added to what was decided since.
//   - The last replica of a model is never unloaded for another model's
//     second one.
//   - In each window no more loads from the weight store begin than it allows.
package residency

import (
	"math"
	"time"
)

const (
	// fastWindow follows demand that moves within seconds.
	fastWindow = 1200 * time.Millisecond
	// slowWindow remembers what was asked for lately.
	slowWindow = 15 * time.Second
	// leastRate is the work per second below which demand is not told.
	leastRate = 1.0
)

// ModelKey names a model of a service, or an adapter of one.
type ModelKey struct{ Service, Model, Adapter string }

// Rates are moving averages of the work asked for per second, in prompt
// tokens.
type Rates struct{ Fast, Slow float64 }

// Meter measures the demand that one instance sees. It is not safe for
// concurrent use.
type Meter struct{ rates map[ModelKey]*rate }

type rate struct {
	Rates
	at time.Duration
}

func (r *rate) decay(now time.Duration) {
	dt := (now - r.at).Seconds()
	if dt <= 0 {
		return
	}
	r.at = now
	r.Fast *= math.Exp(-dt / fastWindow.Seconds())
	r.Slow *= math.Exp(-dt / slowWindow.Seconds())
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{rates: map[ModelKey]*rate{}} }

// Count takes in the work of one request.
func (m *Meter) Count(now time.Duration, key ModelKey, work float64) {
	r := m.rates[key]
	if r == nil {
		r = &rate{at: now}
		m.rates[key] = r
	}
	r.decay(now)
	r.Fast += work / fastWindow.Seconds()
	r.Slow += work / slowWindow.Seconds()
}

// Rates returns the demand as of now, and forgets what has faded.
func (m *Meter) Rates(now time.Duration) map[ModelKey]Rates {
	out := make(map[ModelKey]Rates, len(m.rates))
	for key, r := range m.rates {
		r.decay(now)
		if r.Slow < leastRate {
			delete(m.rates, key)
			continue
		}
		out[key] = r.Rates
	}
	return out
}
