package upstreamlimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stopFor is how long nothing is sent to a brittle upstream after it has rejected a
	// request of any instance.
	stopFor = time.Second
	// raiseInterval is the time without a rejection after which the bound of a brittle
	// upstream is raised by one request.
	raiseInterval = 2 * time.Second
	// cutFactor is the part of the bound that is left by a rejection.
	cutFactor = 0.75
	// brittleMemory is how long a service counts as brittle after the last answer that
	// said so.
	brittleMemory = 10 * time.Second
)

// Room is what is known of a brittle upstream, which ends if it has to reject too many
// requests in a second, as instances tell it to each other.
type Room struct {
	Upstream Upstream
	Service  string
	SaidAt   time.Duration // last answer that said it is brittle
	// RejectedAt is when it last rejected a request, 0 if it did not.
	RejectedAt time.Duration
}

// room is the state of one upstream of a service that is brittle or was a short time ago.
type room struct {
	Room
	clearedAt time.Duration // when an answer did not say it is brittle
	left      float64       // part of the upstream's slots that may be used, by all instances together
	raisedAt  time.Duration

	rank        int    // place of this instance among the members
	rankVersion uint64 // of the members that rank was computed from
}

// Share is this instance's part of what a brittle upstream runs at a time.
type Share struct {
	Requests int  // at once
	Stopped  bool // nothing for now, since the upstream has rejected a request
}

// Rooms bounds the requests at once at brittle upstreams. There is no central counter: each
// member may have an even part of the bound at the upstream, and where there are more members
// than requests, the first in an order that differs between upstreams may have one each. It
// is not safe for concurrent use.
//
// Invariant: if each running instance knows all others that run, all together have no more
// requests at an upstream than it runs at a time, so that it has to let none wait.
type Rooms struct {
	members  *Limiter
	rooms    map[Upstream]*room
	services map[string]time.Duration // last answer that said that an upstream is brittle
}

// NewRooms returns rooms that are shared by the members of a limiter.
func NewRooms(members *Limiter) *Rooms {
	return &Rooms{members: members, rooms: map[Upstream]*room{}, services: map[string]time.Duration{}}
}

// Observe records whether an upstream said that it is brittle, in the answer to a request
// sent at sentAt.
func (r *Rooms) Observe(now, sentAt time.Duration, u Upstream, service string, brittle bool) {
	if !brittle {
		if m := r.rooms[u]; m != nil && sentAt > m.SaidAt {
			m.clearedAt = now
		}
		return
	}
	r.said(Room{Upstream: u, Service: service, SaidAt: now})
}

// Rejected records that an upstream had no room for a request of this instance.
func (r *Rooms) Rejected(now time.Duration, u Upstream) {
	if m := r.rooms[u]; m != nil {
		r.reject(m, now)
	}
}

// Merge records what a peer has told.
func (r *Rooms) Merge(told []Room) {
	for _, t := range told {
		r.said(t)
	}
}

func (r *Rooms) said(t Room) {
	m := r.room(t.Upstream, t.Service)
	m.SaidAt = max(m.SaidAt, t.SaidAt)
	r.services[t.Service] = max(r.services[t.Service], t.SaidAt)
	if t.RejectedAt > 0 {
		r.reject(m, t.RejectedAt)
	}
}

func (r *Rooms) room(u Upstream, service string) *room {
	m := r.rooms[u]
	if m == nil {
		m = &room{Room: Room{Upstream: u, Service: service}, left: 1}
		r.rooms[u] = m
	}
	return m
}

// reject lowers the bound, once for the rejections of one stop.
func (r *Rooms) reject(m *room, at time.Duration) {
	if at > m.RejectedAt+stopFor || m.RejectedAt == 0 {
		m.left *= cutFactor
	}
	m.RejectedAt, m.raisedAt = max(m.RejectedAt, at), max(m.raisedAt, at)
}

// Share returns this instance's part at an upstream that runs so many requests at a time. ok
// is false if the upstream is not brittle.
func (r *Rooms) Share(now time.Duration, u Upstream, service string, slots int) (share Share, ok bool) {
	said, known := r.services[service]
	if !known || now-said > brittleMemory {
		return Share{}, false
	}
	m := r.room(u, service)
	if m.clearedAt > m.SaidAt {
		return Share{}, false
	}
	bound := m.bound(now, slots)
	if m.RejectedAt > 0 && now < m.RejectedAt+stopFor {
		return Share{Stopped: true}, true
	}
	if m.rankVersion != r.members.membersVersion {
		m.rank, m.rankVersion = r.members.rankAt(u.ID), r.members.membersVersion
	}
	members := len(r.members.members)
	share.Requests = bound / members
	if m.rank < bound%members {
		share.Requests++
	}
	return share, true
}

// bound returns the number of requests at once from all instances together, at least 1. It is
// raised by one for each raiseInterval since the last rejection, up to slots.
func (m *room) bound(now time.Duration, slots int) int {
	most := float64(max(slots, 1))
	if m.left >= 1 {
		m.raisedAt = now
	}
	for m.left < 1 && now-m.raisedAt >= raiseInterval {
		m.left, m.raisedAt = min(m.left+1/most, 1), m.raisedAt+raiseInterval
	}
	return max(int(m.left*most), 1)
}

// Keep forgets the upstreams for which keep returns false.
func (r *Rooms) Keep(keep func(Upstream) bool) {
	for u := range r.rooms {
		if !keep(u) {
			delete(r.rooms, u)
		}
	}
}

// Known returns what is known of the upstreams that said within brittleMemory that they are
// brittle, to be told to peers: those with the newest answers.
func (r *Rooms) Known(now time.Duration) []Room {
	var out []Room
	for _, m := range r.rooms {
		if m.SaidAt > 0 && now-m.SaidAt <= brittleMemory {
			out = append(out, m.Room)
		}
	}
	slices.SortFunc(out, func(a, b Room) int {
		return cmp.Or(cmp.Compare(b.SaidAt, a.SaidAt), cmp.Compare(a.Upstream.ID, b.Upstream.ID), cmp.Compare(a.Upstream.StartedAtMS, b.Upstream.StartedAtMS))
	})
	return out[:min(len(out), maxObservations)]
}
