package placementsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// adapters loads adapters on demand into each upstream's slots.
type adapters struct {
	rng     *rand.Rand
	slots   int
	byModel [][]string
	held    map[*upstream][]placement.Adapter
	used    map[*upstream]map[string]time.Duration
}

func newAdapters(w Workload, rng *rand.Rand) *adapters {
	a := &adapters{
		rng: rng, slots: w.AdapterSlots, byModel: make([][]string, w.Models),
		held: map[*upstream][]placement.Adapter{},
		used: map[*upstream]map[string]time.Duration{},
	}
	for i := range w.Adapters {
		m := i % w.Models
		a.byModel[m] = append(a.byModel[m], fmt.Sprintf("adapter-%02d", i))
	}
	return a
}

// serve asks each replica for one of the model's adapters, the first ones
// most often, and returns how many had to be loaded.
func (a *adapters) serve(now time.Duration, m int, targets []*target) int {
	loads := 0
	for _, t := range targets {
		names := a.byModel[m]
		if len(names) == 0 {
			continue
		}
		if a.touch(now, t.up, names[a.rng.IntN(1+a.rng.IntN(len(names)))]) {
			loads++
		}
	}
	return loads
}

// touch uses an adapter on an upstream and says whether it had to be loaded.
func (a *adapters) touch(now time.Duration, up *upstream, name string) bool {
	if a.used[up] == nil {
		a.used[up] = map[string]time.Duration{}
	}
	_, resident := a.used[up][name]
	a.used[up][name] = now
	if resident {
		return false
	}
	held := a.held[up]
	for i := range held {
		held[i].Idle = now - a.used[up][held[i].Name]
	}
	free := int64(a.slots - len(held))
	victims, _ := placement.AdapterVictims(held, free, 1)
	kept := make([]placement.Adapter, 0, a.slots)
	for _, h := range held {
		if len(victims) > 0 && victims[0] == h.Name {
			delete(a.used[up], h.Name)
			continue
		}
		kept = append(kept, h)
	}
	a.held[up] = append(kept, placement.Adapter{Name: name, MemoryMB: 1})
	return true
}
