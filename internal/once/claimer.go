package once

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Defaults of ClaimerOptions.
const (
	DefaultWindow       = 15 * time.Minute
	DefaultRoll         = time.Minute
	DefaultInterval     = 100 * time.Millisecond
	DefaultSettleDelay  = time.Second
	DefaultClaimTimeout = 2 * time.Second
	DefaultOpTimeout    = time.Second
	DefaultMaxRun       = 5 * time.Minute
	DefaultRetryAfter   = time.Second
	DefaultAwayMax      = 5 * time.Second

	DefaultSegmentBytes = 32 << 10
	DefaultBatchBytes   = 256 << 10
	DefaultMaxSegments  = 256
	DefaultMaxPending   = 1024
)

// MaxResultBytes is the largest body that is kept for replay.
const MaxResultBytes = 4 << 10

// ClaimerOptions set a Claimer. Zero fields take the defaults.
type ClaimerOptions struct {
	Shard int
	// Window is how long a key is remembered at least.
	Window time.Duration
	// Roll is the age at which the head is sealed even if it is small, so
	// that keys are forgotten at most Roll after the window.
	Roll time.Duration
	// Interval is the least time between two writes of the head.
	Interval time.Duration
	// SettleDelay is how long a settlement waits for a claim to ride with. It
	// does not wait while claims come further apart than that.
	SettleDelay time.Duration
	// ClaimTimeout is how long a claim waits before it is refused.
	ClaimTimeout time.Duration
	// OpTimeout is how long a call to the object API is awaited.
	OpTimeout time.Duration
	// MaxRun is the longest run; an older claim counts as unknown.
	MaxRun time.Duration
	// RetryAfter is told with refusals and runs in progress.
	RetryAfter time.Duration
	// AwayMax bounds the wait between two tries while the platform is away.
	AwayMax time.Duration

	SegmentBytes int // encoded size at which the head is sealed
	BatchBytes   int // encoded size of the entries in one write
	MaxSegments  int // sealed segments of the shard
	MaxPending   int // claims, and settlements, that wait
}

func (o ClaimerOptions) withDefaults() ClaimerOptions {
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.Roll = cmp.Or(o.Roll, DefaultRoll)
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.SettleDelay = cmp.Or(o.SettleDelay, DefaultSettleDelay)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, DefaultClaimTimeout)
	o.OpTimeout = cmp.Or(o.OpTimeout, DefaultOpTimeout)
	o.MaxRun = cmp.Or(o.MaxRun, DefaultMaxRun)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	o.AwayMax = cmp.Or(o.AwayMax, DefaultAwayMax)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, DefaultSegmentBytes)
	o.BatchBytes = cmp.Or(o.BatchBytes, DefaultBatchBytes)
	o.MaxSegments = cmp.Or(o.MaxSegments, DefaultMaxSegments)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	return o
}

// ClaimerStats count what a Claimer did.
type ClaimerStats struct {
	Writes         uint64 // conditional writes of the head
	Conflicts      uint64
	ReadBacks      uint64 // reads that resolved a lost reply
	SettlesDropped uint64 // settlements that found no room: their claims stay claimed
	Corrupt        uint64 // objects that could not be read
}

type pendingClaim struct {
	Claim
	since time.Duration
	// tried is true once the claim was in a write whose outcome is not known.
	tried bool
}

type pendingSettle struct {
	Settle
	since time.Duration
	// asOf is the head version that a late write of the claim depends on;
	// a release waits until that version is gone. 0 if there is no such write.
	asOf uint64
	late bool
}

// opKind is the call to the object API that is open.
type opKind int

const (
	opNone opKind = iota
	opGetHead
	opGetSegment
	opPutSegment
	opPutHead
)

// Claimer holds the claims of one shard for the instances that send them to
// it. Any number of Claimers may work on one shard: conditional writes order
// them. One of them per shard, under a lease, keeps conflicts rare. It is not
// safe for concurrent use.
type Claimer struct {
	opts ClaimerOptions
	rng  *rand.Rand

	loaded  bool
	version uint64 // of the head; 0 before its first write
	head    head
	index   index
	cache   map[uint64][]entry       // sealed segments by version
	objects map[uint64]uint64        // object versions of sealed segments
	seen    map[uint64]time.Duration // when a segment was first seen sealed
	fresh   time.Duration            // when the head was first seen unsealed

	claims  []pendingClaim
	settles []pendingSettle

	op       opKind
	opID     uint64
	opSince  time.Duration
	opTarget uint64 // version of the segment
	next     head   // the head being written
	batch    []entry
	unsure   bool   // the last write's outcome is not known
	orphan   uint64 // segment made here that no head names yet

	lastClaim time.Duration // when the last claim came
	claimGap  time.Duration // between the last two claims
	nextWrite time.Duration
	retryAt   time.Duration
	failures  int

	stats ClaimerStats
	out   []Action
}

// NewClaimer returns a Claimer that has read nothing yet.
func NewClaimer(opts ClaimerOptions, rng *rand.Rand) *Claimer {
	return &Claimer{
		opts:    opts.withDefaults(),
		rng:     rng,
		index:   index{},
		cache:   map[uint64][]entry{},
		objects: map[uint64]uint64{},
		seen:    map[uint64]time.Duration{},
		// Before the first two claims nothing tells that more will come.
		claimGap: math.MaxInt64,
	}
}

// Stats returns the counts so far.
func (c *Claimer) Stats() ClaimerStats { return c.stats }

// Idle reports whether nothing waits and no call is open.
func (c *Claimer) Idle() bool {
	return c.op == opNone && len(c.claims) == 0 && len(c.settles) == 0
}

// Step applies a message and returns the actions that follow. now is the
// instance's monotonic clock.
func (c *Claimer) Step(now time.Duration, msg Message) []Action {
	c.out = nil
	switch m := msg.(type) {
	case Claim:
		c.claim(now, m)
	case Settle:
		c.settle(now, m)
	case StoreRead:
		c.read(now, m)
	case StoreWritten:
		c.written(now, m)
	case StoreConflict:
		c.conflict(now, m)
	case StoreUnknown:
		c.unknown(now, m)
	case StoreUnavailable:
		c.unavailable(now, m)
	case Tick:
		c.timeouts(now)
	}
	c.advance(now)
	return c.out
}

func (c *Claimer) emit(a Action) { c.out = append(c.out, a) }

func (c *Claimer) claim(now time.Duration, m Claim) {
	if slices.ContainsFunc(c.claims, func(p pendingClaim) bool { return p.Holder == m.Holder }) {
		return
	}
	c.noteArrival(now)
	p := pendingClaim{Claim: m, since: now}
	if c.runsElsewhere(p) {
		c.loaded = false // the run may have been settled since: read again
	} else if c.answerKnown(now, p) {
		return
	}
	switch {
	case c.away(now):
		c.refuse(p, ReasonUnavailable)
	case len(c.claims) >= c.opts.MaxPending:
		c.refuse(p, ReasonOverload)
	default:
		c.claims = append(c.claims, p)
	}
}

// noteArrival keeps the gap between the last two claims; the first has none.
func (c *Claimer) noteArrival(now time.Duration) {
	if c.lastClaim != 0 {
		c.claimGap = now - c.lastClaim
	}
	c.lastClaim = now
}

// quiet reports that a settlement would probably wait in vain for a claim.
func (c *Claimer) quiet() bool { return c.claimGap >= c.opts.SettleDelay }

// runsElsewhere reports that the key was claimed and not settled when the head
// was last read.
func (c *Claimer) runsElsewhere(p pendingClaim) bool {
	k, ok := c.index[p.Key.Digest]
	return ok && k.entry.State == StateClaimed && k.entry.Holder != p.Holder
}

// away reports that the last call failed and the next try is not due yet.
func (c *Claimer) away(now time.Duration) bool { return c.failures > 0 && now < c.retryAt }

func (c *Claimer) settle(now time.Duration, m Settle) {
	if m.Result != nil && len(m.Result.Body) > MaxResultBytes {
		m.Result = &Result{Status: m.Result.Status, ContentType: m.Result.ContentType, TooLarge: true}
	}
	c.queueSettle(pendingSettle{Settle: m, since: now})
}

func (c *Claimer) queueSettle(s pendingSettle) {
	if len(c.settles) >= c.opts.MaxPending {
		c.stats.SettlesDropped++
		return
	}
	c.settles = append(c.settles, s)
}

// answerKnown answers a claim that the index decides.
func (c *Claimer) answerKnown(now time.Duration, p pendingClaim) bool {
	k, ok := c.index[p.Key.Digest]
	switch {
	case ok && k.entry.Holder == p.Holder && k.entry.State == StateClaimed:
		c.answer(p, Reply{Granted: true})
	case ok:
		c.answer(p, c.deny(now, k, p.Fingerprint))
	case p.Key.TimeMS != 0 && p.Key.TimeMS <= c.head.FloorMS:
		c.answer(p, Reply{Denial: DenialStale})
	default:
		return false
	}
	return true
}

func (c *Claimer) deny(now time.Duration, k known, print uint64) Reply {
	switch {
	case k.entry.Print != print:
		return Reply{Denial: DenialMismatch}
	case k.entry.State == StateDone && k.entry.Result != nil && !k.entry.Result.TooLarge:
		return Reply{Denial: DenialReplay, Result: k.entry.Result}
	case k.entry.State == StateClaimed && now-k.seen < c.opts.MaxRun:
		return Reply{Denial: DenialInProgress, RetryAfter: c.opts.RetryAfter}
	}
	return Reply{Denial: DenialUnknown}
}

func (c *Claimer) answer(p pendingClaim, r Reply) {
	c.emit(Answer{Key: p.Key.Digest, Holder: p.Holder, Reply: r})
}

// refuse answers that the request has not run. If the claim may be written or
// may still come to be, it is released later.
func (c *Claimer) refuse(p pendingClaim, why Reason) {
	c.answer(p, Reply{Reason: why, RetryAfter: c.opts.RetryAfter})
	if p.tried {
		c.queueSettle(pendingSettle{
			Settle: Settle{Key: p.Key.Digest, Holder: p.Holder, State: StateReleased},
			asOf:   c.version,
			late:   true,
		})
	}
}

func (c *Claimer) refuseAll(why Reason) {
	claims := c.claims
	c.claims = nil
	for _, p := range claims {
		c.refuse(p, why)
	}
}

func (c *Claimer) timeouts(now time.Duration) {
	if c.op != opNone && now-c.opSince >= c.opts.OpTimeout {
		c.opLost(now)
	}
	var late []pendingClaim
	c.claims = slices.DeleteFunc(c.claims, func(p pendingClaim) bool {
		expired := now-p.since >= c.opts.ClaimTimeout
		if expired {
			late = append(late, p)
		}
		return expired
	})
	for _, p := range late {
		c.refuse(p, ReasonTimeout)
	}
}

// opLost gives up the open call; a reply that comes later is ignored.
func (c *Claimer) opLost(now time.Duration) {
	if c.op == opPutHead {
		c.unsure, c.loaded = true, false
	}
	c.op = opNone
	c.failed(now)
}

// failed backs off and refuses what waits.
func (c *Claimer) failed(now time.Duration) {
	c.failures++
	c.retryAt = now + c.opts.Interval + backoff(c.rng, c.opts.Interval, c.opts.AwayMax, c.failures)
	c.refuseAll(ReasonUnavailable)
}

func (c *Claimer) unavailable(now time.Duration, m StoreUnavailable) {
	if m.Op == c.opID && c.op != opNone {
		c.opLost(now)
	}
}

func (c *Claimer) unknown(now time.Duration, m StoreUnknown) {
	if m.Op != c.opID || c.op == opNone {
		return
	}
	if c.op == opPutHead {
		c.unsure = true
	}
	c.op = opNone
	c.stats.ReadBacks++
	c.loaded = false
}

func (c *Claimer) conflict(now time.Duration, m StoreConflict) {
	if m.Op != c.opID || c.op == opNone {
		return
	}
	kind := c.op
	c.op = opNone
	c.stats.Conflicts++
	if kind == opPutSegment {
		// The object is named after what it holds: another writer made it.
		c.sealed(now, c.opTarget, 0)
		return
	}
	c.loaded = false
}

// start opens a call.
func (c *Claimer) start(now time.Duration, kind opKind) uint64 {
	c.op = kind
	c.opID++
	c.opSince = now
	return c.opID
}

// objectOK reports whether a read object can be used.
func (c *Claimer) objectOK(obj platform.Object, into any) bool {
	if err := decode(obj.Name, obj.Value, into); err != nil {
		c.stats.Corrupt++
		return false
	}
	return true
}
