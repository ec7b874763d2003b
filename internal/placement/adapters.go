package placement

import (
	"cmp"
	"slices"
	"time"
)

// Adapter is one adapter that is resident on an upstream.
type Adapter struct {
	Name     string
	MemoryMB int64
	InFlight int
	Idle     time.Duration // time since its last request on this upstream
}

// AdapterVictims returns the names of the adapters to unload so that mb MB
// more fit into the free memory, least recently used first, and whether
// unloading them suffices. Adapters that serve a request are never chosen. The
// load itself is recorded in the upstream's ledger, which refuses it until the
// unloads have freed the memory.
func AdapterVictims(resident []Adapter, freeMB, mb int64) ([]string, bool) {
	if freeMB >= mb {
		return nil, true
	}
	idle := slices.DeleteFunc(slices.Clone(resident), func(a Adapter) bool { return a.InFlight > 0 })
	slices.SortFunc(idle, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name))
	})
	var victims []string
	for _, a := range idle {
		victims = append(victims, a.Name)
		freeMB += a.MemoryMB
		if freeMB >= mb {
			return victims, true
		}
	}
	return nil, false
}
