package placement

import "slices"

// Greedy follows the fast average of demand without hysteresis.
type Greedy struct{}

// Plan implements Planner.
func (Greedy) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	opt.Threshold = 0
	opt.MinStay = 0
	opt.FastOnly = true
	return Demand{Options: opt}.Plan(in)
}

// Static places each model once, spreads further replicas over the memory
// that is left, and then changes nothing but what was lost.
type Static struct{}

// Plan implements Planner.
func (Static) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	in.Models = slices.Clone(in.Models)
	for m := range in.Models {
		size := float64(in.Models[m].MemoryMB) / 1e6 // the largest first
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

// replicateEvenly loads the model of fewest replicas into free memory, once
// each model has a home.
func (p *plan) replicateEvenly() {
	for m, model := range p.in.Models {
		if len(p.where[m]) == 0 && model.Elsewhere == 0 {
			return
		}
	}
	fewest := p.byNeed(func(m int) (float64, bool) {
		return -float64(len(p.where[m])), !p.waiting[m]
	})
	for _, m := range fewest {
		if p.spent() {
			return
		}
		p.place(need{model: m, threshold: anyGain, reason: "even"})
	}
}

// LRUOnDemand loads a model when it is asked for and no zone holds it, in
// place of what was idle longest. It protects no homes, but records them,
// so that zones know what others hold; the first zone by rendezvous hashing
// loads a model.
type LRUOnDemand struct{}

// Plan implements Planner.
func (LRUOnDemand) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	opt.IgnoreHomes = true
	opt.EvictIdle = true
	p := newPlan(in, opt)
	p.finishDrains()
	p.markLost()
	asked := p.byNeed(func(m int) (float64, bool) {
		model := in.Models[m]
		absent := len(p.where[m]) == 0 && model.Elsewhere == 0 && p.rank(model.Name) == 0
		return -model.Idle.Seconds(), absent && model.Idle < FastWindow
	})
	for _, m := range asked {
		if p.spent() {
			break
		}
		p.place(need{model: m, evict: true, force: true, worth: homeWorth, reason: "asked for"})
	}
	p.designate()
	return p.moves
}
