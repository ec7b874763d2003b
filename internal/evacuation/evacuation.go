// Package evacuation merges what an instance hears of evacuated availability zones, from the
// store and from peers. Each message is the whole set as of a revision of the store.
//
// Invariants:
//   - A set of an older revision never replaces one of a newer revision.
//   - Of two sets of the same revision, a zone that is in either is evacuated. A read in several
//     pages may have seen a later change, and too few requests cost less than a broken rule.
//   - Without a new set the last one stays.
//   - The first set of an era of the store (see objectstore.EraOf) may be of an older copy. For
//     RestoredGrace, zones that were evacuated before stay so.
package evacuation

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

const (
	// MaxZones bounds the zones of a set, since each state message has all of them.
	MaxZones = 256
	// MaxNameBytes bounds the name of a zone.
	MaxNameBytes = 128
	// RestoredGrace is how long evacuations that an older copy of the store lacks stay in
	// force. The operator writes them again.
	RestoredGrace = 30 * time.Second
)

// Snapshot is the set of evacuated zones as of a revision of the store.
type Snapshot struct {
	Revision uint64
	Zones    []string
}

// Limit returns the zones that a set may have, sorted, without duplicates, and those that are
// left out. If there are more than MaxZones, those for which known returns true come first.
func Limit(zones []string, known func(string) bool) (kept, skipped []string) {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	zones = slices.Compact(zones)
	slices.SortStableFunc(zones, func(a, b string) int {
		switch ka, kb := known(a), known(b); {
		case ka == kb:
			return 0
		case ka:
			return -1
		}
		return 1
	})
	for _, z := range zones {
		if z == "" || len(z) > MaxNameBytes || len(kept) >= MaxZones {
			skipped = append(skipped, z)
			continue
		}
		kept = append(kept, z)
	}
	slices.Sort(kept)
	return kept, skipped
}

// Change is what a merge has changed, as sorted lists of zones.
type Change struct {
	Began, Ended []string
}

// IsEmpty reports whether the set of zones is the same as before.
func (c *Change) IsEmpty() bool { return len(c.Began)+len(c.Ended) == 0 }

// Set is an instance's knowledge of the evacuated zones. Its zero value knows nothing. It is
// not safe for concurrent use.
type Set struct {
	known    bool
	revision uint64
	zones    []string // sorted

	carried      []string // evacuated before the present era
	carriedUntil time.Duration
}

// Known reports whether any set was ever received.
func (s *Set) Known() bool { return s.known }

// Snapshot returns the merged set.
func (s *Set) Snapshot() Snapshot {
	return Snapshot{Revision: s.revision, Zones: slices.Clone(s.zones)}
}

// Merge merges a set from the store or from a peer and returns what changed.
func (s *Set) Merge(now time.Duration, in Snapshot) Change {
	zones := slices.Clone(in.Zones)
	if s.known && objectstore.EraOf(in.Revision) > objectstore.EraOf(s.revision) {
		s.carried, s.carriedUntil = s.zones, now+RestoredGrace
	}
	if now < s.carriedUntil {
		zones = append(zones, s.carried...)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	switch {
	case !s.known || in.Revision > s.revision:
	case in.Revision == s.revision:
		zones = append(zones, s.zones...)
		slices.Sort(zones)
		zones = slices.Compact(zones)
	default:
		return Change{}
	}
	change := Change{Began: missing(zones, s.zones), Ended: missing(s.zones, zones)}
	s.known, s.revision, s.zones = true, in.Revision, zones
	return change
}

// missing returns the elements of list that are not in other.
func missing(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(z string) bool { return slices.Contains(other, z) })
}
