// Package route selects the upstream that gets a request. A Table holds what one
// instance knows of the upstreams: their descriptions, resident models, load,
// health and cached prompt prefixes. Filters reject candidates of the request's
// model, scores estimate the time to the first token, and a policy picks one of
// the rest. The package does no I/O: callers pass the time on the instance's
// monotonic clock and the random source.
package route

import (
	"cmp"
	"slices"
	"time"
)

// Options are the settings of a Table.
type Options struct {
	// Policy picks one of the candidates; nil means ExpectedFirstToken.
	Policy Policy
	// RoundTripTime returns the round-trip time to an upstream in a zone; nil
	// means 0.
	RoundTripTime func(zone string) time.Duration
	// AdapterLoadTime is how long an upstream takes to load an adapter.
	AdapterLoadTime time.Duration
	// RefusalMarginPercent is how far the expected time to the first token may
	// exceed the time left to the deadline, in percent of that time, before Pick
	// refuses the request. An expected time is right only on average.
	RefusalMarginPercent int
	// NoEjection keeps failing upstreams among the candidates, as a baseline.
	NoEjection bool
	// NoRateCorrection uses Upstream.PrefillRate without correction by measured
	// times, as a baseline.
	NoRateCorrection bool
}

// upstream is what the instance knows of one upstream.
type upstream struct {
	Upstream
	id        uint32
	nameHash  uint64
	distance  time.Duration
	load      load
	health    health
	lastGapAt time.Duration // time of the last gap in its cache events
	resident  []ResidentModel
}

// Candidate is a replica of one model on one upstream.
type Candidate struct {
	up       *upstream
	adapters map[string]struct{}
	ready    bool
	draining bool

	// Results of the scores for the current request.
	cost           time.Duration
	hitTokens      int
	rendezvousHash uint64
	probe          bool
}

// Name returns the name of the upstream.
func (c *Candidate) Name() string { return c.up.Name }

// Sequences returns the expected number of sequences running and queued.
func (c *Candidate) Sequences() int { return c.up.load.sequences() }

// ExpectedFirstToken returns the expected time to the first token for the current
// request.
func (c *Candidate) ExpectedFirstToken() time.Duration { return c.cost }

// Table is one instance's view of the upstreams. It is not safe for concurrent
// use: one owner makes all updates and decisions, one at a time.
type Table struct {
	opts      Options
	filters   []Filter
	scores    []Score
	upstreams map[string]*upstream
	models    map[string][]*Candidate // ordered by upstream name
	hints     *hints
	nextID    uint32

	request  Request      // the request being decided
	feasible []*Candidate // scratch space for the longest list of candidates
}

// New returns an empty table.
func New(opts Options) *Table {
	if opts.Policy == nil {
		opts.Policy = ExpectedFirstToken{}
	}
	if opts.RoundTripTime == nil {
		opts.RoundTripTime = func(string) time.Duration { return 0 }
	}
	h := &hints{}
	filters := []Filter{filterNotReady{}, filterLeaving{}}
	if !opts.NoEjection {
		filters = append(filters, filterSuspect{})
	}
	return &Table{
		opts:      opts,
		filters:   filters,
		scores:    []Score{scoreQueue{}, scorePrefill{hints: h}, scoreAdapter{loadTime: opts.AdapterLoadTime}, scoreDistance{}},
		upstreams: map[string]*upstream{},
		models:    map[string][]*Candidate{},
		hints:     h,
	}
}

// SetUpstream adds an upstream or replaces its description. The load and health
// of a known upstream are kept.
func (t *Table) SetUpstream(u Upstream) {
	existing, ok := t.upstreams[u.Name]
	if !ok {
		t.nextID++
		existing = &upstream{id: t.nextID, nameHash: hashString(u.Name)}
		t.upstreams[u.Name] = existing
	}
	existing.Upstream = u
	existing.distance = t.opts.RoundTripTime(u.Zone)
	existing.load.setNominalRate(u.PrefillRate)
}

// RemoveUpstream removes an upstream and its replicas of models.
func (t *Table) RemoveUpstream(name string) {
	t.SetResident(name, nil)
	delete(t.upstreams, name)
}

// SetResident replaces the list of models that an upstream holds. Only the
// candidates of the models in the old and the new list change.
func (t *Table) SetResident(name string, resident []ResidentModel) {
	u, ok := t.upstreams[name]
	if !ok {
		return
	}
	for _, r := range u.resident {
		t.models[r.Model] = slices.DeleteFunc(t.models[r.Model], func(c *Candidate) bool { return c.up == u })
	}
	u.resident = slices.Clone(resident)
	for _, r := range resident {
		t.insert(r.Model, newCandidate(u, r))
	}
}

func newCandidate(u *upstream, r ResidentModel) *Candidate {
	c := &Candidate{up: u, ready: r.Ready, draining: r.Draining, adapters: map[string]struct{}{}}
	for _, a := range r.Adapters {
		c.adapters[a] = struct{}{}
	}
	return c
}

func (t *Table) insert(model string, c *Candidate) {
	list := t.models[model]
	at, _ := slices.BinarySearchFunc(list, c, func(a, b *Candidate) int { return cmp.Compare(a.Name(), b.Name()) })
	list = slices.Insert(list, at, c)
	t.models[model] = list
	if len(list) > cap(t.feasible) {
		t.feasible = make([]*Candidate, 0, 2*len(list))
	}
}

// Report applies an upstream's report of its load.
func (t *Table) Report(now time.Duration, name string, l Load) {
	if u, ok := t.upstreams[name]; ok {
		u.load.applyReport(now, l)
	}
}

// CacheEvent applies one cache event: a prefix of the given length in tokens
// entered an upstream's cache, or was evicted from it.
func (t *Table) CacheEvent(now time.Duration, name string, prefix uint64, tokens int, evicted bool) {
	u, ok := t.upstreams[name]
	if !ok || prefix == 0 {
		return
	}
	if evicted {
		t.hints.evict(u.id, prefix)
		return
	}
	t.hints.put(now, u.id, prefix, tokens)
}

// CacheGap records that cache events of an upstream were lost.
func (t *Table) CacheGap(now time.Duration, name string) {
	if u, ok := t.upstreams[name]; ok {
		u.lastGapAt = now
	}
}

// Started records that an attempt is in flight.
func (t *Table) Started(now time.Duration, s Started) {
	u, ok := t.upstreams[s.Upstream]
	if !ok {
		return
	}
	u.load.attemptStarted(now, s.PrefillTokens, s.KVTokens)
	u.health.attemptStarted(now)
	if s.Prefix != 0 {
		t.hints.put(now, u.id, s.Prefix, s.PrefixTokens)
	}
}

// FirstToken corrects the estimated prefill rate of an upstream.
func (t *Table) FirstToken(f FirstToken) {
	if u, ok := t.upstreams[f.Upstream]; ok && !t.opts.NoRateCorrection {
		u.load.observeFirstToken(f.Expected, f.Measured)
	}
}

// Finished records that an attempt was answered.
func (t *Table) Finished(now time.Duration, f Finished) {
	u, ok := t.upstreams[f.Upstream]
	if !ok {
		return
	}
	u.load.attemptEnded(now, f.KVTokens)
	u.load.observeDuration(f.Duration)
	u.health.attemptSucceeded()
}

// Failed records that an attempt ended without an answer.
func (t *Table) Failed(now time.Duration, f Failed) {
	u, ok := t.upstreams[f.Upstream]
	if !ok {
		return
	}
	u.load.attemptEnded(now, f.KVTokens)
	if f.Refused {
		u.health.probing = false
		return
	}
	u.health.attemptFailed(now, f.Unreachable)
}

// hashString returns the 64-bit FNV-1a hash of s.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return h
}
