package placement

import (
	"hash/fnv"
	"slices"
	"time"
)

// plan is the state of one planning round. Models and upstreams go by index.
type plan struct {
	in      Input
	opt     DemandOptions
	moves   []Move
	loads   int       // loads that may still start
	rooms   int       // placements for which replicas may still be displaced
	ready   []int     // ready replicas here that are not draining
	held    []int     // replicas here in any state
	where   [][]int   // upstreams that hold or load each model, not draining
	load    []float64 // expected demand on each upstream, in accelerators
	free    []int64   // memory that no ledger entry counts, in MB
	slot    []int64   // free plus what leaves, less what waits for it, in MB
	victims map[replicaID]bool
	waiting []bool // models for which room is being made
}

// Replicas that may leave at one time in one zone: the least, and one for
// this many upstreams. It does not depend on the loads that may start, so
// that a room that is being made is not given up while the budget is spent.
const (
	leastRooms       = 2
	upstreamsPerRoom = 16
)

type replicaID struct{ upstream, index int }

func newPlan(in Input, opt DemandOptions) *plan {
	p := &plan{
		in:      in,
		opt:     opt,
		loads:   in.Loads,
		rooms:   max(leastRooms, len(in.Upstreams)/upstreamsPerRoom),
		ready:   make([]int, len(in.Models)),
		held:    make([]int, len(in.Models)),
		where:   make([][]int, len(in.Models)),
		load:    make([]float64, len(in.Upstreams)),
		free:    make([]int64, len(in.Upstreams)),
		slot:    make([]int64, len(in.Upstreams)),
		victims: map[replicaID]bool{},
		waiting: make([]bool, len(in.Models)),
	}
	for u, up := range in.Upstreams {
		for _, r := range up.Replicas {
			p.held[r.Model]++
		}
		if !up.Live {
			continue
		}
		p.free[u] = up.MemoryMB - up.CommittedMB
		p.slot[u] = p.free[u]
		for _, r := range up.Replicas {
			p.count(u, r)
		}
	}
	for m := range in.Models {
		p.addLoad(m, 1)
	}
	return p
}

// count enters one replica into the round's state.
func (p *plan) count(u int, r Replica) {
	if r.Draining || r.State == Unloading {
		p.slot[u] += p.in.Models[r.Model].MemoryMB
		p.rooms--
		return
	}
	p.where[r.Model] = append(p.where[r.Model], u)
	if r.State == Ready {
		p.ready[r.Model]++
	}
}

// demand returns the demand that a model's replicas are planned for.
func (p *plan) demand(m int) float64 {
	if p.opt.FastOnly {
		return p.in.Models[m].Fast
	}
	return max(p.in.Models[m].Fast, p.in.Models[m].Slow)
}

// share returns a model's demand on each of its replicas.
func (p *plan) share(m int) float64 {
	return p.demand(m) / float64(max(len(p.where[m]), 1))
}

// addLoad adds sign times a model's demand to the upstreams that hold it.
func (p *plan) addLoad(m int, sign float64) {
	share := p.share(m) * sign
	for _, u := range p.where[m] {
		p.load[u] += share
	}
}

// excess returns the part of a model's demand that its upstreams do not
// serve. Without a replica here, other zones serve some of it.
func (p *plan) excess(m int) float64 {
	if len(p.where[m]) == 0 {
		return p.demand(m) * p.absence(m)
	}
	var excess float64
	share := p.share(m)
	for _, u := range p.where[m] {
		if p.load[u] > p.opt.Target {
			excess += share * (1 - p.opt.Target/p.load[u])
		}
	}
	return excess
}

// absence returns the part of a model's demand that goes unserved while this
// zone holds no replica.
func (p *plan) absence(m int) float64 {
	if p.in.Models[m].Elsewhere > 0 {
		return p.opt.RemotePenalty
	}
	return 1
}

// loss returns the demand that would go unserved without a replica.
func (p *plan) loss(m, u int) float64 {
	share := p.share(m)
	if len(p.where[m]) <= 1 {
		return share * p.absence(m)
	}
	for _, other := range p.where[m] {
		if other != u {
			share -= max(p.opt.Target-p.load[other], 0)
		}
	}
	return max(share, 0)
}

// byNeed returns the models that a key selects, the greatest key first. Equal
// keys keep the order of Input.
func (p *plan) byNeed(key func(m int) (float64, bool)) []int {
	type item struct {
		model int
		key   float64
	}
	var items []item
	for m := range p.in.Models {
		if k, ok := key(m); ok {
			items = append(items, item{m, k})
		}
	}
	slices.SortStableFunc(items, func(a, b item) int {
		switch {
		case a.key > b.key:
			return -1
		case a.key < b.key:
			return 1
		}
		return 0
	})
	models := make([]int, len(items))
	for i, it := range items {
		models[i] = it.model
	}
	return models
}

// rank returns this zone's place among the live zones for a model, by
// rendezvous hashing, so that zones that see the same act one after another.
func (p *plan) rank(model string) int { return p.rankAmong(model, p.in.Zones) }

func (p *plan) rankAmong(model string, zones []string) int {
	own := rendezvous(model, p.in.Zone)
	rank := 0
	for _, z := range zones {
		if rendezvous(model, z) > own {
			rank++
		}
	}
	return rank
}

// turn is how long a model must have lacked a home before this zone acts.
func (p *plan) turn(m int) time.Duration {
	return time.Duration(p.rank(p.in.Models[m].Name)) * p.opt.Stagger
}

func rendezvous(model, zone string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write([]byte(zone))
	return h.Sum32()
}

func (p *plan) add(kind Kind, m, u int, reason string) {
	move := Move{Kind: kind, Model: p.in.Models[m].Name, Reason: reason}
	if u >= 0 {
		move.Upstream = p.in.Upstreams[u].Name
	}
	p.moves = append(p.moves, move)
}
