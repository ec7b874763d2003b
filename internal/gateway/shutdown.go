package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// exitMargin is how long before the end of its grace time the process exits
	// on its own.
	exitMargin = 250 * time.Millisecond
	// lastAnswerMargin is how long before that all requests of which no part was answered are
	// answered, so that their callers learn that the instance has ended.
	lastAnswerMargin = 100 * time.Millisecond
)

// shutdown is the state of a graceful stop. It is safe for concurrent use.
type shutdown struct {
	began atomic.Bool
	endAt atomic.Int64 // when overCtx will end, as a duration

	overCtx context.Context // from its end on nothing waits for an upstream that has not begun to answer
	setOver context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.overCtx, s.setOver = context.WithCancel(context.Background())
	return s
}

// stopRetryAfter is the retry-after time of requests at an instance that stops: others take them
// at once.
const stopRetryAfter = 50 * time.Millisecond

// endsInTime reports whether a request that is sent now can be expected to be answered before the
// instance ends: if its own time is over before, or if requests of its kind have not taken longer
// so far. If none of them was measured, only a request that may be repeated is sent. A stream
// that has begun goes on in any case.
func (x *exchange) endsInTime() bool {
	s := x.g.shutdown
	if !s.began.Load() || x.begun() {
		return true
	}
	end := time.Duration(s.endAt.Load())
	if x.job.Deadline <= end {
		return true
	}
	expected, known := x.g.runTimes.expected(x.runKind())
	if !known {
		return x.route.Repeatable()
	}
	return x.g.now()+expected <= end
}

// closeInStop lets the connection be closed after the answer if the instance stops, so that the
// caller's next request goes to another one.
func (x *exchange) closeInStop() {
	if x.g.shutdown.began.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) runKind() runKind { return runKind{route: x.route.Name, model: x.req.Model} }

// observeRunTime records how long an attempt with outcome o took.
func (x *exchange) observeRunTime(a *attempt, o outcome) {
	switch o {
	case outcomeDelivered:
		x.g.runTimes.observe(x.runKind(), x.g.now()-a.begunAt, true)
	case outcomeTimeout, outcomeCallerLeft:
		x.g.runTimes.observe(x.runKind(), x.g.now()-a.begunAt, false)
	}
}

// stopRefusal is the refusal of a request that has not run and cannot end before its instance.
var stopRefusal = fleet.Refusal{Reason: fleet.ReasonStopping, RetryAfter: stopRetryAfter}

// begin begins the stop. The requests of which no part was answered end at end.
func (s *shutdown) begin(end time.Duration) {
	s.endAt.Store(int64(end))
	s.began.Store(true)
}

// stopped reports whether the request is over because the instance ends. A stream that has
// begun goes on until its connection is closed.
func (x *exchange) stopped() bool { return x.g.shutdown.overCtx.Err() != nil && !x.begun() }

// begun reports whether the caller has received a part of a stream.
func (x *exchange) begun() bool { return x.rec.stream != nil && x.rec.stream.headSent }
