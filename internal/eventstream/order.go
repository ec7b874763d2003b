package eventstream

import (
	"bytes"
	"fmt"
	"hash/maphash"
)

// Fault is what is wrong with the order of an attempt's events, as it appears in logs and metrics.
type Fault string

// The faults.
const (
	FaultRepeated Fault = "repeated" // the event before came again
	FaultBack     Fault = "back"     // a number is below the one before
	FaultSkipped  Fault = "skipped"  // events were left out
	FaultShort    Fault = "short"    // the end came before the last event that the caller has
	FaultMissing  Fault = "missing"  // the end came without an event that an upstream had begun
	// FaultUnconfirmed is no fault of the upstream: that nothing is left must be said by two.
	FaultUnconfirmed Fault = "unconfirmed"
	// FaultUnordered is none either: nothing tells which events the caller has.
	FaultUnordered Fault = "unordered"
	FaultHeld      Fault = "held" // too much came before anything told whether the caller has it
	// FaultUnasked is no fault of the upstream: an event beyond the expected number was passed on, since
	// no other one could be asked whether one lies between.
	FaultUnasked Fault = "unasked"
)

// OrderError means that an attempt must not go on, or that its end is not the stream's.
type OrderError struct {
	Fault Fault
	// Before and ID are the IDs of the events between which the fault is, empty for none.
	Before, ID string
	// Assumed means that the events were expected in a step that nothing has shown, or after a
	// number that the caller named and no upstream brought.
	Assumed bool
	// Undecided means that only the expected step speaks against the event. Another upstream can tell whether
	// one was left out; if none can be asked, Accept passes the event on.
	Undecided bool
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("eventstream: order of events: %s after %q, before %q", e.Fault, e.Before, e.ID)
}

// OfUpstream reports whether the upstream is known to be at fault.
func (e *OrderError) OfUpstream() bool {
	return e.Fault != FaultUnconfirmed && e.Fault != FaultUnordered && !e.Assumed && !e.Undecided
}

// Passed is what becomes of an event.
type Passed struct {
	Raw    []byte // to pass to the caller, nil for nothing; valid until the next call
	Events int    // in Raw
	Held   bool   // the event is kept until it is known whether the caller has it
	Fault  Fault  // that was repaired, empty for none
	Filled bool   // the event lies where the upstream that was asked about had none
}

// Order decides which events of a stream reach the caller, over all attempts to bring it. It
// is told of each attempt, event and end. Invariant: what was passed on is the beginning of what
// one sound upstream sends after the caller's Last-Event-Id, without a gap or a repetition
// that the IDs show. An Order is a plain value; it does no I/O and is not safe for concurrent use.
type Order struct {
	resumable bool
	maxHeld   int
	steps     expectation

	lastID  []byte // of the last event with one that the caller has, also from a request before
	last    number // highest one that the caller has
	brought bool   // an upstream brought it, not the caller's Last-Event-Id
	tail    int    // events without an ID that were passed on after lastID
	events  int    // passed on, without comments
	marked  bool   // something was passed on, so that no byte order mark may follow
	begun   bool   // an upstream broke off within the event after these
	emptyAt string // upstream that said that nothing is left
	asked   bool   // an attempt ended as undecided after the last event that the caller has

	attempts int
	attempt  attemptOrder
	this     number // of the event at hand
}

// attemptOrder is the state of one attempt.
type attemptOrder struct {
	upstream string
	// afterBreak means that the attempt before broke off. A gap in the rest is then likelier than an event of
	// several tokens, and its caller may take the stream up.
	afterBreak bool
	repeating  bool   // the attempt may repeat what the caller has; nothing new has come
	reached    bool   // the last event that the caller has was repeated
	any        bool   // events came, repeated or new
	number     number // last one of the attempt
	hash       uint64 // of the last event with an ID
	plain      bool   // no event came after that one
	after      int    // events without ID after reached
	held       []byte // events of which the caller may have none, without the first tail ones
	heldCount  int    // all that were held
	heldKept   int    // events in held
}

// NewOrder returns the order of a stream. lastEventID is what the caller has seen, empty for
// nothing; steps is what is known of its service. It holds up to maxHeld bytes.
func NewOrder(lastEventID string, resumable bool, steps Steps, maxHeld int) *Order {
	o := &Order{resumable: resumable, maxHeld: maxHeld}
	if resumable { // otherwise no page gives the ID a meaning
		o.lastID = []byte(lastEventID)
		o.last.parse(o.lastID)
	}
	o.steps = newExpectation(steps, resumable)
	return o
}

// LastID returns the ID after which the next attempt has to go on, empty for the beginning.
func (o *Order) LastID() string { return string(o.lastID) }

// MayResume reports whether a further attempt could be told from what the caller has.
func (o *Order) MayResume() bool { return o.events == 0 || len(o.lastID) > 0 }

// goesOn reports whether the caller has a part of the stream.
func (o *Order) goesOn() bool { return o.events > 0 || len(o.lastID) > 0 }

// Held returns the bytes of the events that are held.
func (o *Order) Held() int { return len(o.attempt.held) }

// Begin is told that the answer of an upstream follows.
func (o *Order) Begin(upstream string) {
	o.attempts++
	held := o.attempt.held[:0]
	o.attempt = attemptOrder{upstream: upstream, afterBreak: o.attempts > 1 && !o.asked, repeating: o.goesOn(), held: held}
}

// Broke is told that the answer broke off within an event.
func (o *Order) Broke() {
	a := &o.attempt
	repeated := a.repeating && a.number.known && !a.reached // the event is one that the caller has
	o.begun = o.begun || !repeated
}

// Next is told of the next event of the attempt. The error is an *OrderError.
func (o *Order) Next(e Event) (Passed, error) {
	if !o.MayResume() && o.attempt.repeating {
		return Passed{}, o.fault(FaultUnordered, nil)
	}
	raw := e.Raw
	if o.marked {
		raw = bytes.TrimPrefix(raw, byteOrderMark[:e.mark])
	}
	if len(e.ID) == 0 {
		if !hasData(e.Raw[e.mark:]) {
			return o.comment(raw), nil
		}
		o.attempt.any, o.attempt.plain = true, false
		return o.unnamed(raw)
	}
	o.attempt.any = true
	hash := maphash.Bytes(hashSeed, e.Raw[e.mark:])
	same := o.attempt.plain && hash == o.attempt.hash
	o.this.parse(e.ID)
	p, err := o.named(e.ID, raw, same)
	if err != nil { // Accept may follow
		return p, err
	}
	o.attempt.hash, o.attempt.plain = hash, true
	if o.this.known {
		o.attempt.number.set(&o.this)
	}
	return p, nil
}

// Accept passes on the event that Next has just rejected as undecided, where no other upstream can be
// asked. All that numbers promise is increase.
func (o *Order) Accept(e Event) (Passed, error) {
	o.steps.passUnasked(o.brought)
	p, err := o.Next(e)
	if err == nil {
		p.Fault = FaultUnasked
	}
	return p, err
}

// hashSeed is that of the hashes by which events are compared.
var hashSeed = maphash.MakeSeed()

// comment passes on what carries nothing, unless it may be repeated.
func (o *Order) comment(raw []byte) Passed {
	if o.attempt.repeating {
		return Passed{}
	}
	o.marked = true
	return Passed{Raw: raw, Events: 1}
}

// unnamed decides on an event without an ID. Where it lies is told by the IDs around it.
func (o *Order) unnamed(raw []byte) (Passed, error) {
	a := &o.attempt
	switch {
	case !a.repeating:
		return o.pass(nil, raw), nil
	case a.reached:
		if a.after++; a.after > o.tail {
			return o.pass(nil, raw), nil
		}
		return Passed{}, nil
	case a.number.known:
		return Passed{}, nil
	}
	if a.heldCount++; a.heldCount > o.tail { // the caller has the others in any case
		if len(a.held)+len(raw) > o.maxHeld {
			return Passed{}, o.fault(FaultHeld, nil)
		}
		a.held = append(a.held, raw...)
		a.heldKept++
	}
	return Passed{Held: true}, nil
}

// named decides on an event with an ID. same is whether it equals the event before.
func (o *Order) named(id, raw []byte, same bool) (Passed, error) {
	a := &o.attempt
	if !o.this.known {
		switch {
		case !bytes.Equal(id, o.lastID):
		case a.repeating:
			o.overlap(true)
			return Passed{}, nil
		default:
			return o.repeated(id, same)
		}
		return o.pass(id, raw), nil
	}
	before := &o.last // of what this attempt has brought
	if a.repeating {
		before = &a.number
	}
	if before.known {
		switch order := o.this.cmp(before); {
		case order == 0:
			return o.repeated(id, same)
		case order < 0:
			return Passed{}, o.fault(FaultBack, id)
		}
	}
	if o.last.known {
		order := o.this.cmp(&o.last)
		switch {
		case order <= 0: // the attempt repeats
			o.overlap(order == 0)
			return Passed{}, nil
		case a.repeating && a.number.known && !a.reached:
			return Passed{}, o.fault(FaultSkipped, id) // a run without the caller's last event is another one
		case !o.steps.follows(a.upstream, &o.last, &o.this, o.brought, !a.repeating || a.reached):
			err := o.fault(FaultSkipped, id)
			err.Assumed = err.Assumed || o.steps.assumed()
			err.Undecided = !a.afterBreak
			o.asked = err.Undecided
			return Passed{}, err
		}
	}
	filled := o.brought && o.steps.filled
	p := o.pass(id, raw)
	p.Filled = filled
	return p, nil
}

// overlap notes that the caller has an event, and hence those before it.
func (o *Order) overlap(reached bool) {
	a := &o.attempt
	a.reached, a.after = reached, 0
	a.held, a.heldCount, a.heldKept = a.held[:0], 0, 0
}

// repeated decides on an event with the ID of the one before.
func (o *Order) repeated(id []byte, same bool) (Passed, error) {
	if same {
		return Passed{Fault: FaultRepeated}, nil
	}
	return Passed{}, o.fault(FaultRepeated, id)
}

// pass passes on an event, with those that were held before it.
func (o *Order) pass(id, raw []byte) Passed {
	p := Passed{Raw: raw, Events: 1}
	if held := o.release(); held.Events > 0 {
		p = Passed{Raw: append(held.Raw, raw...), Events: held.Events + 1}
	}
	o.events++
	o.attempt.repeating, o.begun, o.marked, o.emptyAt, o.asked = false, false, true, "", false
	if len(id) == 0 {
		o.tail++
		return p
	}
	o.tail = 0
	o.lastID = append(o.lastID[:0], id...)
	if o.this.known {
		o.last.set(&o.this)
		o.brought = true
	}
	return p
}

// release passes on the events that were held.
func (o *Order) release() Passed {
	a := &o.attempt
	p := Passed{Raw: a.held, Events: a.heldKept}
	if p.Events > 0 {
		o.events += p.Events
		o.tail += p.Events
		a.repeating, o.begun, o.marked, o.emptyAt = false, false, true, ""
	}
	a.held, a.heldCount, a.heldKept = a.held[:0], 0, 0
	return p
}

// End is told that the answer ended in order. It returns what was held, and nil if the
// stream is whole; otherwise an *OrderError.
func (o *Order) End() (Passed, error) {
	a := &o.attempt
	switch {
	case !a.repeating:
	case !o.MayResume():
		return Passed{}, o.fault(FaultUnordered, nil)
	case a.number.known && !a.reached, (a.reached || a.heldCount > 0) && a.after+a.heldCount < o.tail:
		return Passed{}, o.fault(FaultShort, nil)
	}
	p := o.release()
	switch {
	case o.begun:
		return p, o.fault(FaultMissing, nil)
	case a.repeating && !a.any && (o.emptyAt == "" || o.emptyAt == a.upstream):
		o.emptyAt = a.upstream
		return p, o.fault(FaultUnconfirmed, nil)
	}
	o.steps.whole = o.attempts == 1
	o.emptyAt = a.upstream // for an end that something else leaves in doubt
	return p, nil
}

// fault returns an error at the event with this ID.
func (o *Order) fault(f Fault, id []byte) *OrderError {
	assumed := !o.brought && (f == FaultSkipped || f == FaultShort && o.tail == 0)
	return &OrderError{Fault: f, Before: string(o.lastID), ID: string(id), Assumed: assumed}
}

// hasData reports whether an event has a data field. Without one it carries nothing.
func hasData(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if rest, ok := bytes.CutPrefix(line, []byte("data")); ok && len(rest) > 0 && (rest[0] == ':' || rest[0] == '\n' || rest[0] == '\r') {
			return true
		}
	}
	return false
}
