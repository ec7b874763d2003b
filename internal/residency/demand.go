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
)

// ModelKey names a model of a service.
type ModelKey struct{ Service, Model string }

// rate is a pair of moving averages of work per second.
type rate struct {
	fast, slow float64
	at         time.Duration
	seen       bool // asked for at least once
}

func (r *rate) decay(now time.Duration) {
	dt := (now - r.at).Seconds()
	if dt <= 0 {
		return
	}
	r.at = now
	r.fast *= math.Exp(-dt / fastWindow.Seconds())
	r.slow *= math.Exp(-dt / slowWindow.Seconds())
}

func (r *rate) add(work float64) {
	r.fast += work / fastWindow.Seconds()
	r.slow += work / slowWindow.Seconds()
	r.seen = true
}

// Demand measures the work asked for per model and adapter over all instances.
type Demand struct {
	models   map[ModelKey]*rate
	adapters map[adapterKey]*rate
	counted  map[source]float64
}

type adapterKey struct {
	ModelKey
	adapter string
}

// source is one counter of one incarnation of an instance.
type source struct {
	instance, incarnation string
	key                   adapterKey
}

// NewDemand returns a measure without any demand.
func NewDemand() *Demand {
	return &Demand{models: map[ModelKey]*rate{}, adapters: map[adapterKey]*rate{}, counted: map[source]float64{}}
}

// Count takes in an instance's counter of work for a model, or one of its
// adapters, since it started. What it counted before it was first heard of is
// left out if baseline is set.
func (d *Demand) Count(now time.Duration, instance, incarnation string, key ModelKey, adapter string, total float64, baseline bool) {
	src := source{instance, incarnation, adapterKey{key, adapter}}
	last, known := d.counted[src]
	d.counted[src] = max(total, last)
	if !known && baseline {
		return
	}
	if work := total - last; work > 0 {
		d.add(now, key, adapter, work)
	}
}

func (d *Demand) add(now time.Duration, key ModelKey, adapter string, work float64) {
	m := d.models[key]
	if m == nil {
		m = &rate{at: now}
		d.models[key] = m
	}
	m.decay(now)
	m.add(work)
	if adapter == "" {
		return
	}
	a := d.adapters[adapterKey{key, adapter}]
	if a == nil {
		a = &rate{at: now}
		d.adapters[adapterKey{key, adapter}] = a
	}
	a.decay(now)
	a.add(work)
}

// Forget drops the counters of an incarnation that is gone.
func (d *Demand) Forget(instance, incarnation string) {
	for src := range d.counted {
		if src.instance == instance && src.incarnation == incarnation {
			delete(d.counted, src)
		}
	}
}

// Fast returns the recent work per second for a model.
func (d *Demand) Fast(now time.Duration, key ModelKey) float64 {
	m := d.models[key]
	if m == nil {
		return 0
	}
	m.decay(now)
	return m.fast
}

// Slow returns the work per second for a model over a longer time.
func (d *Demand) Slow(now time.Duration, key ModelKey) float64 {
	m := d.models[key]
	if m == nil {
		return 0
	}
	m.decay(now)
	return m.slow
}

// Seen reports whether the model was ever asked for.
func (d *Demand) Seen(key ModelKey) bool { return d.models[key] != nil }

func (d *Demand) adapterRate(now time.Duration, key ModelKey, adapter string) float64 {
	a := d.adapters[adapterKey{key, adapter}]
	if a == nil {
		return 0
	}
	a.decay(now)
	return a.slow
}
