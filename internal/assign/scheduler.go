package assign

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
)

// Options configure a Scheduler.
type Options struct {
	Name        string // of this instance
	Incarnation string // of this instance; differs between its starts
	Zone        string // of this instance
	Started     time.Duration
	Seed        uint64
	// DisableSpread disables the random choice under stale load reports: the
	// best upstream is always chosen. It serves as a baseline.
	DisableSpread bool
	// OwnEstimates uses what this instance has measured of upstreams alone, not what its peers
	// tell.
	OwnEstimates bool
	// SlotsOnly places requests by the slots of engines alone, not by their memory.
	SlotsOnly bool
	// PriorityOnly orders the jobs of all services by priority, also of those with an inverted
	// pair of routes (see kindOrder).
	PriorityOnly bool
	// Regions is the region of each availability zone.
	Regions map[string]string
	// ExpectedInstances is the number of instances that the settings name.
	ExpectedInstances int
	ColdBounds        upstreamlimit.ColdBounds // zero for DefaultColdBounds
}

// Scheduler holds an instance's view of its upstreams and the queue of waiting
// jobs. It is not safe for concurrent use.
type Scheduler struct {
	opts           Options
	rng            *rand.Rand
	byID           map[string]*upstream
	services       map[string][]*upstream
	candidates     []candidate // scratch space of choose
	peers          map[string]PeerLoads
	queue          []*Job
	placementRates map[string]*placementRate
	limits         *upstreamlimit.Limiter
	stats          *upstreamstats.Stats
	rooms          *upstreamlimit.Rooms
	outputs        map[modelKey]*outputLengths // by service and model
	runTimes       map[modelKey]*runTimes      // by service and model
	readyTimes     map[modelKey]time.Duration  // when a model is expected to be ready
	kindOrders     map[string]*kindOrder       // by service; those that are not ordered by priority alone
	evacuated      map[string]bool             // zones whose upstreams get no request
	lastSequence   uint64                      // of the last job queued
	queueEnd       time.Duration               // no job stays queued beyond this time, 0 for no limit
}

// LimitQueueTime sets the time after which no job stays queued, because the
// instance is stopping. It does not apply to jobs in progress, whose callers cannot
// turn to another instance without losing the response.
func (s *Scheduler) LimitQueueTime(at time.Duration) {
	s.queueEnd = at
	for _, j := range s.queue {
		if !j.InProgress {
			j.FirstEventDeadline = min(j.FirstEventDeadline, at)
		}
	}
}

// PeerLoads is the load, as of At, that a peer or the sum of several peers has
// at each upstream. Instances is the number of peers in the sum. Loads is keyed
// by upstream ID.
type PeerLoads struct {
	At        time.Duration
	Instances int
	Loads     map[string]Load
}

// New returns a scheduler without upstreams.
func New(opts Options) *Scheduler {
	limits := upstreamlimit.New(opts.Started, opts.Name, opts.Incarnation)
	limits.SetExpectedMembers(opts.ExpectedInstances)
	if opts.ColdBounds != (upstreamlimit.ColdBounds{}) {
		limits.SetColdBounds(opts.ColdBounds)
	}
	return &Scheduler{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), byID: map[string]*upstream{},
		services: map[string][]*upstream{}, peers: map[string]PeerLoads{}, placementRates: map[string]*placementRate{},
		limits: limits, stats: upstreamstats.New(), rooms: upstreamlimit.NewRooms(limits), outputs: map[modelKey]*outputLengths{}, runTimes: map[modelKey]*runTimes{}, readyTimes: map[modelKey]time.Duration{},
	}
}

// SetUpstreams replaces the list of upstreams that may be used; config says
// which of them are engines. An upstream of the previous list keeps its state
// unless its start time or address has changed.
func (s *Scheduler) SetUpstreams(config *fleet.Config, list []fleet.Upstream) {
	byID := make(map[string]*upstream, len(list))
	services := make(map[string][]*upstream)
	for _, entry := range list {
		u := s.byID[entry.ID]
		if u == nil || u.entry.StartedAtMS != entry.StartedAtMS || u.entry.Address != entry.Address {
			u = &upstream{models: entry.Models, absentUntil: map[modelKey]time.Duration{}}
		}
		u.entry, u.countsMemory = entry, !s.opts.SlotsOnly
		if svc := config.Services[entry.Service]; svc != nil {
			u.engine = svc.Engine
		}
		s.addEstimates(u)
		byID[entry.ID] = u
		services[entry.Service] = append(services[entry.Service], u)
	}
	s.byID, s.services = byID, services
	if !s.opts.PriorityOnly {
		s.kindOrders = kindOrders(config, s.kindOrders)
	}
	listed := func(l upstreamlimit.Upstream) bool {
		return byID[l.ID] != nil && byID[l.ID].entry.StartedAtMS == l.StartedAtMS
	}
	s.limits.Keep(listed)
	s.rooms.Keep(listed)
	s.keepEstimates()
	s.sumPeers()
}

// SetModels sets the models that an upstream holds, and those of them that are
// about to be unloaded. The call is ignored if startedAtMS is not the start time
// of the upstream's current incarnation.
func (s *Scheduler) SetModels(id string, startedAtMS int64, models []fleet.ResidentModel, unloading []string) {
	u := s.byID[id]
	if u == nil || u.entry.StartedAtMS != startedAtMS {
		return
	}
	for _, m := range u.models {
		if fleet.FindModel(models, m.Model) == nil {
			u.cache.clear()
		}
	}
	u.models = models
	s.addEstimates(u)
	u.unloading = nil
	for _, m := range unloading {
		if u.unloading == nil {
			u.unloading = map[string]bool{}
		}
		u.unloading[m] = true
	}
}

// SetModelReadyTimes sets the times at which models are expected to be ready at
// some upstream, by model.
func (s *Scheduler) SetModelReadyTimes(expected map[string]time.Duration) {
	clear(s.readyTimes)
	for model, at := range expected {
		s.readyTimes[modelKey{model: model}] = at
	}
}

// SetPeers replaces the loads of all peers, by the peers' names.
func (s *Scheduler) SetPeers(peers map[string]PeerLoads) {
	s.peers = peers
	s.sumPeers()
}

// peerLoadTimeout is how long the load of a silent peer is counted.
const peerLoadTimeout = 3 * time.Second

// DropStalePeers drops the loads of peers that have been silent for longer than
// peerLoadTimeout.
func (s *Scheduler) DropStalePeers(now time.Duration) {
	changed := false
	for name, p := range s.peers {
		if now-p.At > peerLoadTimeout {
			delete(s.peers, name)
			changed = true
		}
	}
	if changed {
		s.sumPeers()
	}
}

// peerAge returns the age of the oldest peer load report that is counted.
func (s *Scheduler) peerAge(now time.Duration) time.Duration {
	age := time.Duration(0)
	for _, p := range s.peers {
		age = max(age, now-p.At)
	}
	return age
}

// sumPeers recomputes the peer load of each upstream.
func (s *Scheduler) sumPeers() {
	for _, u := range s.byID {
		u.peerLoad = Load{}
	}
	for _, p := range s.peers {
		for id, l := range p.Loads {
			if u := s.byID[id]; u != nil {
				if u.engine != nil && u.engine.KVTokens > 0 {
					l.ReservedTokens = min(l.ReservedTokens, l.Requests()*u.engine.KVTokens) // a request is no larger than its engine
				}
				u.peerLoad.Add(&l)
			}
		}
	}
}

// OwnLoads returns this instance's load at each upstream where it is not zero,
// by upstream ID.
func (s *Scheduler) OwnLoads() map[string]Load {
	out := make(map[string]Load)
	for id, u := range s.byID {
		if !u.ownLoad.Empty() {
			out[id] = u.ownLoad
		}
	}
	return out
}

// RecordModelAbsent records that an upstream has reported that it does not hold
// a model or adapter.
func (s *Scheduler) RecordModelAbsent(now time.Duration, id, model, adapter string) {
	if u := s.byID[id]; u != nil {
		u.absentUntil[modelKey{model, adapter}] = now + absentTimeout
	}
}

// absentTimeout is how long an upstream's report that it lacks a model
// overrides older reports.
const absentTimeout = 700 * time.Millisecond

// RecordFull records that an upstream refused a request for lack of capacity.
func (s *Scheduler) RecordFull(now time.Duration, id string) {
	if u := s.byID[id]; u != nil {
		u.fullUntil = now + fullBackoff
		s.rooms.Rejected(now, u.limitKey())
	}
}

// fullBackoff is how long an upstream gets no requests after it refused one for
// lack of capacity.
const fullBackoff = 60 * time.Millisecond

// HasModel reports whether some upstream of the service, in a zone that is not evacuated,
// holds the model and adapter.
func (s *Scheduler) HasModel(now time.Duration, service, model, adapter string) bool {
	return slices.ContainsFunc(s.services[service], func(u *upstream) bool {
		return !s.evacuated[u.entry.Zone] && u.serves(now, model, adapter)
	})
}

// ServesElsewhere reports whether another upstream than the one with an ID could serve the job, now or later.
func (s *Scheduler) ServesElsewhere(now time.Duration, j *Job, id string) bool {
	return slices.ContainsFunc(s.services[j.Service], func(u *upstream) bool {
		return u.entry.ID != id && s.allows(u, j) && u.takes(now, j)
	})
}

// HasEligible reports whether some upstream that the job has not tried is eligible
// for it.
func (s *Scheduler) HasEligible(now time.Duration, j *Job) bool {
	lowestRate := s.lowestFailureRate(j.Service)
	return slices.ContainsFunc(s.services[j.Service], func(u *upstream) bool {
		return s.allows(u, j) && u.isEligible(now, j, j.TriedUpstreams, lowestRate) && s.availableAt(now, u) <= now
	})
}

// Placement is a job's assignment to an upstream, from when it is sent until
// Release. It is not safe for concurrent use.
type Placement struct {
	job          *Job
	upstream     *upstream
	urgency      int
	tokens       int  // prompt tokens counted as pending, in tokens of the reference
	uncached     int  // prompt tokens that the upstream does not hold
	hadRoom      bool // the upstream had slots to spare
	reserved     int  // tokens of memory counted until Release
	started      bool // the first token was produced
	limited      bool // taken from the upstream's limit
	coldReserved bool // from what the cold upstream takes, and not sent
	sentAt       time.Duration
	expected     time.Duration // expected time to the first token
	nominal      time.Duration // expected time to the first token without the upstream's slowdown
}

// place assigns the job to the candidate's upstream, which is available, and adds it to
// the upstream's load and limit.
func (s *Scheduler) place(now time.Duration, j *Job, c candidate) *Placement {
	p := &Placement{job: j, upstream: c.upstream, urgency: s.urgencyAt(now, j), sentAt: now, nominal: c.nominal, expected: c.expected}
	p.limited = s.takeLimit(now, c.upstream)
	p.coldReserved = s.limits.ReserveCold(now, c.upstream.limitKey())
	if c.upstream.engine != nil {
		p.hadRoom = nearlyFullDivisor*c.upstream.freeSlots() >= c.upstream.slots()
		p.tokens, p.uncached, p.reserved = s.referenceTokens(j, c.uncached), c.uncached, c.reservation
		c.upstream.cache.record(j.prefixes)
	}
	c.upstream.ownLoad.ReservedTokens += p.reserved
	c.upstream.ownLoad.Pending[p.urgency]++
	c.upstream.ownLoad.PendingTokens[p.urgency] += p.tokens
	if c.upstream.health.suspect(s.lowestFailureRate(j.Service)) {
		c.upstream.health.probedAt = now
	}
	s.recordPlacement(now, j)
	return p
}

// RecordFirstToken records that the response has begun.
func (s *Scheduler) RecordFirstToken(now time.Duration, p *Placement) {
	if p.started {
		return
	}
	p.started = true
	p.removePending()
	p.upstream.ownLoad.Running++
	if p.upstream.engine != nil {
		p.upstream.ownLatency.observeFirstToken(now, now-p.sentAt, time.Duration(float64(p.expected)/p.upstream.ownLatency.slowdown(p.sentAt)))
		s.observeFirstToken(now, now-p.sentAt, p.nominal, p.upstream)
		s.observePrefill(now, p)
	}
}

// removePending subtracts the job from the pending load of its upstream.
func (p *Placement) removePending() {
	p.upstream.ownLoad.Pending[p.urgency]--
	p.upstream.ownLoad.PendingTokens[p.urgency] -= p.tokens
}

// Result is the outcome of a placement with respect to the upstream's health.
type Result uint8

// The results of placements.
const (
	ResultOK      Result = iota
	ResultFailed         // the upstream's fault
	ResultUnknown        // says nothing about the health: the caller left, or the upstream refused
	// ResultOutgrown: the answer took more memory than there was. It is the upstream's fault if
	// no answer of the upstream was complete meanwhile.
	ResultOutgrown
)

// Release ends a placement: it subtracts the job from the upstream's load and
// records the result.
func (s *Scheduler) Release(now time.Duration, p *Placement, result Result) {
	s.releaseCold(p)
	p.upstream.ownLoad.ReservedTokens -= p.reserved
	if p.started {
		p.upstream.ownLoad.Running--
	} else {
		p.removePending()
	}
	if result == ResultOutgrown && p.upstream.health.succeededAt < p.sentAt {
		result = ResultFailed
	}
	switch result {
	case ResultOK:
		p.upstream.health.recordSuccess(now)
		s.observeFailure(now, p.upstream, false)
		if p.upstream.engine == nil {
			p.upstream.ownLatency.observeServiceTime(now - p.sentAt)
			if !s.opts.OwnEstimates {
				s.stats.Observe(now, p.upstream.latency.series, float64(now-p.sentAt)/float64(time.Millisecond))
			}
		} else {
			s.recordRunTime(now, p)
		}
	case ResultFailed:
		p.upstream.health.recordFailure(now)
		s.observeFailure(now, p.upstream, true)
	}
}

// RecordSilence records that the upstream of a placement makes no progress, as a
// failure of the upstream.
func (s *Scheduler) RecordSilence(now time.Duration, p *Placement) {
	p.upstream.health.recordFailure(now)
	s.observeFailure(now, p.upstream, true)
}

// RecordCrash records that an incarnation of an upstream has ended, so that it gets no
// request while it is still listed.
func (s *Scheduler) RecordCrash(now time.Duration, id string, startedAtMS int64) {
	if u := s.byID[id]; u != nil && u.entry.StartedAtMS == startedAtMS {
		u.health.recordCrash(now)
	}
}

// RequestCounts returns the number of requests at each upstream, over all
// instances, by upstream ID.
func (s *Scheduler) RequestCounts() map[string]int {
	out := make(map[string]int, len(s.byID))
	for id, u := range s.byID {
		out[id] = u.requests()
	}
	return out
}
