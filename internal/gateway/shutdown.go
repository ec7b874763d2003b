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
	over  atomic.Bool // nothing waits for an upstream that has not begun to answer

	overCtx context.Context // ends when over is set
	end     context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.overCtx, s.end = context.WithCancel(context.Background())
	return s
}

// stopRetryAfter is the retry-after time of requests at an instance that stops: others take them
// at once.
const stopRetryAfter = 50 * time.Millisecond

// stopRefusal is the refusal of a request that has not run and cannot end before its instance.
var stopRefusal = fleet.Refusal{Reason: fleet.ReasonStopping, RetryAfter: stopRetryAfter}

// setOver ends the requests of which no part was answered.
func (s *shutdown) setOver() {
	s.over.Store(true)
	s.end()
}

// stopped reports whether the request is over because the instance ends. A stream that has
// begun goes on until its connection is closed.
func (x *exchange) stopped() bool { return x.g.shutdown.over.Load() && !x.begun() }

// begun reports whether the caller has received a part of a stream.
func (x *exchange) begun() bool { return x.rec.stream != nil && x.rec.stream.headSent }
