package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// Defaults of Options.
const (
	// DefaultRefusalMargin is that of route.Options, in percent.
	DefaultRefusalMargin = 50
	// DefaultPatience is by how many percent of the time to its deadline the
	// first token of a live request may come late before the request is refused:
	// a late answer serves a caller better than none.
	DefaultPatience = 100
	// DefaultBatchRoom is the percentage of an upstream's sequences that batch
	// requests may fill unless their least share is due.
	DefaultBatchRoom = 50
	// DefaultOverPercent is that of fair.Shares. A live request of an
	// organisation over it is refused once its first token is expected to take
	// DefaultBusyPercent of the time that it has.
	DefaultOverPercent = 200
	DefaultBusyPercent = 50
)

// Off switches a policy off whose default is not 0.
const Off = -1

// Options are the policies of a Scheduler. Zero fields take the defaults.
type Options struct {
	Route route.Options
	Fair  fair.Options
	// Patience, BatchRoom, OverPercent and BusyPercent are percentages, or Off.
	Patience    int
	BatchRoom   int
	OverPercent int
	BusyPercent int
	// NoQueue sends requests to upstreams that have no room, as a baseline.
	NoQueue bool
	// Now is the monotonic clock of a Duty.
	Now func() time.Duration
	// Seed is that of the random choices.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Route.RefusalMargin, DefaultRefusalMargin)
	setDefault(&o.Patience, DefaultPatience)
	setDefault(&o.BatchRoom, DefaultBatchRoom)
	setDefault(&o.OverPercent, DefaultOverPercent)
	setDefault(&o.BusyPercent, DefaultBusyPercent)
	return o
}

func setDefault(percent *int, value int) {
	switch *percent {
	case 0:
		*percent = value
	case Off:
		*percent = 0
	}
}

// Request asks for a slot on an upstream.
type Request struct {
	Organisation string
	// Weight is the organisation's share of the service relative to others',
	// 0 for 1.
	Weight float64
	Class  fair.Class
	// Route.Prefix tells models and adapters apart: their caches are their own.
	// Route.RoomPercent is set by the Scheduler.
	Route route.Request
}

// Grant is the right to send one attempt to an upstream. Exactly one of
// Scheduler.Finished and Scheduler.Failed ends it.
type Grant struct {
	Upstream string
	// Hit is the number of prompt tokens expected in the prefix cache.
	Hit      int
	expected time.Duration
	started  time.Duration
	kv       int
	queued   fair.Request
	queue    *queue
}

// Outcome ends the wait of a request: with a Grant, or with an error after
// which it has not run (those of route, or *fair.RefusedError).
type Outcome struct {
	ID    uint64
	Grant *Grant
	Err   error
}

// queue is where the requests of one model wait.
type queue struct {
	*fair.Queue
	model string
}

// waiter is a request that waits for its grant.
type waiter struct {
	req       Request
	submitted time.Duration
	refuseAt  time.Duration
	canceled  bool
}

// Scheduler decides, for one instance, which waiting request goes to which
// upstream and when, and which is refused. It is pure and not safe for
// concurrent use.
type Scheduler struct {
	opts     Options
	table    *route.Table
	queues   map[string]*queue
	order    []*queue // in order of first use
	shares   fair.Shares
	waiting  map[uint64]*waiter
	nextID   uint64
	rng      *rand.Rand
	outcomes []Outcome // not yet returned by Pump
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(opts Options) *Scheduler {
	opts = opts.withDefaults()
	return &Scheduler{
		opts:    opts,
		table:   route.New(opts.Route),
		queues:  map[string]*queue{},
		shares:  fair.Shares{OverPercent: opts.OverPercent},
		waiting: map[uint64]*waiter{},
		rng:     rand.New(rand.NewPCG(opts.Seed, 0)),
	}
}

// Table returns the routing table, for updates between calls.
func (s *Scheduler) Table() *route.Table { return s.table }

// Submit takes a request and returns its number; the next calls of Pump tell
// what became of it.
func (s *Scheduler) Submit(now time.Duration, req Request) uint64 {
	s.nextID++
	id := s.nextID
	q := s.queue(req.Route.Model)
	w := &waiter{req: req, submitted: now, refuseAt: s.refuseAt(now, &req)}
	s.waiting[id] = w
	if err := q.Enqueue(now, s.queued(id, w)); err != nil {
		s.end(Outcome{ID: id, Err: err})
	}
	s.expire(now, q)
	return id
}

// queued describes a request to its queue, which it has to leave early enough
// for its prompt to be computed.
func (s *Scheduler) queued(id uint64, w *waiter) fair.Request {
	req := &w.req
	r := &req.Route
	q := fair.Request{
		ID: id, Organisation: req.Organisation, Class: req.Class,
		Prefill: r.PromptTokens, Decode: r.MaxTokens, Deadline: w.refuseAt,
	}
	if q.Deadline > 0 && req.Class == fair.Live {
		q.Deadline -= s.table.PromptTime(r.Model, r.PromptTokens)
	}
	return q
}

// refuseAt is by when the first token must be expected, 0 for never.
func (s *Scheduler) refuseAt(now time.Duration, req *Request) time.Duration {
	deadline := req.Route.Deadline
	if deadline == 0 || req.Class != fair.Live {
		return deadline
	}
	return deadline + max(0, deadline-now)/100*time.Duration(s.opts.Patience)
}

// Cancel forgets a request whose caller has left. It has no effect once the
// outcome was returned.
func (s *Scheduler) Cancel(id uint64) {
	if w, ok := s.waiting[id]; ok {
		w.canceled = true
	}
}

func (s *Scheduler) queue(model string) *queue {
	q, ok := s.queues[model]
	if !ok {
		q = &queue{Queue: fair.New(s.opts.Fair), model: model}
		s.queues[model] = q
		s.order = append(s.order, q)
	}
	return q
}

// Pump gives out what grants there are.
func (s *Scheduler) Pump(now time.Duration) []Outcome {
	if len(s.waiting) > 0 {
		for _, q := range s.order {
			if q.Len() > 0 {
				s.pump(now, q)
			}
		}
	}
	outcomes := s.outcomes
	s.outcomes = nil
	return outcomes
}

// pump dispatches from one queue until its upstreams have no room.
func (s *Scheduler) pump(now time.Duration, q *queue) {
	s.expire(now, q)
	for {
		head, ok := q.Peek(now)
		if !ok {
			break
		}
		w := s.waiting[head.ID]
		if w.canceled {
			s.drop(now, q, head)
			continue
		}
		choice, err := s.table.Pick(now, s.routed(q, w), s.rng)
		if err == nil && choice.Saturated && !s.opts.NoQueue || err != nil && s.mayWait(w) {
			break
		}
		if err == nil && s.overShare(w, choice) {
			err = &route.OverloadedError{RetryAfter: choice.Expected}
		}
		if err != nil {
			s.drop(now, q, head)
			s.end(Outcome{ID: head.ID, Err: err})
			continue
		}
		q.Next(now)
		s.start(now, q, head, w, choice)
		s.expire(now, q)
	}
	s.expire(now, q)
}

// mayWait says whether a request waits for a home of its model: work without
// a caller who waits does.
func (s *Scheduler) mayWait(w *waiter) bool { return w.req.Class == fair.Batch }

// routed is a request as the routing table sees it now.
func (s *Scheduler) routed(q *queue, w *waiter) route.Request {
	r := w.req.Route
	r.Deadline = w.refuseAt
	if w.req.Class == fair.Batch && !q.BatchOwed() {
		r.RoomPercent = s.opts.BatchRoom
	}
	return r
}

// overShare says whether a live request gives way: its upstream is busy and
// its organisation has had more than its share.
func (s *Scheduler) overShare(w *waiter, c route.Choice) bool {
	deadline := w.req.Route.Deadline
	if s.opts.OverPercent == 0 || w.req.Class != fair.Live || deadline == 0 {
		return false
	}
	allowed := deadline - w.submitted
	return c.Expected > allowed/100*time.Duration(s.opts.BusyPercent) && s.shares.Over(w.req.Organisation)
}

// drop takes the head off a queue without a charge.
func (s *Scheduler) drop(now time.Duration, q *queue, head fair.Request) {
	q.Next(now)
	q.Undo(head)
	delete(s.waiting, head.ID)
}

func (s *Scheduler) expire(now time.Duration, q *queue) {
	for _, refused := range q.Expire(now) {
		s.end(Outcome{ID: refused.Request.ID, Err: refused.Err})
	}
}

func (s *Scheduler) end(o Outcome) {
	delete(s.waiting, o.ID)
	s.outcomes = append(s.outcomes, o)
}

func (s *Scheduler) start(now time.Duration, q *queue, head fair.Request, w *waiter, choice route.Choice) {
	r := &w.req.Route
	kv := r.PromptTokens + r.MaxTokens
	s.table.Started(now, route.Started{
		Upstream: choice.Upstream, Prefill: max(0, r.PromptTokens-choice.Hit),
		Prefix: r.Prefix, PrefixTokens: r.PrefixTokens, KV: kv,
	})
	s.charge(now, &w.req)
	s.end(Outcome{ID: head.ID, Grant: &Grant{
		Upstream: choice.Upstream, Hit: choice.Hit, expected: choice.Expected, started: now, kv: kv, queued: head, queue: q,
	}})
}

// charge counts live service towards the organisation's share.
func (s *Scheduler) charge(now time.Duration, req *Request) {
	if req.Class != fair.Live {
		return
	}
	weight := req.Weight
	if weight <= 0 {
		weight = 1
	}
	s.shares.Served(now, req.Organisation, weight, req.Route.PromptTokens+fair.DefaultDecodeWeight*req.Route.MaxTokens)
}

// FirstToken says that the first token of an attempt came. Batch requests,
// which engines put off, tell nothing about the pace.
func (s *Scheduler) FirstToken(now time.Duration, g *Grant) {
	if g.queued.Class == fair.Live {
		s.table.FirstToken(route.FirstToken{Upstream: g.Upstream, Expected: g.expected, Took: now - g.started})
	}
}

// Finished ends a grant after an answer of so many output tokens.
func (s *Scheduler) Finished(now time.Duration, g *Grant, outputTokens int) {
	s.table.Finished(now, route.Finished{Upstream: g.Upstream, Ran: now - g.started, KV: g.kv})
	g.queue.Done(g.queued, outputTokens)
}

// Failed ends a grant without an answer. refused says that the upstream was
// busy, unreachable that no connection could be made.
func (s *Scheduler) Failed(now time.Duration, g *Grant, refused, unreachable bool) {
	s.table.Failed(now, route.Failed{Upstream: g.Upstream, KV: g.kv, Refused: refused, Unreachable: unreachable})
	g.queue.Done(g.queued, 0)
}
