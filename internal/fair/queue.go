// Package fair queues requests inside an instance while the upstreams of their
// model are saturated. It shares the service among organisations by virtual
// token counters, after "Fairness in Serving Large Language Models" (OSDI '24).
// The package is pure: callers pass the time on the instance's monotonic clock.
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
	// TokenCounters shares the service among organisations.
	TokenCounters Policy = iota
	// FirstComeFirstServed is the baseline, blind to organisations and classes.
	FirstComeFirstServed
	// LiveFirst serves live requests ahead of batch requests, but is blind to
	// organisations.
	LiveFirst
)

// Options are the settings of a Queue.
type Options struct {
	Policy Policy
	// Capacity is the most requests that the queue holds.
	Capacity int
	// BatchPercent is the least share of the service that batch requests get
	// while both classes wait, from 0 to 99.
	BatchPercent int
	// DecodeWeight is the cost of an output token in prompt tokens.
	DecodeWeight int
}

// Defaults of Options.
const (
	DefaultCapacity     = 1024
	DefaultBatchPercent = 10
	DefaultDecodeWeight = 2
)

// flow is one organisation's part of a queue.
type flow struct {
	organisation string
	weight       float64
	counter      [classes]float64 // weighted service received
	waiting      [classes][]Request
}

func (f *flow) length() int {
	n := 0
	for _, w := range f.waiting {
		n += len(w)
	}
	return n
}

// Queue is a bounded queue of the requests of one model. It is not safe for
// concurrent use.
type Queue struct {
	opts     Options
	flows    []*flow // in order of first use
	length   int
	seq      uint64
	virtual  [classes]float64 // counter of the flow last served
	credit   float64          // service owed to the batch class
	queued   [classes]float64 // cost of the waiting requests
	earliest time.Duration    // no deadline is before it
	refused  []Refusal        // not yet returned by Expire
	pace     pace
}

// New returns an empty queue; zero options stand for the defaults.
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
	return &Queue{opts: opts, earliest: math.MaxInt64}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// BatchOwed says whether the next batch request is due to meet the least share
// of its class, so that it is not to wait for room that live requests keep.
func (q *Queue) BatchOwed() bool {
	f := q.least(Batch)
	return f != nil && q.credit >= q.cost(&f.waiting[Batch][0])
}

// SetWeight sets an organisation's share of the service relative to others'.
func (q *Queue) SetWeight(organisation string, weight float64) {
	q.flow(organisation).weight = weight
}

// Forget drops an organisation's counters. Its waiting requests must be none.
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
	return float64(r.Prefill + q.opts.DecodeWeight*r.Decode)
}

// Enqueue takes a request, or refuses it with *RefusedError if it cannot be
// dispatched by its deadline or the queue is full. A full queue takes the
// request of an organisation that does not hold the most, in place of the
// newest request of the one that does.
func (q *Queue) Enqueue(now time.Duration, r Request) error {
	q.expire(now)
	f := q.flow(r.Organisation)
	if r.Deadline > 0 {
		if late := now + q.wait(f, &r) - r.Deadline; late >= 0 {
			return &RefusedError{Reason: ReasonLate, RetryAfter: max(minRetry, late)}
		}
	}
	if q.length >= q.opts.Capacity && !q.displace(f) {
		return &RefusedError{Reason: ReasonFull, RetryAfter: q.drainTime()}
	}
	if len(f.waiting[r.Class]) == 0 {
		q.lift(f, r.Class)
	}
	q.seq++
	r.seq = q.seq
	f.waiting[r.Class] = append(f.waiting[r.Class], r)
	q.length++
	q.queued[r.Class] += q.cost(&r)
	if r.Deadline > 0 {
		q.earliest = min(q.earliest, r.Deadline)
	}
	return nil
}

// lift raises the counter of a flow that returns from idleness to the least
// counter of the flows that wait, so that idle time banks no credit.
func (q *Queue) lift(f *flow, c Class) {
	level := math.Inf(1)
	for _, other := range q.flows {
		if len(other.waiting[c]) > 0 {
			level = min(level, other.counter[c])
		}
	}
	if math.IsInf(level, 1) {
		level = q.virtual[c]
	}
	f.counter[c] = max(f.counter[c], level)
}

// displace refuses the newest request of the organisation that holds the most
// requests, unless that is f.
func (q *Queue) displace(f *flow) bool {
	most := f
	for _, other := range q.flows {
		if other.length() > most.length() {
			most = other
		}
	}
	if most == f {
		return false
	}
	c := Batch
	if len(most.waiting[Batch]) == 0 {
		c = Live
	}
	r := q.remove(most, c, len(most.waiting[c])-1)
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
	return f.waiting[c][0], true
}

// Next removes and returns the request to dispatch. It returns one whenever a
// request waits whose deadline has not passed.
func (q *Queue) Next(now time.Duration) (Request, bool) {
	q.expire(now)
	f, c := q.choose()
	if f == nil {
		return Request{}, false
	}
	r := q.remove(f, c, 0)
	cost := q.cost(&r)
	q.virtual[c] = f.counter[c]
	f.counter[c] += cost / f.weight
	q.settle(c, cost)
	q.pace.served(now, cost, q.length > 0)
	return r, true
}

// Done corrects the charge of a dispatched request once its output is known.
func (q *Queue) Done(r Request, decoded int) {
	f := q.flow(r.Organisation)
	f.counter[r.Class] += float64(q.opts.DecodeWeight*(decoded-r.Decode)) / f.weight
}

// Undo takes back the whole charge of a request that Next returned and that
// was not dispatched.
func (q *Queue) Undo(r Request) {
	f := q.flow(r.Organisation)
	f.counter[r.Class] -= q.cost(&r) / f.weight
}

// Expire returns the requests refused after they were queued: those whose
// deadline has passed, and those displaced.
func (q *Queue) Expire(now time.Duration) []Refusal {
	q.expire(now)
	refused := q.refused
	q.refused = nil
	return refused
}

// NextDeadline is when Expire is due; ok is false if no deadline is known.
func (q *Queue) NextDeadline() (at time.Duration, ok bool) {
	return q.earliest, q.earliest != math.MaxInt64
}

func (q *Queue) expire(now time.Duration) {
	if now < q.earliest {
		return
	}
	q.earliest = math.MaxInt64
	for _, f := range q.flows {
		for c := range classes {
			for i := 0; i < len(f.waiting[c]); {
				deadline := f.waiting[c][i].Deadline
				if deadline > 0 && deadline <= now {
					q.refuse(q.remove(f, c, i), ReasonLate, q.drainTime())
					continue
				}
				if deadline > 0 {
					q.earliest = min(q.earliest, deadline)
				}
				i++
			}
		}
	}
}

func (q *Queue) refuse(r Request, reason Reason, after time.Duration) {
	q.refused = append(q.refused, Refusal{Request: r, Err: &RefusedError{Reason: reason, RetryAfter: after}})
}

func (q *Queue) remove(f *flow, c Class, i int) Request {
	r := f.waiting[c][i]
	f.waiting[c] = slices.Delete(f.waiting[c], i, i+1)
	q.length--
	q.queued[c] -= q.cost(&r)
	if len(f.waiting[Batch]) == 0 && q.idle(Batch) {
		q.credit = 0
	}
	return r
}

func (q *Queue) idle(c Class) bool {
	for _, f := range q.flows {
		if len(f.waiting[c]) > 0 {
			return false
		}
	}
	return true
}
