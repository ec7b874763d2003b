package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// Defaults of Options.
const (
	// DefaultRefusalMarginPercent is the default of
	// route.Options.RefusalMarginPercent.
	DefaultRefusalMarginPercent = 50
	// DefaultMaxLatePercent is the lateness that is allowed for the first token
	// of a live request before the request is refused, in percent of the time to
	// its deadline. A late answer is better for a caller than none.
	DefaultMaxLatePercent = 100
	// DefaultBatchSlotPercent is the percentage of an upstream's sequences that
	// batch requests may occupy, unless the next one is due to meet the minimum
	// share of the batch class.
	DefaultBatchSlotPercent = 50
	// DefaultOverSharePercent is the default of fair.Shares.OverSharePercent, in
	// percent of an organisation's share. A live request of an organisation above
	// it is refused if its first token is expected to take more than
	// DefaultBusyPercent of the time to its deadline.
	DefaultOverSharePercent = 200
	DefaultBusyPercent      = 50
)

// Disabled disables a policy whose default is not 0.
const Disabled = -1

// Options configure a Scheduler and its Controller. Zero fields take the
// defaults.
type Options struct {
	Route route.Options
	Fair  fair.Options
	// MaxLatePercent, BatchSlotPercent, OverSharePercent and BusyPercent are
	// percentages, or Disabled.
	MaxLatePercent   int
	BatchSlotPercent int
	OverSharePercent int
	BusyPercent      int
	// NoQueue sends requests also to saturated upstreams instead of queuing them.
	// It is a baseline for comparisons.
	NoQueue bool
	// Now is the monotonic clock of a Controller.
	Now func() time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Route.RefusalMarginPercent, DefaultRefusalMarginPercent)
	setDefault(&o.MaxLatePercent, DefaultMaxLatePercent)
	setDefault(&o.BatchSlotPercent, DefaultBatchSlotPercent)
	setDefault(&o.OverSharePercent, DefaultOverSharePercent)
	setDefault(&o.BusyPercent, DefaultBusyPercent)
	return o
}

// setDefault replaces 0 by the default and Disabled by 0.
func setDefault(percent *int, value int) {
	switch *percent {
	case 0:
		*percent = value
	case Disabled:
		*percent = 0
	}
}

// Request is a request for a slot at an upstream.
type Request struct {
	Organisation string
	// Weight is the weight of the organisation's share of the service relative to
	// other organisations; 0 counts as 1.
	Weight float64
	Class  fair.Class
	// Route.Prefix must differ between models and adapters, since they do not
	// share caches. Route.SaturationPercent is set by the Scheduler.
	Route route.Request
}

// Grant is a slot for one attempt at an upstream. It must be released by exactly
// one call of Scheduler.Finished or Scheduler.Failed.
type Grant struct {
	Upstream string
	// CachedTokens is the number of prompt tokens expected in the prefix cache.
	CachedTokens       int
	expectedFirstToken time.Duration
	started            time.Duration
	kvTokens           int
	fairRequest        fair.Request
	queue              *queue
}

// Outcome is the result of a request: a Grant, or an error of route or a
// *fair.RefusedError, after which the request has not run.
type Outcome struct {
	ID    uint64
	Grant *Grant
	Err   error
}

// queue holds the queued requests of one model.
type queue struct {
	*fair.Queue
	model string
}

// pendingRequest is a request without an outcome yet.
type pendingRequest struct {
	req       Request
	submitted time.Duration
	refuseAt  time.Duration
	canceled  bool
}

// Scheduler decides, for one instance, when each queued request is sent to which
// upstream, and which requests are refused. It does no I/O, takes the time from
// its caller and is not safe for concurrent use.
type Scheduler struct {
	opts       Options
	table      *route.Table
	queues     map[string]*queue
	queueOrder []*queue // in order of first use
	shares     fair.Shares
	pending    map[uint64]*pendingRequest
	nextID     uint64
	rng        *rand.Rand
	outcomes   []Outcome // not yet returned by Dispatch
}

// NewScheduler returns a scheduler without upstreams.
func NewScheduler(opts Options) *Scheduler {
	opts = opts.withDefaults()
	return &Scheduler{
		opts:    opts,
		table:   route.New(opts.Route),
		queues:  map[string]*queue{},
		shares:  fair.Shares{OverSharePercent: opts.OverSharePercent},
		pending: map[uint64]*pendingRequest{},
		rng:     rand.New(rand.NewPCG(opts.Seed, 0)),
	}
}

// Table returns the routing table, for updates between calls.
func (s *Scheduler) Table() *route.Table { return s.table }

// Submit queues a request and returns its id. A later call of Dispatch returns its
// outcome.
func (s *Scheduler) Submit(now time.Duration, req Request) uint64 {
	s.nextID++
	id := s.nextID
	q := s.queue(req.Route.Model)
	p := &pendingRequest{req: req, submitted: now, refuseAt: s.refuseAt(now, &req)}
	s.pending[id] = p
	if err := q.Enqueue(now, s.fairRequest(id, p)); err != nil {
		s.addOutcome(Outcome{ID: id, Err: err})
	}
	s.refuseExpired(now, q)
	return id
}

// SubmitIfFree submits a request only if nothing is queued for its model and an
// upstream has a place now, so that the next call of Dispatch returns its grant. It
// returns false otherwise.
func (s *Scheduler) SubmitIfFree(now time.Duration, req Request) (id uint64, ok bool) {
	q := s.queue(req.Route.Model)
	if q.Len() > 0 {
		return 0, false
	}
	p := &pendingRequest{req: req, submitted: now, refuseAt: s.refuseAt(now, &req)}
	choice, err := s.table.Pick(now, s.routeRequest(q, p), s.rng)
	if err != nil || choice.Saturated || s.isOverShare(p, choice) {
		return 0, false
	}
	return s.Submit(now, req), true
}

// fairRequest returns the description of a request for its queue. A live
// request has to leave the queue in time to compute its prompt, so its deadline in
// the queue is earlier by the time that this takes.
func (s *Scheduler) fairRequest(id uint64, p *pendingRequest) fair.Request {
	req := &p.req
	r := &req.Route
	queued := fair.Request{
		ID: id, Organisation: req.Organisation, Class: req.Class,
		PrefillTokens: r.PromptTokens, DecodeTokens: r.MaxTokens, Deadline: p.refuseAt,
	}
	if queued.Deadline > 0 && req.Class == fair.Live {
		queued.Deadline -= s.table.PrefillTime(r.Model, r.PromptTokens)
	}
	return queued
}

// refuseAt returns the latest time at which the first token may be expected
// without the request being refused, 0 for no limit.
func (s *Scheduler) refuseAt(now time.Duration, req *Request) time.Duration {
	deadline := req.Route.Deadline
	if deadline == 0 || req.Class != fair.Live {
		return deadline
	}
	return deadline + max(0, deadline-now)/100*time.Duration(s.opts.MaxLatePercent)
}

// Cancel drops a request whose caller has disconnected. It has no effect once the
// outcome was determined.
func (s *Scheduler) Cancel(id uint64) {
	if p, ok := s.pending[id]; ok {
		p.canceled = true
	}
}

// queue returns the queue of a model and creates it on first use.
func (s *Scheduler) queue(model string) *queue {
	q, ok := s.queues[model]
	if !ok {
		q = &queue{Queue: fair.New(s.opts.Fair), model: model}
		s.queues[model] = q
		s.queueOrder = append(s.queueOrder, q)
	}
	return q
}

// Dispatch dispatches the queued requests that can be sent now and returns all new
// outcomes.
func (s *Scheduler) Dispatch(now time.Duration) []Outcome {
	if len(s.pending) > 0 {
		for _, q := range s.queueOrder {
			if q.Len() > 0 {
				s.dispatchQueue(now, q)
			}
		}
	}
	outcomes := s.outcomes
	s.outcomes = nil
	return outcomes
}

// dispatchQueue dispatches from one queue until its upstreams are saturated.
func (s *Scheduler) dispatchQueue(now time.Duration, q *queue) {
	s.refuseExpired(now, q)
	for {
		head, ok := q.Peek(now)
		if !ok {
			break
		}
		p := s.pending[head.ID]
		if p.canceled {
			s.removeHead(now, q, head)
			continue
		}
		choice, err := s.table.Pick(now, s.routeRequest(q, p), s.rng)
		if err == nil && choice.Saturated && !s.opts.NoQueue || err != nil && s.waitsForReplica(p) {
			break
		}
		if err == nil && s.isOverShare(p, choice) {
			err = &route.OverloadedError{RetryAfter: choice.Expected}
		}
		if err != nil {
			s.removeHead(now, q, head)
			s.addOutcome(Outcome{ID: head.ID, Err: err})
			continue
		}
		q.Next(now)
		s.grant(now, q, head, p, choice)
		s.refuseExpired(now, q)
	}
	s.refuseExpired(now, q)
}

// waitsForReplica reports whether a request stays queued while no upstream can be
// picked for its model. Batch requests do, since no caller waits for them.
func (s *Scheduler) waitsForReplica(p *pendingRequest) bool { return p.req.Class == fair.Batch }

// routeRequest returns the description of a request for the routing table at this
// moment.
func (s *Scheduler) routeRequest(q *queue, p *pendingRequest) route.Request {
	r := p.req.Route
	r.Deadline = p.refuseAt
	if p.req.Class == fair.Batch && !q.BatchDue() {
		r.SaturationPercent = s.opts.BatchSlotPercent
	}
	return r
}

// isOverShare reports whether a live request must be refused in favour of others:
// its upstream is busy and its organisation has received more than its share.
func (s *Scheduler) isOverShare(p *pendingRequest, c route.Choice) bool {
	deadline := p.req.Route.Deadline
	if s.opts.OverSharePercent == 0 || p.req.Class != fair.Live || deadline == 0 {
		return false
	}
	allowed := deadline - p.submitted
	return c.Expected > allowed/100*time.Duration(s.opts.BusyPercent) && s.shares.OverShare(p.req.Organisation)
}

// removeHead removes the head of a queue and undoes its charge.
func (s *Scheduler) removeHead(now time.Duration, q *queue, head fair.Request) {
	q.Next(now)
	q.RefundCharge(head)
	delete(s.pending, head.ID)
}

// refuseExpired refuses the requests of a queue whose deadline has passed or that
// were displaced because the queue was full.
func (s *Scheduler) refuseExpired(now time.Duration, q *queue) {
	for _, refused := range q.TakeRefusals(now) {
		s.addOutcome(Outcome{ID: refused.Request.ID, Err: refused.Err})
	}
}

// addOutcome stores the outcome of a request for the next call of Dispatch.
func (s *Scheduler) addOutcome(o Outcome) {
	delete(s.pending, o.ID)
	s.outcomes = append(s.outcomes, o)
}

// grant gives a request its slot at the chosen upstream and charges it.
func (s *Scheduler) grant(now time.Duration, q *queue, head fair.Request, p *pendingRequest, choice route.Choice) {
	r := &p.req.Route
	kvTokens := r.PromptTokens + r.MaxTokens
	s.table.Started(now, route.Started{
		Upstream: choice.Upstream, PrefillTokens: max(0, r.PromptTokens-choice.HitTokens),
		Prefix: r.Prefix, PrefixTokens: r.PrefixTokens, KVTokens: kvTokens,
	})
	s.chargeShare(now, &p.req)
	s.addOutcome(Outcome{ID: head.ID, Grant: &Grant{
		Upstream: choice.Upstream, CachedTokens: choice.HitTokens, expectedFirstToken: choice.Expected, started: now, kvTokens: kvTokens, fairRequest: head, queue: q,
	}})
}

// chargeShare counts the service of a live request towards its organisation's
// share.
func (s *Scheduler) chargeShare(now time.Duration, req *Request) {
	if req.Class != fair.Live {
		return
	}
	weight := req.Weight
	if weight <= 0 {
		weight = 1
	}
	s.shares.Charge(now, req.Organisation, weight, req.Route.PromptTokens+fair.DefaultDecodeWeight*req.Route.MaxTokens)
}

// FirstToken reports that the first token of an attempt arrived. Batch requests
// are ignored: engines defer them, so their times do not show the upstream's speed.
func (s *Scheduler) FirstToken(now time.Duration, g *Grant) {
	if g.fairRequest.Class == fair.Live {
		s.table.FirstToken(route.FirstToken{Upstream: g.Upstream, Expected: g.expectedFirstToken, Measured: now - g.started})
	}
}

// Finished releases a grant after an answer with outputTokens output tokens.
func (s *Scheduler) Finished(now time.Duration, g *Grant, outputTokens int) {
	s.table.Finished(now, route.Finished{Upstream: g.Upstream, Duration: now - g.started, KVTokens: g.kvTokens})
	g.queue.AdjustCharge(g.fairRequest, outputTokens)
}

// Failed releases a grant after an attempt without an answer. refused means that
// the upstream was busy, unreachable that no connection could be made.
func (s *Scheduler) Failed(now time.Duration, g *Grant, refused, unreachable bool) {
	s.table.Failed(now, route.Failed{Upstream: g.Upstream, KVTokens: g.kvTokens, Refused: refused, Unreachable: unreachable})
	g.queue.AdjustCharge(g.fairRequest, 0)
}
