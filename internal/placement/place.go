package placement

import (
	"math"
	"slices"
)

// moveCost keeps a plan from trading replicas of equal worth.
const moveCost = 0.005

// removal is what it takes to unload one replica.
type removal int

const (
	removalForbidden removal = iota
	removalRetire            // the zone leaves the record of homes first
	removalDrain
)

// removal says what it takes to unload a replica of a model. The last ready
// replica here goes only if this zone is no home and another zone is one, so
// the only home that a zone knows of is never unloaded.
func (p *plan) removal(m int) removal {
	model := p.in.Models[m]
	switch {
	case p.opt.IgnoreHomes, p.ready[m] > 1:
		return removalDrain
	case model.Elsewhere == 0:
		return removalForbidden
	case model.Designated:
		return removalRetire
	}
	return removalDrain
}

// need is a model that shall get one more replica here.
type need struct {
	model     int
	evict     bool
	force     bool    // also displace replicas younger than MinStay
	worth     float64 // of a replica that is not for demand, in accelerators
	threshold float64 // the least gain, in accelerators
	reason    string
}

// anyGain is the threshold of needs that displace nothing.
var anyGain = math.Inf(-1)

// candidate is an upstream that could take a model.
type candidate struct {
	upstream int
	gain     float64
	victims  []int // indices of replicas to remove
}

// place gives a model one more replica, or starts to make room for it. It
// says whether it found a way.
func (p *plan) place(n need) bool {
	if p.full(n.model) {
		return false
	}
	best := candidate{upstream: -1, gain: math.Inf(-1)}
	var scratch []int
	for u, up := range p.in.Upstreams {
		if !up.Live || slices.ContainsFunc(up.Replicas, func(r Replica) bool { return r.Model == n.model }) ||
			slices.Contains(p.where[n.model], u) {
			continue
		}
		c, ok := p.evaluate(n, u, scratch[:0])
		scratch = c.victims
		if ok && c.gain > best.gain {
			best = c
			best.victims = slices.Clone(c.victims)
		}
	}
	if best.upstream < 0 || best.gain < n.threshold {
		return false
	}
	p.take(n, best)
	return true
}

// evaluate returns the gain of a replica on an upstream: the demand that it
// takes off others or serves for the first time, less what its victims lose.
func (p *plan) evaluate(n need, u int, victims []int) (candidate, bool) {
	size := p.in.Models[n.model].MemoryMB
	c := candidate{upstream: u, victims: victims}
	spare := p.opt.Target - p.load[u]
	var lost float64
	for short := size - p.slot[u]; short > 0; {
		i := p.cheapest(n, u, c.victims)
		if i < 0 {
			return c, false
		}
		m := p.in.Upstreams[u].Replicas[i].Model
		c.victims = append(c.victims, i)
		short -= p.in.Models[m].MemoryMB
		lost += p.cost(m, u)
		spare += p.share(m)
	}
	share := p.demand(n.model) / float64(len(p.where[n.model])+1)
	relief := min(p.excess(n.model), share, spare)
	c.gain = max(n.worth, relief) + spare*tieWeight - lost
	return c, true
}

// tieWeight makes the less loaded of two equal upstreams win.
const tieWeight = 1e-6

// cheapest returns the replica on an upstream whose removal loses the least
// demand for its size, or -1.
func (p *plan) cheapest(n need, u int, chosen []int) int {
	best, least := -1, math.Inf(1)
	if !n.evict || p.rooms <= 0 {
		return best
	}
	for i, r := range p.in.Upstreams[u].Replicas {
		if r.State != Ready || r.Draining || p.victims[replicaID{u, i}] || slices.Contains(chosen, i) {
			continue
		}
		if r.Age < p.opt.MinStay && !n.force {
			continue
		}
		if p.removal(r.Model) == removalForbidden {
			continue
		}
		if w := p.worth(r.Model, u); w < least {
			best, least = i, w
		}
	}
	return best
}

// cost returns what the removal of a replica loses: demand served, and the
// spare if only one other home would remain.
func (p *plan) cost(m, u int) float64 {
	if p.opt.EvictIdle {
		return 1 / (1 + p.in.Models[m].Idle.Seconds())
	}
	cost := p.loss(m, u) + moveCost
	if p.ready[m] <= 1 && p.in.Models[m].Elsewhere < p.homesWanted(m) {
		cost += p.opt.SpareWorth
	}
	if p.ready[m] <= p.least(m) {
		cost += minimumWorth
	}
	return cost
}

// worth orders victims by what their memory loses.
func (p *plan) worth(m, u int) float64 {
	return p.cost(m, u) / float64(max(p.in.Models[m].MemoryMB, 1))
}

// spent says whether this round can start nothing more.
func (p *plan) spent() bool { return p.loads <= 0 && p.rooms <= 0 }

// take starts a placement: the load itself if there is memory and budget,
// else the removals that make room for a later round. Either way the memory
// is set aside from what this round places next.
func (p *plan) take(n need, c candidate) {
	size := p.in.Models[n.model].MemoryMB
	for _, i := range c.victims {
		p.remove(n, replicaID{c.upstream, i})
	}
	if len(c.victims) > 0 {
		p.rooms--
	}
	p.slot[c.upstream] -= size
	if p.free[c.upstream] < size || p.loads <= 0 {
		p.waiting[n.model] = true
		return
	}
	p.loads--
	p.held[n.model]++
	p.free[c.upstream] -= size
	p.addLoad(n.model, -1)
	p.where[n.model] = append(p.where[n.model], c.upstream)
	p.addLoad(n.model, 1)
	p.add(Load, n.model, c.upstream, n.reason)
}

// remove starts the removal of one replica.
func (p *plan) remove(n need, id replicaID) {
	m := p.in.Upstreams[id.upstream].Replicas[id.index].Model
	if p.removal(m) == removalRetire {
		p.add(Retire, m, -1, n.reason)
	} else {
		p.add(Drain, m, id.upstream, n.reason)
	}
	p.victims[id] = true
	p.ready[m]--
	p.addLoad(m, -1)
	p.where[m] = slices.DeleteFunc(p.where[m], func(u int) bool { return u == id.upstream })
	p.addLoad(m, 1)
	p.slot[id.upstream] += p.in.Models[m].MemoryMB
}
