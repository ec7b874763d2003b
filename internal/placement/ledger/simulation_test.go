package ledger

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

const (
	sizeMB        = 100
	maxOrderDelay = 2 * time.Second
)

var modelMB = []int64{30, 40, 50, 60, 20}

// simulation runs two owners, the object API and a fake engine, connected by a
// network that loses, delays, reorders and duplicates messages according to
// randomly drawn values.
type simulation struct {
	t         *rapid.T
	now       time.Duration
	engine    *fakeEngine
	object    objectstore.Object
	outage    bool
	owners    []*owner
	lastToken uint64 // fencing token of the latest lease
	calls     []pendingCall
	replies   []reply
	network   []inFlightOrder
}

type owner struct {
	c            *Controller
	writer       string
	clockOffset  time.Duration // offset of its clock
	driftDivisor time.Duration // its clock runs faster by one part in driftDivisor
	token        uint64        // fencing token of its lease
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

func newSimulation(t *rapid.T, fencing fencingKind) *simulation {
	s := &simulation{t: t, engine: &fakeEngine{fencing: fencing, boots: 1}, owners: []*owner{{}, {}}}
	for _, o := range s.owners {
		s.restart(o)
	}
	return s
}

// restart replaces an owner with a new run under the next lease.
func (s *simulation) restart(o *owner) {
	s.lastToken++
	o.writer = fmt.Sprint("run-", s.lastToken)
	o.token = s.lastToken
	o.clockOffset = time.Duration(s.draw(1000)) * time.Hour
	o.driftDivisor = []time.Duration{-250, 1 << 40, 250}[s.draw(3)]
	o.c = NewController(Options{
		Upstream: "u", Writer: o.writer, Owner: s.lastToken, MemoryMB: sizeMB,
		Guarantees: Guarantees{
			DurableFencing: s.engine.fencing == fencingDurable,
			MaxOrderDelay:  maxOrderDelay,
		},
		SendWindow: 500 * time.Millisecond, RetryAfter: 3 * time.Second,
		PollInterval: 200 * time.Millisecond, CallTimeout: time.Second,
	})
	s.want(o)
}

func (s *simulation) draw(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "n") }

// want sets a random wanted set of models that fit into memory.
func (s *simulation) want(o *owner) {
	var want []WantedModel
	var sum int64
	for _, i := range []int{s.draw(len(modelMB)), s.draw(len(modelMB)), s.draw(len(modelMB))} {
		k := Key{Model: fmt.Sprint("m", i)}
		duplicate := slices.ContainsFunc(want, func(x WantedModel) bool { return x.Key == k })
		if !duplicate && sum+modelMB[i] <= sizeMB {
			want = append(want, WantedModel{Key: k, MemoryMB: modelMB[i]})
			sum += modelMB[i]
		}
	}
	s.step(o, SetWanted{Set: want})
}

func (s *simulation) step(o *owner, msg Message) {
	local := o.clockOffset + s.now + s.now/o.driftDivisor
	for _, a := range o.c.Step(local, msg) {
		if send, ok := a.(SendOrder); ok {
			s.network = append(s.network, inFlightOrder{from: o, order: send.Order, deadline: s.now + maxOrderDelay})
			continue
		}
		s.calls = append(s.calls, pendingCall{from: o, action: a})
	}
}

// performCall performs one call and queues its reply.
func (s *simulation) performCall(i int, loseReply bool) {
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	var msg Message
	switch a := c.action.(type) {
	case ReadObject:
		msg = s.readObject(a)
	case WriteObject:
		done := s.writeObject(a)
		if loseReply && done.Err == nil {
			done = WriteDone{Attempt: a.Attempt, Err: objectstore.ErrOutcomeUnknown}
		}
		msg = done
	case PollReport:
		msg = PollDone{ID: a.ID, Report: s.engine.report()}
	default:
		s.t.Fatalf("unexpected action %#v", a)
	}
	s.replies = append(s.replies, reply{to: c.from, msg: msg})
}

func (s *simulation) readObject(a ReadObject) ReadDone {
	switch {
	case s.outage:
		return ReadDone{ID: a.ID, Err: objectstore.ErrUnavailable}
	case s.object.Version == 0:
		return ReadDone{ID: a.ID, Err: objectstore.ErrNotFound}
	}
	return ReadDone{ID: a.ID, Object: s.object}
}

func (s *simulation) writeObject(a WriteObject) WriteDone {
	switch {
	case s.outage:
		return WriteDone{Attempt: a.Attempt, Err: objectstore.ErrUnavailable}
	case a.Object.Version != s.object.Version:
		return WriteDone{Attempt: a.Attempt, Err: objectstore.ErrConflict}
	}
	s.object = a.Object
	s.object.Version++
	return WriteDone{Attempt: a.Attempt, Version: s.object.Version}
}

// deliverOrder delivers one order to the engine; a copy may stay in flight.
func (s *simulation) deliverOrder(i int, keepCopy bool) {
	f := s.network[i]
	if !keepCopy {
		s.network = slices.Delete(s.network, i, i+1)
	}
	answer := s.engine.applyOrder(f.order)
	s.replies = append(s.replies, reply{to: f.from, msg: OrderDone{ID: f.order.ID, Reply: answer}})
	s.check()
}

// advanceTime advances the time. If the engine has no durable fencing, orders
// arrive or are lost before their deadline; otherwise they may take any time.
func (s *simulation) advanceTime(d time.Duration) {
	for i := 0; i < len(s.network) && s.engine.fencing != fencingDurable; {
		switch {
		case s.network[i].deadline >= s.now+d:
			i++
		case s.draw(2) == 0:
			s.now = max(s.now, s.network[i].deadline)
			s.deliverOrder(i, false)
		default:
			s.network = slices.Delete(s.network, i, i+1)
		}
	}
	s.now += d
}

// check fails if the engine's memory is overcommitted.
func (s *simulation) check() {
	if used := s.engine.used(); used > sizeMB {
		s.t.Fatalf("%d MB in use of %d: %+v", used, sizeMB, s.engine.resident)
	}
}
