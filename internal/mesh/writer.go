package mesh

import (
	"slices"
	"time"
)

// StoreWriter returns the name of the instance that writes to the store what this instance
// wants stored, empty if none is known. storeReachable is whether this instance reaches the
// store. Instances agree on it except while views differ, so a writer has to bear that
// another instance writes too.
func (e *Exchanger) StoreWriter(storeReachable bool) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.storeWriter(e.opts.Now(), storeReachable)
}

// storeWriter returns the fittest instance that reaches the store: of all in a small fleet, and
// in a large one of the zone, as its leads see it.
func (m *members) storeWriter(now time.Duration, storeReachable bool) string {
	if !m.large(now) {
		readers := m.storeReaders(now, "")
		if storeReachable {
			readers = append(readers, m.self)
		}
		if len(readers) == 0 {
			return ""
		}
		return slices.MinFunc(readers, compareRelays).Name
	}
	for _, lead := range m.leads(now, m.self.Zone) {
		if lead == m.self.Name {
			return m.chosenWatchers(now, storeReachable)[0]
		}
		if p := m.peers[lead]; p.watchersAt != 0 && now-p.watchersAt <= watchersTimeout {
			return p.watchers[0]
		}
	}
	return ""
}
