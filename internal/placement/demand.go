package placement

import "time"

// DemandOptions configures Demand.
type DemandOptions struct {
	// TargetLoad is the load, as a fraction of one accelerator, up to which an
	// accelerator meets its deadlines.
	TargetLoad float64
	// MinGain is the minimum gain of a move, in accelerators.
	MinGain float64
	// MinStay is the minimum age at which a replica may be evicted, unless its
	// memory is needed for the required replica of a home zone.
	MinStay time.Duration
	// ZoneStagger is how long each zone waits for the zone ranked before it by
	// rendezvous hashing to restore a required replica or add a standby
	// replica. It is longer than a load takes.
	ZoneStagger time.Duration
	// ExtraHomeDelay is how long a replica beyond TargetHomeZones exists before
	// its zone becomes a home zone as well.
	ExtraHomeDelay time.Duration
	// TargetHomeZones is the target number of home zones of a model, within its
	// MinReplicas and MaxReplicas.
	TargetHomeZones int
	// StandbyValue is the value of a standby replica, that is, of a second home
	// zone, in accelerators of demand.
	StandbyValue float64
	// RemotePenalty is the fraction of demand that counts as unserved while
	// only other zones hold the model.
	RemotePenalty float64
	// FastOnly ignores the slow average of demand.
	FastOnly bool
	// IgnoreHomes allows unloads that leave a model without a home zone. Only
	// baselines set it.
	IgnoreHomes bool
	// EvictIdle evicts the least recently used replicas. Only baselines set it.
	EvictIdle bool
}

// DefaultDemandOptions returns the options used in production.
func DefaultDemandOptions() DemandOptions {
	return DemandOptions{
		TargetLoad:      0.85,
		MinGain:         0.03,
		MinStay:         time.Minute,
		ZoneStagger:     time.Minute,
		ExtraHomeDelay:  time.Minute,
		TargetHomeZones: 2,
		StandbyValue:    0.1,
		RemotePenalty:   0.5,
	}
}

// Demand is the production policy. It keeps a home zone for every model and a
// standby replica in another zone, and adds further replicas for demand where
// the gain reaches the threshold.
type Demand struct{ Options DemandOptions }

// Plan implements Planner.
func (d Demand) Plan(in Input) []Move {
	p := newPlan(in, d.Options)
	p.finishDrains()
	p.markLost()
	p.removeExcess()
	p.restoreHomes(true)
	p.loadMinimums()
	p.addForDemand(d.Options.StandbyValue)
	p.addStandbyReplicas()
	p.addForDemand(d.Options.MinGain)
	p.fillFreeMemory()
	p.designate()
	return p.moves
}

// finishDrains unloads drained replicas, and resumes draining replicas whose
// model has lost its other home zones in the meantime.
func (p *plan) finishDrains() {
	for u, up := range p.in.Upstreams {
		for _, r := range up.Replicas {
			if !up.Live || !r.Draining || r.State != Ready {
				continue
			}
			model := p.in.Models[r.Model]
			required := model.IsHome || model.HomesElsewhere == 0
			switch {
			case required && p.readyCount[r.Model] == 0 && !p.opt.IgnoreHomes:
				p.addMove(Resume, r.Model, u, "no other home")
				p.availableMB[u] -= model.MemoryMB
				p.readyCount[r.Model]++
				p.upstreamsOf[r.Model] = append(p.upstreamsOf[r.Model], u)
			case r.InFlight == 0:
				p.addMove(Unload, r.Model, u, "drained")
			}
		}
	}
}

// restoreHomes loads models for which this zone is a home zone without a
// replica, and, after the zone's start delay, models that have no home zone at
// all.
func (p *plan) restoreHomes(evict bool) {
	withoutHome := p.modelsByKey(func(m int) (float64, bool) {
		model := p.in.Models[m]
		if len(p.upstreamsOf[m]) > 0 {
			return 0, false
		}
		return p.demand(m), model.IsHome || model.HomesElsewhere == 0 && model.UnchangedFor >= p.startDelay(m)
	})
	for _, m := range withoutHome {
		if p.budgetExhausted() {
			return
		}
		req := placementRequest{model: m, evict: evict, ignoreMinStay: true, value: homeValue, reason: "home"}
		p.place(req)
	}
}

// markLost records this zone as a lost home zone of the models that it no
// longer holds ready, so that no other zone relies on it.
func (p *plan) markLost() {
	for m, model := range p.in.Models {
		if model.IsHome && !model.Lost && p.readyCount[m] == 0 {
			p.addMove(MarkLost, m, -1, "no ready replica")
		}
	}
}

// homeValue is the value of the required replica of a home zone, in
// accelerators. It exceeds the cost of any eviction that the replica may need.
const homeValue = 1e6

// addStandbyReplicas loads models that have home zones elsewhere, but fewer
// than wanted.
func (p *plan) addStandbyReplicas() {
	belowTarget := p.modelsByKey(func(m int) (float64, bool) {
		model := p.in.Models[m]
		if len(p.upstreamsOf[m]) > 0 || p.awaitingMemory[m] || model.IsHome || model.HomesElsewhere == 0 {
			return 0, false
		}
		return p.demand(m), model.HomesElsewhere < p.homesWanted(m) && model.UnchangedFor >= p.startDelay(m)
	})
	for _, m := range belowTarget {
		if p.budgetExhausted() {
			return
		}
		p.place(placementRequest{
			model: m, evict: true, value: p.opt.StandbyValue,
			minGain: min(p.opt.MinGain, p.opt.StandbyValue), reason: "spare",
		})
	}
}

// addForDemand adds a replica of each model whose unserved demand exceeds
// minUnserved, in accelerators. Replicas worth more than a standby replica are
// added before addStandbyReplicas runs: otherwise a standby replica evicted for
// one of them would be loaded again into the memory that its eviction freed.
func (p *plan) addForDemand(minUnserved float64) {
	underserved := p.modelsByKey(func(m int) (float64, bool) {
		excess := p.unservedDemand(m)
		return excess, excess > minUnserved && !p.awaitingMemory[m]
	})
	for _, m := range underserved {
		if p.budgetExhausted() {
			return
		}
		p.place(placementRequest{model: m, evict: true, minGain: minUnserved, reason: "demand"})
	}
}

// fillFreeMemory loads the model with the highest demand among those that this
// zone does not hold into free memory, one a round, so that a zone isolated by
// a network partition can serve more models.
func (p *plan) fillFreeMemory() {
	absent := p.modelsByKey(func(m int) (float64, bool) {
		return p.demand(m), len(p.upstreamsOf[m]) == 0 && p.in.Models[m].HomesElsewhere > 0 && !p.awaitingMemory[m]
	})
	for _, m := range absent {
		if p.budgetExhausted() || p.place(placementRequest{model: m, minGain: anyGain, reason: "fill"}) {
			return
		}
	}
}

// designate records this zone as a home zone of the models that it holds ready:
// at once if a model has too few home zones, otherwise after
// DemandOptions.ExtraHomeDelay, so that another home zone that is short of
// memory can remove itself.
func (p *plan) designate() {
	for m, model := range p.in.Models {
		due := model.HomesElsewhere < p.homesWanted(m) || model.UnchangedFor >= p.opt.ExtraHomeDelay
		if p.readyCount[m] > 0 && (!model.IsHome && due || model.Lost) {
			p.addMove(Designate, m, -1, "ready")
		}
	}
}
