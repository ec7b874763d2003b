package ledger

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

const (
	sizeMB        = 100
	maxOrderDelay = 2 * time.Second
)

var modelMB = []int64{30, 40, 50, 60, 20}

// world simulates two owners, the object API and a fake engine, connected by a
// network that loses, delays, reorders and duplicates messages according to
// randomly drawn values.
type world struct {
	t       *rapid.T
	now     time.Duration
	engine  *fakeEngine
	object  platform.Object
	outage  bool
	owners  []*owner
	lease   uint64
	calls   []pendingCall
	replies []reply
	network []inFlightOrder
}

type owner struct {
	c            *Controller
	writer       string
	clockOffset  time.Duration // offset of its clock
	driftDivisor time.Duration // its clock runs faster by one part in driftDivisor
	lease        uint64
}

// pendingCall is an action that has not been performed yet.
type pendingCall struct {
	from   *owner
	action Action
}

type reply struct {
	to  *owner
	msg Message
}

// inFlightOrder is an order that was sent and has not arrived yet.
type inFlightOrder struct {
	from     *owner
	order    engine.Order
	deadline time.Duration
}

func newWorld(t *rapid.T, fencing fencingKind) *world {
	w := &world{t: t, engine: &fakeEngine{fencing: fencing, boots: 1}, owners: []*owner{{}, {}}}
	for _, o := range w.owners {
		w.restart(o)
	}
	return w
}

// restart replaces an owner with a new run under the next lease.
func (w *world) restart(o *owner) {
	w.lease++
	o.writer = fmt.Sprint("run-", w.lease)
	o.lease = w.lease
	o.clockOffset = time.Duration(w.draw(1000)) * time.Hour
	o.driftDivisor = []time.Duration{-250, 1 << 40, 250}[w.draw(3)]
	o.c = NewController(Options{
		Upstream: "u", Writer: o.writer, Owner: w.lease, MemoryMB: sizeMB,
		Promise: Promise{
			DurableFence:  w.engine.fencing == fenceDurable,
			MaxOrderDelay: maxOrderDelay,
		},
		SendWindow: 500 * time.Millisecond, RetryAfter: 3 * time.Second,
		PollEvery: 200 * time.Millisecond, CallTimeout: time.Second,
	})
	w.want(o)
}

func (w *world) draw(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

// want sets a random wanted set of models that fit into memory.
func (w *world) want(o *owner) {
	var want []Want
	var sum int64
	for _, i := range []int{w.draw(len(modelMB)), w.draw(len(modelMB)), w.draw(len(modelMB))} {
		k := Key{Model: fmt.Sprint("m", i)}
		twice := slices.ContainsFunc(want, func(x Want) bool { return x.Key == k })
		if !twice && sum+modelMB[i] <= sizeMB {
			want = append(want, Want{Key: k, MemoryMB: modelMB[i]})
			sum += modelMB[i]
		}
	}
	w.step(o, Wanted{Want: want})
}

func (w *world) step(o *owner, msg Message) {
	local := o.clockOffset + w.now + w.now/o.driftDivisor
	for _, a := range o.c.Step(local, msg) {
		if send, ok := a.(SendOrder); ok {
			w.network = append(w.network, inFlightOrder{from: o, order: send.Order, deadline: w.now + maxOrderDelay})
			continue
		}
		w.calls = append(w.calls, pendingCall{from: o, action: a})
	}
}

// performCall performs one call and queues its reply.
func (w *world) performCall(i int, loseReply bool) {
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	var msg Message
	switch a := c.action.(type) {
	case ReadObject:
		msg = w.readObject(a)
	case WriteObject:
		done := w.writeObject(a)
		if loseReply && done.Err == nil {
			done = WriteDone{Attempt: a.Attempt, Err: platform.ErrOutcomeUnknown}
		}
		msg = done
	case PollReport:
		msg = PollDone{ID: a.ID, Report: w.engine.report()}
	default:
		w.t.Fatalf("unexpected action %#v", a)
	}
	w.replies = append(w.replies, reply{to: c.from, msg: msg})
}

func (w *world) readObject(a ReadObject) ReadDone {
	switch {
	case w.outage:
		return ReadDone{ID: a.ID, Err: platform.ErrUnavailable}
	case w.object.Version == 0:
		return ReadDone{ID: a.ID, Err: platform.ErrNotFound}
	}
	return ReadDone{ID: a.ID, Object: w.object}
}

func (w *world) writeObject(a WriteObject) WriteDone {
	switch {
	case w.outage:
		return WriteDone{Attempt: a.Attempt, Err: platform.ErrUnavailable}
	case a.Object.Version != w.object.Version:
		return WriteDone{Attempt: a.Attempt, Err: platform.ErrConflict}
	}
	w.object = a.Object
	w.object.Version++
	return WriteDone{Attempt: a.Attempt, Version: w.object.Version}
}

// deliverOrder delivers one order to the engine; a copy may stay in flight.
func (w *world) deliverOrder(i int, keepCopy bool) {
	f := w.network[i]
	if !keepCopy {
		w.network = slices.Delete(w.network, i, i+1)
	}
	answer := w.engine.applyOrder(f.order)
	w.replies = append(w.replies, reply{to: f.from, msg: OrderDone{ID: f.order.ID, Reply: answer}})
	w.check()
}

// advanceTime advances the time. If the engine has no durable fence, orders
// arrive or are lost before their deadline; otherwise they may take any time.
func (w *world) advanceTime(d time.Duration) {
	for i := 0; i < len(w.network) && w.engine.fencing != fenceDurable; {
		switch {
		case w.network[i].deadline >= w.now+d:
			i++
		case w.draw(2) == 0:
			w.now = max(w.now, w.network[i].deadline)
			w.deliverOrder(i, false)
		default:
			w.network = slices.Delete(w.network, i, i+1)
		}
	}
	w.now += d
}

// check fails if the engine's memory is overcommitted.
func (w *world) check() {
	if used := w.engine.used(); used > sizeMB {
		w.t.Fatalf("%d MB in use of %d: %+v", used, sizeMB, w.engine.resident)
	}
}
