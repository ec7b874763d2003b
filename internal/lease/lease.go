// Package lease implements a lease that at most one instance holds at a time. It
// uses conditional writes of one object and no coordination service. Inputs are
// messages with the results of object store calls; outputs are the next calls.
//
// Safety rests on five rules:
//   - The holder measures the lease duration on its own monotonic clock, starting
//     before it sent the write that took or renewed the lease.
//   - A candidate waits the whole lease duration plus the drift margin on its own
//     clock after it first saw the object's version.
//   - Every write is conditional on the version last seen, so two writes based
//     on one version cannot both take effect.
//   - Held must be called at the point of use, so that a holder that was paused
//     stops by itself.
//   - A store that comes back from an older copy may have lost any write. At the
//     first sight of a new era (see objectstore.EraOf) a holder stops, and nobody
//     takes the lease until the longest lease of the earlier era has passed. Only
//     writes that were sent in an era count as this candidate's in that era.
//
// The fencing token of a leadership is the object's version at its start.
// Renewals keep it, so a changed token shows the holder that it did not hold the
// lease continuously. Versions rise over eras, and so do tokens.
//
// A write whose reply was lost is resolved by reading the object and comparing
// its writer ID and attempt number, which no other writer uses. That read may be
// stale by any amount, because the lease duration counts from when the attempt
// was sent.
//
// The rules do not cover a monotonic clock that stops while a whole machine is
// suspended. In that case only the fencing token protects the receivers of the
// holder's requests.
package lease

import (
	_ "embed"
	"encoding/json"
	"math/rand"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/statechart"
)

//go:embed lease.hujson
var chartSource []byte

var leaseChart = statechart.MustLoad(chartSource)

// States of a lease, as in lease.hujson.
const (
	StateIdle       = "idle"
	StateAcquiring  = "acquiring"
	StateHeld       = "held"
	StateRenewing   = "renewing"
	StateUnresolved = "unresolved"
	StateLost       = "lost"
	StateReleasing  = "releasing"
	StateReleased   = "released"
)

// Defaults of Options.
const (
	DefaultDuration       = 6 * time.Second
	DefaultDriftPPM       = 10_000 // parts per million of the lease duration
	DefaultPollInterval   = 2 * time.Second
	DefaultRequestTimeout = time.Second
)

const (
	ppm                 = 1_000_000
	renewalsPerDuration = 3
	recentAttemptsKept  = 8 // number of attempts whose send times are kept
)

// Options configure one candidate. Holder and Writer are required. Duration,
// DriftPPM, PollInterval and RequestTimeout take their defaults if zero.
type Options struct {
	Holder   string        // instance name
	Writer   string        // unique per incarnation
	Duration time.Duration // how long a write holds the lease
	// DriftPPM bounds how much faster a candidate's clock may run than the
	// holder's, in parts per million.
	DriftPPM       int64
	PollInterval   time.Duration // time between a candidate's reads
	RequestTimeout time.Duration // time after which a reply counts as lost
	TakeoverJitter time.Duration // upper bound of the random delay before taking an expired lease
}

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.DriftPPM <= 0 {
		o.DriftPPM = DefaultDriftPPM
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	return o
}

type writeAttempt struct {
	number   uint64
	sentAt   time.Duration
	duration time.Duration
}

type request int

const (
	requestNone request = iota
	requestGet
	requestPut
)

// Lease is one candidate's view of a lease. It is not safe for concurrent use.
type Lease struct {
	opts    Options
	rng     *rand.Rand
	machine *statechart.Machine

	latest        objectstore.Object // object at the highest version seen
	latestValue   Value              // decoded from latest
	observed      bool               // latest was set at least once
	latestSeenAt  time.Duration      // when latest was first seen
	takeoverDelay time.Duration      // jitter added to takeoverWait for latest

	heldUntil time.Duration // when the held lease expires; 0 if not held
	fence     uint64

	era         uint64        // latest seen
	eraSeenAt   time.Duration // when era was first seen
	eraTakeover time.Duration // how long after eraSeenAt the lease may be taken
	eraAttempt  uint64        // number of the last attempt before era was seen

	recentAttempts [recentAttemptsKept]writeAttempt
	lastAttempt    uint64 // number of the last attempt
	pendingRequest request
	requestedAt    time.Duration
	lastReadAt     time.Duration // when the last read was requested
	readRequested  bool          // a read was requested at least once
	mustReread     bool          // the outcome of a write is unknown: read before the next write
}

// New returns a candidate that does not hold the lease. rng supplies the random
// delays before taking an expired lease (see Options.TakeoverJitter).
func New(opts Options, rng *rand.Rand) *Lease {
	return &Lease{opts: opts.withDefaults(), rng: rng, machine: leaseChart.NewMachine()}
}

// State returns the current state, one of the State constants.
func (l *Lease) State() string { return l.machine.State() }

// Latest returns the object at the highest version seen and the holder that it
// names, "" if none.
func (l *Lease) Latest() (obj objectstore.Object, holder string) {
	if !l.observed || l.latestValue.Released {
		return l.latest, ""
	}
	return l.latest, l.latestValue.Holder
}

// Era returns the latest era of the store that this candidate has seen.
func (l *Lease) Era() uint64 { return l.era }

// Held reports whether this candidate holds the lease at now, and the fencing
// token of its leadership. Call it at the point of use.
func (l *Lease) Held(now time.Duration) (fence uint64, ok bool) {
	if now >= l.heldUntil {
		return 0, false
	}
	return l.fence, true
}

// Step applies a message at now and returns the requests to make to the object
// store.
func (l *Lease) Step(now time.Duration, msg Message) []Action {
	l.expire(now)
	switch m := msg.(type) {
	case Read:
		l.completeRequest(requestGet)
		l.mustReread = false
		l.observe(now, m.Object)
	case PeerObserved:
		if !l.observed || m.Object.Version > l.latest.Version {
			l.readRequested, l.lastReadAt = true, now
		}
		l.observe(now, m.Object)
	case WriteOK:
		if m.Attempt == l.lastAttempt { // not a late answer to an earlier attempt
			l.completeRequest(requestPut)
		}
		l.observe(now, m.Object)
	case WriteConflict:
		l.markUnresolved(m.Attempt)
	case WriteUnknown:
		l.markUnresolved(m.Attempt)
	case Unavailable:
		l.failRequest()
	case EraSeen:
		l.enterEra(now, m.Era)
	case Release:
		l.heldUntil = 0
		l.fire("release")
	}
	return l.nextActions(now)
}

// enterEra processes the sight of an era. Whatever was seen in an earlier one no longer counts,
// and the outcome of a pending write is unknown.
func (l *Lease) enterEra(now time.Duration, era uint64) {
	if era <= l.era {
		return
	}
	l.era, l.eraSeenAt, l.eraTakeover, l.eraAttempt = era, now, l.takeoverWait(), l.lastAttempt
	l.takeoverDelay = l.jitter()
	l.observed, l.latest, l.latestValue = false, objectstore.Object{}, Value{}
	l.heldUntil, l.pendingRequest, l.mustReread = 0, requestNone, true
	l.fire("unknown")
	l.fire("expire")
}

// isOwn reports whether the latest object was written by an attempt of this candidate in the
// present era.
func (l *Lease) isOwn() bool {
	return l.latestValue.Writer == l.opts.Writer && l.latestValue.Attempt > l.eraAttempt
}

func (l *Lease) fire(event string) {
	if _, err := l.machine.Fire(event); err != nil {
		panic(err) // statechart.Load has checked every pair of state and event
	}
}

// expire ends a held lease that has expired and a pending request that has timed
// out.
func (l *Lease) expire(now time.Duration) {
	if l.heldUntil != 0 && now >= l.heldUntil {
		l.heldUntil = 0
		l.fire("expire")
	}
	if l.pendingRequest != requestNone && now-l.requestedAt >= l.opts.RequestTimeout {
		l.failRequest()
	}
}

// completeRequest clears the pending request if it is of the given kind.
func (l *Lease) completeRequest(kind request) {
	if l.pendingRequest == kind {
		l.pendingRequest = requestNone
	}
}

// failRequest clears the pending request, whose reply is lost. The outcome of a
// write is then unknown.
func (l *Lease) failRequest() {
	if l.pendingRequest == requestPut {
		l.markUnresolved(l.lastAttempt)
	}
	l.pendingRequest = requestNone
}

// markUnresolved records that the object must be read before the next write. A
// conflict is treated the same way, because an earlier write of this candidate
// may have caused it.
func (l *Lease) markUnresolved(number uint64) {
	if number != l.lastAttempt {
		return
	}
	l.completeRequest(requestPut)
	l.mustReread = true
	l.fire("unknown")
}

// observe processes an object that was read or written, however old.
func (l *Lease) observe(now time.Duration, obj objectstore.Object) {
	era := objectstore.EraOf(obj.Version)
	l.enterEra(now, era)
	if obj.Version != 0 && era < l.era || l.observed && obj.Version < l.latest.Version {
		return
	}
	newer := !l.observed || obj.Version > l.latest.Version
	if newer {
		l.observed = true
		l.latest = obj
		l.latestSeenAt = now
		l.takeoverDelay = l.jitter()
		l.latestValue, _ = Decode(obj) // a malformed value counts as another candidate's, held for opts.Duration
	}
	if !l.isOwn() {
		if obj.Version > l.fence {
			l.heldUntil = 0
		}
		if obj.Version != 0 {
			l.fire("other")
		}
		return
	}
	l.confirmOwnWrite(now)
}

// confirmOwnWrite processes a write of this candidate that was seen in the
// object. The lease duration counts from when the write was sent.
func (l *Lease) confirmOwnWrite(now time.Duration) {
	if l.latestValue.Released {
		l.fire("released")
		return
	}
	if s := l.State(); s == StateReleasing || s == StateReleased {
		return
	}
	for _, a := range l.recentAttempts {
		if a.number != l.latestValue.Attempt || now >= a.sentAt+a.duration {
			continue
		}
		if l.heldUntil == 0 {
			l.fence = l.latest.Version
		}
		l.heldUntil = max(l.heldUntil, a.sentAt+a.duration)
		if !l.mustReread {
			l.fire("mine")
		}
	}
}

func (l *Lease) jitter() time.Duration {
	if l.opts.TakeoverJitter <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int63n(int64(l.opts.TakeoverJitter)))
}

// nextActions returns the next request if one is due and none is pending.
func (l *Lease) nextActions(now time.Duration) []Action {
	if l.pendingRequest != requestNone {
		return nil
	}
	switch l.State() {
	case StateReleased:
		return nil
	case StateReleasing:
		return l.nextRelease(now)
	case StateHeld, StateUnresolved:
		return l.nextRenewal(now)
	case StateRenewing, StateAcquiring:
		return l.poll(now, l.opts.RequestTimeout) // the write's reply was overtaken
	}
	return l.nextTakeover(now)
}

func (l *Lease) nextRelease(now time.Duration) []Action {
	if l.mustReread || !l.observed {
		return l.poll(now, l.opts.RequestTimeout)
	}
	if !l.isOwn() {
		l.fire("released")
		return nil
	}
	return l.put(now, true)
}

func (l *Lease) nextRenewal(now time.Duration) []Action {
	if l.mustReread {
		return l.poll(now, l.opts.RequestTimeout)
	}
	if l.heldUntil == 0 {
		return l.nextTakeover(now)
	}
	if l.heldUntil-now > l.opts.Duration-l.opts.Duration/renewalsPerDuration {
		return nil
	}
	return l.put(now, false)
}

func (l *Lease) nextTakeover(now time.Duration) []Action {
	if l.mustReread || !l.observed {
		return l.poll(now, l.opts.RequestTimeout)
	}
	if l.lapsed(now) {
		return l.put(now, false)
	}
	return l.poll(now, l.opts.PollInterval)
}

// lapsed reports whether no other candidate can still hold the lease.
func (l *Lease) lapsed(now time.Duration) bool {
	switch {
	case l.era > 0 && now-l.eraSeenAt < l.eraTakeover+l.takeoverDelay:
		return false // the holder of an earlier era may not have seen this one
	case l.latest.Version == 0 || l.latestValue.Released:
		return true
	case l.isOwn():
		return true // no other candidate has written since this one did
	}
	return now-l.latestSeenAt >= l.takeoverWait()+l.takeoverDelay
}

// takeoverWait returns the time to wait before taking the lease: the longer of
// the other candidate's lease duration and this one's, plus the drift margin.
func (l *Lease) takeoverWait() time.Duration {
	duration := max(l.opts.Duration, time.Duration(l.latestValue.DurationMS)*time.Millisecond)
	return duration + duration/ppm*time.Duration(l.opts.DriftPPM) + time.Millisecond
}

// poll requests a read if interval has passed since the last one was requested.
// While the outcome of a write is unknown, interval/renewalsPerDuration suffices.
func (l *Lease) poll(now, interval time.Duration) []Action {
	if l.readRequested && !l.mustReread && now-l.lastReadAt < interval {
		return nil
	}
	if l.readRequested && l.mustReread && now-l.lastReadAt < interval/renewalsPerDuration {
		return nil
	}
	return l.get(now)
}

func (l *Lease) get(now time.Duration) []Action {
	l.readRequested = true
	l.lastReadAt = now
	l.requestedAt = now
	l.pendingRequest = requestGet
	return []Action{Get{}}
}

func (l *Lease) put(now time.Duration, released bool) []Action {
	l.lastAttempt++
	l.requestedAt = now
	l.pendingRequest = requestPut
	l.recentAttempts[l.lastAttempt%recentAttemptsKept] = writeAttempt{number: l.lastAttempt, sentAt: now, duration: l.opts.Duration}
	l.fire("send")
	value, err := json.Marshal(Value{
		Holder:     l.opts.Holder,
		Writer:     l.opts.Writer,
		Attempt:    l.lastAttempt,
		DurationMS: (l.opts.Duration + time.Millisecond - 1).Milliseconds(),
		Released:   released,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return []Action{Put{Attempt: l.lastAttempt, ExpectedVersion: l.latest.Version, Value: value}}
}
