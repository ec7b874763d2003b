// Package lease implements a lease that at most one instance holds at a time. It
// uses conditional updates of one object and no coordination service. Inputs
// are messages with the results of object API calls; outputs are the next calls.
//
// Safety rests on four rules:
//   - The holder measures its term on its own monotonic clock, starting before
//     it sent the write that the term belongs to.
//   - A contender waits the whole term plus the drift margin on its own clock
//     after it first saw the object's version.
//   - Every write is conditional on the version last seen, so two writes based
//     on one version cannot both take effect.
//   - Held must be called at the point of use, so that a holder that was paused
//     stops by itself.
//
// The fencing number of a tenure is the object's version at its start. Renewals
// keep it, so a changed number shows the holder that it did not hold the lease
// continuously.
//
// A write whose reply was lost is resolved by reading the object, because only
// the writer knows its writer ID and attempt number. That read may be stale by
// any amount, because the term counts from when the attempt was sent.
//
// The rules do not cover a monotonic clock that stops while a whole machine is
// suspended; in that case the fencing number protects the receiver.
package lease

import (
	_ "embed"
	"encoding/json"
	"math/rand"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/chart"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

//go:embed lease.hujson
var chartSource []byte

var leaseChart = chart.MustLoad(chartSource)

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
	DefaultTerm           = 6 * time.Second
	DefaultDriftPPM       = 10_000 // parts per million of the term
	DefaultPollEvery      = 2 * time.Second
	DefaultRequestTimeout = time.Second
)

const (
	ppm                = 1_000_000
	renewalsPerTerm    = 3
	recentAttemptsKept = 8 // number of attempts whose send times are kept
)

// Options configure one contender. Holder and Writer are required. Term,
// DriftPPM, PollEvery and RequestTimeout take their defaults if zero.
type Options struct {
	Holder string        // instance name
	Writer string        // unique per incarnation
	Term   time.Duration // how long a write holds the lease
	// DriftPPM bounds how much faster a contender's clock may run than the
	// holder's, in parts per million.
	DriftPPM       int64
	PollEvery      time.Duration // time between a contender's reads
	RequestTimeout time.Duration // time after which a reply counts as lost
	TakeJitter     time.Duration // upper bound of the random delay before taking a lapsed lease
}

func (o Options) withDefaults() Options {
	if o.Term <= 0 {
		o.Term = DefaultTerm
	}
	if o.DriftPPM <= 0 {
		o.DriftPPM = DefaultDriftPPM
	}
	if o.PollEvery <= 0 {
		o.PollEvery = DefaultPollEvery
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	return o
}

type writeAttempt struct {
	number uint64
	sentAt time.Duration
	term   time.Duration
}

type request int

const (
	requestNone request = iota
	requestGet
	requestPut
)

// Lease is one contender's view of a lease. It is not safe for concurrent use.
type Lease struct {
	opts    Options
	rng     *rand.Rand
	machine *chart.Machine

	latest        platform.Object // object at the highest version seen
	latestValue   Value           // decoded from latest
	observed      bool            // latest was set at least once
	latestSeenAt  time.Duration   // when latest was first seen
	takeoverDelay time.Duration   // jitter added to takeoverWait for latest

	heldUntil time.Duration // end of the held term; 0 if not held
	fence     uint64

	recentAttempts [recentAttemptsKept]writeAttempt
	lastAttempt    uint64 // number of the last attempt
	pendingRequest request
	requestedAt    time.Duration
	lastReadAt     time.Duration // when the last read was requested
	readRequested  bool          // a read was requested at least once
	mustReread     bool          // the outcome of a write is unknown: read before the next write
}

// New returns a contender that does not hold the lease. rng spreads the
// contenders' attempts to take a lapsed lease.
func New(opts Options, rng *rand.Rand) *Lease {
	return &Lease{opts: opts.withDefaults(), rng: rng, machine: leaseChart.New()}
}

// State returns the current state, one of the State constants.
func (l *Lease) State() string { return l.machine.State() }

// Seen returns the object at the highest version seen and the holder that it
// names, "" if none.
func (l *Lease) Seen() (obj platform.Object, holder string) {
	if !l.observed || l.latestValue.Released {
		return l.latest, ""
	}
	return l.latest, l.latestValue.Holder
}

// Held reports whether this contender holds the lease at now, and the fencing
// number of its tenure. Call it at the point of use.
func (l *Lease) Held(now time.Duration) (fence uint64, ok bool) {
	if now >= l.heldUntil {
		return 0, false
	}
	return l.fence, true
}

// Step applies a message at now and returns the requests to make to the object
// API.
func (l *Lease) Step(now time.Duration, msg Message) []Action {
	l.expire(now)
	switch m := msg.(type) {
	case Read:
		l.completeRequest(requestGet)
		l.mustReread = false
		l.observe(now, m.Object)
	case Relayed:
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
	case Release:
		l.heldUntil = 0
		l.fire("release")
	}
	return l.nextActions(now)
}

func (l *Lease) fire(event string) {
	if _, err := l.machine.Fire(event); err != nil {
		panic(err) // chart.Load has checked every pair of state and event
	}
}

// expire ends a held term and a pending request whose times are over.
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
// conflict is treated the same way, because an earlier write of this contender
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
func (l *Lease) observe(now time.Duration, obj platform.Object) {
	if l.observed && obj.Version < l.latest.Version {
		return
	}
	newer := !l.observed || obj.Version > l.latest.Version
	if newer {
		l.observed = true
		l.latest = obj
		l.latestSeenAt = now
		l.takeoverDelay = l.jitter()
		l.latestValue, _ = Decode(obj) // a malformed value counts as another contender's, for a term
	}
	if l.latestValue.Writer != l.opts.Writer {
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

// confirmOwnWrite processes a write of this contender that was seen in the
// object. The term counts from when the write was sent.
func (l *Lease) confirmOwnWrite(now time.Duration) {
	if l.latestValue.Released {
		l.fire("released")
		return
	}
	if s := l.State(); s == StateReleasing || s == StateReleased {
		return
	}
	for _, a := range l.recentAttempts {
		if a.number != l.latestValue.Attempt || now >= a.sentAt+a.term {
			continue
		}
		if l.heldUntil == 0 {
			l.fence = l.latest.Version
		}
		l.heldUntil = max(l.heldUntil, a.sentAt+a.term)
		if !l.mustReread {
			l.fire("mine")
		}
	}
}

func (l *Lease) jitter() time.Duration {
	if l.opts.TakeJitter <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int63n(int64(l.opts.TakeJitter)))
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
	if l.latestValue.Writer != l.opts.Writer {
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
	if l.heldUntil-now > l.opts.Term-l.opts.Term/renewalsPerTerm {
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
	return l.poll(now, l.opts.PollEvery)
}

// lapsed reports whether no other contender can still hold the lease.
func (l *Lease) lapsed(now time.Duration) bool {
	switch {
	case l.latest.Version == 0 || l.latestValue.Released:
		return true
	case l.latestValue.Writer == l.opts.Writer:
		return true // no other contender has written since this one did
	}
	return now-l.latestSeenAt >= l.takeoverWait()+l.takeoverDelay
}

// takeoverWait returns the time to wait before taking the lease: the longer of
// the other contender's term and this one's, plus the drift margin.
func (l *Lease) takeoverWait() time.Duration {
	term := max(l.opts.Term, time.Duration(l.latestValue.TermMS)*time.Millisecond)
	return term + term/ppm*time.Duration(l.opts.DriftPPM) + time.Millisecond
}

// poll requests a read if the last one was requested at least every ago, or a
// renewalsPerTerm-th of that while the outcome of a write is unknown.
func (l *Lease) poll(now, every time.Duration) []Action {
	if l.readRequested && !l.mustReread && now-l.lastReadAt < every {
		return nil
	}
	if l.readRequested && l.mustReread && now-l.lastReadAt < every/renewalsPerTerm {
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
	l.recentAttempts[l.lastAttempt%recentAttemptsKept] = writeAttempt{number: l.lastAttempt, sentAt: now, term: l.opts.Term}
	l.fire("send")
	value, err := json.Marshal(Value{
		Holder:   l.opts.Holder,
		Writer:   l.opts.Writer,
		Attempt:  l.lastAttempt,
		TermMS:   (l.opts.Term + time.Millisecond - 1).Milliseconds(),
		Released: released,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return []Action{Put{Attempt: l.lastAttempt, ExpectedVersion: l.latest.Version, Value: value}}
}
