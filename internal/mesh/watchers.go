package mesh

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
)

const (
	// watchersPerZone is the number of instances of a zone that watch the store
	// for the others. If a watch fails silently, the watchers of other zones
	// and the instances that poll make up for it.
	watchersPerZone = 1
	// attemptersPerWatcher is the number of instances not known to reach the
	// store that try to reach it, for each missing watcher.
	attemptersPerWatcher = 3
	// attemptRotationInterval is how long these instances try before others
	// take over: the time for an unanswered read of the store and an exchange
	// of states.
	attemptRotationInterval = time.Second
	// watchersTimeout is how long a lead's choice of watchers is valid, and how
	// long after its start an instance waits for the first one.
	watchersTimeout = 3 * time.Second
)

// watchCandidate is an instance that may watch the store for its zone.
type watchCandidate struct {
	info           *meshpb.MemberInfo
	storeReachable bool // it reports that it reaches the store
}

// chooseWatchers returns the names of the instances that watch the store: of those
// that reach it, the ones of the highest capacity, then the first by name. While these
// are too few, some of the others try in rotation, because attempts by all instances
// of a large fleet would overload a store that has failed.
func chooseWatchers(now time.Duration, zone []watchCandidate) []string {
	var out, unreachable []string
	slices.SortFunc(zone, func(a, b watchCandidate) int { return compareRelays(a.info, b.info) })
	for _, c := range zone {
		switch {
		case c.storeReachable && len(out) < watchersPerZone:
			out = append(out, c.info.Name)
		case !c.storeReachable:
			unreachable = append(unreachable, c.info.Name)
		}
	}
	attempters := attemptersPerWatcher * (watchersPerZone - len(out))
	rotation := now / attemptRotationInterval
	rank := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(name, rotation)) }
	slices.SortFunc(unreachable, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return append(out, unreachable[:min(attempters, len(unreachable))]...)
}

// chosenWatchers returns the names of the instances that this instance, as a
// lead, chooses to watch the store for its zone.
func (m *members) chosenWatchers(now time.Duration, storeReachable bool) []string {
	zone := []watchCandidate{{info: m.self, storeReachable: storeReachable}}
	for _, p := range m.peers {
		if p.info.Zone == m.self.Zone && !p.leaving && p.stateAt != 0 && now-p.stateAt <= silentAfter {
			zone = append(zone, watchCandidate{info: p.info, storeReachable: p.storeReachable && m.knowsEra(now, p)})
		}
	}
	return chooseWatchers(now, zone)
}

// isWatcher reports whether this instance watches the store. In a small fleet
// or as a lead, it decides by itself; otherwise it uses the watchers that the
// leads of its zone report, if they know the store's era. Without such a report for
// watchersTimeout, it watches.
func (m *members) isWatcher(now time.Duration, storeReachable bool) bool {
	if !m.large(now) {
		return m.storeReaderRank(now, m.self.Zone) < watchersPerZone
	}
	if m.isLead(now, m.self.Name, m.self.Zone) {
		return slices.Contains(m.chosenWatchers(now, storeReachable), m.self.Name)
	}
	hasReport := false
	for _, p := range m.peers {
		if p.watchersAt != 0 && now-p.watchersAt <= watchersTimeout && m.knowsEra(now, p) {
			if slices.Contains(p.watchers, m.self.Name) {
				return true
			}
			hasReport = true
		}
	}
	return !hasReport && now-m.started > watchersTimeout
}
