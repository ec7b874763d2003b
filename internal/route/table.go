// Package route decides which upstream gets a request. A Table caches what one
// instance knows of the upstreams; filters and scores judge the candidates of
// one model; a policy picks among them. The package is pure: callers pass the
// time on the instance's monotonic clock and the random source.
package route

import (
	"cmp"
	"slices"
	"time"
)

// Options are the settings of a Table.
type Options struct {
	// Policy picks among the candidates; nil stands for ExpectedFirstToken.
	Policy Policy
	// Distance is the round trip to an upstream in a zone; nil stands for 0.
	Distance func(zone string) time.Duration
	// AdapterLoad is how long an upstream takes to load an adapter.
	AdapterLoad time.Duration
	// RefusalMargin is by how many percent of the time left the expected time
	// to the first token may exceed it before Pick refuses; an expectation is
	// right on average only.
	RefusalMargin int
	// NoEjection keeps failing upstreams among the candidates, as a baseline.
	NoEjection bool
	// NoPace trusts the described prefill rate, as a baseline.
	NoPace bool
}

// upstream is what the instance knows of one upstream.
type upstream struct {
	Upstream
	id       uint32
	hash     uint64
	distance time.Duration
	load     load
	health   health
	gapAt    time.Duration // when its cache events last had a gap
	resident []Resident
}

// Candidate is one upstream as a home of one model.
type Candidate struct {
	up       *upstream
	adapters map[string]struct{}
	ready    bool
	draining bool

	// Results of the scores for the current request.
	cost  time.Duration
	hit   int
	hash  uint64
	probe bool
}

// Name returns the name of the upstream.
func (c *Candidate) Name() string { return c.up.Name }

// Running returns the expected number of sequences running and queued.
func (c *Candidate) Running() int { return c.up.load.running() }

// Cost returns the expected time to the first token.
func (c *Candidate) Cost() time.Duration { return c.cost }

// Table is one instance's view of the upstreams. It is not safe for concurrent
// use: one owner takes turns between updates and decisions.
type Table struct {
	opts      Options
	filters   []Filter
	scores    []Score
	upstreams map[string]*upstream
	models    map[string][]*Candidate // ordered by name of upstream
	hints     *hints
	nextID    uint32

	request  Request      // the request being decided
	feasible []*Candidate // scratch, as long as the longest list of candidates
}

// New returns an empty table.
func New(opts Options) *Table {
	if opts.Policy == nil {
		opts.Policy = ExpectedFirstToken{}
	}
	if opts.Distance == nil {
		opts.Distance = func(string) time.Duration { return 0 }
	}
	h := &hints{}
	filters := []Filter{filterResident{}, filterLeaving{}}
	if !opts.NoEjection {
		filters = append(filters, filterSuspect{})
	}
	return &Table{
		opts:      opts,
		filters:   filters,
		scores:    []Score{scoreQueue{}, scorePrefill{hints: h}, scoreAdapter{load: opts.AdapterLoad}, scoreDistance{}},
		upstreams: map[string]*upstream{},
		models:    map[string][]*Candidate{},
		hints:     h,
	}
}

// SetUpstream adds an upstream or replaces its description; its load and its
// health stay.
func (t *Table) SetUpstream(u Upstream) {
	known, ok := t.upstreams[u.Name]
	if !ok {
		t.nextID++
		known = &upstream{id: t.nextID, hash: hashString(u.Name)}
		t.upstreams[u.Name] = known
	}
	known.Upstream = u
	known.distance = t.opts.Distance(u.Zone)
	known.load.describe(u.PrefillRate)
}

// RemoveUpstream forgets an upstream.
func (t *Table) RemoveUpstream(name string) {
	t.SetResident(name, nil)
	delete(t.upstreams, name)
}

// SetResident replaces what an upstream holds. Only the candidates of the
// models concerned are touched.
func (t *Table) SetResident(name string, resident []Resident) {
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

func newCandidate(u *upstream, r Resident) *Candidate {
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

// Report takes an upstream's report of its load.
func (t *Table) Report(now time.Duration, name string, l Load) {
	if u, ok := t.upstreams[name]; ok {
		u.load.report(now, l)
	}
}

// Cached takes one cache event: a prefix entered or left an upstream's cache.
func (t *Table) Cached(now time.Duration, name string, prefix uint64, tokens int, evicted bool) {
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

// CacheGap says that cache events of an upstream were lost.
func (t *Table) CacheGap(now time.Duration, name string) {
	if u, ok := t.upstreams[name]; ok {
		u.gapAt = now
	}
}

// Started counts an attempt as in flight.
func (t *Table) Started(now time.Duration, s Started) {
	u, ok := t.upstreams[s.Upstream]
	if !ok {
		return
	}
	u.load.started(now, s.Prefill, s.KV)
	u.health.started(now)
	if s.Prefix != 0 {
		t.hints.put(now, u.id, s.Prefix, s.PrefixTokens)
	}
}

// FirstToken corrects the pace of an upstream.
func (t *Table) FirstToken(f FirstToken) {
	if u, ok := t.upstreams[f.Upstream]; ok && !t.opts.NoPace {
		u.load.firstToken(f.Expected, f.Took)
	}
}

// Finished counts an attempt as answered.
func (t *Table) Finished(now time.Duration, f Finished) {
	u, ok := t.upstreams[f.Upstream]
	if !ok {
		return
	}
	u.load.ended(now, f.KV)
	u.load.ran(f.Ran)
	u.health.succeeded()
}

// Failed counts an attempt as ended without an answer.
func (t *Table) Failed(now time.Duration, f Failed) {
	u, ok := t.upstreams[f.Upstream]
	if !ok {
		return
	}
	u.load.ended(now, f.KV)
	if f.Refused {
		u.health.probing = false
		return
	}
	u.health.failed(now, f.Unreachable)
}

// hashString is FNV-1a.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	return h
}
