package upstreamlist

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fleetModel is a few instances, some of which watch the store, and tell each other what they
// know in any order.
type fleetModel struct {
	now       time.Duration
	revision  uint64 // with the era
	entries   map[string]fleet.Upstream
	alive     map[string]bool // upstreams that keep themselves entered
	left      map[string]bool // upstreams that left in an era, until they enter themselves in it again
	instances []*modelInstance

	copied         map[string]fleet.Upstream // an older copy of the store, nil for none
	copiedRevision uint64
	restoredAt     time.Duration
}

type modelInstance struct {
	*View
	touch    bool // sees each change of the store at once
	frozen   bool
	frozenAt time.Duration
	wokeAt   time.Duration
	knew     map[string]uint64 // revision as of which this instance, in touch, saw an entry go
}

// contactTime is how long an instance and the store are undisturbed until the instance counts as
// in touch.
const contactTime = 3 * time.Second

func (m *fleetModel) list() []fleet.Upstream {
	var out []fleet.Upstream
	for _, u := range m.entries {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b fleet.Upstream) int { return int(a.Revision) - int(b.Revision) })
	return out
}

func (m *fleetModel) register(id string) {
	m.revision++
	m.entries[id], m.alive[id] = entry(id, m.revision), true
	for _, n := range m.instances {
		delete(n.knew, id)
		if n.touch && !n.frozen {
			n.Upsert(m.entries[id])
		}
	}
}

func (m *fleetModel) remove(id string) {
	if _, ok := m.entries[id]; !ok {
		return
	}
	m.revision++
	delete(m.entries, id)
	delete(m.alive, id)
	m.left[id] = true
	for _, n := range m.instances {
		if n.touch && !n.frozen {
			n.Remove(m.now, id, m.revision)
			if m.now-max(n.wokeAt, m.restoredAt) >= contactTime {
				n.knew[id] = m.revision
			}
		}
	}
}

// toggleFreeze freezes an instance, or wakes it: an instance in touch then finds that its watch
// has failed and reads the list.
func (m *fleetModel) toggleFreeze(n *modelInstance) {
	n.frozen = !n.frozen
	if n.frozen {
		n.frozenAt = m.now
		return
	}
	n.wokeAt = m.now
	if n.touch {
		n.StoreUnreachable(n.frozenAt)
		n.StoreReachable(m.now)
		n.Replace(m.now, m.revision, m.list())
	}
}

// copyOrRestore takes a copy of the store, or lets the store come back from it. Upstreams that
// are alive write themselves again at once, and those in touch read the list.
func (m *fleetModel) copyOrRestore() {
	if m.copied == nil {
		m.copied, m.copiedRevision = maps.Clone(m.entries), m.revision
		return
	}
	era := objectstore.EraOf(m.revision) + 1
	inEra := func(version uint64) uint64 {
		out, _ := objectstore.VersionOf(era, objectstore.RevisionOf(version)) // both are in bounds
		return out
	}
	m.revision, m.entries = inEra(m.copiedRevision), map[string]fleet.Upstream{}
	for id, u := range m.copied {
		u.Revision = inEra(u.Revision)
		m.entries[id] = u
	}
	m.copied, m.restoredAt = nil, m.now
	for _, n := range m.instances {
		if n.touch && !n.frozen {
			n.Replace(m.now, m.revision, m.list())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.alive)) {
		m.revision++
		m.entries[id] = entry(id, m.revision)
		for _, n := range m.instances {
			if n.touch && !n.frozen {
				n.Upsert(m.entries[id])
			}
		}
	}
}

// exchange lets two instances swap states, and the one with the older list fetch the other's.
func (m *fleetModel) exchange(a, b *modelInstance) {
	if a.frozen || b.frozen {
		return
	}
	for _, r := range a.Removals(m.now) {
		b.RecordRemoval(m.now, r)
	}
	for _, r := range b.Removals(m.now) {
		a.RecordRemoval(m.now, r)
	}
	if a.Revision() > b.Revision() {
		b.ReplaceFromPeer(m.now, a.Revision(), a.Listed(), a.Lapsed(m.now))
	}
}

// Whatever is frozen, woken and exchanged, an instance in touch that has seen an entry go never
// uses it again, and an upstream that is listed is used by all in touch (review/4).
func TestRemovalIsNotTakenBackInAFleet(t *testing.T) { testFleet(t, false) }

// The same holds while the store comes back from older copies, which list what has left and lack
// what has come (review/3).
func TestRemovalIsNotTakenBackOverEras(t *testing.T) { testFleet(t, true) }

func testFleet(t *testing.T, restores bool) {
	rapidtest.Check(t, func(t *rapid.T) {
		m := &fleetModel{now: time.Minute, entries: map[string]fleet.Upstream{}, alive: map[string]bool{}, left: map[string]bool{}}
		for i := range 4 {
			m.instances = append(m.instances, &modelInstance{View: New(), touch: i < 3, knew: map[string]uint64{}})
		}
		for i := range 4 {
			m.register(fmt.Sprint("u", i))
		}
		for _, n := range m.instances {
			n.Replace(m.now, m.revision, m.list())
		}
		pick := func() *modelInstance {
			return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")]
		}
		for range 120 {
			id := fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream"))
			if restores && rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				m.copyOrRestore()
			}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				m.remove(id)
			case 1:
				m.register(id)
			case 2:
				m.toggleFreeze(pick())
			case 3, 4, 5:
				m.exchange(pick(), pick())
			case 6:
				m.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			}
			for _, n := range m.instances {
				if n.frozen || !n.touch {
					continue
				}
				n.RemoveLapsed(m.now)
				for id := range n.knew {
					must.False(t, slices.Contains(usableIDs(n.View), id), must.Sprintf("%s is used, though seen to go", id))
				}
				for id := range m.alive {
					if restores && m.left[id] {
						continue // its entry may look like one of an older copy
					}
					must.True(t, slices.Contains(usableIDs(n.View), id), must.Sprintf("%s is not used, though listed", id))
				}
			}
		}
	})
}
