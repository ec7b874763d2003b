package upstreamlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

const (
	// keepRemovals is how long a removal is remembered: the time after which an instance that
	// was frozen or cut off may still come with the entry.
	keepRemovals = time.Minute
	// tellRemovals is how long peers are told of a removal.
	tellRemovals = 15 * time.Second
	// maxRemovals and maxRemovalsTold bound their numbers.
	maxRemovals     = 4096
	maxRemovalsTold = 64
)

// Removal says that the entry of an incarnation of an upstream is gone.
type Removal struct {
	ID          string
	StartedAtMS int64
	AsOf        uint64 // version of the list without the entry
	Entry       uint64 // version of the entry as last seen
}

// covers reports whether an entry of the incarnation with a version is gone. An upstream that
// enters itself again gets a later version. In a later era than that of the removal, the
// entry may be that of an older copy of the store.
func (r Removal) covers(version uint64) bool {
	if objectstore.EraOf(version) > objectstore.EraOf(r.AsOf) {
		return objectstore.RevisionOf(version) <= objectstore.RevisionOf(r.Entry)
	}
	return version <= r.AsOf
}

type datedRemoval struct {
	Removal
	at time.Duration // when this instance learned of it
}

// removals are the removals that are remembered.
type removals map[incarnation]datedRemoval

// cover reports whether an entry is known to be gone.
func (r removals) cover(u fleet.Upstream) bool {
	known, ok := r[incarnation{u.ID, u.StartedAtMS}]
	return ok && known.covers(u.Revision)
}

// add records a removal unless a later one of the incarnation is known. Beyond maxRemovals it
// forgets the one that was learned first.
func (r removals) add(now time.Duration, removal Removal) {
	run := incarnation{removal.ID, removal.StartedAtMS}
	if known, ok := r[run]; ok && known.AsOf >= removal.AsOf {
		return
	}
	if len(r) >= maxRemovals {
		delete(r, r.first())
	}
	r[run] = datedRemoval{removal, now}
}

// first returns the incarnation whose removal was learned first.
func (r removals) first() incarnation {
	return slices.MinFunc(slices.Collect(maps.Keys(r)), func(a, b incarnation) int { return cmp.Compare(r[a].at, r[b].at) })
}

func (r removals) forget(now time.Duration) {
	maps.DeleteFunc(r, func(_ incarnation, d datedRemoval) bool { return now-d.at > keepRemovals })
}

// told returns the removals that peers are told, those learned last if there are too many,
// sorted by ID.
func (r removals) told(now time.Duration) []Removal {
	var recent []datedRemoval
	for _, d := range r {
		if now-d.at <= tellRemovals {
			recent = append(recent, d)
		}
	}
	byID := func(a, b datedRemoval) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAtMS, b.StartedAtMS))
	}
	if len(recent) > maxRemovalsTold {
		slices.SortFunc(recent, func(a, b datedRemoval) int { return cmp.Or(cmp.Compare(b.at, a.at), byID(a, b)) })
		recent = recent[:maxRemovalsTold]
	}
	slices.SortFunc(recent, byID)
	out := make([]Removal, 0, len(recent))
	for _, d := range recent {
		out = append(out, d.Removal)
	}
	return out
}
