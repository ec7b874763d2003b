package placementsim

import (
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// target is a replica that can serve a model.
type target struct {
	zone   int
	up     *upstream
	weight float64 // relative weight in routing
	share  float64 // demand routed to it, in accelerators
}

// serve distributes each model's demand over its replicas and adds up what they
// serve in time. Routing balances load, so that policies differ by placement
// only.
func (s *simulation) serve() {
	targets := make([][]*target, len(s.models))
	for m := range s.models {
		targets[m] = s.targets(m)
	}
	demand := make([]float64, len(s.models))
	for m, model := range s.models {
		demand[m] = model.demand(s.now)
	}
	for range balanceRounds {
		s.balance(targets, demand)
	}
	s.account(targets, demand)
	s.drawArrivals(demand)
}

// drawArrivals draws the zones in which each model was requested in this tick,
// and adds up the demand that one pool would serve.
func (s *simulation) drawArrivals(demand []float64) {
	var sum float64
	for m, d := range demand {
		sum += d
		rate := d / acceleratorSecondsPerRequest / float64(len(s.zones))
		for _, z := range s.zones {
			if s.rng.ExpFloat64() < rate*tick.Seconds() {
				z.lastRequest[m] = s.now
			}
		}
	}
	s.pooledServed += min(sum, targetLoad*float64(s.w.Upstreams))
}

// targets returns the replicas that can serve a model.
func (s *simulation) targets(m int) []*target {
	var targets []*target
	for z, zone := range s.zones {
		for _, up := range zone.upstreams {
			for _, r := range up.replicas {
				if r.model == m && r.state == placement.Ready && !r.draining {
					targets = append(targets, &target{zone: z, up: up, weight: 1})
				}
			}
		}
	}
	return targets
}

// balance sets the shares from the weights, and then divides the weights by the
// resulting load.
func (s *simulation) balance(targets [][]*target, demand []float64) {
	s.eachUpstream(func(_ *zone, up *upstream) { up.load = 0 })
	for m, ts := range targets {
		var sum float64
		for _, t := range ts {
			sum += t.weight
		}
		for _, t := range ts {
			t.share = demand[m] * t.weight / sum
			t.up.load += t.share
		}
	}
	for _, ts := range targets {
		for _, t := range ts {
			t.weight /= max(t.up.load, 0.05)
		}
	}
}

func (s *simulation) eachUpstream(f func(z *zone, up *upstream)) {
	for _, z := range s.zones {
		for _, up := range z.upstreams {
			f(z, up)
		}
	}
}

// account adds up the demand served in time. Above targetLoad an upstream serves
// as much in time as at targetLoad.
func (s *simulation) account(targets [][]*target, demand []float64) {
	for _, z := range s.zones {
		clear(z.demand)
	}
	for m, ts := range targets {
		s.requested[m] += demand[m]
		if len(ts) == 0 {
			s.result.UnreachableSeconds++
		}
		hasReplica := make([]bool, len(s.zones))
		for _, t := range ts {
			hasReplica[t.zone] = true
			s.served[m] += t.share * min(1, targetLoad/max(t.up.load, targetLoad))
			s.zones[t.zone].demand[m] += t.share
		}
		for z, zone := range s.zones {
			if !hasReplica[z] {
				zone.demand[m] = demand[m] / float64(len(s.zones))
			}
		}
		s.result.AdapterLoads += s.adapters.serve(s.now, m, ts)
	}
}
