package placement

import (
	"math"
	"slices"
)

// moveCost is added to the cost of every eviction, in accelerators, so that a
// plan does not exchange replicas of equal value.
const moveCost = 0.005

// removal is the first step that unloading a replica requires.
type removal int

const (
	removalForbidden  removal = iota
	removalRemoveHome         // the zone first removes itself from the record of home zones
	removalDrain
)

// removal returns how a replica of a model may be removed. The last ready
// replica in this zone is removed only if this zone is not a home zone and
// another zone is, so the only home zone that is known never unloads the model.
func (p *plan) removal(m int) removal {
	model := p.in.Models[m]
	switch {
	case p.opt.IgnoreHomes, p.readyCount[m] > 1:
		return removalDrain
	case model.HomesElsewhere == 0:
		return removalForbidden
	case model.IsHome:
		return removalRemoveHome
	}
	return removalDrain
}

// placementRequest asks for one more replica of a model in this zone.
type placementRequest struct {
	model         int
	evict         bool    // replicas may be evicted to free memory
	ignoreMinStay bool    // also evict replicas younger than MinStay
	value         float64 // value of a replica not loaded for demand, in accelerators
	minGain       float64 // minimum gain, in accelerators
	reason        string
}

// anyGain is a minGain that every upstream meets, for requests that evict
// nothing.
var anyGain = math.Inf(-1)

// candidate is an upstream that could hold the requested replica.
type candidate struct {
	upstream int
	gain     float64
	victims  []int // indices of replicas to remove
}

// place adds one replica of a model, or starts the evictions that free memory
// for it. It reports whether an upstream was found.
func (p *plan) place(req placementRequest) bool {
	if p.atMaximum(req.model) {
		return false
	}
	best := candidate{upstream: -1, gain: math.Inf(-1)}
	var scratch []int
	for u, up := range p.in.Upstreams {
		if !up.Live || slices.ContainsFunc(up.Replicas, func(r Replica) bool { return r.Model == req.model }) ||
			slices.Contains(p.upstreamsOf[req.model], u) {
			continue
		}
		c, ok := p.evaluate(req, u, scratch[:0])
		scratch = c.victims
		if ok && c.gain > best.gain {
			best = c
			best.victims = slices.Clone(c.victims)
		}
	}
	if best.upstream < 0 || best.gain < req.minGain {
		return false
	}
	p.commit(req, best)
	return true
}

// evaluate returns an upstream as a candidate with its victims and gain, and
// whether enough memory can be freed there. The gain is the demand that the
// replica takes over from overloaded upstreams or newly serves, less the cost
// of its victims.
func (p *plan) evaluate(req placementRequest, u int, victims []int) (candidate, bool) {
	size := p.in.Models[req.model].MemoryMB
	c := candidate{upstream: u, victims: victims}
	headroom := p.opt.TargetLoad - p.load[u]
	var victimCost float64
	for missingMB := size - p.availableMB[u]; missingMB > 0; {
		i := p.cheapestVictim(req, u, c.victims)
		if i < 0 {
			return c, false
		}
		m := p.in.Upstreams[u].Replicas[i].Model
		c.victims = append(c.victims, i)
		missingMB -= p.in.Models[m].MemoryMB
		victimCost += p.cost(m, u)
		headroom += p.demandPerReplica(m)
	}
	share := p.demand(req.model) / float64(len(p.upstreamsOf[req.model])+1)
	newlyServed := min(p.unservedDemand(req.model), share, headroom)
	c.gain = max(req.value, newlyServed) + headroom*tieBreakWeight - victimCost
	return c, true
}

// tieBreakWeight scales the headroom of an upstream in the gain, so that the
// less loaded of two otherwise equal upstreams is chosen.
const tieBreakWeight = 1e-6

// cheapestVictim returns the index of the replica on an upstream whose removal
// has the lowest cost per MB, or -1 if no replica may be removed. It skips the
// replicas already chosen.
func (p *plan) cheapestVictim(req placementRequest, u int, chosen []int) int {
	best, lowest := -1, math.Inf(1)
	if !req.evict || p.evictionBudget <= 0 {
		return best
	}
	for i, r := range p.in.Upstreams[u].Replicas {
		if r.State != Ready || r.Draining || p.victims[replicaID{u, i}] || slices.Contains(chosen, i) {
			continue
		}
		if r.Age < p.opt.MinStay && !req.ignoreMinStay {
			continue
		}
		if p.removal(r.Model) == removalForbidden {
			continue
		}
		if cost := p.costPerMB(r.Model, u); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// cost returns the cost of removing a replica, in accelerators: the demand that
// goes unserved, moveCost, StandbyValue if fewer home zones than wanted would
// remain, and minReplicaValue if the model is at its minimum. With EvictIdle it
// is only a sort key that decreases with the model's idle time.
func (p *plan) cost(m, u int) float64 {
	if p.opt.EvictIdle {
		return 1 / (1 + p.in.Models[m].Idle.Seconds())
	}
	cost := p.lostDemand(m, u) + moveCost
	if p.readyCount[m] <= 1 && p.in.Models[m].HomesElsewhere < p.homesWanted(m) {
		cost += p.opt.StandbyValue
	}
	if p.readyCount[m] <= p.minReplicas(m) {
		cost += minReplicaValue
	}
	return cost
}

// costPerMB returns the removal cost of a replica per MB of its memory, the key
// by which victims are chosen.
func (p *plan) costPerMB(m, u int) float64 {
	return p.cost(m, u) / float64(max(p.in.Models[m].MemoryMB, 1))
}

// budgetExhausted reports whether this round can start neither loads nor
// evictions.
func (p *plan) budgetExhausted() bool { return p.loadBudget <= 0 && p.evictionBudget <= 0 }

// commit starts a placement: the load itself if there is memory and budget,
// otherwise the removals that free memory for a later round. In both cases the
// memory is reserved against further placements of this round.
func (p *plan) commit(req placementRequest, c candidate) {
	size := p.in.Models[req.model].MemoryMB
	for _, i := range c.victims {
		p.remove(req, replicaID{c.upstream, i})
	}
	if len(c.victims) > 0 {
		p.evictionBudget--
	}
	p.availableMB[c.upstream] -= size
	if p.freeMB[c.upstream] < size || p.loadBudget <= 0 {
		p.awaitingMemory[req.model] = true
		return
	}
	p.loadBudget--
	p.replicaCount[req.model]++
	p.freeMB[c.upstream] -= size
	p.addLoad(req.model, -1)
	p.upstreamsOf[req.model] = append(p.upstreamsOf[req.model], c.upstream)
	p.addLoad(req.model, 1)
	p.addMove(Load, req.model, c.upstream, req.reason)
}

// remove starts the removal of one replica.
func (p *plan) remove(req placementRequest, id replicaID) {
	m := p.in.Upstreams[id.upstream].Replicas[id.index].Model
	if p.removal(m) == removalRemoveHome {
		p.addMove(RemoveHome, m, -1, req.reason)
	} else {
		p.addMove(Drain, m, id.upstream, req.reason)
	}
	p.victims[id] = true
	p.readyCount[m]--
	p.addLoad(m, -1)
	p.upstreamsOf[m] = slices.DeleteFunc(p.upstreamsOf[m], func(u int) bool { return u == id.upstream })
	p.addLoad(m, 1)
	p.availableMB[id.upstream] += p.in.Models[m].MemoryMB
}
