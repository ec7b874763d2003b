package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// adapterRequestTTL is how long a request for an adapter that no engine
	// holds is remembered.
	adapterRequestTTL = 2 * time.Second
	// replicasPerAdapter is how many engines hold each adapter where there is
	// room.
	replicasPerAdapter = 2
	// minAdapterResidency is how much time must have passed since the last order
	// for an adapter before another may replace it.
	minAdapterResidency = 1500 * time.Millisecond
)

// planAdapters loads adapters that were requested and are not loaded, and, where
// adapter slots are free, further adapters of loaded models ahead of demand. An
// engine gets one order at a time.
func (p *Planner) planAdapters(now time.Duration, service string) []Action {
	engines := p.enginesOf(service)
	if len(engines) == 0 || engines[0].Spec.AdapterSlots == 0 {
		return nil
	}
	var actions []Action
	for key, at := range p.adapterRequests {
		if now-at > adapterRequestTTL {
			delete(p.adapterRequests, key)
		}
	}
	for _, n := range p.adapterNeeds(service, engines) {
		if a, ok := p.placeAdapter(now, engines, n); ok {
			actions = append(actions, a)
		}
	}
	return actions
}

// adapterNeed is an adapter that should be loaded on one more engine.
type adapterNeed struct {
	key       ModelKey
	sizeMB    float64
	replicas  int     // engines that hold it
	requested bool    // an instance waits for it
	rate      float64 // Rates.Slow
}

func (p *Planner) adapterNeeds(service string, engines []*Engine) []adapterNeed {
	var needs []adapterNeed
	spec := engines[0].Spec
	for _, name := range spec.ModelNames {
		m := spec.Models[name]
		if m.Adapters == 0 {
			continue
		}
		modelReplicas := 0
		counts := map[string]int{}
		for _, e := range engines {
			r := fleet.FindModel(e.Models, name)
			if r == nil || e.Unloading == name {
				continue
			}
			modelReplicas++
			for _, a := range r.Adapters {
				counts[a]++
			}
		}
		if modelReplicas == 0 {
			continue
		}
		for i := 1; i <= m.Adapters; i++ {
			adapter := fleet.AdapterName(i)
			key := ModelKey{service, name, adapter}
			n := adapterNeed{key: key, sizeMB: m.AdapterMB, replicas: counts[adapter], rate: p.demand[key].Slow}
			_, n.requested = p.adapterRequests[n.key]
			if n.replicas == 0 || n.replicas < min(replicasPerAdapter, modelReplicas) && n.rate > 0 {
				needs = append(needs, n)
			}
		}
	}
	slices.SortFunc(needs, func(a, b adapterNeed) int {
		urgentA, urgentB := a.requested && a.replicas == 0, b.requested && b.replicas == 0
		if urgentA != urgentB {
			if urgentA {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.replicas, b.replicas), cmp.Compare(b.rate, a.rate), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return needs
}

func (p *Planner) placeAdapter(now time.Duration, engines []*Engine, n adapterNeed) (Action, bool) {
	var best *Engine
	for _, e := range engines {
		m := fleet.FindModel(e.Models, n.key.Model)
		if m == nil || m.HasAdapter(n.key.Adapter) || e.Unloading == n.key.Model || !e.canTakeOrder(now) || e.roomMB(n.key.Model, n.key.Adapter) < n.sizeMB {
			continue
		}
		if best == nil || e.adapterCount() < best.adapterCount() || e.adapterCount() == best.adapterCount() && e.Requests < best.Requests {
			best = e
		}
	}
	switch {
	case best == nil:
		return Action{}, false
	case best.adapterCount()+best.lateAdapters() < best.Spec.AdapterSlots:
		return p.issueOrder(now, best, fleet.OrderLoad, n.key.Model, n.key.Adapter, "adapter"), true
	case n.replicas == 0 && n.requested:
		return p.evictAdapter(now, best, n)
	}
	return Action{}, false
}

// evictAdapter orders the unload of the adapter with the least demand on an
// engine, to make room for an adapter that callers wait for. It skips adapters
// whose last order was less than minAdapterResidency ago.
func (p *Planner) evictAdapter(now time.Duration, e *Engine, n adapterNeed) (Action, bool) {
	var victim ModelKey
	lowest := -1.0
	for _, m := range e.Models {
		for _, a := range m.Adapters {
			key := ModelKey{e.Upstream.Service, m.Model, a}
			if now-e.adapterLastOrdered[m.Model+"/"+a] < minAdapterResidency {
				continue
			}
			if r := p.demand[key].Slow; lowest < 0 || r < lowest {
				victim, lowest = key, r
			}
		}
	}
	if lowest < 0 {
		return Action{}, false
	}
	return p.issueOrder(now, e, fleet.OrderUnload, victim.Model, victim.Adapter, "makes room for adapter "+n.key.Adapter), true
}
