// Package dispatch brings requests and upstreams together in one instance. It
// owns the route.Table and, for each model, the fair.Queue in which requests
// wait while the model's upstreams are saturated. One goroutine owns both; the
// HTTP handlers ask it for a slot and give the slot back.
package dispatch

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
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

// Request asks for a slot on an upstream.
type Request struct {
	Organisation string
	Class        fair.Class
	Route        route.Request
}

// Slot is the right to send one attempt to an upstream. Exactly one of
// Finished and Failed ends it.
type Slot struct {
	Upstream string
	Hit      int
	duty     *Duty
	started  time.Duration
	kv       int
	queued   fair.Request
	model    string
}

// Options configure a Duty.
type Options struct {
	Route route.Options
	Fair  fair.Options
	// Now is the monotonic clock.
	Now  func() time.Duration
	Seed uint64
}

// Duty owns the table and the queues.
type Duty struct {
	opts    Options
	table   *route.Table
	queues  map[string]*fair.Queue
	waiting map[uint64]*waiter
	nextID  uint64
	rng     *rand.Rand
	inbox   chan message
	stopped chan struct{}
}

// waiter is a request that waits for its slot.
type waiter struct {
	req      Request
	result   chan result // of capacity 1
	canceled bool
}

type result struct {
	slot *Slot
	err  error
}

// New returns a duty without upstreams.
func New(opts Options) *Duty {
	return &Duty{
		opts:    opts,
		table:   route.New(opts.Route),
		queues:  map[string]*fair.Queue{},
		waiting: map[uint64]*waiter{},
		rng:     rand.New(rand.NewPCG(opts.Seed, 0)),
		inbox:   make(chan message, inboxSize),
		stopped: make(chan struct{}),
	}
}

// message is applied by the owning goroutine.
type message interface {
	apply(d *Duty, now time.Duration)
}

// Run owns the table until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	timer := time.NewTimer(pumpPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-d.inbox:
			m.apply(d, d.opts.Now())
		case <-d.pumpTime(timer):
		}
		d.pumpAll(d.opts.Now())
	}
}

// pumpTime returns a channel that receives after pumpPeriod while requests
// wait, and never otherwise: an idle instance does not wake up for it.
func (d *Duty) pumpTime(timer *time.Timer) <-chan time.Time {
	if len(d.waiting) == 0 {
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

func (u update) apply(d *Duty, now time.Duration) { u(now, d.table) }

// Acquire waits for a slot. A refusal is final and comes as soon as it is
// known that the request cannot be met.
func (d *Duty) Acquire(ctx context.Context, req Request) (*Slot, error) {
	w := &waiter{req: req, result: make(chan result, 1)}
	select {
	case d.inbox <- submit{w}:
	case <-d.stopped:
		return nil, ErrStopped
	default:
		return nil, ErrBusy
	}
	select {
	case r := <-w.result:
		return r.slot, r.err
	case <-d.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		_ = d.send(cancel{w})
		return nil, ctx.Err()
	}
}

type submit struct{ w *waiter }

func (m submit) apply(d *Duty, now time.Duration) {
	d.nextID++
	r := &m.w.req
	q := d.queue(r.Route.Model)
	err := q.Enqueue(now, fair.Request{
		ID: d.nextID, Organisation: r.Organisation, Class: r.Class,
		Prefill: r.Route.PromptTokens, Decode: r.Route.MaxTokens, Deadline: r.Route.Deadline,
	})
	if err != nil {
		m.w.result <- result{err: err}
		return
	}
	d.waiting[d.nextID] = m.w
}

// cancel takes back a request whose caller has left; a slot that was given in
// the meantime is returned.
type cancel struct{ w *waiter }

func (m cancel) apply(d *Duty, now time.Duration) {
	m.w.canceled = true
	select {
	case r := <-m.w.result:
		if r.slot != nil {
			d.table.Failed(now, route.Failed{Upstream: r.slot.Upstream, KV: r.slot.kv, Refused: true})
		}
	default:
	}
}

func (d *Duty) queue(model string) *fair.Queue {
	q, ok := d.queues[model]
	if !ok {
		q = fair.New(d.opts.Fair)
		d.queues[model] = q
	}
	return q
}

// pumpAll gives out what slots there are; idle queues cost nothing.
func (d *Duty) pumpAll(now time.Duration) {
	if len(d.waiting) == 0 {
		return
	}
	for model, q := range d.queues {
		d.refuseExpired(now, q)
		if q.Len() > 0 {
			d.pump(now, model, q)
		}
	}
}

func (d *Duty) refuseExpired(now time.Duration, q *fair.Queue) {
	for _, refused := range q.Expire(now) {
		d.reply(refused.Request.ID, result{err: refused.Err})
	}
}

// pump dispatches from one queue until its upstreams are saturated.
func (d *Duty) pump(now time.Duration, model string, q *fair.Queue) {
	for {
		head, ok := q.Peek(now)
		if !ok {
			return
		}
		w := d.waiting[head.ID]
		if w.canceled {
			d.drop(now, q, head)
			continue
		}
		choice, err := d.table.Pick(now, w.req.Route, d.rng)
		if err != nil {
			d.drop(now, q, head)
			w.result <- result{err: err}
			continue
		}
		if choice.Saturated {
			return
		}
		q.Next(now)
		d.start(now, head, w, choice)
	}
}

// drop takes the head off a queue without a charge.
func (d *Duty) drop(now time.Duration, q *fair.Queue, head fair.Request) {
	q.Next(now)
	q.Undo(head)
	delete(d.waiting, head.ID)
}

func (d *Duty) start(now time.Duration, head fair.Request, w *waiter, choice route.Choice) {
	r := &w.req.Route
	kv := r.PromptTokens + r.MaxTokens
	d.table.Started(now, route.Started{
		Upstream: choice.Upstream, Prefill: max(0, r.PromptTokens-choice.Hit),
		Prefix: r.Prefix, PrefixTokens: r.PrefixTokens, KV: kv,
	})
	slot := &Slot{Upstream: choice.Upstream, Hit: choice.Hit, duty: d, started: now, kv: kv, queued: head, model: r.Model}
	d.reply(head.ID, result{slot: slot})
}

func (d *Duty) reply(id uint64, r result) {
	w := d.waiting[id]
	delete(d.waiting, id)
	w.result <- r
}

// Finished gives the slot back after an answer of so many output tokens.
func (s *Slot) Finished(outputTokens int) { _ = s.duty.send(finished{s, outputTokens}) }

// Failed gives the slot back without an answer. refused says that the upstream
// was busy, unreachable that no connection could be made.
func (s *Slot) Failed(refused, unreachable bool) {
	_ = s.duty.send(failed{s, refused, unreachable})
}

type finished struct {
	slot   *Slot
	output int
}

func (m finished) apply(d *Duty, now time.Duration) {
	d.table.Finished(now, route.Finished{Upstream: m.slot.Upstream, Ran: now - m.slot.started, KV: m.slot.kv})
	d.queue(m.slot.model).Done(m.slot.queued, m.output)
}

type failed struct {
	slot                 *Slot
	refused, unreachable bool
}

func (m failed) apply(d *Duty, now time.Duration) {
	d.table.Failed(now, route.Failed{Upstream: m.slot.Upstream, KV: m.slot.kv, Refused: m.refused, Unreachable: m.unreachable})
	d.queue(m.slot.model).Done(m.slot.queued, 0)
}

// NoDeadline is the deadline of a request that may wait for any time.
const NoDeadline = time.Duration(math.MaxInt64)
