package residency

import (
	"cmp"
	"slices"
)

const (
	// balanceParts is the number of parts in which the work of a model is divided
	// among its engines.
	balanceParts = 8
	// balancePasses is the number of times that the work of each model is divided,
	// given that of the others.
	balancePasses = 2
)

// balance is an estimate of the work at each engine: instances send each request to
// the engine with the least work among those that hold its model, so that the work of
// a model evens out the load of its engines, whatever else these do.
type balance struct {
	load    map[*Engine]float64                 // work per second, in prompt tokens
	share   map[*modelState]map[*Engine]float64 // of the load, by model
	holders map[*modelState][]*Engine
}

// newBalance estimates the work at the engines, given the demand and the engines to
// which each model is assigned, and sets the level of each model.
func newBalance(engines []*Engine, states map[string]*modelState) *balance {
	b := &balance{load: map[*Engine]float64{}, share: map[*modelState]map[*Engine]float64{}, holders: map[*modelState][]*Engine{}}
	var busy []*modelState
	for _, e := range engines {
		for _, name := range e.assignedModels() {
			if m := states[name]; m != nil {
				b.holders[m] = append(b.holders[m], e)
			}
		}
	}
	for _, m := range states {
		if m.fastRate > 0 && len(b.holders[m]) > 0 {
			busy = append(busy, m)
			b.share[m] = map[*Engine]float64{}
		}
	}
	slices.SortFunc(busy, func(x, y *modelState) int {
		return cmp.Or(cmp.Compare(y.fastRate, x.fastRate), cmp.Compare(x.spec.Name, y.spec.Name))
	})
	for range balancePasses {
		for _, m := range busy {
			b.divide(m)
		}
	}
	for _, m := range states {
		m.level = b.level(m)
	}
	return b
}

// divide divides the work of a model anew, part by part, each to the engine with the
// least work.
func (b *balance) divide(m *modelState) {
	for e, work := range b.share[m] {
		b.load[e] -= work
	}
	clear(b.share[m])
	for range balanceParts {
		e := b.leastLoaded(m)
		b.load[e] += m.fastRate / balanceParts
		b.share[m][e] += m.fastRate / balanceParts
	}
}

func (b *balance) leastLoaded(m *modelState) *Engine {
	return slices.MinFunc(b.holders[m], func(x, y *Engine) int { return cmp.Compare(b.load[x], b.load[y]) })
}

// level returns the work at the least loaded engine of a model, which the next
// request of the model finds. It is 0 without an engine.
func (b *balance) level(m *modelState) float64 {
	if len(b.holders[m]) == 0 {
		return 0
	}
	return b.load[b.leastLoaded(m)]
}

// without returns the work at an engine if it did not hold a model.
func (b *balance) without(e *Engine, m *modelState) float64 {
	return b.load[e] - b.share[m][e]
}
