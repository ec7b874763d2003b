package placement

import "slices"

// Greedy is a baseline policy that plans for the fast average of demand
// without hysteresis.
type Greedy struct{}

// Plan implements Planner.
func (Greedy) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	opt.MinGain = 0
	opt.MinStay = 0
	opt.FastOnly = true
	return Demand{Options: opt}.Plan(in)
}

// Static is a baseline policy that places each model once, fills the remaining
// memory with further replicas, and afterwards only restores lost replicas.
type Static struct{}

// Plan implements Planner.
func (Static) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	in.Models = slices.Clone(in.Models)
	for m := range in.Models {
		size := float64(in.Models[m].MemoryMB) / 1e6 // places the largest models first
		in.Models[m].Fast, in.Models[m].Slow = size, size
	}
	p := newPlan(in, opt)
	p.finishDrains()
	p.markLost()
	p.restoreHomes(true)
	p.replicateEvenly()
	p.designate()
	return p.moves
}

// replicateEvenly loads the models with the fewest replicas into free memory,
// once every model has a home zone.
func (p *plan) replicateEvenly() {
	for m, model := range p.in.Models {
		if len(p.upstreamsOf[m]) == 0 && model.HomesElsewhere == 0 {
			return
		}
	}
	fewest := p.modelsByKey(func(m int) (float64, bool) {
		return -float64(len(p.upstreamsOf[m])), !p.awaitingMemory[m]
	})
	for _, m := range fewest {
		if p.budgetExhausted() {
			return
		}
		p.place(placementRequest{model: m, minGain: anyGain, reason: "even"})
	}
}

// LRUOnDemand is a baseline policy that loads a model when it is requested and
// no zone holds it, evicting the least recently used models. The zone that
// ranks first by rendezvous hashing loads the model. The policy may unload the
// last replica of a model, but it records home zones so that zones know what
// others hold.
type LRUOnDemand struct{}

// Plan implements Planner.
func (LRUOnDemand) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	opt.IgnoreHomes = true
	opt.EvictIdle = true
	p := newPlan(in, opt)
	p.finishDrains()
	p.markLost()
	requested := p.modelsByKey(func(m int) (float64, bool) {
		model := in.Models[m]
		absent := len(p.upstreamsOf[m]) == 0 && model.HomesElsewhere == 0 && p.rank(model.Name) == 0
		return -model.Idle.Seconds(), absent && model.Idle < FastWindow
	})
	for _, m := range requested {
		if p.budgetExhausted() {
			break
		}
		p.place(placementRequest{model: m, evict: true, ignoreMinStay: true, value: homeValue, reason: "asked for"})
	}
	p.designate()
	return p.moves
}
