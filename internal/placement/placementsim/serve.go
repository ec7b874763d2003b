package placementsim

import (
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// target is a replica that may serve a model.
type target struct {
	zone   int
	up     *upstream
	weight float64
	share  float64
}

// serve spreads each model's demand over its replicas and counts what they
// serve in time. Routing balances load, so that policies differ by placement.
func (s *site) serve() {
	targets := make([][]*target, len(s.models))
	for m := range s.models {
		targets[m] = s.targets(m)
	}
	demand := make([]float64, len(s.models))
	for m, model := range s.models {
		demand[m] = model.demand(s.now)
	}
	for range balanceSteps {
		s.balance(targets, demand)
	}
	s.account(targets, demand)
	s.arrivals(demand)
}

// arrivals draws in which zones a model was asked for this second.
func (s *site) arrivals(demand []float64) {
	var sum float64
	for m, d := range demand {
		sum += d
		rate := d / requestCost / float64(len(s.zones))
		for _, z := range s.zones {
			if s.rng.ExpFloat64() < rate*tick.Seconds() {
				z.lastAsked[m] = s.now
			}
		}
	}
	s.pooled += min(sum, busy*float64(s.w.Upstreams))
}

func (s *site) targets(m int) []*target {
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

// balance sets shares by weights, and weights by the load that follows.
func (s *site) balance(targets [][]*target, demand []float64) {
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

func (s *site) eachUpstream(f func(z *zone, up *upstream)) {
	for _, z := range s.zones {
		for _, up := range z.upstreams {
			f(z, up)
		}
	}
}

// account counts the part of demand served in time. Beyond the busy point an
// upstream still serves as much as it did there.
func (s *site) account(targets [][]*target, demand []float64) {
	for _, z := range s.zones {
		clear(z.demand)
	}
	for m, ts := range targets {
		s.asked[m] += demand[m]
		if len(ts) == 0 {
			s.result.UnreachableSeconds++
		}
		here := make([]bool, len(s.zones))
		for _, t := range ts {
			here[t.zone] = true
			s.served[m] += t.share * min(1, busy/max(t.up.load, busy))
			s.zones[t.zone].demand[m] += t.share
		}
		for z, zone := range s.zones {
			if !here[z] {
				zone.demand[m] = demand[m] / float64(len(s.zones))
			}
		}
		s.result.AdapterLoads += s.adapters.serve(s.now, m, ts)
	}
}
