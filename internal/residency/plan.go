package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// workPerSlot is the work per second, in prompt tokens, that an engine
	// does for each slot of its batch while first tokens still come at once.
	workPerSlot = 600.0
	// fullShare is the part of an engine's work from which a model's replica
	// counts as loaded enough to get another.
	fullShare = 0.3
	// keepRatio is how much more a replica must earn than the one that makes
	// way for it.
	keepRatio = 2.0
	// activeShare is the part of an engine's work from which a model should
	// be in each zone, so that a zone that is cut off can serve it.
	activeShare = 0.15
	// absentBonus is how much work per replica, in parts of an engine's, a
	// model counts as having more if callers ask for it and nothing holds it.
	absentBonus = 0.5
	// standbyZones is in how many zones a model that may be asked for stands by.
	standbyZones = 3
	// startReplicas is how many replicas in each zone a model keeps that has
	// them before anybody has asked for anything.
	startReplicas = 2
	// standbyLoads is the part of the loads at once that standby may use.
	standbyLoads = 0.5
	// maxOrdersAtOnce bounds the model orders of one step.
	maxOrdersAtOnce = 8
)

// modelState is a model as the planner weighs it.
type modelState struct {
	spec     *fleet.Model
	key      ModelKey
	demand   float64 // recent work per second
	slow     float64
	seen     bool
	replicas int // there or coming
	standby  int // replicas to keep though demand does not ask for them
	zones    map[string]int
}

// perReplica is the work per second and replica; a model without replicas
// counts as if it had half of one.
func (m *modelState) perReplica() float64 {
	return m.demand / max(float64(m.replicas), 0.5)
}

// cost is what another replica of the model has to carry if one goes.
func (m *modelState) cost() float64 {
	return max(m.demand, m.slow) / max(float64(m.replicas-1), 0.5)
}

// planModels answers demand that moves to other models within seconds: each
// step gives replicas to the models with the most work per replica, in the
// place of replicas that earn least.
func (p *Planner) planModels(now time.Duration, service string) []Action {
	engines := p.of(service)
	if len(engines) == 0 {
		return nil
	}
	spec := engines[0].Spec
	states := p.states(service, spec, engines)
	unit := workPerSlot * float64(max(spec.Slots, 1))
	loading := 0
	for _, e := range engines {
		if e.Loading != "" {
			loading++
		}
	}
	atOnce := maxLoads(spec)
	actions := p.loadReserved(now, engines)
	loading += len(actions)
	zones := map[string]bool{}
	for _, e := range engines {
		zones[e.Entry.Zone] = true
	}
	setStandby(states, len(zones), unit)
	for _, m := range p.ranked(states, len(zones), unit) {
		if len(actions) >= maxOrdersAtOnce || loading >= atOnce {
			break
		}
		a, ok := p.addReplica(now, engines, states, m, unit)
		if !ok {
			continue
		}
		actions = append(actions, a)
		if a.Order.Kind == fleet.OrderLoad {
			loading++
		}
	}
	if len(actions) == 0 && float64(loading) < standbyLoads*float64(atOnce) {
		actions = append(actions, p.planStandby(now, engines, states, unit)...)
	}
	return actions
}

// planStandby answers demand that is about to move: models that are likely to
// be asked for get replicas in several zones while the weight store has
// nothing more urgent to do, in the place of replicas that are not needed.
func (p *Planner) planStandby(now time.Duration, engines []*Engine, states map[string]*modelState, unit float64) []Action {
	for _, name := range engines[0].Spec.ModelNames {
		m := states[name]
		if m.replicas == 0 || m.replicas >= m.standby {
			continue
		}
		if a, ok := p.addReplica(now, engines, states, m, unit); ok {
			return []Action{a}
		}
	}
	return nil
}

// setStandby states how many replicas each model should have though its
// demand does not ask for them. Likely to be asked for are models that were
// busy lately, models with adapters, which somebody made for a purpose, and
// models that nobody has asked for yet where most others were asked for.
// Before the first request, where many engines hold a model it is meant to be
// busy.
func setStandby(states map[string]*modelState, zones int, unit float64) {
	seen := 0
	for _, m := range states {
		if m.seen {
			seen++
		}
	}
	for _, m := range states {
		m.standby = 1
		switch {
		case m.spec.Adapters > 0, m.slow > activeShare*unit, !m.seen && 2*seen > len(states):
			m.standby = min(zones, standbyZones)
		}
		if seen == 0 {
			m.standby = max(m.standby, min(m.replicas, startReplicas*zones))
		}
	}
}

// reserveTerm is how long room that is being made is kept for its model: an
// unload waits for the requests that run.
const reserveTerm = 8 * time.Second

// loadReserved loads the models for which room was made.
func (p *Planner) loadReserved(now time.Duration, engines []*Engine) []Action {
	var actions []Action
	for _, e := range engines {
		m := e.Spec.Models[e.Reserved]
		if m == nil || !e.usable(now) || !e.fits(m) || e.holds(m.Name) {
			continue
		}
		if _, fromStore := e.loadTime(m); fromStore && p.budgets[e.Entry.Service].left(now, e.Spec.LoadsPerS) <= 0 {
			continue
		}
		actions = append(actions, p.order(now, e, fleet.OrderLoad, m.Name, "", "room was made"))
	}
	return actions
}

// maxLoads is how many loads may be under way: what the store's rate keeps
// going.
func maxLoads(spec *fleet.Engine) int {
	longest := time.Duration(0)
	for _, m := range spec.Models {
		longest = max(longest, m.LoadTime)
	}
	return max(int(spec.LoadsPerS*longest.Seconds()), 2)
}

func (p *Planner) states(service string, spec *fleet.Engine, engines []*Engine) map[string]*modelState {
	states := make(map[string]*modelState, len(spec.ModelNames))
	for _, name := range spec.ModelNames {
		key := ModelKey{Service: service, Model: name}
		rates := p.demand[key]
		m := &modelState{spec: spec.Models[name], key: key, demand: rates.Fast, slow: rates.Slow, seen: rates.Slow > 0, zones: map[string]int{}}
		for _, e := range engines {
			if e.covers(name) {
				m.replicas++
				m.zones[e.Entry.Zone]++
			}
		}
		states[name] = m
	}
	return states
}

// urgency orders models that want a replica: by the work per replica, with
// precedence for those that callers ask for and nothing holds. A model that
// nobody asks for waits until the store has time for it.
func (m *modelState) urgency(unit float64) float64 {
	if m.replicas == 0 && m.demand > 0 {
		return m.perReplica() + absentBonus*unit
	}
	return m.perReplica()
}

// ranked returns the models that want a replica, the most urgent first.
func (p *Planner) ranked(states map[string]*modelState, zones int, unit float64) []*modelState {
	var out []*modelState
	for _, m := range states {
		missingZone := m.demand > activeShare*unit && len(m.zones) < zones
		if m.replicas == 0 || m.perReplica() > fullShare*unit || missingZone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *modelState) int {
		return cmp.Or(cmp.Compare(b.urgency(unit), a.urgency(unit)), cmp.Compare(b.slow, a.slow), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	return out
}

// site is one way to give a model a replica.
type site struct {
	e      *Engine
	victim *modelState // makes way first, nil if there is room
	cost   float64
}

// addReplica gives a model one more replica, or makes room for it.
func (p *Planner) addReplica(now time.Duration, engines []*Engine, states map[string]*modelState, m *modelState, unit float64) (Action, bool) {
	var best *site
	for _, e := range engines {
		if !e.usable(now) || e.Reserved != "" || e.covers(m.spec.Name) || e.holds(m.spec.Name) {
			continue
		}
		s, ok := p.siteAt(e, states, m, unit)
		if !ok {
			continue
		}
		d, fromStore := e.loadTime(m.spec)
		if fromStore && p.budgets[m.key.Service].left(now, e.Spec.LoadsPerS) <= 0 {
			continue
		}
		s.cost += d.Seconds()*unit*loadTimeCost + float64(m.zones[e.Entry.Zone])*unit*zoneCost + float64(e.Requests)*workPerSlot*busyCost
		if best == nil || s.cost < best.cost {
			best = &s
		}
	}
	if best == nil {
		return Action{}, false
	}
	if best.victim != nil {
		best.victim.replicas--
		best.victim.zones[best.e.Entry.Zone]--
		best.e.Reserved, best.e.reservedUntil = m.spec.Name, now+reserveTerm
		m.replicas++
		m.zones[best.e.Entry.Zone]++
		return p.order(now, best.e, fleet.OrderUnload, best.victim.spec.Name, "", "makes room for "+m.spec.Name), true
	}
	m.replicas++
	m.zones[best.e.Entry.Zone]++
	return p.order(now, best.e, fleet.OrderLoad, m.spec.Name, "", "demand"), true
}

// Weights of the costs of a site, in parts of an engine's work.
const (
	loadTimeCost = 0.2  // a second of loading
	zoneCost     = 0.15 // each replica that the zone has already
	busyCost     = 0.5  // the engine's requests
)

// siteAt returns how the engine could take the model.
func (p *Planner) siteAt(e *Engine, states map[string]*modelState, m *modelState, unit float64) (site, bool) {
	if e.fits(m.spec) {
		return site{e: e}, true
	}
	var victim *modelState
	for _, r := range e.Models {
		v := states[r.Model]
		if v == nil || v == m || !p.mayGo(v, m, unit) {
			continue
		}
		if victim == nil || v.cost() < victim.cost() {
			victim = v
		}
	}
	if victim == nil {
		return site{}, false
	}
	return site{e: e, victim: victim, cost: victim.cost()}, true
}

// mayGo reports whether a replica of v may make way for one of m.
func (p *Planner) mayGo(v, m *modelState, unit float64) bool {
	if v.replicas <= 1 {
		return false
	}
	if m.replicas == 0 {
		return m.demand > 0 || v.cost() < fullShare*unit
	}
	if m.replicas < m.standby && v.replicas > v.standby && v.cost() < fullShare*unit {
		return true
	}
	return v.cost()*keepRatio < m.perReplica()
}
