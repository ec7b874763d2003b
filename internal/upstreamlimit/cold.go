package upstreamlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// coldMargin is added to the time for which an upstream counts as cold. Peers' messages
	// extend that time only by more than the margin: the receiver does not know how long a
	// message took, and each hop would add that time again.
	coldMargin = time.Second
	// coldWindow is the window in which the senders together keep the bound of one second.
	// The difference allows for a process that is descheduled between its decision and the
	// first byte.
	coldWindow = 1.1
	// coldHopTime is subtracted from what peers are told of what other peers have told, as
	// each hop adds the time that its message takes. Without it, news that go in circles
	// among 61 instances keep upstreams cold for seconds.
	coldHopTime = 250 * time.Millisecond
	// coldShareMargin keeps the sum of the rate over coldWindow and the burst of a sender
	// below the next whole request.
	coldShareMargin = 0.02
	// coldToldFor is how long peers are told after this instance has learned that an
	// upstream is cold. Each instance also has the upstream's entry.
	coldToldFor = 5 * time.Second
	// maxColdTold is the number of cold upstreams of which peers are told in a message,
	// those learned last.
	maxColdTold = 64
	// maxColdToldTime bounds what peers say where neither the service nor the upstream's
	// entry names a time.
	maxColdToldTime = 30 * time.Second
)

// ColdBounds say how many requests a cold upstream bears in any second: Overage times its
// rate and Slack.
type ColdBounds struct{ Overage, Slack float64 }

// DefaultColdBounds are the platform's usual bounds.
var DefaultColdBounds = ColdBounds{Overage: 1.5, Slack: 5}

// ColdRule is what the configuration says of the cold upstreams of a service.
type ColdRule struct {
	RatePerS  float64       // above 0
	StartTime time.Duration // for which an upstream stays cold after its start, 0 if not known
	// Reserved is the number of requests in any second that are left to calls other than
	// callers' requests.
	Reserved float64
}

// ColdEntry is what the entry of an upstream says.
type ColdEntry struct {
	Revision uint64
	Known    bool          // the entry says for how long the upstream stays cold
	Left     time.Duration // from when the entry was received
}

// ColdUpstream is an upstream that stays cold for Left, as instances tell it to each other.
type ColdUpstream struct {
	Upstream Upstream
	Left     time.Duration
}

// coldLimit is the state of one upstream of a service with a ColdRule, cold or not.
type coldLimit struct {
	key         Upstream
	rule        ColdRule
	entry       ColdEntry
	receivedAt  time.Duration // last word of the upstream itself, of its entry or an answer
	own         time.Duration // end of the cold time by the upstream's own word, 0 for none
	told        time.Duration // the same by peers
	learnedAt   time.Duration // when the end was last moved back
	level       float64       // requests that this instance may send now
	unsent      int           // of these, requests that were placed and not sent
	refilledAt  time.Duration
	rank        int    // place of this instance among the members
	rankVersion uint64 // of the members that rank was computed from
}

func (c *coldLimit) end() time.Duration { return max(c.own, c.told) }

func (c *coldLimit) isCold(now time.Duration) bool {
	end := c.end()
	return end > 0 && now < end+coldMargin
}

// SetColdBounds sets the bounds of all cold upstreams.
func (l *Limiter) SetColdBounds(b ColdBounds) { l.coldBounds = b }

// SetExpectedMembers sets the number of instances that the settings name, this one
// included. An instance that knows only itself although there should be others sends
// nothing to cold upstreams, and no shares are larger than among so many members.
func (l *Limiter) SetExpectedMembers(n int) { l.expected = n }

// SetCold records the entry of an upstream, received now unless its revision is known, of a
// service that has a rule. An incarnation whose entry says nothing counts as cold for the
// rule's StartTime. It reports whether the upstream has become cold by this entry.
func (l *Limiter) SetCold(now time.Duration, u Upstream, rule ColdRule, entry ColdEntry) bool {
	c := l.cold[u]
	first := c == nil
	if first {
		c = &coldLimit{key: u, level: 1, refilledAt: now}
		l.cold[u] = c
	}
	c.rule = rule
	if !first && (entry == c.entry || entry.Revision < c.entry.Revision || !entry.Known) {
		return false
	}
	c.entry = entry
	left := entry.Left
	if !entry.Known {
		left = rule.StartTime
	}
	return l.setOwn(now, now, c, left, first)
}

// ObserveCold records that an upstream said in the answer to a request sent at sentAt for how
// long it stays cold, 0 if it is not. It reports whether the upstream has become cold.
func (l *Limiter) ObserveCold(now, sentAt time.Duration, u Upstream, left time.Duration) bool {
	c := l.cold[u]
	if c == nil || sentAt < c.receivedAt {
		return false
	}
	return l.setOwn(now, sentAt, c, left, false)
}

// setOwn records the upstream's own word as of at. Requests that were sent before it was
// known were not counted, so that an upstream in use starts without a burst.
func (l *Limiter) setOwn(now, at time.Duration, c *coldLimit, left time.Duration, first bool) bool {
	before, end := c.isCold(now), time.Duration(0)
	if left > 0 {
		end = now + left
	}
	if end > c.end()+coldMargin {
		c.learnedAt = now
	}
	c.own, c.receivedAt = end, at
	if before || !c.isCold(now) {
		return false
	}
	l.startCold(now, c, first)
	return true
}

func (l *Limiter) startCold(now time.Duration, c *coldLimit, first bool) {
	c.refilledAt = now
	if !first {
		c.level = 0
	}
}

// MergeCold records what a peer has told and returns the upstreams that have become cold by
// it. A time longer than the service's or the entry's cannot be meant.
func (l *Limiter) MergeCold(now time.Duration, told []ColdUpstream) []Upstream {
	var started []Upstream
	for _, t := range told {
		c := l.cold[t.Upstream]
		if c == nil || t.Left <= 0 {
			continue
		}
		longest := max(c.rule.StartTime, c.entry.Left)
		if longest == 0 {
			longest = maxColdToldTime
		}
		end := now + min(t.Left, longest)
		if end <= c.end()+coldMargin {
			continue
		}
		before := c.isCold(now)
		c.told, c.learnedAt = end, now
		if !before {
			l.startCold(now, c, false)
			started = append(started, t.Upstream)
		}
	}
	return started
}

// ColdToTell returns the cold upstreams that peers may not know of. An instance that has just
// started tells nothing, since it does not know the age of the entries that it has read.
func (l *Limiter) ColdToTell(now time.Duration) []ColdUpstream {
	if now < l.started+settleTime {
		return nil
	}
	var news []*coldLimit
	for _, c := range l.cold {
		if c.end() > now && now-c.learnedAt <= coldToldFor && c.learnedAt >= l.started+settleTime {
			news = append(news, c)
		}
	}
	slices.SortFunc(news, func(a, b *coldLimit) int {
		return cmp.Or(cmp.Compare(b.learnedAt, a.learnedAt), cmp.Compare(a.key.ID, b.key.ID), cmp.Compare(a.key.StartedAtMS, b.key.StartedAtMS))
	})
	var out []ColdUpstream
	for _, c := range news[:min(len(news), maxColdTold)] {
		left := c.end() - now
		if c.told > c.own {
			left -= coldHopTime
		}
		out = append(out, ColdUpstream{c.key, left})
	}
	return out
}

// Cold returns for how long upstreams count as cold.
func (l *Limiter) Cold(now time.Duration) map[Upstream]time.Duration {
	out := map[Upstream]time.Duration{}
	for u, c := range l.cold {
		if c.isCold(now) {
			out[u] = c.end() + coldMargin - now
		}
	}
	return out
}

// IsCold reports whether an upstream counts as cold.
func (l *Limiter) IsCold(now time.Duration, u Upstream) bool { return l.findCold(now, u) != nil }

func (l *Limiter) findCold(now time.Duration, u Upstream) *coldLimit {
	if c := l.cold[u]; c != nil && c.isCold(now) {
		return c
	}
	return nil
}

// ColdAvailableAt returns the earliest time at which this instance may send a request to the
// upstream by its being cold: now if it may now, Never if it is no sender.
func (l *Limiter) ColdAvailableAt(now time.Duration, u Upstream) time.Duration {
	c := l.findCold(now, u)
	if c == nil {
		return now
	}
	if now < l.started+settleTime {
		return l.started + settleTime
	}
	s := l.coldShare(c)
	if s.ratePerS == 0 {
		return Never
	}
	c.refill(now, s)
	free := c.level - float64(c.unsent)
	if free >= 1 {
		return now
	}
	return now + time.Duration(math.Ceil((1-free)/s.ratePerS*float64(time.Second)))
}

// ReserveCold reserves one request to an upstream for which ColdAvailableAt is now. It
// reports whether there is anything to reserve; each reservation ends by SendCold or
// ReleaseCold.
func (l *Limiter) ReserveCold(now time.Duration, u Upstream) bool {
	c := l.findCold(now, u)
	if c == nil {
		return false
	}
	c.unsent++
	return true
}

// SendCold ends a reservation right before its request is sent, which is the moment that
// counts, and reports whether it may still be sent.
func (l *Limiter) SendCold(now time.Duration, u Upstream) bool {
	l.ReleaseCold(u)
	c := l.findCold(now, u)
	if c == nil {
		return true
	}
	s := l.coldShare(c)
	c.refill(now, s)
	if s.ratePerS == 0 || c.level < 1 {
		return false // other instances have joined since
	}
	c.level--
	l.coldSent++
	return true
}

// ColdSent returns the number of requests that this instance has sent to cold upstreams.
func (l *Limiter) ColdSent() uint64 { return l.coldSent }

// ReleaseCold ends a reservation whose request is not sent.
func (l *Limiter) ReleaseCold(u Upstream) {
	if c := l.cold[u]; c != nil && c.unsent > 0 {
		c.unsent--
	}
}

// refill adds the requests for the time since the last call. Those reserved and not sent
// count as part of the burst, so that requests which were delayed do not add to it.
func (c *coldLimit) refill(now time.Duration, s share) {
	if now > c.refilledAt {
		c.level += (now - c.refilledAt).Seconds() * s.ratePerS
		c.refilledAt = now
	}
	c.level = min(c.level, s.burst)
}

// coldShare returns this instance's part of what a cold upstream bears.
func (l *Limiter) coldShare(c *coldLimit) share {
	if l.expected > 1 && len(l.members) == 1 {
		return share{}
	}
	bound := math.Floor(c.rule.RatePerS*l.coldBounds.Overage + l.coldBounds.Slack - c.rule.Reserved)
	senders, s := coldShares(c.rule.RatePerS, bound, max(len(l.members), l.expected))
	if c.rankVersion != l.membersVersion {
		c.rank, c.rankVersion = l.rankAt(c.key.ID), l.membersVersion
	}
	if c.rank >= senders {
		return share{}
	}
	return s
}

// coldShares divides what a cold upstream bears, bound requests in any second, among the
// members: as many of them as possible send, with one equal share left for an instance that
// the others do not know. A sender sends at most floor(bound / (senders + 1)) requests in any
// coldWindow, and all together the upstream's rate.
func coldShares(ratePerS, bound float64, members int) (senders int, s share) {
	if bound < 1 {
		return 0, share{}
	}
	senders = int(max(min(float64(members), bound-1), 1))
	most := max(math.Floor(bound/float64(senders+1)), 1) // in a window, of one sender
	rate := min(ratePerS/float64(senders), (most-coldShareMargin)/coldWindow)
	return senders, share{ratePerS: rate, burst: max(most+1-coldShareMargin-rate*coldWindow, 1)}
}

// keepCold forgets the upstreams for which keep returns false.
func (l *Limiter) keepCold(keep func(Upstream) bool) {
	maps.DeleteFunc(l.cold, func(u Upstream, _ *coldLimit) bool { return !keep(u) })
}

// ForgetCold forgets an upstream, whose service no longer has a rule.
func (l *Limiter) ForgetCold(u Upstream) { delete(l.cold, u) }
