package placement

import (
	"hash/fnv"
	"slices"
	"time"
)

// plan is the state of one planning round. Models and upstreams are identified
// by their index in Input.
type plan struct {
	in             Input
	opt            DemandOptions
	moves          []Move
	loadBudget     int       // loads that may still start
	evictionBudget int       // placements that may still evict replicas
	readyCount     []int     // by model: ready replicas in this zone that are not draining
	replicaCount   []int     // by model: replicas in this zone in any state
	upstreamsOf    [][]int   // by model: upstreams that hold or load it and do not drain it
	load           []float64 // by upstream: expected demand, in accelerators
	freeMB         []int64   // by upstream: memory that no ledger entry counts
	availableMB    []int64   // by upstream: freeMB plus memory being freed, less memory reserved for placements
	victims        map[replicaID]bool
	awaitingMemory []bool // by model: whether memory is being freed for it
}

// The number of evictions under way in one zone at one time is limited to one
// per upstreamsPerEviction upstreams, but at least minEvictions. The limit does
// not depend on the load budget, so that a placement keeps the memory that is
// being freed for it while the load budget is exhausted.
const (
	minEvictions         = 2
	upstreamsPerEviction = 16
)

// replicaID identifies a replica by the index of its upstream and its index in
// Upstream.Replicas.
type replicaID struct{ upstream, index int }

func newPlan(in Input, opt DemandOptions) *plan {
	p := &plan{
		in:             in,
		opt:            opt,
		loadBudget:     in.LoadBudget,
		evictionBudget: max(minEvictions, len(in.Upstreams)/upstreamsPerEviction),
		readyCount:     make([]int, len(in.Models)),
		replicaCount:   make([]int, len(in.Models)),
		upstreamsOf:    make([][]int, len(in.Models)),
		load:           make([]float64, len(in.Upstreams)),
		freeMB:         make([]int64, len(in.Upstreams)),
		availableMB:    make([]int64, len(in.Upstreams)),
		victims:        map[replicaID]bool{},
		awaitingMemory: make([]bool, len(in.Models)),
	}
	for u, up := range in.Upstreams {
		for _, r := range up.Replicas {
			p.replicaCount[r.Model]++
		}
		if !up.Live {
			continue
		}
		p.freeMB[u] = up.MemoryMB - up.CommittedMB
		p.availableMB[u] = p.freeMB[u]
		for _, r := range up.Replicas {
			p.addReplica(u, r)
		}
	}
	for m := range in.Models {
		p.addLoad(m, 1)
	}
	return p
}

// addReplica adds one replica on a live upstream to the round's state.
func (p *plan) addReplica(u int, r Replica) {
	if r.Draining || r.State == Unloading {
		p.availableMB[u] += p.in.Models[r.Model].MemoryMB
		p.evictionBudget--
		return
	}
	p.upstreamsOf[r.Model] = append(p.upstreamsOf[r.Model], u)
	if r.State == Ready {
		p.readyCount[r.Model]++
	}
}

// demand returns the demand that is planned for a model, in accelerators.
func (p *plan) demand(m int) float64 {
	if p.opt.FastOnly {
		return p.in.Models[m].Fast
	}
	return max(p.in.Models[m].Fast, p.in.Models[m].Slow)
}

// demandPerReplica returns a model's demand on each of its replicas.
func (p *plan) demandPerReplica(m int) float64 {
	return p.demand(m) / float64(max(len(p.upstreamsOf[m]), 1))
}

// addLoad adds a model's demand, times sign, to the load of the upstreams that
// hold it.
func (p *plan) addLoad(m int, sign float64) {
	share := p.demandPerReplica(m) * sign
	for _, u := range p.upstreamsOf[m] {
		p.load[u] += share
	}
}

// unservedDemand returns the part of a model's demand that its upstreams cannot
// serve. Without a replica in this zone, other zones may serve part of it.
func (p *plan) unservedDemand(m int) float64 {
	if len(p.upstreamsOf[m]) == 0 {
		return p.demand(m) * p.unservedFraction(m)
	}
	var excess float64
	share := p.demandPerReplica(m)
	for _, u := range p.upstreamsOf[m] {
		if p.load[u] > p.opt.TargetLoad {
			excess += share * (1 - p.opt.TargetLoad/p.load[u])
		}
	}
	return excess
}

// unservedFraction returns the fraction of a model's demand that goes unserved
// while this zone holds no replica.
func (p *plan) unservedFraction(m int) float64 {
	if p.in.Models[m].HomesElsewhere > 0 {
		return p.opt.RemotePenalty
	}
	return 1
}

// lostDemand returns the demand that would go unserved without the replica of
// model m on upstream u.
func (p *plan) lostDemand(m, u int) float64 {
	share := p.demandPerReplica(m)
	if len(p.upstreamsOf[m]) <= 1 {
		return share * p.unservedFraction(m)
	}
	for _, other := range p.upstreamsOf[m] {
		if other != u {
			share -= max(p.opt.TargetLoad-p.load[other], 0)
		}
	}
	return max(share, 0)
}

// modelsByKey returns the models that the key function selects, the greatest
// key first. Models of equal key keep the order of Input.
func (p *plan) modelsByKey(key func(m int) (float64, bool)) []int {
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

// rank returns this zone's rank among the live zones for a model, by rendezvous
// hashing, so that zones with the same view act one after another.
func (p *plan) rank(model string) int { return p.rankAmong(model, p.in.LiveZones) }

// rankAmong returns this zone's rank for a model among the given zones; 0 is
// the first.
func (p *plan) rankAmong(model string, zones []string) int {
	own := rendezvousWeight(model, p.in.Zone)
	rank := 0
	for _, z := range zones {
		if rendezvousWeight(model, z) > own {
			rank++
		}
	}
	return rank
}

// startDelay returns how long a model must have had too few home zones before
// this zone acts.
func (p *plan) startDelay(m int) time.Duration {
	return time.Duration(p.rank(p.in.Models[m].Name)) * p.opt.ZoneStagger
}

// rendezvousWeight returns the weight of a zone for a model; a greater weight
// gives a lower rank number.
func rendezvousWeight(model, zone string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write([]byte(zone))
	return h.Sum32()
}

// addMove appends a move; a negative upstream index stands for no upstream.
func (p *plan) addMove(kind MoveKind, m, u int, reason string) {
	move := Move{Kind: kind, Model: p.in.Models[m].Name, Reason: reason}
	if u >= 0 {
		move.Upstream = p.in.Upstreams[u].Name
	}
	p.moves = append(p.moves, move)
}
