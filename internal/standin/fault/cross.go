package fault

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// swapPairTimeout is how long a request waits for another one to swap responses
// with.
const swapPairTimeout = 2 * time.Second

const maxSwappedBodyBytes = 8 << 20 // bound of a request's body

// responseSwapper pairs concurrent requests and swaps their responses.
type responseSwapper struct {
	mu       sync.Mutex
	unpaired *pairedRequest // request that waits for a partner; nil if none
}

// pairedRequest is one request of a pair.
type pairedRequest struct {
	w       http.ResponseWriter
	ctx     context.Context // canceled when the client that reads w disconnects
	partner *pairedRequest
	paired  chan struct{} // closed once partner is set
	done    chan struct{} // closed once this request's handler returned
	aborted bool          // whether the handler panicked; set before done is closed
}

// serve pairs the request with a concurrent one, or serves it normally if none
// arrives within swapPairTimeout. It returns only when both handlers of a pair
// have returned, because each writes to the other's connection. Each handler runs
// with the context of the client that it writes to. The body of each request is
// read before the pairing, since writing a response to a connection closes the
// body of the request on that connection.
func (a *responseSwapper) serve(s *Set, next http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSwappedBodyBytes))
	if err != nil {
		reply.NotExecuted(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	own := &pairedRequest{w: w, ctx: r.Context(), paired: make(chan struct{}), done: make(chan struct{})}
	if !a.pair(s, own) {
		next.ServeHTTP(w, r)
		return
	}
	own.run(next, own.partner.w, r.WithContext(own.partner.ctx))
	<-own.partner.done
	if own.partner.aborted {
		panic(http.ErrAbortHandler)
	}
}

// pair waits until own has a partner. It returns false if there is none after
// swapPairTimeout.
func (a *responseSwapper) pair(s *Set, own *pairedRequest) bool {
	a.mu.Lock()
	if other := a.unpaired; other != nil {
		a.unpaired = nil
		a.mu.Unlock()
		s.Consume(func(f *Faults) *int { return &f.SwapResponses })
		own.partner, other.partner = other, own
		close(other.paired)
		return true
	}
	a.unpaired = own
	a.mu.Unlock()
	timer := time.NewTimer(swapPairTimeout)
	defer timer.Stop()
	select {
	case <-own.paired:
		return true
	case <-timer.C:
		return a.withdraw(own)
	}
}

// withdraw takes back the unpaired request own and returns false. It returns true
// if a partner arrived in the meantime.
func (a *responseSwapper) withdraw(own *pairedRequest) bool {
	a.mu.Lock()
	stillUnpaired := a.unpaired == own
	if stillUnpaired {
		a.unpaired = nil
	}
	a.mu.Unlock()
	if stillUnpaired {
		return false
	}
	<-own.paired
	return true
}

// run serves r with the response going to w, and records whether the handler
// panicked.
func (own *pairedRequest) run(next http.Handler, w http.ResponseWriter, r *http.Request) {
	defer close(own.done)
	defer func() {
		if recover() != nil {
			own.aborted = true
		}
	}()
	next.ServeHTTP(w, r)
}
