package placement

import "time"

// DemandOptions tune Demand.
type DemandOptions struct {
	// Target is the load up to which an accelerator meets its deadlines.
	Target float64
	// Threshold is the least gain of a move, in accelerators.
	Threshold float64
	// MinStay is how long a replica stays before demand may displace it.
	MinStay time.Duration
	// Stagger is how long each zone leaves the one before it, in the order of
	// rendezvous hashing, to restore a home or add a spare. It is longer than
	// a load takes.
	Stagger time.Duration
	// Extra is how long a replica beyond HomesWanted stays before its zone
	// becomes a home as well.
	Extra time.Duration
	// HomesWanted is how many zones shall be homes of each model, within its
	// MinReplicas and MaxReplicas.
	HomesWanted int
	// SpareWorth is what a second home is worth, in accelerators.
	SpareWorth float64
	// RemotePenalty is the part of demand that counts as unserved while only
	// other zones hold the model.
	RemotePenalty float64
	// FastOnly plans for the fast average alone.
	FastOnly bool
	// IgnoreHomes unloads without regard to homes; only baselines do.
	IgnoreHomes bool
	// EvictIdle displaces what was idle longest; only baselines do.
	EvictIdle bool
}

// DefaultDemandOptions returns the options that the system runs with.
func DefaultDemandOptions() DemandOptions {
	return DemandOptions{
		Target:        0.85,
		Threshold:     0.05,
		MinStay:       time.Minute,
		Stagger:       time.Minute,
		Extra:         time.Minute,
		HomesWanted:   2,
		SpareWorth:    0.1,
		RemotePenalty: 0.5,
	}
}

// Demand keeps a home for every model and a spare in another zone, and lets
// further replicas follow demand where the gain is worth a move.
type Demand struct{ Options DemandOptions }

// Plan implements Planner.
func (d Demand) Plan(in Input) []Move {
	p := newPlan(in, d.Options)
	p.finishDrains()
	p.markLost()
	p.dropExcess()
	p.restoreHomes(true)
	p.keepMinimum()
	p.followDemand(d.Options.SpareWorth)
	p.addSpares()
	p.followDemand(d.Options.Threshold)
	p.fillFree()
	p.designate()
	return p.moves
}

// finishDrains unloads drained replicas, and resumes those whose model has
// lost its other homes since.
func (p *plan) finishDrains() {
	for u, up := range p.in.Upstreams {
		for _, r := range up.Replicas {
			if !up.Live || !r.Draining || r.State != Ready {
				continue
			}
			model := p.in.Models[r.Model]
			home := model.Designated || model.Elsewhere == 0
			switch {
			case home && p.ready[r.Model] == 0 && !p.opt.IgnoreHomes:
				p.add(Resume, r.Model, u, "no other home")
				p.slot[u] -= model.MemoryMB
				p.ready[r.Model]++
				p.where[r.Model] = append(p.where[r.Model], u)
			case r.InFlight == 0:
				p.add(Unload, r.Model, u, "drained")
			}
		}
	}
}

// restoreHomes loads models that this zone is bound to hold and does not, and
// in its turn models that have no home at all.
func (p *plan) restoreHomes(evict bool) {
	homeless := p.byNeed(func(m int) (float64, bool) {
		model := p.in.Models[m]
		if len(p.where[m]) > 0 {
			return 0, false
		}
		return p.demand(m), model.Designated || model.Elsewhere == 0 && model.Since >= p.turn(m)
	})
	for _, m := range homeless {
		if p.spent() {
			return
		}
		n := need{model: m, evict: evict, force: true, worth: homeWorth, reason: "home"}
		p.place(n)
	}
}

// markLost records the homes of this zone that hold no ready replica, so that
// no other zone relies on them.
func (p *plan) markLost() {
	for m, model := range p.in.Models {
		if model.Designated && !model.Lost && p.ready[m] == 0 {
			p.add(MarkLost, m, -1, "no ready replica")
		}
	}
}

// homeWorth outweighs whatever a home may displace, in accelerators.
const homeWorth = 1e6

// addSpares loads models that have too few homes, all in other zones.
func (p *plan) addSpares() {
	single := p.byNeed(func(m int) (float64, bool) {
		model := p.in.Models[m]
		if len(p.where[m]) > 0 || p.waiting[m] || model.Designated || model.Elsewhere == 0 {
			return 0, false
		}
		return p.demand(m), model.Elsewhere < p.homesWanted(m) && model.Since >= p.turn(m)
	})
	for _, m := range single {
		if p.spent() {
			return
		}
		p.place(need{
			model: m, evict: true, worth: p.opt.SpareWorth,
			threshold: min(p.opt.Threshold, p.opt.SpareWorth), reason: "spare",
		})
	}
}

// followDemand adds replicas where more demand than least goes unserved. What
// is worth more than a spare comes before spares: else a spare that it displaced
// would take the room that was made.
func (p *plan) followDemand(least float64) {
	short := p.byNeed(func(m int) (float64, bool) {
		excess := p.excess(m)
		return excess, excess > least && !p.waiting[m]
	})
	for _, m := range short {
		if p.spent() {
			return
		}
		p.place(need{model: m, evict: true, threshold: least, reason: "demand"})
	}
}

// fillFree loads the model of most demand that this zone lacks into free
// memory, one a round, so that the zone reaches more models when cut off.
func (p *plan) fillFree() {
	lacking := p.byNeed(func(m int) (float64, bool) {
		return p.demand(m), len(p.where[m]) == 0 && p.in.Models[m].Elsewhere > 0 && !p.waiting[m]
	})
	for _, m := range lacking {
		if p.spent() || p.place(need{model: m, threshold: anyGain, reason: "fill"}) {
			return
		}
	}
}

// designate records this zone as a home of what it holds: at once where a
// model has too few, else later, so that a zone that is short of memory may
// hand over to this one.
func (p *plan) designate() {
	for m, model := range p.in.Models {
		few := model.Elsewhere < p.homesWanted(m) || model.Since >= p.opt.Extra
		if p.ready[m] > 0 && (!model.Designated && few || model.Lost) {
			p.add(Designate, m, -1, "ready")
		}
	}
}
