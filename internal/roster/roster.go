// Package roster decides which upstreams may be used. It follows the list of
// upstreams in the platform's store, which loses entries of live upstreams
// while it is away and shows some of them late.
//
// Invariants:
//   - An upstream that said it is draining is never used again in that
//     incarnation, whatever a later entry says.
//   - An entry that vanished while the store was out of reach counts as live
//     until settleTime after the store is back; one that vanished in calm
//     times is gone at once.
//   - An older revision of the list never replaces a newer one.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// settleTime is how long after the store's return entries that lapsed
// meanwhile may take to be back: the platform promises about two seconds.
const settleTime = 2200 * time.Millisecond

// incarnation is one run of an upstream.
type incarnation struct {
	id   string
	born int64
}

type member struct {
	upstream fleet.Upstream
	// lapsed is when the entry vanished in an outage of the store, 0 while
	// it is listed.
	lapsed time.Duration
}

// State is one instance's view of the list. It is not safe for concurrent use.
type State struct {
	revision uint64
	members  map[string]*member
	left     map[incarnation]bool
	// unsettled is the time until which a vanished entry may be one that
	// lapsed in an outage.
	unsettled time.Duration
	away      bool
	known     bool
	version   uint64
}

// New returns a view that knows nothing.
func New() *State {
	return &State{members: map[string]*member{}, left: map[incarnation]bool{}}
}

// Revision returns the store's revision of the last change of the list that is
// known. The store counts changes of other objects too, so two views alike may
// bear different revisions until one of them is told the other's.
func (s *State) Revision() uint64 { return s.revision }

// Known reports whether the list was ever seen.
func (s *State) Known() bool { return s.known }

// Version changes whenever the set of usable upstreams may have changed.
func (s *State) Version() uint64 { return s.version }

// Away notes that the store does not answer.
func (s *State) Away() { s.away = true }

// Back notes that the store answers again.
func (s *State) Back(now time.Duration) {
	if s.away {
		s.away = false
		s.unsettled = now + settleTime
	}
}

// Replace takes in the whole list as of a revision, as the store gave it. It
// reports whether anything changed.
func (s *State) Replace(now time.Duration, revision uint64, list []fleet.Upstream) bool {
	return s.replace(revision, list, func(id string) { s.vanished(now, id) })
}

// Adopt takes in a peer's list as of a revision. The peer has kept what may
// have lapsed in an outage, so what it does not list is gone: this instance's
// own link to the store says nothing of that.
func (s *State) Adopt(revision uint64, list []fleet.Upstream) bool {
	changed := s.replace(revision, list, func(id string) { delete(s.members, id) })
	s.revision = max(s.revision, revision)
	return changed
}

func (s *State) replace(revision uint64, list []fleet.Upstream, vanished func(id string)) bool {
	if s.known && revision < s.revision {
		return false
	}
	changed := !s.known
	s.known = true
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		if m := s.members[u.ID]; m == nil || m.upstream.Revision < u.Revision || m.lapsed != 0 {
			s.put(u)
			changed = true
		}
	}
	for id, m := range s.members {
		if !listed[id] {
			before := m.lapsed
			vanished(id)
			changed = changed || s.members[id] == nil || before == 0
		}
	}
	if changed {
		s.revision = max(s.revision, revision)
		s.version++
	}
	return changed
}

// Changed takes in an entry that was written.
func (s *State) Changed(u fleet.Upstream) {
	if m := s.members[u.ID]; m != nil && m.upstream.Revision > u.Revision {
		return
	}
	s.put(u)
	s.revision = max(s.revision, u.Revision)
	s.version++
}

// Removed takes in that an entry is gone as of a revision, or that it cannot
// be read.
func (s *State) Removed(now time.Duration, id string, revision uint64) {
	s.vanished(now, id)
	s.revision = max(s.revision, revision)
	s.version++
}

// Leaving takes in an upstream's own word that it leaves.
func (s *State) Leaving(id string, born int64) {
	if !s.left[incarnation{id, born}] {
		s.left[incarnation{id, born}] = true
		s.version++
	}
}

func (s *State) put(u fleet.Upstream) {
	if u.State == fleet.UpstreamDraining {
		s.left[incarnation{u.ID, u.Born}] = true
	}
	s.members[u.ID] = &member{upstream: u}
}

func (s *State) vanished(now time.Duration, id string) {
	m := s.members[id]
	if m == nil {
		return
	}
	if m.lapsed == 0 && (s.away || now < s.unsettled) && !s.left[incarnation{id, m.upstream.Born}] {
		m.lapsed = max(now, 1)
		return
	}
	if m.lapsed == 0 {
		delete(s.members, id)
	}
}

// Tick drops entries that lapsed and did not come back, and reports whether
// there were any.
func (s *State) Tick(now time.Duration) bool {
	if s.away || now < s.unsettled {
		return false
	}
	dropped := false
	for id, m := range s.members {
		if m.lapsed != 0 {
			delete(s.members, id)
			dropped = true
		}
	}
	if dropped {
		s.version++
	}
	return dropped
}

// Usable returns the upstreams that may get new requests, by ID.
func (s *State) Usable() []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(s.members))
	for _, m := range s.members {
		if !s.left[incarnation{m.upstream.ID, m.upstream.Born}] {
			out = append(out, m.upstream)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns every entry known, also those that leave, for peers.
func (s *State) All() []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(s.members))
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		u := s.members[id].upstream
		if s.left[incarnation{u.ID, u.Born}] {
			u.State = fleet.UpstreamDraining
		}
		out = append(out, u)
	}
	return out
}
