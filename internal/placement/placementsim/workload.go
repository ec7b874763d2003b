// Package placementsim compares placement policies in a simulation with a fluid
// model of demand: it has no individual requests, only shares of accelerator
// time. Its input is a Workload, its output one Result per policy. Results
// compare policies within one run; they do not forecast a real site.
package placementsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// Workload describes a site and its demand.
type Workload struct {
	Name       string
	Seed       uint64
	Zones      int
	Upstreams  int
	Models     int
	Adapters   int
	UpstreamMB int64 // memory for models on each accelerator
	// AdapterSlots is the number of adapters that each upstream can hold.
	AdapterSlots int
	// Load is the mean demand, as a fraction of all accelerators.
	Load float64
	// LoadsPerSecondMilli, in thousandths of a load per second, and
	// ConcurrentLoads are the fleet-wide limits of loads from the weight store.
	LoadsPerSecondMilli int64
	ConcurrentLoads     int64
	Warmup              time.Duration // simulated first, not measured
	Measured            time.Duration // simulated and measured after Warmup
}

// Lakeshore returns a workload of the size of the Lakeshore site.
func Lakeshore(seed uint64) Workload {
	return Workload{
		Name: "lakeshore", Seed: seed, Zones: 3, Upstreams: 12, Models: 20, Adapters: 75,
		UpstreamMB: 80_000, AdapterSlots: 16, Load: 0.55,
		LoadsPerSecondMilli: 2000, ConcurrentLoads: 8,
		Warmup: 15 * time.Minute, Measured: 2 * time.Hour,
	}
}

// Laufzeit returns a workload of the size of the Laufzeit site.
func Laufzeit(seed uint64) Workload {
	return Workload{
		Name: "laufzeit", Seed: seed, Zones: 4, Upstreams: 9, Models: 17, Adapters: 55,
		UpstreamMB: 80_000, AdapterSlots: 16, Load: 0.55,
		LoadsPerSecondMilli: 1500, ConcurrentLoads: 5,
		Warmup: 15 * time.Minute, Measured: 2 * time.Hour,
	}
}

// The demand for a model varies between its minimum and peakFactor times that
// within demandPeriod. A surge without warning lasts surgeDuration.
const (
	peakFactor    = 10.0
	demandPeriod  = time.Hour
	surgeDuration = 10 * time.Minute
)

// model is one model and its demand over time.
type model struct {
	name       string
	memoryMB   int64
	minDemand  float64       // minimum demand, in accelerators
	phase      time.Duration // phase of its periodic demand
	surgeStart time.Duration // start of its surge
}

// models draws the models of a workload; they are the same for all policies.
func (w Workload) models() []model {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	models := make([]model, w.Models)
	var sum float64
	for i := range models {
		models[i] = model{
			name:       fmt.Sprintf("model-%02d", i),
			memoryMB:   20_000 + 8_000*rng.Int64N(4),
			minDemand:  0.2 + rng.ExpFloat64(),
			phase:      time.Duration(rng.Int64N(int64(demandPeriod))),
			surgeStart: w.Warmup + time.Duration(rng.Int64N(int64(w.Measured))),
		}
		sum += models[i].minDemand * meanFactor
	}
	for i := range models {
		models[i].minDemand *= w.Load * float64(w.Upstreams) / sum
	}
	return models
}

// meanFactor is the mean of peakFactor to the power of a sine scaled to the
// range 0 to 1.
const meanFactor = 4.02

// demand returns the demand for a model, in accelerators: it varies tenfold
// within each hour, and once surges to its peak without warning.
func (m model) demand(now time.Duration) float64 {
	if now >= m.surgeStart && now < m.surgeStart+surgeDuration {
		return m.minDemand * peakFactor
	}
	angle := 2 * math.Pi * float64(now+m.phase) / float64(demandPeriod)
	return m.minDemand * math.Pow(peakFactor, (1+math.Sin(angle))/2)
}

// Policy is a planner and its name.
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
