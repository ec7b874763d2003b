// Package fair queues requests inside an instance while the upstreams of their
// model are saturated. A Queue decides which request is dispatched next and which
// are refused. It shares the service among organisations by virtual token
// counters, after "Fairness in Serving Large Language Models" (OSDI '24). Shares
// tells which organisations have received more than their share of the service.
// The package does no I/O: callers pass the time on the instance's monotonic
// clock.
package fair

import (
	"math"
	"slices"
	"time"
)

// Policy is the order of dispatch.
type Policy uint8

// The policies of a Queue.
const (
	// TokenCounters shares the service among organisations by weight.
	TokenCounters Policy = iota
	// FirstComeFirstServed is the baseline; it ignores organisations and
	// classes.
	FirstComeFirstServed
	// LiveFirst serves live requests ahead of batch requests, but ignores
	// organisations.
	LiveFirst
)

// Options are the settings of a Queue.
type Options struct {
	Policy Policy
	// Capacity is the maximum number of queued requests.
	Capacity int
	// BatchPercent is the minimum share of the service, in percent, that batch
	// requests get while both classes are queued; from 0 to 99.
	BatchPercent int
	// DecodeWeight is the cost of one output token, in prompt tokens.
	DecodeWeight int
}

// Defaults of Options.
const (
	DefaultCapacity     = 1024
	DefaultBatchPercent = 10
	DefaultDecodeWeight = 2
)

// flow holds one organisation's requests in a queue.
type flow struct {
	organisation string
	weight       float64
	counters     [classCount]float64 // service received, divided by weight
	requests     [classCount][]Request
}

func (f *flow) length() int {
	n := 0
	for _, requests := range f.requests {
		n += len(requests)
	}
	return n
}

// Queue is a bounded queue of the requests of one model. It is not safe for
// concurrent use.
type Queue struct {
	opts             Options
	flows            []*flow // in order of first use
	length           int
	seq              uint64
	virtualCounter   [classCount]float64 // counter of the flow last served, before that service
	batchCredit      float64             // service due to the batch class
	queuedCost       [classCount]float64 // cost of the queued requests
	earliestDeadline time.Duration       // no queued request has an earlier deadline
	refusals         []Refusal           // not yet returned by TakeRefusals
	rate             serviceRate
}

// New returns an empty queue; zero options mean the defaults.
func New(opts Options) *Queue {
	if opts.Capacity == 0 {
		opts.Capacity = DefaultCapacity
	}
	if opts.BatchPercent == 0 {
		opts.BatchPercent = DefaultBatchPercent
	}
	if opts.DecodeWeight == 0 {
		opts.DecodeWeight = DefaultDecodeWeight
	}
	return &Queue{opts: opts, earliestDeadline: math.MaxInt64}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// BatchDue reports whether the next batch request must be served now for its
// class to get its minimum share. Such a request does not wait for slots
// reserved for live requests.
func (q *Queue) BatchDue() bool {
	f := q.leastServed(Batch)
	return f != nil && q.batchCredit >= q.cost(&f.requests[Batch][0])
}

// SetWeight sets an organisation's share of the service relative to the others'
// shares; the default is 1.
func (q *Queue) SetWeight(organisation string, weight float64) {
	q.flow(organisation).weight = weight
}

// Forget drops an organisation's counters. It does nothing if the organisation
// has queued requests.
func (q *Queue) Forget(organisation string) {
	q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
		return f.organisation == organisation && f.length() == 0
	})
}

func (q *Queue) flow(organisation string) *flow {
	for _, f := range q.flows {
		if f.organisation == organisation {
			return f
		}
	}
	f := &flow{organisation: organisation, weight: 1}
	q.flows = append(q.flows, f)
	return f
}

func (q *Queue) cost(r *Request) float64 {
	return float64(r.PrefillTokens + q.opts.DecodeWeight*r.DecodeTokens)
}

// Enqueue queues a request, or refuses it with *RefusedError if it cannot be
// dispatched by its deadline or the queue is full. A full queue still accepts a
// request if another organisation has more queued requests than the one that
// sent it; the newest request of the organisation with the most queued requests
// is then refused instead.
func (q *Queue) Enqueue(now time.Duration, r Request) error {
	q.expire(now)
	f := q.flow(r.Organisation)
	if r.Deadline > 0 {
		if excess := now + q.expectedWait(f, &r) - r.Deadline; excess >= 0 {
			return &RefusedError{Reason: ReasonDeadline, RetryAfter: max(minRetryAfter, excess)}
		}
	}
	if q.length >= q.opts.Capacity && !q.displaceNewest(f) {
		return &RefusedError{Reason: ReasonFull, RetryAfter: q.drainTime()}
	}
	if len(f.requests[r.Class]) == 0 {
		q.liftCounter(f, r.Class)
	}
	q.seq++
	r.seq = q.seq
	f.requests[r.Class] = append(f.requests[r.Class], r)
	q.length++
	q.queuedCost[r.Class] += q.cost(&r)
	if r.Deadline > 0 {
		q.earliestDeadline = min(q.earliestDeadline, r.Deadline)
	}
	return nil
}

// liftCounter raises the counter of a flow that was idle to the lowest counter of
// the flows with queued requests, so that a flow gains no credit while idle.
func (q *Queue) liftCounter(f *flow, c Class) {
	level := math.Inf(1)
	for _, other := range q.flows {
		if len(other.requests[c]) > 0 {
			level = min(level, other.counters[c])
		}
	}
	if math.IsInf(level, 1) {
		level = q.virtualCounter[c]
	}
	f.counters[c] = max(f.counters[c], level)
}

// displaceNewest refuses the newest request of the organisation with the most
// queued requests, preferably a batch request. It returns false and refuses
// nothing if no other organisation has more queued requests than f.
func (q *Queue) displaceNewest(f *flow) bool {
	longest := f
	for _, other := range q.flows {
		if other.length() > longest.length() {
			longest = other
		}
	}
	if longest == f {
		return false
	}
	c := Batch
	if len(longest.requests[Batch]) == 0 {
		c = Live
	}
	r := q.remove(longest, c, len(longest.requests[c])-1)
	q.refuse(r, ReasonFull, q.drainTime())
	return true
}

// Peek returns the request that Next would return.
func (q *Queue) Peek(now time.Duration) (Request, bool) {
	q.expire(now)
	f, c := q.choose()
	if f == nil {
		return Request{}, false
	}
	return f.requests[c][0], true
}

// Next removes and returns the request to dispatch. It returns one whenever a
// request is queued whose deadline has not passed.
func (q *Queue) Next(now time.Duration) (Request, bool) {
	q.expire(now)
	f, c := q.choose()
	if f == nil {
		return Request{}, false
	}
	r := q.remove(f, c, 0)
	cost := q.cost(&r)
	q.virtualCounter[c] = f.counters[c]
	f.counters[c] += cost / f.weight
	q.updateBatchCredit(c, cost)
	q.rate.observe(now, cost, q.length > 0)
	return r, true
}

// AdjustCharge corrects the charge of a dispatched request once the number of
// its output tokens is known.
func (q *Queue) AdjustCharge(r Request, decoded int) {
	f := q.flow(r.Organisation)
	f.counters[r.Class] += float64(q.opts.DecodeWeight*(decoded-r.DecodeTokens)) / f.weight
}

// RefundCharge reverses the whole charge of a request that Next returned and that
// was not dispatched.
func (q *Queue) RefundCharge(r Request) {
	f := q.flow(r.Organisation)
	f.counters[r.Class] -= q.cost(&r) / f.weight
}

// TakeRefusals returns the queued requests that were refused since the last call:
// those whose deadline has passed and those displaced from a full queue.
func (q *Queue) TakeRefusals(now time.Duration) []Refusal {
	q.expire(now)
	refusals := q.refusals
	q.refusals = nil
	return refusals
}

// NextDeadline returns when TakeRefusals is next due; ok is false if no deadline
// is known.
func (q *Queue) NextDeadline() (at time.Duration, ok bool) {
	return q.earliestDeadline, q.earliestDeadline != math.MaxInt64
}

func (q *Queue) expire(now time.Duration) {
	if now < q.earliestDeadline {
		return
	}
	q.earliestDeadline = math.MaxInt64
	for _, f := range q.flows {
		for c := range classCount {
			for i := 0; i < len(f.requests[c]); {
				deadline := f.requests[c][i].Deadline
				if deadline > 0 && deadline <= now {
					q.refuse(q.remove(f, c, i), ReasonDeadline, q.drainTime())
					continue
				}
				if deadline > 0 {
					q.earliestDeadline = min(q.earliestDeadline, deadline)
				}
				i++
			}
		}
	}
}

func (q *Queue) refuse(r Request, reason Reason, retryAfter time.Duration) {
	q.refusals = append(q.refusals, Refusal{Request: r, Err: &RefusedError{Reason: reason, RetryAfter: retryAfter}})
}

func (q *Queue) remove(f *flow, c Class, i int) Request {
	r := f.requests[c][i]
	f.requests[c] = slices.Delete(f.requests[c], i, i+1)
	q.length--
	q.queuedCost[c] -= q.cost(&r)
	if len(f.requests[Batch]) == 0 && q.empty(Batch) {
		q.batchCredit = 0
	}
	return r
}

func (q *Queue) empty(c Class) bool {
	for _, f := range q.flows {
		if len(f.requests[c]) > 0 {
			return false
		}
	}
	return true
}
