package placement

// minimumWorth outweighs demand, but not a home, in accelerators.
const minimumWorth = 1e3

// part returns this zone's part of n replicas that zones divide evenly. What
// remains goes to the first by rendezvous hashing, so the parts of zones that
// see the same zones add up to n.
func (p *plan) part(model string, n int, zones []string) int {
	if len(zones) == 0 {
		return n
	}
	part := n / len(zones)
	if p.rankAmong(model, zones) < n%len(zones) {
		part++
	}
	return part
}

// homesWanted returns how many zones shall be homes of a model.
func (p *plan) homesWanted(m int) int {
	model := p.in.Models[m]
	wanted := max(p.opt.HomesWanted, model.MinReplicas)
	if model.MaxReplicas > 0 {
		wanted = min(wanted, model.MaxReplicas)
	}
	return wanted
}

// least returns how many replicas this zone owes a model's minimum: one while
// too few other zones are homes, and its part of a minimum of more replicas
// than there are zones.
func (p *plan) least(m int) int {
	model := p.in.Models[m]
	if model.MinReplicas > len(p.in.Zones) {
		return max(1, p.part(model.Name, model.MinReplicas, p.in.Zones))
	}
	if model.Elsewhere < max(model.MinReplicas, 1) {
		return 1
	}
	return 0
}

// full says whether one replica more here might exceed a model's maximum. The
// zones' parts of it rest on the document alone, so no view of who is alive
// lets them add up to more. A model without a home is loaded all the same: a
// zone without a part may stand in for one, and counts for as long.
func (p *plan) full(m int) bool {
	model := p.in.Models[m]
	if model.MaxReplicas == 0 || p.held[m] == 0 && model.Elsewhere == 0 {
		return false
	}
	return p.held[m] >= p.most(m) || p.held[m]+model.Elsewhere >= model.MaxReplicas
}

// most returns this zone's part of a model's maximum.
func (p *plan) most(m int) int {
	zones := p.in.AllZones
	if len(zones) == 0 {
		zones = p.in.Zones
	}
	return p.part(p.in.Models[m].Name, p.in.Models[m].MaxReplicas, zones)
}

// dropExcess starts the removal of replicas above a model's maximum: after the
// document lowered it, or once the home returns for which this zone stood in.
func (p *plan) dropExcess() {
	for m, model := range p.in.Models {
		if model.MaxReplicas == 0 {
			continue
		}
		standsIn := len(p.where[m]) == 1 && 1+model.Elsewhere <= model.MaxReplicas
		for excess := len(p.where[m]) - p.most(m); !standsIn && excess > 0 && p.rooms > 0; excess-- {
			id, ok := p.leastLoss(m)
			if !ok {
				break
			}
			p.rooms--
			p.remove(need{model: m, reason: "above max_replicas"}, id)
		}
	}
}

// leastLoss returns the removable replica of a model on the upstream of most
// load, which it relieves.
func (p *plan) leastLoss(m int) (replicaID, bool) {
	best, found := replicaID{}, false
	if p.removal(m) == removalForbidden {
		return best, false
	}
	for u, up := range p.in.Upstreams {
		for i, r := range up.Replicas {
			id := replicaID{u, i}
			if r.Model != m || !up.Live || r.State != Ready || r.Draining || p.victims[id] {
				continue
			}
			if !found || p.load[u] > p.load[best.upstream] {
				best, found = id, true
			}
		}
	}
	return best, found
}

// keepMinimum loads the replicas that this zone owes models' minimums. The
// first one waits for the zone's turn, as other zones may come before it.
func (p *plan) keepMinimum() {
	short := p.byNeed(func(m int) (float64, bool) {
		model := p.in.Models[m]
		if model.MinReplicas <= 1 || p.waiting[m] || len(p.where[m]) >= p.least(m) {
			return 0, false
		}
		return p.demand(m), len(p.where[m]) > 0 || model.Designated || model.Since >= p.turn(m)
	})
	for _, m := range short {
		for range p.least(m) - len(p.where[m]) {
			if p.spent() || !p.place(need{model: m, evict: true, worth: minimumWorth, reason: "min_replicas"}) {
				break
			}
		}
	}
}
