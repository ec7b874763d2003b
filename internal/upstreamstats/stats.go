package upstreamstats

import (
	"cmp"
	"slices"
	"time"
)

// Role is the part that an instance has in spreading estimates.
type Role uint8

// The roles of an instance.
const (
	// RolePeer: a small fleet, in which each instance hears all others.
	RolePeer Role = iota
	// RoleMember: hears the leads of its zone only.
	RoleMember
	// RoleLead: hears the members of its zone and the leads of the others.
	RoleLead
)

// Scope says whose observations an estimate covers.
type Scope uint8

// The scopes of estimates.
const (
	// ScopeOwn: those of the sender.
	ScopeOwn Scope = iota
	// ScopeZone: those of the sender's zone.
	ScopeZone
	// ScopeFleet: those of all instances. A member adopts them.
	ScopeFleet

	scopes
)

const (
	// reporterTimeout is how long the reporter of a zone may be silent before another one
	// counts, and the leads of a member before it goes by its own observations: six exchanges
	// of a large fleet.
	reporterTimeout = 1500 * time.Millisecond
	// forgetOrigin is how long the reports of a silent origin are kept.
	forgetOrigin = time.Minute
	// maxOrigins bounds the origins whose reports are kept.
	maxOrigins = 1024
	// halfTrust is the age at which the first report of an origin weighs half. It affects only
	// how a restarted instance weighs what its peers say.
	halfTrust = 5 * time.Second
	// maxStep bounds the observations that one report counts for.
	maxStep = 256
)

// Sender is the instance that sent estimates.
type Sender struct {
	Incarnation string
	SameZone    bool
	Zone        string
	Scope       Scope
}

type originKey struct {
	incarnation string
	scope       Scope
}

// origin is what one instance has told last, by series.
type origin struct {
	at   time.Duration
	last map[*Series]average
}

// reporter is the lead whose sums for a zone are counted.
type reporter struct {
	incarnation string
	at          time.Duration
}

// receiver is what a peer was told.
type receiver struct {
	incarnation string
	at          time.Duration
	began       time.Duration  // when it was told everything last
	told        [scopes]uint64 // version up to which changes were told
}

// Stats are one instance's view of the estimates. It is not safe for concurrent use.
type Stats struct {
	role      Role
	series    map[Key]*Series
	ordered   []*Series
	groups    map[string]*group
	version   uint64
	origins   map[originKey]*origin
	reporters map[string]*reporter // by zone
	receivers map[string]*receiver // by name
	// fleetAt is when a lead told a member the fleet's estimates last, if hearsFleet.
	fleetAt    time.Duration
	hearsFleet bool
}

// New returns empty estimates.
func New() *Stats {
	return &Stats{
		series: map[Key]*Series{}, groups: map[string]*group{}, origins: map[originKey]*origin{},
		reporters: map[string]*reporter{}, receivers: map[string]*receiver{},
	}
}

// SetRole sets the role of this instance.
func (s *Stats) SetRole(r Role) { s.role = r }

// Series returns the series of a key, which it adds if there is none. group names the upstreams
// that serve the same requests, such as those of a service.
func (s *Stats) Series(k Key, group string) *Series {
	if c := s.series[k]; c != nil {
		return c
	}
	c := &Series{key: k, group: s.group(group, k.Kind)}
	c.group.members++
	s.series[k] = c
	s.ordered = append(s.ordered, c)
	return c
}

func (s *Stats) group(name string, k Kind) *group {
	key := string(rune('0'+k)) + name
	if s.groups[key] == nil {
		s.groups[key] = &group{}
	}
	return s.groups[key]
}

// Keep forgets the series for which keep returns false.
func (s *Stats) Keep(keep func(Key) bool) {
	s.ordered = slices.DeleteFunc(s.ordered, func(c *Series) bool {
		if keep(c.key) {
			return false
		}
		c.group.members--
		delete(s.series, c.key)
		for _, o := range s.origins {
			delete(o.last, c)
		}
		return true
	})
}

// Observe records an observation of this instance.
func (s *Stats) Observe(now time.Duration, c *Series, value float64) {
	b := bounds[c.key.Kind]
	value = min(max(value, b.low), b.high)
	c.own.add(c.key.Kind, 1, 1, value)
	c.own.at = now
	s.changed(&c.own.told, c.key.Kind, &c.own.average)
	if s.role == RoleMember && s.hearsFleet && now-s.fleetAt < reporterTimeout {
		return // the lead tells it with those of the others
	}
	if s.role == RoleLead {
		s.addZone(now, c, 1, 1, value)
	}
	s.addFleet(now, c, 1, 1, value)
}

func (s *Stats) addZone(now time.Duration, c *Series, n uint64, weight, mean float64) {
	c.zone.add(c.key.Kind, n, weight, mean)
	c.zone.at = now
	s.changedSum(c, &c.zone.told, &c.zone.average, toldZoneCount)
}

func (s *Stats) addFleet(now time.Duration, c *Series, n uint64, weight, mean float64) {
	c.fleet.add(c.key.Kind, n, weight, mean)
	s.touchFleet(now, c, n)
}

// touchFleet records that the fleet's estimate of a series has n more observations.
func (s *Stats) touchFleet(now time.Duration, c *Series, n uint64) {
	c.group.observed(n)
	c.turn, c.at = c.group.rounds, now
	s.changedSum(c, &c.told, &c.fleet, toldFleetCount)
}

// changed marks a series of which receivers count the observations. Shares of failures that are
// 0 and stay 0 say nothing.
func (s *Stats) changed(t *change, k Kind, a *average) {
	if k != Failures || t.differs(k, a) {
		s.mark(t, a)
	}
}

// changedSum marks the sum of a zone or the fleet if it is worth telling, which it is after count
// observations at the latest.
func (s *Stats) changedSum(c *Series, t *change, a *average, count uint64) {
	k := c.key.Kind
	if t.differs(k, a) || (k != Failures || a.mean > toldFailureChange) && a.count >= t.count+count {
		s.mark(t, a)
	}
}

func (s *Stats) mark(t *change, a *average) {
	s.version++
	*t = change{version: s.version, count: a.count, weight: a.weight, mean: a.mean}
}

// Merge records what a peer has told of known series, as of at. It returns the number of
// estimates that were rejected because their figures cannot be meant.
func (s *Stats) Merge(at time.Duration, from Sender, told []Estimate) (rejected int) {
	if from.Scope >= scopes || !s.accepts(from) {
		return 0
	}
	active := s.report(at, from)
	o := s.origin(at, originKey{from.Incarnation, from.Scope})
	for i := range told {
		e := &told[i]
		if !e.valid() {
			rejected++
			continue
		}
		c := s.series[e.Key]
		if c == nil || o == nil {
			continue
		}
		before, known := o.last[c]
		if e.Sequence <= before.count {
			continue
		}
		reported := average{weight: e.Weight, mean: e.Mean, count: e.Sequence}
		o.last[c] = reported
		switch {
		case !active:
		case from.Scope == ScopeFleet:
			s.adopt(at, c, before, reported)
		case known:
			s.mergeStep(at, from, c, before, reported)
		default:
			s.mergeFirst(at, from, c, e)
		}
	}
	return rejected
}

// accepts reports whether an instance of this role counts estimates of a sender.
func (s *Stats) accepts(from Sender) bool {
	switch from.Scope {
	case ScopeOwn:
		return s.role == RolePeer || s.role == RoleLead && from.SameZone
	case ScopeZone:
		return !from.SameZone && s.role != RoleMember
	default:
		return from.SameZone && s.role == RoleMember
	}
}

// report reports whether the sender's sums are counted. Those of another reporter cover the same
// observations, and count once that one is silent.
func (s *Stats) report(at time.Duration, from Sender) bool {
	name := from.Zone
	switch from.Scope {
	case ScopeOwn:
		return true
	case ScopeFleet: // adopted, not added: it does not matter from which lead
		s.fleetAt, s.hearsFleet = at, true
		return true
	}
	r := s.reporters[name]
	if r != nil && r.incarnation != from.Incarnation && at-r.at < reporterTimeout {
		return false
	}
	s.reporters[name] = &reporter{incarnation: from.Incarnation, at: at}
	return true
}

func (s *Stats) origin(at time.Duration, k originKey) *origin {
	o := s.origins[k]
	if o == nil {
		if len(s.origins) >= maxOrigins {
			return nil
		}
		for key, old := range s.origins {
			if at-old.at > forgetOrigin {
				delete(s.origins, key)
			}
		}
		o = &origin{last: map[*Series]average{}}
		s.origins[k] = o
	}
	o.at = at
	return o
}

// adopt takes over the fleet's estimate from a lead.
func (s *Stats) adopt(at time.Duration, c *Series, before, reported average) {
	n := min(reported.count-before.count, maxStep)
	if before.count == 0 {
		n = 1 // how long the lead has counted says nothing about now
	}
	c.fleet = average{weight: reported.weight, mean: reported.mean, count: c.fleet.count + n}
	s.touchFleet(at, c, n)
}

// mergeStep adds what an origin has observed between two reports.
func (s *Stats) mergeStep(at time.Duration, from Sender, c *Series, before, reported average) {
	k := c.key.Kind
	n := min(reported.count-before.count, maxStep)
	kept := before.weight * k.retained(float64(n))
	weight := min(reported.weight-kept, k.full())
	if weight <= 0 {
		return
	}
	mean := (reported.weight*reported.mean - kept*before.mean) / weight
	s.add(at, from, c, n, weight, min(max(mean, bounds[k].low), bounds[k].high))
}

func (s *Stats) add(at time.Duration, from Sender, c *Series, n uint64, weight, mean float64) {
	if s.role == RoleLead && from.SameZone {
		s.addZone(at, c, n, weight, mean)
	}
	s.addFleet(at, c, n, weight, mean)
}

// mergeFirst takes the first report of an origin. All of it is new if it has few observations.
// Otherwise it helps only an instance that knows little itself: reports of several peers overlap
// in time, so they are averaged, those with older observations at a lower weight.
func (s *Stats) mergeFirst(at time.Duration, from Sender, c *Series, e *Estimate) {
	k := c.key.Kind
	if float64(e.Sequence) <= k.full()/2 {
		s.add(at, from, c, e.Sequence, e.Weight, e.Mean)
		return
	}
	if c.fleet.weight >= k.full()/2 && c.fleet.count > uint64(k.full()) {
		return
	}
	trust := float64(halfTrust) / float64(halfTrust+max(e.Age, 0))
	c.fleet.blend(k, e.Weight*trust, e.Mean)
	s.touchFleet(at, c, 1)
	if s.role == RoleLead && from.SameZone {
		c.zone.blend(k, e.Weight*trust, e.Mean)
		c.zone.count++
		c.zone.at = at
		s.changedSum(c, &c.zone.told, &c.zone.average, toldZoneCount)
	}
}

// Restarted records the incarnation of a peer, so that one that restarted is told everything.
func (s *Stats) Restarted(name, incarnation string) {
	if r := s.receivers[name]; r == nil || r.incarnation != incarnation {
		s.receivers[name] = &receiver{incarnation: incarnation}
	}
}

// ForgetReceivers forgets what peers were told that do not run any more.
func (s *Stats) ForgetReceivers(runs func(name string) bool) {
	for name := range s.receivers {
		if !runs(name) {
			delete(s.receivers, name)
		}
	}
}

const (
	// maxTold bounds the estimates in one message, and maxToldFirst those in the first one to a
	// peer that has just started.
	maxTold      = 24
	maxToldFirst = 256
	// tellInterval is the shortest time between two messages with estimates to one peer.
	tellInterval = 200 * time.Millisecond
	// tellIntervalStandby is the same for a lead that is not the one to tell the peer.
	tellIntervalStandby = 2 * time.Second
	// retellInterval is the interval at which a peer is told everything again, since messages
	// may be lost.
	retellInterval = 30 * time.Second
)

// Tell returns the series of a scope that changed since the peer was told last, those that
// changed first first. standby is whether another lead tells the peer the same.
func (s *Stats) Tell(now time.Duration, to string, scope Scope, standby bool) []Estimate {
	r, interval := s.receivers[to], tellInterval
	if standby {
		interval = tellIntervalStandby
	}
	if r == nil || r.at != 0 && now-r.at < interval {
		return nil
	}
	limit := maxTold
	switch {
	case r.at == 0:
		r.began, limit = now, maxToldFirst
	case now-r.began >= retellInterval:
		r.began, r.told = now, [scopes]uint64{}
	}
	since := r.told[scope]
	var due []*Series
	for _, c := range s.ordered {
		if _, _, v := c.scope(scope); v > since {
			due = append(due, c)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b *Series) int {
		_, _, va := a.scope(scope)
		_, _, vb := b.scope(scope)
		return cmp.Compare(va, vb)
	})
	due = due[:min(len(due), limit)]
	out := make([]Estimate, 0, len(due))
	for _, c := range due {
		a, at, v := c.scope(scope)
		out = append(out, Estimate{Key: c.key, Weight: a.weight, Mean: a.mean, Sequence: a.count, Age: max(now-at, 0)})
		r.told[scope] = v
	}
	r.at = now
	return out
}

// scope returns the average of a scope, the time of its last observation and the version of its
// last change.
func (s *Series) scope(scope Scope) (*average, time.Duration, uint64) {
	switch scope {
	case ScopeOwn:
		return &s.own.average, s.own.at, s.own.told.version
	case ScopeZone:
		return &s.zone.average, s.zone.at, s.zone.told.version
	default:
		return &s.fleet, s.at, s.told.version
	}
}

// Count returns the number of series with an estimate, and of origins that told some.
func (s *Stats) Count() (series, origins int) {
	for _, c := range s.ordered {
		if c.fleet.weight > 0 {
			series++
		}
	}
	return series, len(s.origins)
}
