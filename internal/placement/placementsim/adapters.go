package placementsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// adapters simulates adapters that are loaded on demand into each upstream's
// slots.
type adapters struct {
	rng      *rand.Rand
	slots    int
	byModel  [][]string
	resident map[*upstream][]placement.Adapter
	lastUsed map[*upstream]map[string]time.Duration
}

func newAdapters(w Workload, rng *rand.Rand) *adapters {
	a := &adapters{
		rng: rng, slots: w.AdapterSlots, byModel: make([][]string, w.Models),
		resident: map[*upstream][]placement.Adapter{},
		lastUsed: map[*upstream]map[string]time.Duration{},
	}
	for i := range w.Adapters {
		m := i % w.Models
		a.byModel[m] = append(a.byModel[m], fmt.Sprintf("adapter-%02d", i))
	}
	return a
}

// serve requests one of the model's adapters from each replica, the first ones
// most often, and returns how many had to be loaded.
func (a *adapters) serve(now time.Duration, m int, targets []*target) int {
	loads := 0
	for _, t := range targets {
		names := a.byModel[m]
		if len(names) == 0 {
			continue
		}
		if a.useAdapter(now, t.up, names[a.rng.IntN(1+a.rng.IntN(len(names)))]) {
			loads++
		}
	}
	return loads
}

// useAdapter uses an adapter on an upstream and reports whether it had to be
// loaded.
func (a *adapters) useAdapter(now time.Duration, up *upstream, name string) bool {
	if a.lastUsed[up] == nil {
		a.lastUsed[up] = map[string]time.Duration{}
	}
	_, isLoaded := a.lastUsed[up][name]
	a.lastUsed[up][name] = now
	if isLoaded {
		return false
	}
	loaded := a.resident[up]
	for i := range loaded {
		loaded[i].Idle = now - a.lastUsed[up][loaded[i].Name]
	}
	free := int64(a.slots - len(loaded))
	victims, _ := placement.AdapterVictims(loaded, free, 1)
	kept := make([]placement.Adapter, 0, a.slots)
	for _, entry := range loaded {
		if len(victims) > 0 && victims[0] == entry.Name {
			delete(a.lastUsed[up], entry.Name)
			continue
		}
		kept = append(kept, entry)
	}
	a.resident[up] = append(kept, placement.Adapter{Name: name, MemoryMB: 1})
	return true
}
