// Package lease gives one instance at a time the right to a duty, by
// conditional updates of one object and without a coordination service.
//
// Safety rests on four rules. The holder counts its term on its own monotonic
// clock from before it sent the write that the term belongs to. A contender
// waits the whole term and the drift margin on its own clock after it first
// saw the object's version. Every write is conditional on the version last
// seen, so two writes from one version cannot both take effect. Held is asked
// at the point of use, so a holder that was paused stops by itself. The
// object's version when a tenure began is its fencing number; renewals keep
// it, so a changed number tells the holder that it did not hold all the time.
//
// A write whose reply is lost is resolved by reading back: only the writer
// knows its writer id and attempt number. Such a read may be as stale as it
// likes, because the term counts from when that attempt was sent.
//
// A monotonic clock that stands still while a whole machine is suspended is
// outside these rules; there the fencing number protects the receiver.
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
	ppm           = 1_000_000
	renewalsATerm = 3
	sentKept      = 8 // attempts whose sending times are remembered
)

// Options configure one contender. Holder and Writer are required; zero
// durations take their defaults.
type Options struct {
	Holder string        // instance name
	Writer string        // unique per incarnation
	Term   time.Duration // how long a write holds the lease
	// DriftPPM bounds how much faster a contender's clock may run than the
	// holder's, in parts per million.
	DriftPPM       int64
	PollEvery      time.Duration // how often a contender reads
	RequestTimeout time.Duration // after which a reply counts as lost
	TakeJitter     time.Duration // longest random delay before taking a lapsed lease
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

type attempt struct {
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

	seen   platform.Object // highest version seen
	value  Value           // of seen
	known  bool            // seen was read at least once
	seenAt time.Duration   // when seen was first seen
	delay  time.Duration   // jitter added to the wait for seen

	until time.Duration // the term held ends here; 0 when not held
	fence uint64

	sent    [sentKept]attempt
	number  uint64 // last attempt number used
	pending request
	askedAt time.Duration
	readAt  time.Duration // when the last read was asked for
	asked   bool          // a read was asked for at least once
	reread  bool          // the outcome of a write is open: read before writing
}

// New returns a contender that holds nothing yet. The generator spreads the
// contenders' attempts to take a lapsed lease.
func New(opts Options, rng *rand.Rand) *Lease {
	return &Lease{opts: opts.withDefaults(), rng: rng, machine: leaseChart.New()}
}

// State returns the state in the state chart.
func (l *Lease) State() string { return l.machine.State() }

// Seen returns the object as last seen and the holder that it names, "" if it
// names none.
func (l *Lease) Seen() (obj platform.Object, holder string) {
	if !l.known || l.value.Released {
		return l.seen, ""
	}
	return l.seen, l.value.Holder
}

// Held reports whether the lease is held at now, and the fencing number of
// this tenure. Ask it at the point of use.
func (l *Lease) Held(now time.Duration) (fence uint64, ok bool) {
	if now >= l.until {
		return 0, false
	}
	return l.fence, true
}

// Step applies a message at now and returns what to ask of the object API.
func (l *Lease) Step(now time.Duration, msg Message) []Action {
	l.expire(now)
	switch m := msg.(type) {
	case Read:
		l.answered(requestGet)
		l.reread = false
		l.observe(now, m.Object)
	case Relayed:
		if !l.known || m.Object.Version > l.seen.Version {
			l.asked, l.readAt = true, now
		}
		l.observe(now, m.Object)
	case WriteOK:
		if m.Attempt == l.number { // not a late answer to an earlier attempt
			l.answered(requestPut)
		}
		l.observe(now, m.Object)
	case WriteConflict:
		l.unresolved(m.Attempt)
	case WriteUnknown:
		l.unresolved(m.Attempt)
	case Unavailable:
		l.unanswered()
	case Release:
		l.until = 0
		l.fire("release")
	}
	return l.next(now)
}

func (l *Lease) fire(event string) {
	if _, err := l.machine.Fire(event); err != nil {
		panic(err) // chart.Load has checked every pair of state and event
	}
}

func (l *Lease) expire(now time.Duration) {
	if l.until != 0 && now >= l.until {
		l.until = 0
		l.fire("expire")
	}
	if l.pending != requestNone && now-l.askedAt >= l.opts.RequestTimeout {
		l.unanswered()
	}
}

func (l *Lease) answered(kind request) {
	if l.pending == kind {
		l.pending = requestNone
	}
}

func (l *Lease) unanswered() {
	if l.pending == requestPut {
		l.unresolved(l.number)
	}
	l.pending = requestNone
}

// unresolved notes that the object must be read before the next write. A
// conflict is treated alike, because an own earlier write may have caused it.
func (l *Lease) unresolved(number uint64) {
	if number != l.number {
		return
	}
	l.answered(requestPut)
	l.reread = true
	l.fire("unknown")
}

// observe takes in an object that was read or written, however old.
func (l *Lease) observe(now time.Duration, obj platform.Object) {
	if l.known && obj.Version < l.seen.Version {
		return
	}
	first := !l.known || obj.Version > l.seen.Version
	if first {
		l.known = true
		l.seen = obj
		l.seenAt = now
		l.delay = l.jitter()
		l.value, _ = Decode(obj) // a malformed value counts as another's, for a term
	}
	if l.value.Writer != l.opts.Writer {
		if obj.Version > l.fence {
			l.until = 0
		}
		if obj.Version != 0 {
			l.fire("other")
		}
		return
	}
	l.recognise(now)
}

// recognise takes in an own write: the term counts from when it was sent.
func (l *Lease) recognise(now time.Duration) {
	if l.value.Released {
		l.fire("released")
		return
	}
	if s := l.State(); s == StateReleasing || s == StateReleased {
		return
	}
	for _, a := range l.sent {
		if a.number != l.value.Attempt || now >= a.sentAt+a.term {
			continue
		}
		if l.until == 0 {
			l.fence = l.seen.Version
		}
		l.until = max(l.until, a.sentAt+a.term)
		if !l.reread {
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

// next returns the one request that is due, if none is under way.
func (l *Lease) next(now time.Duration) []Action {
	if l.pending != requestNone {
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
	return l.nextTake(now)
}

func (l *Lease) nextRelease(now time.Duration) []Action {
	if l.reread || !l.known {
		return l.poll(now, l.opts.RequestTimeout)
	}
	if l.value.Writer != l.opts.Writer {
		l.fire("released")
		return nil
	}
	return l.put(now, true)
}

func (l *Lease) nextRenewal(now time.Duration) []Action {
	if l.reread {
		return l.poll(now, l.opts.RequestTimeout)
	}
	if l.until == 0 {
		return l.nextTake(now)
	}
	if l.until-now > l.opts.Term-l.opts.Term/renewalsATerm {
		return nil
	}
	return l.put(now, false)
}

func (l *Lease) nextTake(now time.Duration) []Action {
	if l.reread || !l.known {
		return l.poll(now, l.opts.RequestTimeout)
	}
	if l.lapsed(now) {
		return l.put(now, false)
	}
	return l.poll(now, l.opts.PollEvery)
}

// lapsed reports whether no other contender can hold the lease any more.
func (l *Lease) lapsed(now time.Duration) bool {
	switch {
	case l.seen.Version == 0 || l.value.Released:
		return true
	case l.value.Writer == l.opts.Writer:
		return true // nobody has written since this contender did
	}
	return now-l.seenAt >= l.wait()+l.delay
}

// wait is the other's term, at least the own one, and the drift margin.
func (l *Lease) wait() time.Duration {
	term := max(l.opts.Term, time.Duration(l.value.TermMS)*time.Millisecond)
	return term + term/ppm*time.Duration(l.opts.DriftPPM) + time.Millisecond
}

func (l *Lease) poll(now, every time.Duration) []Action {
	if l.asked && !l.reread && now-l.readAt < every {
		return nil
	}
	if l.asked && l.reread && now-l.readAt < every/renewalsATerm {
		return nil
	}
	return l.get(now)
}

func (l *Lease) get(now time.Duration) []Action {
	l.asked = true
	l.readAt = now
	l.askedAt = now
	l.pending = requestGet
	return []Action{Get{}}
}

func (l *Lease) put(now time.Duration, released bool) []Action {
	l.number++
	l.askedAt = now
	l.pending = requestPut
	l.sent[l.number%sentKept] = attempt{number: l.number, sentAt: now, term: l.opts.Term}
	l.fire("send")
	value, err := json.Marshal(Value{
		Holder:   l.opts.Holder,
		Writer:   l.opts.Writer,
		Attempt:  l.number,
		TermMS:   (l.opts.Term + time.Millisecond - 1).Milliseconds(),
		Released: released,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return []Action{Put{Attempt: l.number, ExpectedVersion: l.seen.Version, Value: value}}
}
