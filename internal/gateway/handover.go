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
	// handOverTimeout is the time within which another upstream has to begin its
	// answer. For so long both upstreams may work on the request, and events of the
	// first one are not relayed.
	handOverTimeout = 300 * time.Millisecond
)

// errHandedOver means that an attempt was given up because the request goes on at
// another upstream.
var errHandedOver = errors.New("gateway: upstream silent; the request goes on at another one")

// watch supervises reading the answer to an attempt. While the upstream is silent,
// the request is handed over to another upstream as soon as one answers it; reading
// then fails with errHandedOver. Silence alone ends no attempt.
func (x *exchange) watch(a *attempt) {
	if a.err != nil || !x.route.Repeatable() {
		return
	}
	a.exchange.Watch(httpconn.Watch{
		Timeout: x.silenceTimeout, Silent: x.silence(a), Interval: handOverInterval,
		OnSilence: func(silent time.Duration) error {
			if !a.silent {
				a.silent = x.g.dispatcher.recordSilence(a.Placement, x.job)
			}
			if !x.handOver(a.parent) {
				return nil
			}
			x.rec.stalledFor = silent
			return errHandedOver
		},
	})
}

// silence returns a function that returns how long the upstream of an attempt has made
// no progress. In a stream only whole events are progress, since an upstream may send a
// byte now and then and never an event; nil stands for any byte.
func (x *exchange) silence(a *attempt) func() time.Duration {
	if x.route.Kind != fleet.KindStream {
		return nil
	}
	return func() time.Duration { return x.g.now() - max(a.begunAt, x.rec.stream.lastEventAt) }
}

// silenceTimeout returns the silence timeout of the current attempt.
func (x *exchange) silenceTimeout() time.Duration {
	if x.rec.stream.headSent {
		return max(minStallTimeout, stallTimeoutGaps*x.route.MaxGap)
	}
	return max(minSilenceTimeout, silenceTimeoutObjectives*x.route.Objective)
}

// handOver sends the request to another upstream while the current attempt stays
// open. It reports whether the other upstream has begun its answer; x.next is then
// the attempt with which the request goes on.
func (x *exchange) handOver(ctx context.Context) bool {
	if !x.mayGoElsewhere() {
		return false
	}
	placed, ok := x.placeElsewhere()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(handOverTimeout, cancel)
	a := x.begin(ctx, placed, true)
	a.cancel = cancel // ends the context of begin, too
	if o, ok := x.accepted(a, limit); !ok {
		x.finishAttempt(a, o)
		return false
	}
	x.next = a
	return true
}

// accepted reads the head of the answer to an attempt at a handover. It reports
// whether the request can go on with that answer, and the outcome of the attempt if
// not. limit cancels the attempt when it fires.
func (x *exchange) accepted(a *attempt, limit *time.Timer) (outcome, bool) {
	defer limit.Stop()
	err := x.readHead(a)
	if err == nil {
		if kind := x.classify(a); kind != fleet.AnswerOwn {
			return x.rejectAnswer(a, kind), false
		}
	}
	inTime := limit.Stop()
	switch {
	case !inTime && x.ctx.Err() == nil:
		return x.handOverTimedOut(a, err), false
	case err != nil:
		return x.sendFailed(a, err), false
	case !x.canRelay(a.response.Status):
		x.mayHaveRun = true
		a.response.Finish(false)
		x.release(a, assign.ResultFailed)
		return outcomeUnknown, false
	}
	return 0, true
}

// handOverTimedOut ends an attempt at a handover that handOverTimeout has cancelled.
// It says nothing about the health of the upstream.
func (x *exchange) handOverTimedOut(a *attempt, err error) outcome {
	if a.response != nil {
		a.response.Finish(false)
	}
	x.release(a, assign.ResultUnknown)
	if errors.Is(err, httpconn.ErrNotSent) {
		return outcomeNotSent
	}
	x.mayHaveRun = true
	return outcomeStalled
}

// canRelay reports whether an upstream's own answer with this status can be passed
// to the caller. Once a stream has begun, it goes on only with another one.
func (x *exchange) canRelay(status int) bool {
	if x.rec.stream.headSent {
		return status == http.StatusOK
	}
	return status < http.StatusInternalServerError
}
