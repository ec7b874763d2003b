// Package upstreamlist decides which upstreams may be used. Its input is the
// list of upstreams in the platform's object store, as full lists and single
// changes, and its output is the set of usable upstreams. During an outage the
// store loses entries of live upstreams, and it lists some of them late.
//
// Invariants:
//   - An upstream that reported that it is draining is never used again in that
//     incarnation, even if a later entry says otherwise.
//   - An entry that disappeared while the store was unreachable counts as live
//     until reregistrationGrace after the store is reachable again; one that
//     disappears at any other time is removed at once.
//   - What is known of an incarnation is merged one by one: a removal that is
//     certain is not taken back by whoever lists an older entry. Entries that
//     lapsed are in doubt, and peers are not told that they are listed.
//   - An older revision of the list never replaces a newer one.
//   - A store that comes back from an older copy lacks entries that live upstreams write
//     again. For reregistrationGrace from the first sight of an era (see
//     objectstore.EraOf), entries that a list lacks count as in an outage, whoever sent it.
package upstreamlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// reregistrationGrace is how long after an outage of the store entries that
// lapsed during it may take to reappear: the platform promises about two
// seconds.
const reregistrationGrace = 2200 * time.Millisecond

// minOutage is the length from which an outage of the store makes entries lapse. Upstreams
// that are silent for three heartbeats lose their entry; a watch that is cut off and goes on,
// or a short outage, makes none silent for so long.
const minOutage = time.Second

const (
	// tellUnlistedFor is how long an incarnation that said that it leaves, and that the
	// list does not name, is told to peers: some of them may have it in their lists.
	tellUnlistedFor = 10 * time.Second
	// maxUnlistedTold bounds the number of those that are told.
	maxUnlistedTold = 64
	// maxDraining is the number of incarnations beyond which those that neither the list
	// names nor peers are told are forgotten.
	maxDraining = 4096
)

// incarnation is one run of an upstream.
type incarnation struct {
	id   string
	born int64
}

type member struct {
	upstream fleet.Upstream
	// lapsedUntil is when an entry that disappeared in an outage of the store
	// counts as gone, 0 while it is listed.
	lapsedUntil time.Duration
	// told is whether a peer said so. The peer sees when the store answers again; an instance
	// that follows it does not.
	told bool
}

// View is one instance's view of the list. It is not safe for concurrent use.
type View struct {
	revision uint64
	members  map[string]*member
	// draining has the incarnations that are draining, with the time at which one said so
	// itself, 0 if the list says so.
	draining map[incarnation]time.Duration
	removed  removals
	// graceUntil is the time until which an entry that disappears may be one
	// that lapsed in an outage.
	graceUntil time.Duration
	// eraGraceUntil is the same for an older copy of the store, from which a peer may have
	// its list, too.
	eraGraceUntil time.Duration
	outageSince   time.Duration // when the store was last known to answer, 0 while it does
	known         bool
	version       uint64
}

// New returns an empty view, for which Known reports false.
func New() *View {
	return &View{members: map[string]*member{}, draining: map[incarnation]time.Duration{}, removed: removals{}}
}

// Revision returns the store's revision of the last known change of the list.
// The store counts changes of other objects too, so two equal views may have
// different revisions until one of them adopts the other's.
func (s *View) Revision() uint64 { return s.revision }

// Known reports whether the list was ever received.
func (s *View) Known() bool { return s.known }

// Version returns a counter that changes whenever the set of usable upstreams
// may have changed.
func (s *View) Version() uint64 { return s.version }

// StoreUnreachable records that the store does not answer and may not have done so since a
// time.
func (s *View) StoreUnreachable(since time.Duration) {
	if s.outageSince == 0 {
		s.outageSince = max(since, 1)
	}
}

// StoreReachable records that the store answers again. After an outage, entries that lapsed
// in an earlier one have the grace period once more: upstreams could not write meanwhile.
func (s *View) StoreReachable(now time.Duration) {
	if s.inOutage(now) {
		s.graceUntil = now + reregistrationGrace
		for _, m := range s.members {
			if m.lapsedUntil != 0 && !m.told {
				m.lapsedUntil = s.graceUntil
			}
		}
	}
	s.outageSince = 0
}

// inOutage reports whether the store has not answered for so long that entries may lapse.
func (s *View) inOutage(now time.Duration) bool {
	return s.outageSince != 0 && now-s.outageSince >= minOutage
}

// Replace applies the full list that the store returned as of a revision. It
// reports whether anything changed.
func (s *View) Replace(now time.Duration, revision uint64, list []fleet.Upstream) bool {
	if !s.accepts(revision) {
		return false
	}
	changed := s.enterEra(now, revision) || !s.known
	s.known = true
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		m := s.members[u.ID]
		reappears := m != nil && m.lapsedUntil != 0
		changed = s.merge(u, reappears) || changed
	}
	for id, m := range s.members {
		if !listed[id] && m.lapsedUntil == 0 {
			s.markMissing(now, id, revision)
			changed = true
		}
	}
	if changed {
		s.revision = max(s.revision, revision)
		s.version++
	}
	return changed
}

// Lapsed is an entry that lapsed in an outage of the store and counts as live for some more
// time.
type Lapsed struct {
	Upstream fleet.Upstream
	Left     time.Duration
}

// ReplaceFromPeer applies a peer's full list as of a revision, with the entries that lapsed in
// the peer's view, and reports whether anything changed. An entry that is in neither is
// removed at once, whether or not this instance itself reaches the store, unless it lapsed
// here or the store has just come back from an older copy: the peer may have started
// since. Entries that lapsed are in doubt: they are taken only by an instance without a list.
func (s *View) ReplaceFromPeer(now time.Duration, revision uint64, list []fleet.Upstream, lapsed []Lapsed) bool {
	if !s.accepts(revision) {
		return false
	}
	first := !s.known
	changed := s.enterEra(now, revision) || first
	s.known = true
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		changed = s.merge(u, false) || changed
	}
	left := make(map[string]time.Duration, len(lapsed))
	for _, l := range lapsed {
		left[l.Upstream.ID] = l.Left
		if first {
			s.merge(l.Upstream, false)
		}
	}
	for id, m := range s.members {
		if listed[id] || m.lapsedUntil != 0 {
			continue
		}
		d, isLapsed := left[id]
		switch {
		case isLapsed:
			m.lapsedUntil, m.told = now+min(d, reregistrationGrace), true
		case now < s.eraGraceUntil:
			s.markMissing(now, id, revision)
		default: // not remembered as a removal: the peer may lack the entry for a reason of its own
			delete(s.members, id)
		}
		changed = true
	}
	s.revision = max(s.revision, revision)
	if changed {
		s.version++
	}
	return changed
}

// accepts reports whether a list as of a revision may replace the present one.
func (s *View) accepts(revision uint64) bool { return !s.known || revision >= s.revision }

// merge takes an entry over unless it is known to be gone or not newer than the own one, and
// reports whether anything changed. reappears is whether an entry that is not newer counts,
// too.
func (s *View) merge(u fleet.Upstream, reappears bool) bool {
	changed := false
	if u.State == fleet.UpstreamDraining && !s.isDraining(u) { // a peer may know it from the upstream itself
		s.markDraining(u)
		changed = true
	}
	m := s.members[u.ID]
	if s.removed.cover(u) || m != nil && m.upstream.Revision >= u.Revision && !reappears {
		return changed
	}
	s.put(u)
	return true
}

// enterEra begins the grace period of an era if a revision is the first one of it, and reports
// whether it is.
func (s *View) enterEra(now time.Duration, revision uint64) bool {
	if !s.known || objectstore.EraOf(revision) <= objectstore.EraOf(s.revision) {
		return false
	}
	s.eraGraceUntil = now + reregistrationGrace
	s.graceUntil = max(s.graceUntil, s.eraGraceUntil)
	return true
}

// isOfEarlierEra reports whether a revision is of an era before that of the list.
func (s *View) isOfEarlierEra(revision uint64) bool {
	return objectstore.EraOf(revision) < objectstore.EraOf(s.revision)
}

// Upsert applies an entry that was written to the store.
func (s *View) Upsert(u fleet.Upstream) {
	if m := s.members[u.ID]; m != nil && m.upstream.Revision > u.Revision || s.isOfEarlierEra(u.Revision) || s.removed.cover(u) {
		return
	}
	s.put(u)
	s.revision = max(s.revision, u.Revision)
	s.version++
}

// Remove records that an entry was deleted, or can no longer be decoded, as of
// a revision.
func (s *View) Remove(now time.Duration, id string, revision uint64) {
	if s.isOfEarlierEra(revision) {
		return
	}
	s.markMissing(now, id, revision)
	s.revision = max(s.revision, revision)
	s.version++
}

// RecordRemoval records that a peer knows that an entry is gone. It reports whether the set of
// usable upstreams may have changed.
func (s *View) RecordRemoval(now time.Duration, r Removal) bool {
	s.removed.add(now, r)
	m := s.members[r.ID]
	if m == nil || !s.removed.cover(m.upstream) {
		return false
	}
	delete(s.members, r.ID)
	s.version++
	return true
}

// Removals returns the removals that peers are told, sorted by ID.
func (s *View) Removals(now time.Duration) []Removal { return s.removed.told(now) }

// MarkDraining records that an incarnation of an upstream reported that it is
// draining.
func (s *View) MarkDraining(now time.Duration, id string, born int64) {
	run := incarnation{id, born}
	if _, known := s.draining[run]; known {
		return
	}
	if len(s.draining) >= maxDraining {
		s.forgetDraining(now)
	}
	s.draining[run] = max(now, 1)
	s.version++
}

// forgetDraining forgets incarnations that neither the list names nor peers are told.
func (s *View) forgetDraining(now time.Duration) {
	maps.DeleteFunc(s.draining, func(run incarnation, at time.Duration) bool {
		return s.members[run.id] == nil && now-at > tellUnlistedFor
	})
}

func (s *View) isDraining(u fleet.Upstream) bool {
	_, ok := s.draining[incarnation{u.ID, u.StartedAtMS}]
	return ok
}

// markDraining records that the entry of an upstream says that it is draining.
func (s *View) markDraining(u fleet.Upstream) { s.draining[incarnation{u.ID, u.StartedAtMS}] = 0 }

func (s *View) put(u fleet.Upstream) {
	if u.State == fleet.UpstreamDraining {
		s.markDraining(u)
	}
	s.members[u.ID] = &member{upstream: u}
}

// markMissing processes that the store does not list an entry as of a revision.
func (s *View) markMissing(now time.Duration, id string, revision uint64) {
	m := s.members[id]
	if m == nil || m.lapsedUntil != 0 {
		return
	}
	if (s.inOutage(now) || now < s.graceUntil) && !s.isDraining(m.upstream) {
		m.lapsedUntil = max(s.graceUntil, now+1)
		return
	}
	s.remove(now, m.upstream, revision)
}

// remove removes an entry that is gone as of a revision.
func (s *View) remove(now time.Duration, u fleet.Upstream, revision uint64) {
	delete(s.members, u.ID)
	s.removed.add(now, Removal{ID: u.ID, StartedAtMS: u.StartedAtMS, AsOf: max(revision, u.Revision), Entry: u.Revision})
}

// RemoveLapsed removes entries that lapsed and did not reappear within
// reregistrationGrace, and reports whether there were any.
func (s *View) RemoveLapsed(now time.Duration) bool {
	s.removed.forget(now)
	dropped := false
	for _, m := range s.members {
		if m.lapsedUntil != 0 && now >= m.lapsedUntil && (m.told || !s.inOutage(now)) {
			s.remove(now, m.upstream, s.revision)
			dropped = true
		}
	}
	if dropped {
		s.version++
	}
	return dropped
}

// Leaving returns the incarnations that are known to be draining although the list does
// not say so, sorted by ID. Those that the list does not name, and that are not older than
// the one that it names, are among them for tellUnlistedFor: a peer may have their entry.
// Only ID and StartedAtMS are set.
func (s *View) Leaving(now time.Duration) []fleet.Upstream {
	var listed, unlisted []fleet.Upstream
	for run, at := range s.draining {
		u := fleet.Upstream{ID: run.id, StartedAtMS: run.born}
		m := s.members[run.id]
		switch {
		case m != nil && m.upstream.StartedAtMS == run.born:
			if m.upstream.State != fleet.UpstreamDraining {
				listed = append(listed, u)
			}
		case at != 0 && now-at <= tellUnlistedFor && (m == nil || m.upstream.StartedAtMS < run.born):
			unlisted = append(unlisted, u)
		}
	}
	slices.SortFunc(unlisted, func(a, b fleet.Upstream) int {
		return cmp.Or(cmp.Compare(s.draining[incarnation{b.ID, b.StartedAtMS}], s.draining[incarnation{a.ID, a.StartedAtMS}]), cmp.Compare(a.ID, b.ID))
	})
	out := append(listed, unlisted[:min(len(unlisted), maxUnlistedTold)]...)
	slices.SortFunc(out, func(a, b fleet.Upstream) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAtMS, b.StartedAtMS))
	})
	return out
}

// Usable returns the upstreams that may get new requests, sorted by ID.
func (s *View) Usable() []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(s.members))
	for _, m := range s.members {
		if !s.isDraining(m.upstream) {
			out = append(out, m.upstream)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// UsableByID returns the upstream with an ID if it may get new requests.
func (s *View) UsableByID(id string) (fleet.Upstream, bool) {
	m := s.members[id]
	if m == nil || s.isDraining(m.upstream) {
		return fleet.Upstream{}, false
	}
	return m.upstream, true
}

// Replaced reports whether the list names a later process at the address of an upstream, under its ID or
// another one. An entry that names no start may be the later one.
func (s *View) Replaced(u *fleet.Upstream) bool {
	if m := s.members[u.ID]; m != nil && m.upstream.StartedAtMS != u.StartedAtMS {
		return true
	}
	for id, m := range s.members {
		if id != u.ID && m.upstream.Address == u.Address && (m.upstream.StartedAtMS == 0 || m.upstream.StartedAtMS > u.StartedAtMS) {
			return true
		}
	}
	return false
}

// Listed returns every listed entry, including draining ones, sorted by ID. Peers
// receive this list.
func (s *View) Listed() []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(s.members))
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if m.lapsedUntil != 0 {
			continue
		}
		u := m.upstream
		if s.isDraining(u) {
			u.State = fleet.UpstreamDraining
		}
		out = append(out, u)
	}
	return out
}

// Lapsed returns the entries that lapsed, sorted by ID.
func (s *View) Lapsed(now time.Duration) []Lapsed {
	var out []Lapsed
	for _, m := range s.members {
		if m.lapsedUntil > now {
			out = append(out, Lapsed{m.upstream, m.lapsedUntil - now})
		}
	}
	slices.SortFunc(out, func(a, b Lapsed) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}
