package once

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Defaults of ClaimerOptions.
const (
	DefaultWindow         = 15 * time.Minute
	DefaultMaxHeadAge     = time.Minute
	DefaultWriteInterval  = 100 * time.Millisecond
	DefaultSettleDelay    = time.Second
	DefaultClaimTimeout   = 2 * time.Second
	DefaultOpTimeout      = time.Second
	DefaultMaxRunDuration = 5 * time.Minute
	DefaultRetryAfter     = time.Second
	DefaultMaxBackoff     = 5 * time.Second

	DefaultSegmentBytes = 32 << 10
	DefaultBatchBytes   = 256 << 10
	DefaultMaxSegments  = 256
	DefaultMaxPending   = 1024
)

// MaxResultBytes is the size in bytes of the largest response body that is
// stored for replay.
const MaxResultBytes = 4 << 10

// ClaimerOptions configures a Claimer. Zero fields take the defaults.
type ClaimerOptions struct {
	Shard int
	// Window is the minimum time for which a key is remembered.
	Window time.Duration
	// MaxHeadAge is the age at which the head of the log is sealed even if it is
	// small, so that keys are forgotten at most MaxHeadAge after the end of the
	// window.
	MaxHeadAge time.Duration
	// WriteInterval is the minimum time between two writes of the head.
	WriteInterval time.Duration
	// SettleDelay is how long a settlement is held back to be written together
	// with a claim. Settlements are written without this delay while the
	// interval between claims is SettleDelay or longer.
	SettleDelay time.Duration
	// ClaimTimeout is the time after which a pending claim is refused.
	ClaimTimeout time.Duration
	// OpTimeout is the timeout of a call to the object store.
	OpTimeout time.Duration
	// MaxRunDuration is the longest time a request may run; the outcome of an
	// older claim is reported as unknown.
	MaxRunDuration time.Duration
	// RetryAfter is the retry-after time in refusals and in denials with
	// DenialInProgress.
	RetryAfter time.Duration
	// MaxBackoff is the upper bound of the backoff between two calls while the
	// object store is unavailable.
	MaxBackoff time.Duration

	SegmentBytes int // encoded size in bytes at which the head is sealed
	BatchBytes   int // maximum encoded size in bytes of the entries in one write
	MaxSegments  int // maximum number of sealed segments of the shard
	MaxPending   int // maximum number of pending claims, and of pending settlements
}

func (o ClaimerOptions) withDefaults() ClaimerOptions {
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.MaxHeadAge = cmp.Or(o.MaxHeadAge, DefaultMaxHeadAge)
	o.WriteInterval = cmp.Or(o.WriteInterval, DefaultWriteInterval)
	o.SettleDelay = cmp.Or(o.SettleDelay, DefaultSettleDelay)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, DefaultClaimTimeout)
	o.OpTimeout = cmp.Or(o.OpTimeout, DefaultOpTimeout)
	o.MaxRunDuration = cmp.Or(o.MaxRunDuration, DefaultMaxRunDuration)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, DefaultSegmentBytes)
	o.BatchBytes = cmp.Or(o.BatchBytes, DefaultBatchBytes)
	o.MaxSegments = cmp.Or(o.MaxSegments, DefaultMaxSegments)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	return o
}

// ClaimerStats counts events of a Claimer.
type ClaimerStats struct {
	Writes             uint64 // conditional writes of the head
	Conflicts          uint64
	ReadBacks          uint64 // reads after a write with an unknown outcome
	SettlementsDropped uint64 // settlements dropped for lack of space; their claims stay claimed
	Corrupt            uint64 // objects that could not be decoded
}

type pendingClaim struct {
	Claim
	queuedAt time.Duration
	// maybeWritten is true once the claim was part of a write whose outcome is
	// not known.
	maybeWritten bool
}

type pendingSettlement struct {
	Settlement
	queuedAt time.Duration
	// claimWriteVersion is the head version on which an outstanding write of
	// the claim is conditional; a release is deferred until the head has
	// another version. It is 0 if there is no such write.
	claimWriteVersion uint64
	// claimUncertain is true for the release of a refused claim that may have
	// been written or may still be written.
	claimUncertain bool
}

// opKind is the kind of the outstanding call to the object store.
type opKind int

const (
	opNone opKind = iota
	opGetHead
	opGetSegment
	opPutSegment
	opPutHead
)

// Claimer records the claims of one shard on behalf of the instances that send
// them. The log of a shard is stored as a head, an object that holds the latest
// entries, and sealed segments, objects that hold older entries and are never
// changed. Any number of Claimers may work on one shard, because conditional
// writes serialise them; electing one per shard by a lease keeps conflicts
// rare. It is not safe for concurrent use.
type Claimer struct {
	opts ClaimerOptions
	rng  *rand.Rand

	loaded         bool
	version        uint64 // version of the head; 0 before its first write
	head           head
	index          index
	segmentCache   map[uint64][]entry       // sealed segments by version
	objectVersions map[uint64]uint64        // object versions of sealed segments, by segment version
	segmentSeenAt  map[uint64]time.Duration // when a segment was first seen sealed
	headSeenAt     time.Duration            // when the head was first seen unsealed

	claims      []pendingClaim
	settlements []pendingSettlement

	op             opKind
	opID           uint64
	opSince        time.Duration
	opSegment      uint64 // version of the segment being read or written
	nextHead       head   // head being written
	batch          []entry
	writeUncertain bool   // the outcome of the last head write is not known
	orphanSegment  uint64 // segment written by this Claimer that no head references yet

	lastClaimAt time.Duration // when the last claim arrived
	claimGap    time.Duration // time between the last two claims
	nextWriteAt time.Duration
	retryAt     time.Duration
	failures    int

	stats   ClaimerStats
	actions []Action
}

// NewClaimer returns a Claimer that has not read its shard yet.
func NewClaimer(opts ClaimerOptions, rng *rand.Rand) *Claimer {
	return &Claimer{
		opts:           opts.withDefaults(),
		rng:            rng,
		index:          index{},
		segmentCache:   map[uint64][]entry{},
		objectVersions: map[uint64]uint64{},
		segmentSeenAt:  map[uint64]time.Duration{},
		// Until two claims have arrived, assume that claims are rare.
		claimGap: math.MaxInt64,
	}
}

// Stats returns the counters.
func (c *Claimer) Stats() ClaimerStats { return c.stats }

// Idle reports whether no claim or settlement is pending and no call is
// outstanding.
func (c *Claimer) Idle() bool {
	return c.op == opNone && len(c.claims) == 0 && len(c.settlements) == 0
}

// Step applies a message and returns the resulting actions in order. now is
// the instance's monotonic clock.
func (c *Claimer) Step(now time.Duration, msg Message) []Action {
	c.actions = nil
	switch m := msg.(type) {
	case Claim:
		c.handleClaim(now, m)
	case Settlement:
		c.handleSettlement(now, m)
	case StoreRead:
		c.handleRead(now, m)
	case StoreWritten:
		c.handleWritten(now, m)
	case StoreConflict:
		c.handleConflict(now, m)
	case StoreUnknown:
		c.handleUnknown(now, m)
	case StoreUnavailable:
		c.handleUnavailable(now, m)
	case Tick:
		c.handleTimeouts(now)
	}
	c.advance(now)
	return c.actions
}

func (c *Claimer) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Claimer) handleClaim(now time.Duration, m Claim) {
	if slices.ContainsFunc(c.claims, func(p pendingClaim) bool { return p.Holder == m.Holder }) {
		return
	}
	c.recordArrival(now)
	p := pendingClaim{Claim: m, queuedAt: now}
	if c.claimedByOther(p) {
		c.loaded = false // the claim may have been settled since: read again
	} else if c.answerFromIndex(now, p) {
		return
	}
	switch {
	case c.backingOff(now):
		c.refuse(p, ReasonUnavailable)
	case len(c.claims) >= c.opts.MaxPending:
		c.refuse(p, ReasonOverload)
	default:
		c.claims = append(c.claims, p)
	}
}

// recordArrival updates the time between the last two claims; the first claim
// does not set it.
func (c *Claimer) recordArrival(now time.Duration) {
	if c.lastClaimAt != 0 {
		c.claimGap = now - c.lastClaimAt
	}
	c.lastClaimAt = now
}

// claimsAreRare reports whether a claim is unlikely to arrive within
// SettleDelay.
func (c *Claimer) claimsAreRare() bool { return c.claimGap >= c.opts.SettleDelay }

// claimedByOther reports whether another holder had claimed the key and not
// settled it when the head was last read.
func (c *Claimer) claimedByOther(p pendingClaim) bool {
	k, ok := c.index[p.Key.Digest]
	return ok && k.entry.State == StateClaimed && k.entry.Holder != p.Holder
}

// backingOff reports whether the last call failed and the next one is not due
// yet.
func (c *Claimer) backingOff(now time.Duration) bool { return c.failures > 0 && now < c.retryAt }

func (c *Claimer) handleSettlement(now time.Duration, m Settlement) {
	if m.Result != nil && len(m.Result.Body) > MaxResultBytes {
		m.Result = &Result{Status: m.Result.Status, ContentType: m.Result.ContentType, TooLarge: true}
	}
	c.queueSettlement(pendingSettlement{Settlement: m, queuedAt: now})
}

func (c *Claimer) queueSettlement(s pendingSettlement) {
	if len(c.settlements) >= c.opts.MaxPending {
		c.stats.SettlementsDropped++
		return
	}
	c.settlements = append(c.settlements, s)
}

// answerFromIndex answers a claim if the index determines the reply, and
// reports whether it did.
func (c *Claimer) answerFromIndex(now time.Duration, p pendingClaim) bool {
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

func (c *Claimer) deny(now time.Duration, k indexEntry, print uint64) Reply {
	switch {
	case k.entry.Print != print:
		return Reply{Denial: DenialMismatch}
	case k.entry.State == StateDone && k.entry.Result != nil && !k.entry.Result.TooLarge:
		return Reply{Denial: DenialReplay, Result: k.entry.Result}
	case k.entry.State == StateClaimed && now-k.firstSeen < c.opts.MaxRunDuration:
		return Reply{Denial: DenialInProgress, RetryAfter: c.opts.RetryAfter}
	}
	return Reply{Denial: DenialUnknown}
}

func (c *Claimer) answer(p pendingClaim, r Reply) {
	c.emit(Answer{Key: p.Key.Digest, Holder: p.Holder, Reply: r})
}

// refuse replies that the request has not run. If the claim may have been
// written or may still be written, its release is queued.
func (c *Claimer) refuse(p pendingClaim, reason Reason) {
	c.answer(p, Reply{Reason: reason, RetryAfter: c.opts.RetryAfter})
	if p.maybeWritten {
		c.queueSettlement(pendingSettlement{
			Settlement:        Settlement{Key: p.Key.Digest, Holder: p.Holder, State: StateReleased},
			claimWriteVersion: c.version,
			claimUncertain:    true,
		})
	}
}

func (c *Claimer) refuseAll(reason Reason) {
	claims := c.claims
	c.claims = nil
	for _, p := range claims {
		c.refuse(p, reason)
	}
}

func (c *Claimer) handleTimeouts(now time.Duration) {
	if c.op != opNone && now-c.opSince >= c.opts.OpTimeout {
		c.abandonCall(now)
	}
	var timedOut []pendingClaim
	c.claims = slices.DeleteFunc(c.claims, func(p pendingClaim) bool {
		expired := now-p.queuedAt >= c.opts.ClaimTimeout
		if expired {
			timedOut = append(timedOut, p)
		}
		return expired
	})
	for _, p := range timedOut {
		c.refuse(p, ReasonTimeout)
	}
}

// abandonCall abandons the outstanding call; a later reply is ignored.
func (c *Claimer) abandonCall(now time.Duration) {
	if c.op == opPutHead {
		c.writeUncertain, c.loaded = true, false
	}
	c.op = opNone
	c.recordFailure(now)
}

// recordFailure schedules the next call after a backoff and refuses all
// pending claims.
func (c *Claimer) recordFailure(now time.Duration) {
	c.failures++
	c.retryAt = now + c.opts.WriteInterval + backoff(c.rng, c.opts.WriteInterval, c.opts.MaxBackoff, c.failures)
	c.refuseAll(ReasonUnavailable)
}

func (c *Claimer) handleUnavailable(now time.Duration, m StoreUnavailable) {
	if m.Op == c.opID && c.op != opNone {
		c.abandonCall(now)
	}
}

func (c *Claimer) handleUnknown(now time.Duration, m StoreUnknown) {
	if m.Op != c.opID || c.op == opNone {
		return
	}
	if c.op == opPutHead {
		c.writeUncertain = true
	}
	c.op = opNone
	c.stats.ReadBacks++
	c.loaded = false
}

func (c *Claimer) handleConflict(now time.Duration, m StoreConflict) {
	if m.Op != c.opID || c.op == opNone {
		return
	}
	kind := c.op
	c.op = opNone
	c.stats.Conflicts++
	if kind == opPutSegment {
		// The name of a segment determines its content, so another writer has
		// written the same segment.
		c.segmentSealed(now, c.opSegment, 0)
		return
	}
	c.loaded = false
}

// beginCall registers a new outstanding call and returns its number.
func (c *Claimer) beginCall(now time.Duration, kind opKind) uint64 {
	c.op = kind
	c.opID++
	c.opSince = now
	return c.opID
}

// decodeObject decodes an object that was read and reports whether it could be
// decoded.
func (c *Claimer) decodeObject(obj objectstore.Object, into any) bool {
	if err := decode(obj.Name, obj.Value, into); err != nil {
		c.stats.Corrupt++
		return false
	}
	return true
}
