// Package upstreamlimit keeps the limits that upstreams name, and those of cold upstreams
// (see cold.go): the requests a second that an upstream takes from all instances together. There is no central counter. Every
// instance learns a limit from the upstream's answers or from its peers, and all choose
// the same few instances that may send, the upstream's senders, each with an even part of
// the rate. See senderCount for their number and Limiter for the bound that results.
package upstreamlimit

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// burstSeconds is the part of the limit, in seconds of its rate, by which all
	// senders together may exceed the rate at once; burstRequests is added to it.
	burstSeconds  = 2.0
	burstRequests = 1.0
	// maxShareBurst is the largest burst of one sender, in seconds of its part of the
	// rate, unless that is less than one request.
	maxShareBurst = 0.5
	// minRate is the least rate in requests per second, because only an answer tells
	// that an upstream no longer has a limit.
	minRate = 0.25
	// settleTime is the time after the start of an instance in which it sends nothing
	// to an upstream with a limit, as other instances may not know of it yet.
	settleTime = 3 * time.Second
	// memberMemory is how long a silent member keeps its place among the senders. It
	// may be cut off and still send.
	memberMemory = 10 * time.Minute
	// takeoverAfter is the time without an answer of the upstream to any instance
	// after which those that are no senders take turns of takeoverTurn each. In its
	// turn an instance may send one request.
	takeoverAfter = 5 * time.Second
	takeoverTurn  = time.Second
	// dropDelay is the time for which no answer may name a limit, after one without a
	// limit, until it ends.
	dropDelay = time.Second
	// dropMemory is how long the end of a limit is told to peers.
	dropMemory = 30 * time.Second
	// maxObservations is the number of upstreams of which peers are told, those with
	// the newest answers.
	maxObservations = 256
)

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID          string
	StartedAtMS int64
}

// Observation is what an answer of an upstream said, as instances tell it to each other.
// Origin and Sequence identify it.
type Observation struct {
	Upstream Upstream
	Limited  bool
	RatePerS float64
	// At is the time up to which the answer is known to tell the upstream's state, on the
	// clock of the receiver: when it arrived or, if it named no limit, when its request
	// was sent. The upstream may have named one since then.
	At       time.Duration
	Origin   string // incarnation of the instance that got the answer
	Sequence uint64 // increases with each observation of an origin
}

// limit is the state of one upstream that named a limit.
type limit struct {
	last        Observation // newest observation
	limited     bool
	rate        float64           // requests per second
	dropSince   time.Duration     // when the first observation without a limit came since the last with one, 0 for none
	endedAt     time.Duration     // when the limit ended
	seen        map[string]uint64 // last sequence by origin
	level       float64           // requests that this instance may send now
	refilledAt  time.Duration
	sentAt      time.Duration // last request of this instance, 0 for none
	rank        int           // place of this instance among the members
	rankVersion uint64        // of the members that rank was computed from
}

// Limiter is one instance's view of all limits. It is not safe for concurrent use.
//
// Invariant: if each running instance knows all others that run, at most senderCount
// instances send to an upstream at a time, whatever else their views hold. A member that
// is missing from a view adds one sender at most. In a window, the senders send the rate
// times the window, burstSeconds of the rate and burstRequests at most; turns of others
// come on top only while no sender gets an answer.
type Limiter struct {
	name           string
	incarnation    string
	started        time.Duration
	sequence       uint64
	members        map[string]time.Duration // by name, when last known to run
	membersVersion uint64
	limits         map[Upstream]*limit
	cold           map[Upstream]*coldLimit
	coldBounds     ColdBounds
	coldSent       uint64
	expected       int // members that the settings name
}

// New returns a limiter without limits, for an instance that starts at now. Its name is
// unique among the instances that run, its incarnation among all starts.
func New(now time.Duration, name, incarnation string) *Limiter {
	return &Limiter{
		name: name, incarnation: incarnation, started: now,
		members: map[string]time.Duration{name: now}, membersVersion: 1, limits: map[Upstream]*limit{},
		cold: map[Upstream]*coldLimit{}, coldBounds: DefaultColdBounds,
	}
}

// SetMembers records the instances known to run now, by name.
func (l *Limiter) SetMembers(now time.Duration, names []string) {
	before := len(l.members)
	for _, n := range names {
		l.members[n] = now
	}
	changed := len(l.members) != before
	for name, at := range l.members {
		if name != l.name && now-at > memberMemory {
			delete(l.members, name)
			changed = true
		}
	}
	if changed {
		l.membersVersion++
	}
}

// MemberCount returns the number of members, silent ones included.
func (l *Limiter) MemberCount() int { return len(l.members) }

// Keep forgets the upstreams for which keep returns false.
func (l *Limiter) Keep(keep func(Upstream) bool) {
	maps.DeleteFunc(l.limits, func(u Upstream, _ *limit) bool { return !keep(u) })
	l.keepCold(keep)
}

// Observe records what an upstream said in an answer to a request that this instance sent
// at sentAt. It reports whether the upstream named a limit that was not in force.
func (l *Limiter) Observe(now, sentAt time.Duration, u Upstream, limited bool, ratePerS float64) bool {
	if !limited && l.limits[u] == nil {
		return false
	}
	at := sentAt
	if limited {
		at = now
	}
	l.sequence++
	return l.apply(now, Observation{Upstream: u, Limited: limited, RatePerS: ratePerS, At: at, Origin: l.incarnation, Sequence: l.sequence})
}

// Merge records what a peer has told. It returns the upstreams whose new limit was not in
// force.
func (l *Limiter) Merge(now time.Duration, told []Observation) []Upstream {
	var changed []Upstream
	for _, o := range told {
		if o.Origin != l.incarnation && l.apply(now, o) {
			changed = append(changed, o.Upstream)
		}
	}
	return changed
}

func (l *Limiter) apply(now time.Duration, o Observation) bool {
	c := l.limits[o.Upstream]
	if c == nil {
		c = &limit{seen: map[string]uint64{}, refilledAt: now, level: 1}
		l.limits[o.Upstream] = c
	}
	if o.Sequence <= c.seen[o.Origin] {
		return false
	}
	c.seen[o.Origin] = o.Sequence
	if o.At < c.last.At {
		return false
	}
	l.refill(now, c)
	c.last = o
	if o.Limited {
		changed := !c.limited || c.rate != o.RatePerS
		c.limited, c.rate, c.dropSince = true, o.RatePerS, 0
		return changed
	}
	if c.limited && c.dropSince == 0 {
		c.dropSince = now
	}
	return false
}

// find returns the state of an upstream that has a limit now, nil if it has none.
func (l *Limiter) find(now time.Duration, u Upstream) *limit {
	c := l.limits[u]
	if c == nil {
		return nil
	}
	if c.limited && c.dropSince != 0 && now-c.dropSince >= dropDelay {
		c.limited, c.endedAt = false, now
	}
	if !c.limited {
		return nil
	}
	return c
}

// Observations returns the newest observation of each upstream that has a limit or had
// one within dropMemory, to be sent to peers.
func (l *Limiter) Observations(now time.Duration) []Observation {
	var out []Observation
	for u, c := range l.limits {
		if l.find(now, u) != nil || now-c.endedAt <= dropMemory {
			out = append(out, c.last)
		}
	}
	slices.SortFunc(out, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Upstream.ID, b.Upstream.ID), cmp.Compare(a.Upstream.StartedAtMS, b.Upstream.StartedAtMS))
	})
	return out[:min(len(out), maxObservations)]
}

// Rate returns the limit in force in requests per second. ok is false if there is none.
func (l *Limiter) Rate(now time.Duration, u Upstream) (ratePerS float64, ok bool) {
	if c := l.find(now, u); c != nil {
		return c.rate, true
	}
	return 0, false
}

// Rates returns the limits in force in requests per second.
func (l *Limiter) Rates(now time.Duration) map[Upstream]float64 {
	out := map[Upstream]float64{}
	for u := range l.limits {
		if c := l.find(now, u); c != nil {
			out[u] = c.rate
		}
	}
	return out
}

// AvailableAt returns the earliest time at which this instance may send a request to the
// upstream: now if it may now, Never if it is no sender.
func (l *Limiter) AvailableAt(now time.Duration, u Upstream) time.Duration {
	c := l.find(now, u)
	if c == nil {
		return now
	}
	if now < l.started+settleTime {
		return l.started + settleTime
	}
	share := l.share(c)
	if share.ratePerS == 0 {
		if l.isTurn(now, c) {
			return now
		}
		return Never
	}
	l.refill(now, c)
	if c.level >= 1 {
		return now
	}
	return now + time.Duration(math.Ceil((1-c.level)/share.ratePerS*float64(time.Second)))
}

// Take takes one request from this instance's part of the limit and reports whether it
// may be sent now.
func (l *Limiter) Take(now time.Duration, u Upstream) bool {
	c := l.find(now, u)
	if c == nil {
		return true
	}
	if l.AvailableAt(now, u) > now {
		return false
	}
	if l.share(c).ratePerS > 0 {
		c.level--
	}
	c.sentAt = now
	return true
}

// Return gives back a request that was taken and not sent.
func (l *Limiter) Return(u Upstream) {
	if c := l.limits[u]; c != nil {
		c.level++
	}
}

// refill adds the requests for the time since the last call.
func (l *Limiter) refill(now time.Duration, c *limit) {
	if !c.limited || now <= c.refilledAt {
		c.refilledAt = max(now, c.refilledAt)
		return
	}
	s := l.share(c)
	c.level = min(c.level+(now-c.refilledAt).Seconds()*s.ratePerS, s.burst)
	c.refilledAt = now
}

// share is a part of a limit.
type share struct {
	ratePerS float64 // 0 if the instance is no sender
	burst    float64 // requests at once
}

// share returns this instance's part of a limit.
func (l *Limiter) share(c *limit) share {
	senders := min(senderCount(c.rate), len(l.members))
	if l.rank(c) >= senders {
		return share{burst: 1}
	}
	rate := max(c.rate, minRate) / float64(senders)
	burst := math.Floor((burstSeconds*c.rate + burstRequests) / float64(senders))
	return share{ratePerS: rate, burst: max(1, min(burst, maxShareBurst*rate))}
}

// senderCount returns the largest number of instances that may send to an upstream with
// this limit. Each of them can send a request at any time, so that their number is bounded
// by what the limit leaves beside its rate.
func senderCount(ratePerS float64) int {
	return int(min(max(math.Floor(burstSeconds*ratePerS+burstRequests), 1), math.MaxInt32))
}

// rank returns the place of this instance in the order of the members, which differs
// between upstreams.
func (l *Limiter) rank(c *limit) int {
	if c.rankVersion == l.membersVersion {
		return c.rank
	}
	c.rank, c.rankVersion = l.rankAt(c.last.Upstream.ID), l.membersVersion
	return c.rank
}

// rankAt returns the place of this instance in the order of the members for an upstream.
func (l *Limiter) rankAt(upstream string) int {
	own, n := memberHash(upstream, l.name), 0
	for name := range l.members {
		if h := memberHash(upstream, name); h < own || h == own && name < l.name {
			n++
		}
	}
	return n
}

func memberHash(upstream, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(upstream + "/" + name)) // never fails
	x := h.Sum64()
	x ^= x >> 33 // names that differ in the last byte only differ in all bits
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// isTurn reports whether this instance, which is no sender, may send a request because no
// instance has had an answer for so long. The senders may be down or have no demand.
func (l *Limiter) isTurn(now time.Duration, c *limit) bool {
	quiet := now - max(c.last.At, c.sentAt)
	senders := min(senderCount(c.rate), len(l.members))
	others := len(l.members) - senders
	if quiet < takeoverAfter || others <= 0 {
		return false
	}
	turn := int((quiet - takeoverAfter) / takeoverTurn)
	return turn%others == l.rank(c)-senders
}
