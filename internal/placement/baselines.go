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
		in.Models[m].Fast, in.Models[m].Slow = 1, 1
	}
	p := newPlan(in, opt)
	p.finishDrains()
	p.markLost()
	p.restoreHomes(false)
	p.addSpares()
	p.replicateEvenly()
	p.designate()
	return p.moves
}

// replicateEvenly loads the model of fewest replicas into free memory.
func (p *plan) replicateEvenly() {
	fewest := p.byNeed(func(m int) (float64, bool) {
		return -float64(len(p.where[m])), !p.waiting[m]
	})
	for _, m := range fewest {
		if p.loads <= 0 {
			return
		}
		p.place(need{model: m, threshold: anyGain, reason: "even"})
	}
}

// LRUOnDemand loads a model when it is asked for and not resident, in place
// of what was idle longest. It keeps no homes.
type LRUOnDemand struct{}

// Plan implements Planner.
func (LRUOnDemand) Plan(in Input) []Move {
	opt := DefaultDemandOptions()
	opt.IgnoreHomes = true
	opt.EvictIdle = true
	p := newPlan(in, opt)
	p.finishDrains()
	asked := p.byNeed(func(m int) (float64, bool) {
		model := in.Models[m]
		return -model.Idle.Seconds(), len(p.where[m]) == 0 && model.Fast > 0 && model.Idle < FastWindow
	})
	for _, m := range asked {
		if p.loads <= 0 {
			break
		}
		p.place(need{model: m, evict: true, force: true, worth: homeWorth, reason: "asked for"})
	}
	return p.moves
}
