package assign

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
)

// maxSendDelay is the longest time from a placement until its request is sent. A process
// that was suspended in between asks again.
const maxSendDelay = 500 * time.Millisecond

// Limits returns the limits that upstreams name.
func (s *Scheduler) Limits() *upstreamlimit.Limiter { return s.limits }

// RecordNotice records what an incarnation of an upstream says about itself in the answer
// to a request that was sent at sentAt.
func (s *Scheduler) RecordNotice(now, sentAt time.Duration, id string, startedAtMS int64, n fleet.Notice) {
	u := s.byID[id]
	if u == nil || u.entry.StartedAtMS != startedAtMS {
		return
	}
	u.pausedUntil = max(u.pausedUntil, now+n.Pause)
	if n.HasColdLeft {
		s.limits.ObserveCold(now, sentAt, u.limitKey(), n.ColdLeft)
	}
	if n.Brittle || !n.LimitUnknown {
		s.rooms.Observe(now, sentAt, u.limitKey(), u.entry.Service, n.Brittle)
	}
	if !n.LimitUnknown {
		s.limits.Observe(now, sentAt, u.limitKey(), n.Limited, n.RatePerS)
	}
}

// Rooms returns what is known of brittle upstreams.
func (s *Scheduler) Rooms() *upstreamlimit.Rooms { return s.rooms }

// roomFor reports whether a brittle upstream has room for a request of this instance now, and
// whether it may have later.
func (s *Scheduler) roomFor(now time.Duration, u *upstream) (atOnce, later bool) {
	share, brittle := s.rooms.Share(now, u.limitKey(), u.entry.Service, u.slots())
	if !brittle {
		return true, true
	}
	return u.ownLoad.Requests() < share.Requests, share.Stopped || share.Requests > 0
}

// Pauses returns the times until which upstreams want no request from this instance, by
// upstream ID.
func (s *Scheduler) Pauses(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for id, u := range s.byID {
		if u.pausedUntil > now {
			out[id] = u.pausedUntil
		}
	}
	return out
}

// MergeLimits records the limits that a peer has told, of upstreams that this instance
// knows. It returns the upstreams whose new limit was not in force.
func (s *Scheduler) MergeLimits(now time.Duration, told []upstreamlimit.Observation) []upstreamlimit.Upstream {
	told = slices.DeleteFunc(told, func(o upstreamlimit.Observation) bool {
		u := s.byID[o.Upstream.ID]
		return u == nil || u.limitKey() != o.Upstream
	})
	return s.limits.Merge(now, told)
}

// MergeRooms records what a peer has told of brittle upstreams, as far as this instance knows
// them.
func (s *Scheduler) MergeRooms(told []upstreamlimit.Room) {
	s.rooms.Merge(slices.DeleteFunc(told, func(r upstreamlimit.Room) bool {
		u := s.byID[r.Upstream.ID]
		return u == nil || u.limitKey() != r.Upstream
	}))
}

// LimitedRates returns the limits in force in requests per second, by upstream ID.
func (s *Scheduler) LimitedRates(now time.Duration) map[string]float64 {
	out := map[string]float64{}
	for u, rate := range s.limits.Rates(now) {
		out[u.ID] = rate
	}
	return out
}

func (u *upstream) limitKey() upstreamlimit.Upstream {
	return upstreamlimit.Upstream{ID: u.entry.ID, StartedAtMS: u.entry.StartedAtMS}
}

// availableAt returns the earliest time at which this instance may send a request to the
// upstream by what the upstream says of itself.
func (s *Scheduler) availableAt(now time.Duration, u *upstream) time.Duration {
	return max(s.limits.AvailableAt(now, u.limitKey()), s.limits.ColdAvailableAt(now, u.limitKey()), u.pausedUntil)
}

// mayWaitFor reports whether the job may wait until the upstream is available at a time. It
// waits for a cold upstream only if its response would be cut otherwise.
func (s *Scheduler) mayWaitFor(now time.Duration, j *Job, u *upstream, available time.Duration) bool {
	if available <= now {
		return true
	}
	return j.isWithinPatience(available) && (j.InProgress || !s.limits.IsCold(now, u.limitKey()))
}

// isWithinPatience reports whether a time is early enough for the job to wait for it.
func (j *Job) isWithinPatience(at time.Duration) bool { return at < j.FirstEventDeadline-giveUpMargin }

// takeLimit takes a request from the limit of an available upstream and reports whether
// there is a limit.
func (s *Scheduler) takeLimit(now time.Duration, u *upstream) bool {
	if _, limited := s.limits.Rate(now, u.limitKey()); !limited {
		return false
	}
	return s.limits.Take(now, u.limitKey())
}

// MaySend reports whether the request of a placement may still be sent. What binds is the
// moment of sending: since the placement the upstream may have left, named a limit or asked
// for a pause, or its zone was evacuated.
func (s *Scheduler) MaySend(now time.Duration, p *Placement) bool {
	u := p.upstream
	if !s.IsUsable(p) || now-p.sentAt > maxSendDelay || !s.allows(u, p.job) {
		return false
	}
	if now < u.pausedUntil || !p.coldReserved && s.limits.ColdAvailableAt(now, u.limitKey()) > now {
		return false
	}
	if !p.limited {
		if s.limits.AvailableAt(now, u.limitKey()) > now {
			return false
		}
		p.limited = s.takeLimit(now, u)
	}
	p.coldReserved = p.coldReserved || s.limits.ReserveCold(now, u.limitKey())
	return true
}

// BeginSend reports whether the request of a placement may still be sent, and counts it as
// sent to a cold upstream. The request has to be sent right afterwards.
func (s *Scheduler) BeginSend(now time.Duration, p *Placement) bool {
	if !s.MaySend(now, p) {
		return false
	}
	if !p.coldReserved {
		return true
	}
	p.coldReserved = false
	return s.limits.SendCold(now, p.upstream.limitKey())
}

// releaseCold gives up the reservation of a request that is not sent.
func (s *Scheduler) releaseCold(p *Placement) {
	if p.coldReserved {
		p.coldReserved = false
		s.limits.ReleaseCold(p.upstream.limitKey())
	}
}

// MayRelay reports whether this instance may send the request of a peer to an incarnation of
// an upstream now, and takes it from the upstream's limit. regions are the allowed regions of
// the request, nil for any.
func (s *Scheduler) MayRelay(now time.Duration, id string, startedAtMS int64, regions []string) bool {
	u := s.byID[id]
	if u == nil || u.entry.StartedAtMS != startedAtMS || s.availableAt(now, u) > now {
		return false
	}
	if s.evacuated[u.entry.Zone] || !inRegions(s.opts.Regions, u.entry.Zone, regions) {
		return false
	}
	s.takeLimit(now, u)
	return !s.limits.ReserveCold(now, u.limitKey()) || s.limits.SendCold(now, u.limitKey())
}

// ForgetFailures forgets the failures of an upstream that were those of its link.
func (s *Scheduler) ForgetFailures(id string) {
	if u := s.byID[id]; u != nil {
		u.health = health{fleet: u.health.fleet}
	}
}

// IsUsable reports whether the upstream of a placement is still in the list of those that
// may be used, in the same incarnation.
func (s *Scheduler) IsUsable(p *Placement) bool { return s.byID[p.upstream.entry.ID] == p.upstream }

// RecordNotSent records that no byte of the request of a placement was sent.
func (s *Scheduler) RecordNotSent(p *Placement) {
	s.releaseCold(p)
	if p.limited {
		p.limited = false
		s.limits.Return(p.upstream.limitKey())
	}
}

// heldOff reports whether all upstreams that could serve the job take nothing from this
// instance while the caller waits, by their limits and pauses. at is the earliest time at
// which one of them is available, upstreamlimit.Never if that is not known.
func (s *Scheduler) heldOff(now time.Duration, j *Job) (at time.Duration, heldOff bool) {
	at = upstreamlimit.Never
	for _, u := range s.services[j.Service] {
		if !s.allows(u, j) || !u.takes(now, j) || slices.Contains(j.TriedUpstreams, u.entry.ID) {
			continue
		}
		available := s.availableAt(now, u)
		if s.mayWaitFor(now, j, u, available) {
			return 0, false
		}
		at, heldOff = min(at, available), true
	}
	return at, heldOff
}
