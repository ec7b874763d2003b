package residency

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// wantedTerm is how long a request for an adapter that nothing holds is
	// remembered.
	wantedTerm = 2 * time.Second
	// copiesOf is how many engines hold each adapter, where there is room.
	copiesOf = 2
	// adapterIdle is how long an adapter must not have been ordered before
	// another may take its place.
	adapterIdle = 1500 * time.Millisecond
)

// planAdapters answers requests for adapters that are not loaded, and loads
// the adapters of models in use ahead of demand where places are free. One
// order an engine at a time.
func (p *Planner) planAdapters(now time.Duration, service string) []Action {
	engines := p.of(service)
	if len(engines) == 0 || engines[0].Spec.AdapterSlots == 0 {
		return nil
	}
	var actions []Action
	for key, at := range p.wanted {
		if now-at > wantedTerm {
			delete(p.wanted, key)
		}
	}
	for _, n := range p.adapterNeeds(service, engines) {
		if a, ok := p.placeAdapter(now, engines, n); ok {
			actions = append(actions, a)
		}
	}
	return actions
}

// need is an adapter that should have another engine.
type need struct {
	key    ModelKey
	mb     float64
	copies int
	wanted bool
	rate   float64
}

func (p *Planner) adapterNeeds(service string, engines []*Engine) []need {
	var needs []need
	spec := engines[0].Spec
	for _, name := range spec.ModelNames {
		m := spec.Models[name]
		if m.Adapters == 0 {
			continue
		}
		replicas := 0
		counts := map[string]int{}
		for _, e := range engines {
			r := fleet.Find(e.Models, name)
			if r == nil || e.Unloading == name {
				continue
			}
			replicas++
			for _, a := range r.Adapters {
				counts[a]++
			}
		}
		if replicas == 0 {
			continue
		}
		for i := 1; i <= m.Adapters; i++ {
			adapter := fmt.Sprintf("a%d", i)
			key := ModelKey{service, name, adapter}
			n := need{key: key, mb: m.AdapterMB, copies: counts[adapter], rate: p.demand[key].Slow}
			_, n.wanted = p.wanted[n.key]
			if n.copies == 0 || n.copies < min(copiesOf, replicas) && n.rate > 0 {
				needs = append(needs, n)
			}
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		urgentA, urgentB := a.wanted && a.copies == 0, b.wanted && b.copies == 0
		if urgentA != urgentB {
			if urgentA {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.copies, b.copies), cmp.Compare(b.rate, a.rate), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return needs
}

func (p *Planner) placeAdapter(now time.Duration, engines []*Engine, n need) (Action, bool) {
	var best *Engine
	for _, e := range engines {
		m := fleet.Find(e.Models, n.key.Model)
		if m == nil || m.Holds(n.key.Adapter) || e.Unloading == n.key.Model || !e.usable(now) || e.freeMB()-roomMargin < n.mb {
			continue
		}
		if best == nil || e.adapters() < best.adapters() || e.adapters() == best.adapters() && e.Requests < best.Requests {
			best = e
		}
	}
	switch {
	case best == nil:
		return Action{}, false
	case best.adapters() < best.Spec.AdapterSlots:
		return p.order(now, best, fleet.OrderLoad, n.key.Model, n.key.Adapter, "adapter"), true
	case n.copies == 0 && n.wanted:
		return p.evictAdapter(now, best, n)
	}
	return Action{}, false
}

// evictAdapter makes room for an adapter that callers wait for, in the place
// of the one that was asked for least.
func (p *Planner) evictAdapter(now time.Duration, e *Engine, n need) (Action, bool) {
	var victim ModelKey
	lowest := -1.0
	for _, m := range e.Models {
		for _, a := range m.Adapters {
			key := ModelKey{e.Entry.Service, m.Model, a}
			if now-e.adapterUsed[m.Model+"/"+a] < adapterIdle {
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
	return p.order(now, e, fleet.OrderUnload, victim.Model, victim.Adapter, "makes room for adapter "+n.key.Adapter), true
}
