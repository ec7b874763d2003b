package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// scaleUpShare is the share of an engine's capacity from which the load of
	// a model's replicas justifies another replica.
	scaleUpShare = 0.3
	// replaceRatio is the factor by which the work per replica of a model must
	// exceed the eviction cost of another model's replica to replace it.
	replaceRatio = 2.0
	// activeShare is the share of an engine's capacity from which a model
	// should have a replica in each zone, so that a partitioned zone can
	// serve it.
	activeShare = 0.15
	// absentModelBonus is the work per replica, as a share of an engine's
	// capacity, that is added for a model that callers request and no engine
	// holds.
	absentModelBonus = 0.5
	// standbyZones is the number of zones in which a model that is likely to be
	// requested gets a standby replica.
	standbyZones = 3
	// initialReplicasPerZone is how many replicas per zone a model keeps, if it
	// has them, before the first request for any model.
	initialReplicasPerZone = 2
	// standbyLoadShare is the share of the limit of concurrent loads below
	// which standby replicas may be loaded.
	standbyLoadShare = 0.5
	// maxOrdersPerStep is the number of model orders per service and step after
	// which no more replicas are added.
	maxOrdersPerStep = 8
)

// modelState is the demand and placement of one model in one step.
type modelState struct {
	spec      *fleet.Model
	key       ModelKey
	fastRate  float64 // Rates.Fast
	slowRate  float64 // Rates.Slow
	requested bool    // requested lately
	replicas  int     // engines to which the model is assigned
	standby   int     // replicas to keep regardless of the demand
	zones     map[string]int
}

// workPerReplica returns the work per second and replica, in prompt tokens. A
// model without replicas counts as if it had half of one.
func (m *modelState) workPerReplica() float64 {
	return m.fastRate / max(float64(m.replicas), 0.5)
}

// evictionCost returns the work per second, in prompt tokens, that each
// remaining replica of the model has to do if one is unloaded.
func (m *modelState) evictionCost() float64 {
	return max(m.fastRate, m.slowRate) / max(float64(m.replicas-1), 0.5)
}

// planModels follows demand that shifts to other models within seconds. Each
// step adds replicas of the models with the most work per replica and unloads
// the replicas with the lowest eviction cost to make room for them.
func (p *Planner) planModels(now time.Duration, service string) []Action {
	engines := p.enginesOf(service)
	if len(engines) == 0 {
		return nil
	}
	spec := engines[0].Spec
	states := p.modelStates(service, spec, engines)
	capacity := engineCapacity(spec)
	loading, unread := 0, 0
	for _, e := range engines {
		if e.Loading != "" {
			loading++
		}
		if e.ReadAt == 0 && e.failures == 0 {
			unread++
		}
	}
	p.budgets[service].unread = unread
	loadLimit := maxConcurrentLoads(spec)
	actions := p.loadReserved(now, engines)
	loading += len(actions)
	zones := map[string]bool{}
	for _, e := range engines {
		zones[e.Upstream.Zone] = true
	}
	fit := allModelsFit(spec, engines)
	if !fit {
		p.expectations.apply(now, service, states, capacity)
	}
	setStandby(states, len(zones), fit, capacity)
	for _, m := range p.rankCandidates(states, len(zones), fit, capacity) {
		if len(actions) >= maxOrdersPerStep || loading >= loadLimit {
			break
		}
		a, ok := p.addReplica(now, engines, states, m, fit, capacity)
		if !ok {
			continue
		}
		actions = append(actions, a)
		if a.Order.Kind == fleet.OrderLoad {
			loading++
		}
	}
	if len(actions) == 0 && float64(loading) < standbyLoadShare*float64(loadLimit) {
		actions = append(actions, p.planStandby(now, engines, states, fit, capacity)...)
	}
	return actions
}

// planStandby anticipates demand that is about to shift. Models that are likely
// to be requested get replicas in several zones, in place of replicas that are
// not needed, while no more urgent loads use the weight store.
func (p *Planner) planStandby(now time.Duration, engines []*Engine, states map[string]*modelState, fit bool, capacity float64) []Action {
	for _, name := range engines[0].Spec.ModelNames {
		m := states[name]
		if m.replicas == 0 || m.replicas >= m.standby {
			continue
		}
		if a, ok := p.addReplica(now, engines, states, m, fit, capacity); ok {
			return []Action{a}
		}
	}
	return nil
}

// setStandby sets how many replicas each model should have regardless of its
// demand. Models are likely to be requested if they were busy lately, if they
// have adapters, since somebody made those for a purpose, or if they have not
// been requested yet while most other models have. The last two count only if the
// engines have room for all models. Before the first request, a model that many
// engines hold is expected to be busy.
func setStandby(states map[string]*modelState, zones int, fit bool, capacity float64) {
	requestedModels := 0
	for _, m := range states {
		if m.requested {
			requestedModels++
		}
	}
	for _, m := range states {
		m.standby = 1
		switch {
		case m.slowRate > activeShare*capacity, fit && m.spec.Adapters > 0, fit && !m.requested && 2*requestedModels > len(states):
			m.standby = min(zones, standbyZones)
		}
		if requestedModels == 0 {
			m.standby = max(m.standby, min(m.replicas, initialReplicasPerZone*zones))
		}
	}
}

// reservationTTL is how long memory that is being freed stays reserved for its
// model. An unload waits for the running requests to end.
const reservationTTL = 8 * time.Second

// loadReserved orders the loads of models for which memory was freed.
func (p *Planner) loadReserved(now time.Duration, engines []*Engine) []Action {
	var actions []Action
	for _, e := range engines {
		m := e.Spec.Models[e.Reserved]
		if m == nil || !e.canTakeOrder(now) || !e.fits(m) || e.holds(m.Name) {
			continue
		}
		if _, fromStore := e.loadTime(m); fromStore && p.budgets[e.Upstream.Service].remaining(now, e.Spec.LoadsPerS) <= 0 {
			continue
		}
		actions = append(actions, p.issueOrder(now, e, fleet.OrderLoad, m.Name, "", "room was made"))
	}
	return actions
}

// shortestLoad returns the shortest time of a load from the weight store.
func shortestLoad(spec *fleet.Engine) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, m := range spec.Models {
		shortest = min(shortest, m.StoreLoadTime)
	}
	return shortest
}

// maxConcurrentLoads returns how many loads may run at the same time: as many as
// the weight store's rate sustains, and at least 2.
func maxConcurrentLoads(spec *fleet.Engine) int {
	longest := time.Duration(0)
	for _, m := range spec.Models {
		longest = max(longest, m.StoreLoadTime)
	}
	return max(int(spec.LoadsPerS*longest.Seconds()), 2)
}

func (p *Planner) modelStates(service string, spec *fleet.Engine, engines []*Engine) map[string]*modelState {
	states := make(map[string]*modelState, len(spec.ModelNames))
	for _, name := range spec.ModelNames {
		key := ModelKey{Service: service, Model: name}
		rates := p.demand[key]
		states[name] = &modelState{
			spec: spec.Models[name], key: key, fastRate: rates.Fast, slowRate: rates.Slow, requested: rates.Slow > 0, zones: map[string]int{},
		}
	}
	for _, e := range engines {
		if e.limited || e.longCold {
			continue
		}
		for _, name := range e.assignedModels() {
			if m := states[name]; m != nil {
				m.replicas++
				m.zones[e.Upstream.Zone]++
			}
		}
	}
	return states
}

// allModelsFit reports whether the engines together have room for all models. If not,
// models that are requested take the places of those that are not.
func allModelsFit(spec *fleet.Engine, engines []*Engine) bool {
	if len(spec.Models) == 0 {
		return true
	}
	total := 0.0
	for _, m := range spec.Models {
		total += m.WeightsMB
	}
	perEngine := math.Floor((spec.MemoryMB - memoryMarginMB) / (total / float64(len(spec.Models))))
	return perEngine*float64(len(engines)) >= float64(len(spec.Models))
}

// urgency returns the rank of a model that needs a replica: its work per replica and,
// for a model that callers request and no engine holds, a bonus if the engines have
// room for all models. A model that nobody requests ranks last and is loaded when the
// weight store has capacity left.
func (m *modelState) urgency(fit bool, capacity float64) float64 {
	if m.replicas == 0 && m.fastRate > 0 && fit {
		return m.workPerReplica() + absentModelBonus*capacity
	}
	return m.workPerReplica()
}

// rankCandidates returns the models that need a replica, the most urgent first.
func (p *Planner) rankCandidates(states map[string]*modelState, zones int, fit bool, capacity float64) []*modelState {
	var out []*modelState
	for _, m := range states {
		absent := m.replicas == 0 && (fit || m.fastRate > 0)
		overloaded := m.workPerReplica() > scaleUpShare*capacity
		missingZone := m.fastRate > activeShare*capacity && len(m.zones) < zones
		if absent || overloaded || missingZone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *modelState) int {
		return cmp.Or(cmp.Compare(b.urgency(fit, capacity), a.urgency(fit, capacity)), cmp.Compare(b.slowRate, a.slowRate), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	return out
}

// placement is an engine on which a model can get a replica.
type placement struct {
	e      *Engine
	victim *modelState // unloaded first, nil if the engine has room
	cost   float64
}

// addReplica orders the load of one more replica of a model, or the unload that
// makes room for it, on the engine with the lowest cost. It reports false if no
// engine can take the model now.
func (p *Planner) addReplica(now time.Duration, engines []*Engine, states map[string]*modelState, m *modelState, fit bool, capacity float64) (Action, bool) {
	var best *placement
	for _, e := range engines {
		if !e.canTakeOrder(now) || e.Reserved != "" || e.assigned(m.spec.Name) || e.holds(m.spec.Name) {
			continue
		}
		candidate, ok := p.placementOn(e, states, m, fit, capacity)
		if !ok {
			continue
		}
		d, fromStore := e.loadTime(m.spec)
		if fromStore && p.budgets[m.key.Service].remaining(now, e.Spec.LoadsPerS) <= 0 {
			continue
		}
		candidate.cost += d.Seconds()*capacity*loadTimeCost + float64(m.zones[e.Upstream.Zone])*capacity*zoneCost + float64(e.Requests)*workPerSlot*requestCost
		if best == nil || candidate.cost < best.cost {
			best = &candidate
		}
	}
	if best == nil {
		return Action{}, false
	}
	if best.victim != nil {
		best.victim.replicas--
		best.victim.zones[best.e.Upstream.Zone]--
		best.e.Reserved, best.e.reservedUntil = m.spec.Name, now+reservationTTL
		m.replicas++
		m.zones[best.e.Upstream.Zone]++
		return p.issueOrder(now, best.e, fleet.OrderUnload, best.victim.spec.Name, "", "makes room for "+m.spec.Name), true
	}
	m.replicas++
	m.zones[best.e.Upstream.Zone]++
	return p.issueOrder(now, best.e, fleet.OrderLoad, m.spec.Name, "", "demand"), true
}

// Weights of the costs of a placement, as shares of an engine's capacity unless
// stated otherwise.
const (
	loadTimeCost = 0.2  // each second of loading
	zoneCost     = 0.15 // each replica that the zone already has
	requestCost  = 0.5  // each request at the engine, as a share of workPerSlot
)

// placementOn returns how the engine can take the model: without an unload if
// the model fits, otherwise in place of the evictable model with the lowest
// eviction cost. It reports false if it cannot.
func (p *Planner) placementOn(e *Engine, states map[string]*modelState, m *modelState, fit bool, capacity float64) (placement, bool) {
	if e.fits(m.spec) {
		return placement{e: e}, true
	}
	if e.waitsForLate(m.spec) { // nothing is unloaded for an order that may never come
		return placement{}, false
	}
	var victim *modelState
	for _, r := range e.Models {
		v := states[r.Model]
		if v == nil || v == m || !p.evictable(v, m, fit, capacity) {
			continue
		}
		if victim == nil || v.evictionCost() < victim.evictionCost() {
			victim = v
		}
	}
	if victim == nil {
		return placement{}, false
	}
	return placement{e: e, victim: victim, cost: victim.evictionCost()}, true
}

// evictable reports whether a replica of v may be unloaded to make room for one
// of m.
func (p *Planner) evictable(v, m *modelState, fit bool, capacity float64) bool {
	replaceable := v.evictionCost()*replaceRatio < m.workPerReplica()
	if v.replicas <= 1 {
		return !fit && replaceable
	}
	if m.replicas == 0 {
		return m.fastRate > 0 || v.evictionCost() < scaleUpShare*capacity
	}
	if m.replicas < m.standby && v.replicas > v.standby && v.evictionCost() < scaleUpShare*capacity {
		return true
	}
	return replaceable
}
