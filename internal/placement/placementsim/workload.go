// Package placementsim compares placement policies on a fluid model of
// demand: no requests, only shares of accelerator time. It is for measuring
// policies against each other in one run, not for forecasting a site.
package placementsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// Workload is a site and its demand.
type Workload struct {
	Name       string
	Seed       uint64
	Zones      int
	Upstreams  int
	Models     int
	Adapters   int
	UpstreamMB int64 // for models, on each accelerator
	// AdapterSlots is how many adapters each upstream holds.
	AdapterSlots int
	// Load is the mean demand, as a part of all accelerators.
	Load float64
	// LoadsPerSecond and LoadsAtOnce bound the weight store fleet-wide, the
	// first in thousandths.
	LoadsPerSecond int64
	LoadsAtOnce    int64
	Warmup         time.Duration // not measured
	Measured       time.Duration
}

// Lakeshore returns a workload of Lakeshore's size.
func Lakeshore(seed uint64) Workload {
	return Workload{
		Name: "lakeshore", Seed: seed, Zones: 3, Upstreams: 12, Models: 20, Adapters: 75,
		UpstreamMB: 80_000, AdapterSlots: 16, Load: 0.55,
		LoadsPerSecond: 2000, LoadsAtOnce: 8,
		Warmup: 15 * time.Minute, Measured: 2 * time.Hour,
	}
}

// Laufzeit returns a workload of Laufzeit's size.
func Laufzeit(seed uint64) Workload {
	return Workload{
		Name: "laufzeit", Seed: seed, Zones: 4, Upstreams: 9, Models: 17, Adapters: 55,
		UpstreamMB: 80_000, AdapterSlots: 16, Load: 0.55,
		LoadsPerSecond: 1500, LoadsAtOnce: 5,
		Warmup: 15 * time.Minute, Measured: 2 * time.Hour,
	}
}

// swing is how far the demand for a model moves within swingPeriod.
const (
	swing       = 10.0
	swingPeriod = time.Hour
	jumpLength  = 10 * time.Minute
)

// model is one model and the course of its demand.
type model struct {
	name     string
	memoryMB int64
	base     float64       // demand at the low point, in accelerators
	phase    time.Duration // of its swing
	jump     time.Duration // start of a jump without warning
}

// models draws the models of a workload; all policies meet the same ones.
func (w Workload) models() []model {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	models := make([]model, w.Models)
	var sum float64
	for i := range models {
		models[i] = model{
			name:     fmt.Sprintf("model-%02d", i),
			memoryMB: 20_000 + 8_000*rng.Int64N(4),
			base:     0.2 + rng.ExpFloat64(),
			phase:    time.Duration(rng.Int64N(int64(swingPeriod))),
			jump:     w.Warmup + time.Duration(rng.Int64N(int64(w.Measured))),
		}
		sum += models[i].base * meanSwing
	}
	for i := range models {
		models[i].base *= w.Load * float64(w.Upstreams) / sum
	}
	return models
}

// meanSwing is the mean of swing to the power of a sine that runs from 0 to 1.
const meanSwing = 4.02

// demand returns the demand for a model in accelerators: a tenfold swing each
// hour, and once a jump to the top without warning.
func (m model) demand(now time.Duration) float64 {
	if now >= m.jump && now < m.jump+jumpLength {
		return m.base * swing
	}
	turn := 2 * math.Pi * float64(now+m.phase) / float64(swingPeriod)
	return m.base * math.Pow(swing, (1+math.Sin(turn))/2)
}

// Policy is a planner under its name.
type Policy struct {
	Name    string
	Planner placement.Planner
}

// Policies returns the policies to compare, the baselines first.
func Policies() []Policy {
	return []Policy{
		{"static", placement.Static{}},
		{"lru", placement.LRUOnDemand{}},
		{"greedy", placement.Greedy{}},
		{"demand", placement.Demand{Options: placement.DefaultDemandOptions()}},
	}
}
