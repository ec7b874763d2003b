package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/eventstream"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
)

// outcome is the result of one attempt to send a request to an upstream.
type outcome uint8

const (
	// outcomeDelivered: the complete answer was passed to the caller.
	outcomeDelivered outcome = iota
	// outcomeNotRun: the upstream did not start to process the request.
	outcomeNotRun
	// outcomeNotSent: no byte of the request was sent.
	outcomeNotSent
	// outcomeUnknown: the request may have run; the caller has received
	// nothing, or only the first events of a stream.
	outcomeUnknown
	// outcomeStalled: the gateway closed the attempt because the upstream was silent
	// and another one has the request; otherwise as outcomeUnknown.
	outcomeStalled
	// outcomeHeld: not sent, because upstreams crash under such requests.
	outcomeHeld
	// outcomeCallerLeft: the caller disconnected.
	outcomeCallerLeft
	// outcomeTimeout: the deadline for the answer has passed.
	outcomeTimeout
	// outcomeStopped: the instance ends.
	outcomeStopped
)

func (o outcome) String() string {
	return [...]string{"delivered", "not_run", "not_sent", "unknown", "stalled", "quarantined", "caller_left", "timeout", "stopped"}[o]
}

const (
	// maxUnreachable is the maximum number of attempts of one request that fail
	// because the upstream cannot be reached at all.
	maxUnreachable = 3
	// minRejections is the number of upstreams that may reject a request without
	// running it before the request is refused, if its route allows fewer
	// attempts. Rejections do not count as attempts.
	minRejections = 2
)

// attempt is one attempt to send the request to an upstream.
type attempt struct {
	assign.QueueResult
	parent   context.Context // of the request
	ctx      context.Context
	cancel   context.CancelFunc
	begunAt  time.Duration
	charged  bool               // charged to the organisation's limit
	retry    bool               // taken from the retry budget
	err      error              // of sending or of reading the head of the answer
	exchange *httpconn.Exchange // nil if the request could not be sent
	response *httpconn.Response // nil until the head of the answer was read
	silent   bool               // a silence was recorded as the upstream's failure
	sound    bool               // the answer got beyond its beginning
	released bool               // the placement was released
	firstAt  time.Duration      // of the first event of a stream, 0 before
	run      streamRun

	wait       *reach.Wait // for an answer over the own link, nil for none
	relays     []string    // peers that were asked to send it, in order
	relayEnded bool        // the last of them no longer has it
	inFlight   int64       // bytes of its body that are counted at the upstream
}

// serve sends the request to one upstream after another until one answers or no
// further attempt is allowed.
func (x *exchange) serve() {
	ctx, cancel := context.WithTimeout(x.ctx, x.job.Deadline-x.arrived)
	defer cancel()
	x.leaveShutdown = context.AfterFunc(x.g.shutdown.overCtx, cancel)
	defer x.leaveShutdown()
	x.rec.stream = x.newStreamState()
	defer x.learnNumbering()
	defer x.dropReserves()
	if refusal := x.resolveVersion(ctx); refusal.Reason != fleet.ReasonNone {
		x.refuse(refusal)
		return
	}
	for {
		a := x.next
		x.next = nil
		if a == nil {
			placed, ok := x.acquire(ctx)
			if !ok {
				x.endWithoutAnswer()
				return
			}
			if placed.Placement == nil {
				x.endUnplaced(placed.Decision)
				return
			}
			a = x.begin(ctx, placed, false)
		}
		o := x.finishAttempt(a, x.relay(ctx, a))
		x.forgetRejections(a.Decision.Upstream.ID)
		switch o {
		case outcomeDelivered:
			return
		case outcomeCallerLeft, outcomeTimeout, outcomeStopped:
			x.endWithoutAnswer()
			return
		}
		if x.next == nil && x.placed == nil && !x.mayRetry(o) {
			x.fail(o)
			return
		}
	}
}

// finishAttempt records an attempt with outcome o and returns o.
func (x *exchange) finishAttempt(a *attempt, o outcome) outcome {
	a.cancel()
	x.observeRunTime(a, o)
	x.releaseBytes(a)
	x.endRelayed(a)
	x.g.links.ended(a.wait)
	if a.charged && (o == outcomeNotSent || o == outcomeNotRun || o == outcomeHeld) {
		x.g.limiter.refund(x.org.Name, x.cost)
	}
	x.rec.attempts = append(x.rec.attempts, attemptRecord{upstream: a.Decision.Upstream.ID, version: a.Decision.Upstream.Version, relay: a.via(), outcome: o, run: a.run})
	switch o {
	case outcomeNotRun:
		x.rejected++
	case outcomeNotSent, outcomeHeld:
		x.unsent++
		x.rec.unsentFor += x.g.now() - a.begunAt
		x.g.dispatcher.recordNotSent(a.Placement)
		if a.retry {
			x.returnRetry()
		}
	default:
		x.ran++
	}
	return o
}

// arrivals returns the number of ended attempts that an upstream may have received.
func (x *exchange) arrivals() int { return x.ran + x.rejected }

// forgetRejections lets the scheduler choose the upstreams again that rejected the
// request without running it before its attempt at the upstream id ended. One that
// has just rejected it is not chosen next.
func (x *exchange) forgetRejections(id string) {
	x.job.TriedUpstreams = slices.DeleteFunc(x.job.TriedUpstreams, func(tried string) bool {
		return tried != id && slices.Contains(x.rejectedBy, tried)
	})
	x.rejectedBy = slices.DeleteFunc(x.rejectedBy, func(by string) bool { return by != id })
}

// acquire returns the placement that the job has already, or waits for one and, if no upstream holds the
// job's adapter, requests the adapter. A request that would outlast the instance is refused.
func (x *exchange) acquire(ctx context.Context) (assign.QueueResult, bool) {
	if placed := x.placed; placed != nil {
		x.placed = nil
		return *placed, true
	}
	if x.job.Adapter != "" && x.job.NeedsEngine {
		x.g.adapterRequests.requestIfMissing(x.service, x.job.Model, x.job.Adapter)
	}
	if x.rec.stream.headSent {
		x.checkVersion()
		x.job.InProgress = true
		x.job.FirstEventDeadline = min(x.rec.stream.lastEventAt+x.patience, x.job.Deadline)
	}
	if !x.endsInTime() {
		return assign.QueueResult{Decision: assign.Decision{Refusal: stopRefusal}}, true
	}
	started := x.g.now()
	placed, ok := x.g.permits.acquire(ctx, x.job, x.organisation(), x.heldBack)
	x.rec.queueTime += x.g.now() - started
	x.rec.inputs = placed.Decision.Factors
	if placed.Placement != nil && !x.endsInTime() { // after the wait
		x.g.dispatcher.done(placed.Placement, assign.ResultUnknown)
		x.g.dispatcher.recordNotSent(placed.Placement)
		placed.Placement, placed.Decision.Refusal = nil, stopRefusal
	}
	return placed, ok
}

// Reasons for which a request is not sent again, as they appear in the log and
// the metrics. A refusal by the scheduler appears as its fleet.Reason.
const (
	deniedOver          = "over" // the deadline has passed or the caller left
	deniedUnreachable   = "unreachable"
	deniedNotRepeatable = "not_repeatable"
	deniedAttempts      = "attempts" // the route's maximum number of attempts
	deniedRejections    = "rejections"
	deniedBudget        = "budget"      // the service's retry budget
	deniedQuarantine    = "quarantined" // upstreams crash under such requests
)

// mayRetry reports whether the request may be sent to another upstream after an
// attempt with outcome o. It takes the retry from the budget and records why a
// retry is denied.
func (x *exchange) mayRetry(o outcome) bool {
	x.rec.retryDenied = x.retryDenial(o)
	return x.rec.retryDenied == ""
}

func (x *exchange) retryDenial(o outcome) string {
	ran := o != outcomeNotSent && o != outcomeNotRun // or may have run
	switch {
	case x.g.now() >= x.job.Deadline || x.ctx.Err() != nil:
		return deniedOver
	case o == outcomeHeld, ran && x.suspect.Suspected():
		return deniedQuarantine
	case o == outcomeNotSent && x.unsent >= maxUnreachable:
		return deniedUnreachable
	case o == outcomeNotSent && x.arrivals() == 0:
		return ""
	case ran && (!x.route.Repeatable() || !x.rec.stream.order.MayResume()):
		return deniedNotRepeatable
	case ran && x.ran >= x.route.MaxAttempts:
		return deniedAttempts
	case x.reserved != nil:
		x.retry, x.reserved = *x.reserved, nil
		return ""
	case o == outcomeNotRun && !x.rec.stream.headSent && x.rejected >= max(x.route.MaxAttempts, minRejections):
		return deniedRejections
	case !x.takeRetry():
		return deniedBudget
	}
	return ""
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (x *exchange) takeRetry() (ok bool) {
	x.retry, ok = x.g.retryBudget.takeRetry(x.service)
	return ok
}

// returnRetry returns the retry that was taken last.
func (x *exchange) returnRetry() { x.g.retryBudget.returnRetry(x.service, x.retry) }

// endUnplaced ends a request for which the scheduler found no upstream.
func (x *exchange) endUnplaced(d assign.Decision) {
	if x.mayHaveRun {
		x.rec.retryDenied = d.Refusal.Reason.String()
		x.fail(outcomeUnknown)
		return
	}
	x.refuse(d.Refusal)
}

// endWithoutAnswer ends a request whose caller disconnected, whose deadline has
// passed or whose instance ends.
func (x *exchange) endWithoutAnswer() {
	if x.ctx.Err() != nil {
		x.rec.callerLeft = true
		x.rec.abort = true // net/http answers 200 for a handler that wrote nothing
		return
	}
	if x.rec.stream.headSent {
		x.rec.refusal = fleet.Refusal{Reason: fleet.ReasonTimeout}
		x.rec.abort = true
		return
	}
	switch {
	case x.stopped() && x.mayHaveRun:
		x.refuse(fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown})
	case x.stopped():
		x.refuse(stopRefusal)
	case x.mayHaveRun:
		x.refuse(fleet.Refusal{Reason: fleet.ReasonTimeout})
	default:
		x.refuse(fleet.Refusal{Reason: fleet.ReasonOverloaded})
	}
}

// fail ends a request that may not be retried after an attempt with outcome o.
func (x *exchange) fail(o outcome) {
	switch {
	case x.rec.stream.headSent:
		x.rec.refusal = fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown}
		x.rec.abort = true
	case x.mayHaveRun:
		x.refuse(fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown})
	case o == outcomeHeld:
		refusal, _ := x.heldBack()
		refusal.Reason = fleet.ReasonQuarantined
		x.refuse(refusal)
	case o == outcomeNotSent:
		x.refuse(fleet.Refusal{Reason: fleet.ReasonNoUpstream, RetryAfter: refusedRetryAfter})
	default:
		x.refuse(fleet.Refusal{Reason: fleet.ReasonOverloaded, RetryAfter: refusedRetryAfter})
	}
}

// refusedRetryAfter is the retry-after time of a request that upstreams refused
// or that could not be sent to any.
const refusedRetryAfter = 300 * time.Millisecond

// relay relays the upstream's answer to an attempt.
func (x *exchange) relay(ctx context.Context, a *attempt) outcome {
	a.parent = ctx
	x.watch(a)
	if err := x.readHead(a); err != nil {
		return x.sendFailed(a, err)
	}
	if kind := x.classify(a); kind != fleet.AnswerOwn {
		return x.rejectAnswer(a, kind)
	}
	x.mayHaveRun = true
	if x.route.Kind == fleet.KindStream && a.response.Status == http.StatusOK {
		return x.relayStream(a)
	}
	if x.rec.stream.headSent {
		a.response.Finish(false)
		x.rec.lastError = errNotResumed
		x.release(a, assign.ResultFailed)
		return outcomeUnknown
	}
	return x.relayComplete(a)
}

// classify returns what the head of the answer to an attempt proves, and records what
// the upstream says there about itself.
func (x *exchange) classify(a *attempt) fleet.AnswerKind {
	x.recordAnswer(a)
	kind := x.g.codec.ClassifyResponse(a.response.Status, a.response.Header, x.req.AttemptID, a.response.Reused)
	if kind == fleet.AnswerOwn {
		x.g.crashes.Alive(incarnationOf(a.Decision.Upstream))
	}
	x.g.recordNotice(a, kind)
	if kind == fleet.AnswerOwn && x.replaced(a) {
		return fleet.AnswerMismatched
	}
	return kind
}

// release ends the placement of an attempt. It counts one failure of the upstream
// at most.
func (x *exchange) release(a *attempt, result assign.Result) {
	if a.silent && result == assign.ResultFailed {
		result = assign.ResultUnknown
	}
	if a.released { // by proveEnd, as sound
		if result == assign.ResultFailed {
			x.g.dispatcher.recordFailure(a.Placement)
		}
		return
	}
	a.released = true
	x.g.dispatcher.done(a.Placement, result)
}

// sendFailed ends an attempt that failed before the head of an answer arrived.
func (x *exchange) sendFailed(a *attempt, err error) outcome {
	x.rec.lastError = err
	if errors.Is(err, httpconn.ErrNotSent) {
		if o, over := x.requestOver(); over {
			x.release(a, assign.ResultUnknown)
			return o
		}
		if errors.Is(err, errQuarantined) {
			x.release(a, assign.ResultUnknown)
			return outcomeHeld
		}
		if errors.Is(err, errPlacementLapsed) || errors.Is(err, errUpstreamBytes) {
			x.release(a, assign.ResultUnknown)
			return outcomeNotSent
		}
		x.release(a, assign.ResultFailed)
		return outcomeNotSent
	}
	x.mayHaveRun = true
	return x.endBrokenAttempt(a, err)
}

// endBrokenAttempt ends an attempt that failed with err after the request was
// sent. It does not count as a failure of the upstream if the request was already
// over.
func (x *exchange) endBrokenAttempt(a *attempt, err error) outcome {
	x.rec.lastError = err
	if errors.Is(err, errHandedOver) {
		x.release(a, assign.ResultFailed)
		return outcomeStalled
	}
	if o, over := x.requestOver(); over {
		x.release(a, assign.ResultUnknown)
		return o
	}
	if errors.Is(err, errAnswerMemory) { // says nothing about the upstream
		x.release(a, assign.ResultUnknown)
		return outcomeUnknown
	}
	if errors.Is(err, errAnswerOutgrown) {
		x.release(a, assign.ResultOutgrown)
		return outcomeUnknown
	}
	var fault *eventstream.OrderError
	switch {
	case !errors.As(err, &fault):
		x.release(a, assign.ResultFailed)
		x.recordBroken(a)
	case fault.OfUpstream():
		x.release(a, assign.ResultFailed) // it answered, so that the request did not crash it
	default:
		x.release(a, assign.ResultUnknown)
	}
	return outcomeUnknown
}

// requestOver reports whether the request is over because its caller
// disconnected, its deadline has passed or the instance ends.
func (x *exchange) requestOver() (outcome, bool) {
	switch {
	case x.ctx.Err() != nil:
		return outcomeCallerLeft, true
	case x.g.now() >= x.job.Deadline-clockSlack:
		return outcomeTimeout, true
	case x.stopped():
		return outcomeStopped, true
	}
	return 0, false
}

// clockSlack is the maximum time by which a context's timer may fire before g.now
// reaches the deadline: the timer runs on Go's monotonic clock, g.now on the clock
// that includes suspend.
const clockSlack = 5 * time.Millisecond

// rejectAnswer ends an attempt whose answer must not be passed to the caller.
func (x *exchange) rejectAnswer(a *attempt, kind fleet.AnswerKind) outcome {
	id, resp := a.Decision.Upstream.ID, a.response
	switch kind {
	case fleet.AnswerNotRun:
		x.finishRejection(a)
		x.g.dispatcher.upstreamFull(a.Placement, id)
		x.rejectedBy = append(x.rejectedBy, id)
		return outcomeNotRun
	case fleet.AnswerMisdirected:
		x.finishRejection(a)
		x.g.dispatcher.modelAbsent(a.Placement, id, x.job.Model, x.job.Adapter)
		if x.job.Model != "" { // a plain upstream that is not the one addressed stays so
			x.rejectedBy = append(x.rejectedBy, id)
		}
		return outcomeNotRun
	}
	resp.Finish(false)
	x.mayHaveRun = true
	x.rec.lastError = errMismatchedAnswer
	x.release(a, assign.ResultFailed)
	return outcomeUnknown
}

// finishRejection reads the body of a rejection for a moment, so that its connection can be kept.
func (x *exchange) finishRejection(a *attempt) {
	began := x.g.now()
	elapsed := func() time.Duration { return x.g.now() - began }
	a.exchange.Watch(httpconn.Watch{
		Timeout:   func() time.Duration { return maxRejectionTime },
		Silent:    elapsed,
		OnSilence: func(time.Duration) error { return errRejectionLate },
	})
	a.response.Finish(discardRejection(a.response.Body, func() bool { return elapsed() >= maxRejectionTime }))
}

// errNotResumed means that an upstream answered the request to resume a stream
// with something other than a successful stream.
var errNotResumed = errors.New("gateway: upstream did not resume the stream")

// errMismatchedAnswer means that an answer belongs to another request or does not
// come from the upstream itself.
var errMismatchedAnswer = errors.New("gateway: answer is for another request or not from the upstream")

// relayComplete reads the whole answer and then passes it to the caller.
func (x *exchange) relayComplete(a *attempt) outcome {
	resp := a.response
	body, release, err := x.g.answerMemory.read(resp.Body, answerSource{service: x.service, length: resp.Length(), abort: a.cancel})
	defer release()
	err = x.proveEnd(a, err)
	resp.Finish(err == nil)
	if err != nil {
		return x.endBrokenAttempt(a, err)
	}
	if resp.Status >= http.StatusInternalServerError {
		x.release(a, assign.ResultFailed)
		if x.reserveRetry() {
			return outcomeUnknown
		}
	} else {
		x.release(a, assign.ResultOK)
		x.recordSound(a)
	}
	if x.ctx.Err() != nil {
		return outcomeCallerLeft
	}
	x.g.codec.CopyResponseHeader(x.w.Header(), resp.Header)
	x.setLength(resp, len(body))
	x.closeInStop()
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(body); err != nil {
		x.rec.lastError = err
	}
	x.rec.status, x.rec.bytes = resp.Status, len(body)
	return outcomeDelivered
}

// setLength sets the length of the answer to the caller. The length in an answer to a HEAD is
// that of a body that is not there, and stays as the upstream gave it.
func (x *exchange) setLength(resp *httpconn.Response, bodyBytes int) {
	const name = "Content-Length"
	if x.r.Method != http.MethodHead {
		x.w.Header().Set(name, strconv.Itoa(bodyBytes))
	} else if length := resp.Header.Get(name); length != "" {
		x.w.Header().Set(name, length)
	}
}

// reserveRetry reports whether a request that an upstream answered with a server
// error should be retried at another one, and takes that retry from the budget.
func (x *exchange) reserveRetry() bool {
	if !x.route.Repeatable() || x.ran+1 >= x.route.MaxAttempts || x.g.now() >= x.job.Objective || x.suspect.Suspected() {
		return false
	}
	return x.takeReserve()
}
