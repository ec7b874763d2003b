// Package dispatch brings requests and upstreams together in one instance. A
// Scheduler holds the route.Table and, for each model, the fair.Queue in which
// requests wait while the model's upstreams are saturated. A Duty is the
// goroutine that owns it; the HTTP handlers ask it for a slot and give the slot
// back.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

const (
	inboxSize = 4096
	// pumpPeriod bounds how late an expired request is refused.
	pumpPeriod = 5 * time.Millisecond
)

// Errors of Acquire beside those of route and *fair.RefusedError. With each of
// them the request has not run.
var (
	// ErrBusy says that the duty's inbox is full.
	ErrBusy = errors.New("dispatch: too many requests at once")
	// ErrStopped says that the duty has ended.
	ErrStopped = errors.New("dispatch: stopped")
)

// Slot is the right to send one attempt to an upstream. Exactly one of
// Finished and Failed ends it.
type Slot struct {
	*Grant
	duty *Duty
}

// Duty owns a Scheduler.
type Duty struct {
	now       func() time.Duration
	scheduler *Scheduler
	callers   map[uint64]*caller
	inbox     chan message
	stopped   chan struct{}
}

// caller waits for the outcome of one request.
type caller struct {
	req    Request
	id     uint64       // set by the owning goroutine
	result chan Outcome // of capacity 1
}

// New returns a duty without upstreams.
func New(opts Options) *Duty {
	return &Duty{
		now:       opts.Now,
		scheduler: NewScheduler(opts),
		callers:   map[uint64]*caller{},
		inbox:     make(chan message, inboxSize),
		stopped:   make(chan struct{}),
	}
}

// message is applied by the owning goroutine.
type message interface {
	apply(d *Duty, now time.Duration)
}

// Run owns the scheduler until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	timer := time.NewTimer(pumpPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-d.inbox:
			m.apply(d, d.now())
		case <-d.pumpTime(timer):
		}
		d.pump()
	}
}

func (d *Duty) pump() {
	for _, o := range d.scheduler.Pump(d.now()) {
		if c, ok := d.callers[o.ID]; ok {
			delete(d.callers, o.ID)
			c.result <- o
		}
	}
}

// pumpTime returns a channel that receives after pumpPeriod while requests
// wait, and never otherwise: an idle instance does not wake up for it.
func (d *Duty) pumpTime(timer *time.Timer) <-chan time.Time {
	if len(d.callers) == 0 {
		return nil
	}
	timer.Reset(pumpPeriod)
	return timer.C
}

// Update applies f to the table in the owning goroutine, in the order of the
// calls. It fails with ErrStopped.
func (d *Duty) Update(f func(now time.Duration, t *route.Table)) error {
	return d.send(update(f))
}

func (d *Duty) send(m message) error {
	select {
	case d.inbox <- m:
		return nil
	case <-d.stopped:
		return ErrStopped
	}
}

type update func(now time.Duration, t *route.Table)

func (u update) apply(d *Duty, now time.Duration) { u(now, d.scheduler.Table()) }

// Acquire waits for a slot. A refusal is final and comes as soon as it is
// known that the request cannot be met.
func (d *Duty) Acquire(ctx context.Context, req Request) (*Slot, error) {
	c := &caller{req: req, result: make(chan Outcome, 1)}
	select {
	case d.inbox <- submit{c}:
	case <-d.stopped:
		return nil, ErrStopped
	default:
		return nil, ErrBusy
	}
	select {
	case o := <-c.result:
		return d.slot(o)
	case <-d.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		_ = d.send(cancel{c})
		return nil, ctx.Err()
	}
}

func (d *Duty) slot(o Outcome) (*Slot, error) {
	if o.Err != nil {
		return nil, o.Err
	}
	return &Slot{Grant: o.Grant, duty: d}, nil
}

type submit struct{ c *caller }

func (m submit) apply(d *Duty, now time.Duration) {
	m.c.id = d.scheduler.Submit(now, m.c.req)
	d.callers[m.c.id] = m.c
}

// cancel takes back a request whose caller has left; a slot that was given in
// the meantime is returned.
type cancel struct{ c *caller }

func (m cancel) apply(d *Duty, now time.Duration) {
	d.scheduler.Cancel(m.c.id)
	delete(d.callers, m.c.id)
	select {
	case o := <-m.c.result:
		if o.Grant != nil {
			d.scheduler.Failed(now, o.Grant, true, false)
		}
	default:
	}
}

// FirstToken says that the first token of the attempt came.
func (s *Slot) FirstToken() { _ = s.duty.send(firstToken{s.Grant}) }

// Finished gives the slot back after an answer of so many output tokens.
func (s *Slot) Finished(outputTokens int) { _ = s.duty.send(finished{s.Grant, outputTokens}) }

// Failed gives the slot back without an answer. refused says that the upstream
// was busy, unreachable that no connection could be made.
func (s *Slot) Failed(refused, unreachable bool) {
	_ = s.duty.send(failed{s.Grant, refused, unreachable})
}

type firstToken struct{ grant *Grant }

func (m firstToken) apply(d *Duty, now time.Duration) { d.scheduler.FirstToken(now, m.grant) }

type finished struct {
	grant  *Grant
	output int
}

func (m finished) apply(d *Duty, now time.Duration) { d.scheduler.Finished(now, m.grant, m.output) }

type failed struct {
	grant                *Grant
	refused, unreachable bool
}

func (m failed) apply(d *Duty, now time.Duration) {
	d.scheduler.Failed(now, m.grant, m.refused, m.unreachable)
}
