// Package dispatch assigns the requests of one instance to upstreams. A Scheduler
// holds the route.Table and, for each model, a fair.Queue with the requests that
// are queued while the model's upstreams are saturated. A Controller owns the
// Scheduler: HTTP handlers acquire a slot from the Controller and release the slot
// with the outcome of the attempt.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

const (
	// inboxSize is the number of messages that the controller's inbox holds.
	inboxSize = 4096
	// dispatchInterval bounds how late an expired request is refused.
	dispatchInterval = 5 * time.Millisecond
)

// Errors of Acquire in addition to those of route and *fair.RefusedError. After
// each of them the request has not run.
var (
	// ErrBusy means that the controller's inbox is full.
	ErrBusy = errors.New("dispatch: too many requests at once")
	// ErrStopped means that the controller has stopped.
	ErrStopped = errors.New("dispatch: stopped")
)

// Slot is a place for one attempt at an upstream. It must be released by exactly
// one call of Finished or Failed.
type Slot struct {
	*Grant
	controller *Controller
}

// Controller owns a Scheduler, which only the goroutine of Run uses. Its methods
// are safe for concurrent use.
type Controller struct {
	now       func() time.Duration
	scheduler *Scheduler
	acquires  map[uint64]*pendingAcquire
	inbox     chan message
	stopped   chan struct{}
}

// pendingAcquire is a call of Acquire that waits for the outcome of its request.
type pendingAcquire struct {
	req    Request
	id     uint64       // set by the owning goroutine
	result chan Outcome // buffered, of capacity 1
}

// New returns a controller without upstreams.
func New(opts Options) *Controller {
	return &Controller{
		now:       opts.Now,
		scheduler: NewScheduler(opts),
		acquires:  map[uint64]*pendingAcquire{},
		inbox:     make(chan message, inboxSize),
		stopped:   make(chan struct{}),
	}
}

// message is a request to the controller, applied by the owning goroutine.
type message interface {
	apply(c *Controller, now time.Duration)
}

// Run owns the scheduler and applies messages until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(dispatchInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox:
			m.apply(c, c.now())
		case <-c.dispatchTimer(timer):
		}
		c.deliverOutcomes()
	}
}

// deliverOutcomes dispatches what can be dispatched now and passes the outcomes to
// the waiting calls of Acquire.
func (c *Controller) deliverOutcomes() {
	for _, o := range c.scheduler.Dispatch(c.now()) {
		if acquire, ok := c.acquires[o.ID]; ok {
			delete(c.acquires, o.ID)
			acquire.result <- o
		}
	}
}

// dispatchTimer returns a channel that receives after dispatchInterval while
// requests are queued. Otherwise it returns nil, so that an idle instance does not
// wake up.
func (c *Controller) dispatchTimer(timer *time.Timer) <-chan time.Time {
	if len(c.acquires) == 0 {
		return nil
	}
	timer.Reset(dispatchInterval)
	return timer.C
}

// Update applies f to the routing table in the owning goroutine, in the order of
// the calls. It does not wait for that. It fails with ErrStopped.
func (c *Controller) Update(f func(now time.Duration, t *route.Table)) error {
	return c.send(updateMessage(f))
}

// send queues a message for the owning goroutine and waits while the inbox is
// full. It fails with ErrStopped.
func (c *Controller) send(m message) error {
	select {
	case c.inbox <- m:
		return nil
	case <-c.stopped:
		return ErrStopped
	}
}

type updateMessage func(now time.Duration, t *route.Table)

func (u updateMessage) apply(c *Controller, now time.Duration) { u(now, c.scheduler.Table()) }

// Acquire waits for a slot. An error is final and is returned as soon as it is
// known that the request cannot be served.
func (c *Controller) Acquire(ctx context.Context, req Request) (*Slot, error) {
	acquire := &pendingAcquire{req: req, result: make(chan Outcome, 1)}
	select {
	case c.inbox <- submitMessage{acquire}:
	case <-c.stopped:
		return nil, ErrStopped
	default:
		return nil, ErrBusy
	}
	select {
	case o := <-acquire.result:
		return c.newSlot(o)
	case <-c.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		_ = c.send(cancelMessage{acquire})
		return nil, ctx.Err()
	}
}

// TryAcquire returns a slot if one is free at once, else nil. It never queues.
func (c *Controller) TryAcquire(req Request) *Slot {
	acquire := &pendingAcquire{req: req, result: make(chan Outcome, 1)}
	select {
	case c.inbox <- tryMessage{acquire}:
	default:
		return nil
	}
	select {
	case o := <-acquire.result:
		slot, _ := c.newSlot(o)
		return slot
	case <-c.stopped:
		return nil
	}
}

// newSlot converts an outcome to the result of Acquire.
func (c *Controller) newSlot(o Outcome) (*Slot, error) {
	if o.Err != nil {
		return nil, o.Err
	}
	return &Slot{Grant: o.Grant, controller: c}, nil
}

type submitMessage struct{ acquire *pendingAcquire }

func (m submitMessage) apply(c *Controller, now time.Duration) {
	m.acquire.id = c.scheduler.Submit(now, m.acquire.req)
	c.acquires[m.acquire.id] = m.acquire
}

type tryMessage struct{ acquire *pendingAcquire }

func (m tryMessage) apply(c *Controller, now time.Duration) {
	id, ok := c.scheduler.SubmitIfFree(now, m.acquire.req)
	if !ok {
		m.acquire.result <- Outcome{Err: ErrBusy}
		return
	}
	m.acquire.id = id
	c.acquires[id] = m.acquire
	c.deliverOutcomes()
	if _, queued := c.acquires[id]; queued { // the policy chose another upstream this time
		cancelMessage(m).apply(c, now)
		m.acquire.result <- Outcome{Err: ErrBusy}
	}
}

// cancelMessage cancels a request whose caller has disconnected. A slot that was
// granted in the meantime is released.
type cancelMessage struct{ acquire *pendingAcquire }

func (m cancelMessage) apply(c *Controller, now time.Duration) {
	c.scheduler.Cancel(m.acquire.id)
	delete(c.acquires, m.acquire.id)
	select {
	case o := <-m.acquire.result:
		if o.Grant != nil {
			c.scheduler.Failed(now, o.Grant, true, false)
		}
	default:
	}
}

// FirstToken reports that the first token of the attempt arrived.
func (s *Slot) FirstToken() { _ = s.controller.send(firstTokenMessage{s.Grant}) }

// Finished releases the slot after an answer with outputTokens output tokens.
func (s *Slot) Finished(outputTokens int) {
	_ = s.controller.send(finishedMessage{s.Grant, outputTokens})
}

// Failed releases the slot after an attempt without an answer. refused means that
// the upstream was busy, unreachable that no connection could be made.
func (s *Slot) Failed(refused, unreachable bool) {
	_ = s.controller.send(failedMessage{s.Grant, refused, unreachable})
}

type firstTokenMessage struct{ grant *Grant }

func (m firstTokenMessage) apply(c *Controller, now time.Duration) {
	c.scheduler.FirstToken(now, m.grant)
}

type finishedMessage struct {
	grant        *Grant
	outputTokens int
}

func (m finishedMessage) apply(c *Controller, now time.Duration) {
	c.scheduler.Finished(now, m.grant, m.outputTokens)
}

type failedMessage struct {
	grant                *Grant
	refused, unreachable bool
}

func (m failedMessage) apply(c *Controller, now time.Duration) {
	c.scheduler.Failed(now, m.grant, m.refused, m.unreachable)
}
