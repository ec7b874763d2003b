package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
)

// An upstream that is silent for the silence timeout may lose a repeatable request
// to another upstream. Before an answer the timeout is a multiple of the route's
// objective, within a stream a multiple of the longest pause that still counts as
// on time.
const (
	silenceTimeoutObjectives = 3
	minSilenceTimeout        = 600 * time.Millisecond
	stallTimeoutGaps         = 4
	minStallTimeout          = 800 * time.Millisecond
	// handOverInterval is the interval between attempts to hand over a request
	// whose upstream remains silent.
	handOverInterval = 200 * time.Millisecond
	// rejectTimeout is the time within which an upstream rejects a request that it
	// does not take. For so long, two upstreams may hold the same request.
	rejectTimeout = 100 * time.Millisecond
)

// errHandedOver means that an attempt was given up because the request goes on at
// another upstream.
var errHandedOver = errors.New("gateway: upstream silent; the request goes on at another one")

// progressReader reads the body of the answer to an attempt. It fails with
// errHandedOver if the upstream is silent and the request goes on at another one.
type progressReader struct {
	x   *exchange
	ctx context.Context
	a   *attempt
}

func (r *progressReader) Read(p []byte) (int, error) {
	if err := r.x.awaitProgress(r.ctx, r.a, r.a.response.Await); err != nil {
		return 0, err
	}
	return r.a.response.Body.Read(p)
}

// silenceTimeout returns the silence timeout of the current attempt, 0 if the
// request may not be repeated.
func (x *exchange) silenceTimeout() time.Duration {
	switch {
	case !x.route.Repeatable():
		return 0
	case x.rec.stream.headSent:
		return max(minStallTimeout, stallTimeoutGaps*x.route.MaxGap)
	}
	return max(minSilenceTimeout, silenceTimeoutObjectives*x.route.Objective)
}

// awaitProgress waits until the upstream of an attempt sends something or fails.
// While it is silent, the request is handed over to another upstream as soon as one
// takes it; awaitProgress then fails with errHandedOver. Silence alone ends no
// attempt.
func (x *exchange) awaitProgress(ctx context.Context, a *attempt, await func(time.Duration) error) error {
	silentSince := x.g.now()
	for timeout := x.silenceTimeout(); await(timeout) != nil; timeout = handOverInterval {
		if !a.silent {
			a.silent = x.g.dispatcher.recordSilence(a.Placement, x.job)
		}
		if x.handOver(ctx) {
			x.rec.stalledFor = x.g.now() - silentSince
			return errHandedOver
		}
	}
	return nil
}

// handOver sends the request to another upstream while the current attempt goes
// on. It reports whether the other upstream has not rejected the request; x.next is
// then the attempt with which the request goes on.
func (x *exchange) handOver(ctx context.Context) bool {
	if x.sent+1 >= x.route.MaxAttempts || x.unsent >= maxUnreachable || !x.takeRetry() {
		return false
	}
	x.job.Retryable = false // a suspect upstream is not probed with this request
	placed, ok := x.g.dispatcher.placeNow(x.job)
	if !ok {
		x.returnRetry()
		return false
	}
	a := x.begin(ctx, placed, true)
	if o, rejected := x.rejected(a); rejected {
		x.finishAttempt(a, o)
		return false
	}
	x.next = a
	return true
}

// rejected reports whether an upstream rejects or fails an attempt within
// rejectTimeout, and the outcome of the attempt if so.
func (x *exchange) rejected(a *attempt) (outcome, bool) {
	if a.err != nil {
		return x.sendFailed(a, a.err), true
	}
	if errors.Is(a.exchange.Await(rejectTimeout), httpconn.ErrSilent) {
		return 0, false
	}
	var err error
	if a.response, err = a.exchange.Response(); err != nil {
		return x.sendFailed(a, err), true
	}
	kind := x.g.codec.ClassifyResponse(a.response.Status, a.response.Header, x.req.AttemptID)
	switch {
	case kind != fleet.AnswerOwn:
		return x.rejectAnswer(a, kind), true
	case a.response.Status != http.StatusOK:
		a.response.Finish(false)
		x.release(a, assign.ResultFailed)
		return outcomeUnknown, true
	}
	return 0, false
}
