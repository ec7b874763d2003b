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

// crossWait is how long a request waits for another to cross answers with.
const crossWait = 2 * time.Second

const maxCrossedBytes = 8 << 20 // of a request's body

// crossing pairs concurrent requests and swaps their answers.
type crossing struct {
	mu      sync.Mutex
	waiting *side
}

// side is one request of a pair.
type side struct {
	w       http.ResponseWriter
	ctx     context.Context // of the client at w
	partner *side
	paired  chan struct{} // closed once partner is set
	done    chan struct{} // closed once this side's handler returned
	aborted bool          // set before done is closed
}

// serve pairs the request with a concurrent one, or serves it alone if none
// comes in time. Neither side returns before both handlers are done, because
// each writes to the other's connection. Each handler ends with the client that
// it writes to, and has read its own body before the other writes, since an
// answer closes the body of the request on its connection.
func (c *crossing) serve(s *Set, next http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCrossedBytes))
	if err != nil {
		reply.NotRun(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	own := &side{w: w, ctx: r.Context(), paired: make(chan struct{}), done: make(chan struct{})}
	if !c.pair(s, own) {
		next.ServeHTTP(w, r)
		return
	}
	own.run(next, own.partner.w, r.WithContext(own.partner.ctx))
	<-own.partner.done
	if own.partner.aborted {
		panic(http.ErrAbortHandler)
	}
}

// pair returns once own has a partner, or false after crossWait.
func (c *crossing) pair(s *Set, own *side) bool {
	c.mu.Lock()
	if other := c.waiting; other != nil {
		c.waiting = nil
		c.mu.Unlock()
		s.Take(func(f *Faults) *int { return &f.CrossAnswers })
		own.partner, other.partner = other, own
		close(other.paired)
		return true
	}
	c.waiting = own
	c.mu.Unlock()
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case <-own.paired:
		return true
	case <-timer.C:
		return c.giveUp(own)
	}
}

// giveUp withdraws own, unless a partner came at the last moment.
func (c *crossing) giveUp(own *side) bool {
	c.mu.Lock()
	alone := c.waiting == own
	if alone {
		c.waiting = nil
	}
	c.mu.Unlock()
	if alone {
		return false
	}
	<-own.paired
	return true
}

// run serves the request onto a writer and notes an aborted handler.
func (own *side) run(next http.Handler, w http.ResponseWriter, r *http.Request) {
	defer close(own.done)
	defer func() {
		if recover() != nil {
			own.aborted = true
		}
	}()
	next.ServeHTTP(w, r)
}
