// Package sharedlimit limits organisations to a rate and a burst over all
// instances without a central counter. Each instance estimates the level of one
// shared token bucket from its own usage and from the usage that its peers
// report. While the shared bucket is above its reserve, a request is admitted
// against the estimate. Below that, each instance is held to its share of the
// rate, in proportion to the demand that it sees.
//
// Usage beyond the limit is at most what all instances admit within the age of
// the peers' messages, less the reserve.
package sharedlimit

import (
	"maps"
	"math"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// reserveFraction is the fraction of the burst that is admitted only from
	// the instances' shares.
	reserveFraction = 0.35
	// evenFraction is the fraction of the rate that is shared evenly, so that
	// an instance without demand so far can serve its first requests.
	evenFraction = 0.2
	// demandWindow is the time constant of the moving average of the demand.
	demandWindow = 1500 * time.Millisecond
	// staleAfter is the age of a peer's message beyond which its usage is
	// assumed rather than known.
	staleAfter = 400 * time.Millisecond
	// peerTimeout is the age of a peer's message beyond which the peer counts
	// as gone.
	peerTimeout = 12 * time.Second
	// initialFraction is the fraction of the burst that is available when an
	// instance starts, as the usage before that is not known.
	initialFraction = 0.3
	// spreadFraction is the fraction of the burst that is spread over the
	// window of the limit as a higher rate; the rest can be used at once. The
	// bound in any window, rate times window plus burst, is the same as
	// without spreading.
	spreadFraction = 0.5
	// minBurstSeconds is the least part of the burst that is not spread, in
	// seconds of the rate. It covers the usage that goes unseen until a network
	// partition is noticed, for which the window has no other allowance.
	minBurstSeconds = 1.0
	minRetryAfter   = 100 * time.Millisecond
	maxRetryAfter   = 5 * time.Second
)

// Usage is an instance's report of its usage of one organisation's limit.
type Usage struct {
	Total  float64 // tokens admitted since the instance started
	Demand float64 // tokens requested per second
}

// Limiter is one instance's view of all limits. It is not safe for concurrent
// use.
type Limiter struct {
	orgs  map[string]*bucket
	peers map[string]*peer
	// expectedPeers is the number of instances besides this one according to
	// the settings. Until expectedUntil, each of them that no message covers
	// yet is assumed to have the same demand as this instance.
	expectedPeers int
	expectedUntil time.Duration
	// window is the time over which usage is limited to rate times window plus
	// burst.
	window time.Duration
}

// peer is the last report of a peer, or of several peers that are summed.
type peer struct {
	incarnation string
	instances   int
	updatedAt   time.Duration
	usage       map[string]Usage
	// assumedUsage is the number of tokens taken out of each organisation's
	// shared bucket for usage that the peer has not reported yet.
	assumedUsage map[string]float64
}

// isStale reports whether the peer's usage since its last message is assumed.
func (p *peer) isStale(now time.Duration) bool {
	age := now - p.updatedAt
	return age > staleAfter && age <= peerTimeout
}

// demand returns the peer's demand for tokens per second. If its last message
// is stale, its demand per instance is assumed to be at least that of this
// instance.
func (p *peer) demand(now time.Duration, org string, b *bucket) float64 {
	reported := p.usage[org].Demand
	if now-p.updatedAt <= staleAfter {
		return reported
	}
	return max(reported, b.demand*float64(p.instances))
}

// bucket is an instance's state of one organisation's limit, in tokens and
// tokens per second.
type bucket struct {
	rate, burst     float64
	sharedLevel     float64 // estimated level of the shared bucket
	localLevel      float64 // level of this instance's own bucket
	refilledAt      time.Duration
	admittedTotal   float64 // since the instance started
	demand          float64 // moving average as of demandUpdatedAt
	demandUpdatedAt time.Duration
}

// New returns a limiter without organisations, for an instance that starts at
// now and expects the given number of other instances. The limit on all
// instances together is rate times window plus burst in any window.
func New(now time.Duration, expected int, window time.Duration) *Limiter {
	return &Limiter{
		orgs: map[string]*bucket{}, peers: map[string]*peer{}, expectedPeers: expected, expectedUntil: now + peerTimeout, window: window,
	}
}

// bucketParams returns the rate and burst of the bucket that enforces an
// organisation's limit, after a part of the burst is spread.
func (l *Limiter) bucketParams(org *fleet.Organisation) (rate, burst float64) {
	spread := min(spreadFraction*org.Burst, max(org.Burst-minBurstSeconds*org.RatePerS, 0))
	return org.RatePerS + spread/l.window.Seconds(), org.Burst - spread
}

// missingPeers returns the number of expected peers that no message covers yet.
func (l *Limiter) missingPeers(now time.Duration) int {
	if now >= l.expectedUntil {
		return 0
	}
	known := 0
	for _, p := range l.peers {
		known += p.instances
	}
	return max(l.expectedPeers-known, 0)
}

// Decision is the outcome of a request for tokens.
type Decision struct {
	Admitted     bool
	RetryAfter   time.Duration // set if the request is not admitted
	Cost         float64       // of the request, in tokens
	Rate         float64       // of the organisation's bucket, in tokens per second
	Burst        float64       // of the organisation's bucket, in tokens
	Level        float64       // estimated level of the shared bucket after the request
	RateFraction float64       // this instance's fraction of the rate
	PeerAge      time.Duration // age of the oldest peer message counted
}

// Admit charges a request's cost in tokens, or returns a retry delay if the
// request is over the limit.
func (l *Limiter) Admit(now time.Duration, org *fleet.Organisation, cost float64) Decision {
	if !org.Limited() {
		return Decision{Admitted: true}
	}
	b := l.bucket(now, org)
	fraction, age := l.rateFraction(now, org.Name, b)
	l.refill(now, org.Name, b, fraction)
	b.addDemand(now, cost)
	d := Decision{Cost: cost, Rate: b.rate, Burst: b.burst, RateFraction: fraction, PeerAge: age}
	switch {
	case b.sharedLevel-cost >= reserveFraction*b.burst:
		d.Admitted = true
	case b.localLevel >= b.requiredLevel(cost, fraction) && b.sharedLevel > 0:
		d.Admitted = true
		b.localLevel -= cost
	default:
		shortfall := b.requiredLevel(cost, fraction) - b.localLevel
		wait := time.Duration(shortfall / max(b.rate*fraction, 1e-9) * float64(time.Second))
		d.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	}
	if d.Admitted {
		b.sharedLevel -= cost
		b.admittedTotal += cost
	}
	d.Level = b.sharedLevel
	return d
}

// Charge charges the cost of another run of an admitted request, because the
// limit counts every run.
func (l *Limiter) Charge(org string, cost float64) {
	if b := l.orgs[org]; b != nil {
		b.sharedLevel -= cost
		b.admittedTotal += cost
	}
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) Refund(org string, cost float64) {
	if b := l.orgs[org]; b != nil {
		b.sharedLevel = min(b.sharedLevel+cost, b.burst)
		b.admittedTotal -= cost
	}
}

// bucket returns the bucket of an organisation, with the rate and burst of its
// current configuration. It adds one if there is none.
func (l *Limiter) bucket(now time.Duration, org *fleet.Organisation) *bucket {
	b := l.orgs[org.Name]
	rate, burst := l.bucketParams(org)
	if b == nil {
		b = &bucket{rate: rate, burst: burst, sharedLevel: initialFraction * burst, refilledAt: now, demandUpdatedAt: now}
		l.orgs[org.Name] = b
	}
	if b.rate != rate || b.burst != burst {
		b.rate, b.burst = rate, burst
		b.sharedLevel = min(b.sharedLevel, b.burst)
	}
	return b
}

// SetOrganisations adds buckets for the organisations of a configuration, so
// that they fill before the first request, and removes those of organisations
// that are gone or have no limit.
func (l *Limiter) SetOrganisations(now time.Duration, orgs map[string]*fleet.Organisation) {
	for name := range l.orgs {
		if o := orgs[name]; o == nil || !o.Limited() {
			delete(l.orgs, name)
		}
	}
	for _, o := range orgs {
		if o.Limited() {
			l.bucket(now, o)
		}
	}
}

// addDemand counts a request's cost in the demand.
func (b *bucket) addDemand(now time.Duration, cost float64) {
	b.decayDemand(now)
	b.demand += cost / demandWindow.Seconds()
}

// decayDemand decays the demand for the time since demandUpdatedAt.
func (b *bucket) decayDemand(now time.Duration) {
	if dt := now - b.demandUpdatedAt; dt > 0 {
		b.demand *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		b.demandUpdatedAt = now
	}
}

// rateFraction returns this instance's fraction of the rate and the age of the
// oldest peer message that it is based on.
func (l *Limiter) rateFraction(now time.Duration, org string, b *bucket) (fraction float64, age time.Duration) {
	b.decayDemand(now)
	missing := float64(l.missingPeers(now))
	total, n := b.demand*(1+missing), 1+missing
	for _, p := range l.peers {
		if now-p.updatedAt > peerTimeout {
			continue
		}
		n += float64(p.instances)
		total += p.demand(now, org, b)
		age = max(age, now-p.updatedAt)
	}
	if total <= 0 {
		return 1 / n, age
	}
	return evenFraction/n + (1-evenFraction)*b.demand/total, age
}

// localCapacity returns the number of tokens up to which the own bucket of an
// instance with this fraction of the rate fills.
func (b *bucket) localCapacity(fraction float64) float64 { return reserveFraction * b.burst * fraction }

// requiredLevel returns the level that an instance's own bucket needs to admit
// a request. If the capacity of the bucket is less than the cost, as in a large
// fleet, a full bucket is enough and its level goes below zero.
func (b *bucket) requiredLevel(cost, fraction float64) float64 {
	return min(cost, b.localCapacity(fraction))
}

// refill adds tokens to both levels for the time since the last call, and takes
// the assumed usage of stale and missing peers out of the shared level.
func (l *Limiter) refill(now time.Duration, org string, b *bucket, fraction float64) {
	dt := (now - b.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	b.refilledAt = now
	b.sharedLevel = min(b.sharedLevel+dt*b.rate-l.assumeUsage(now, dt, org, b), b.burst)
	b.localLevel = min(b.localLevel+dt*b.rate*fraction, b.localCapacity(fraction))
}

// assumeUsage returns the number of tokens that stale and missing peers are
// assumed to use in the given seconds: their demand, but at most their share of
// the rate. What a stale peer is assumed to use is added to its assumedUsage
// until the peer reports its usage.
func (l *Limiter) assumeUsage(now time.Duration, seconds float64, org string, b *bucket) float64 {
	missing := float64(l.missingPeers(now))
	total := b.demand * (1 + missing)
	for _, p := range l.peers {
		total += p.demand(now, org, b)
	}
	if total <= 0 {
		return 0
	}
	sum := seconds * missing * min(b.demand, b.rate*b.demand/total)
	for _, p := range l.peers {
		if p.isStale(now) {
			demand := p.demand(now, org, b)
			tokens := seconds * min(demand, b.rate*demand/total)
			p.assumedUsage[org] += tokens
			sum += tokens
		}
	}
	return sum
}

// OwnUsage returns this instance's usage by organisation, to be sent to its
// peers.
func (l *Limiter) OwnUsage(now time.Duration) map[string]Usage {
	out := make(map[string]Usage, len(l.orgs))
	for name, b := range l.orgs {
		b.decayDemand(now)
		out[name] = Usage{Total: b.admittedTotal, Demand: b.demand}
	}
	return out
}

// RecordPeerUsage records the usage that a peer reports as of the time at, or
// the sum of the usage of several peers. The first message of another
// incarnation sets the totals from which its usage is counted. An organisation
// that a message omits keeps its last total.
func (l *Limiter) RecordPeerUsage(at time.Duration, name, incarnation string, instances int, usage map[string]Usage) {
	p := l.peers[name]
	if p == nil || p.incarnation != incarnation {
		l.peers[name] = &peer{
			incarnation: incarnation, instances: instances, updatedAt: at, usage: maps.Clone(usage), assumedUsage: map[string]float64{},
		}
		return
	}
	if at < p.updatedAt {
		return
	}
	for org, previous := range p.usage {
		if _, ok := usage[org]; !ok {
			p.usage[org] = Usage{Total: previous.Total}
		}
	}
	for org, u := range usage {
		if b := l.orgs[org]; b != nil {
			b.sharedLevel = min(b.sharedLevel-(u.Total-p.usage[org].Total)+p.assumedUsage[org], b.burst)
		}
		p.usage[org] = u
		delete(p.assumedUsage, org)
	}
	p.updatedAt, p.instances = at, instances
}

// RemovePeers removes the peers for which reportedByOthers returns true,
// because other peers report their usage from now on.
func (l *Limiter) RemovePeers(reportedByOthers func(peer string) bool) {
	maps.DeleteFunc(l.peers, func(name string, _ *peer) bool { return reportedByOthers(name) })
}
