// Package observe counts what reaches an upstream's stand-in, as the truth
// that proofs are checked against.
package observe

import (
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Path is where the number of requests with credentials is shown.
const Path = "/seen-credentials"

// Seen is the answer at Path.
type Seen struct {
	Count uint64 `json:"count"` // requests that carried Authorization or X-Api-Key
}

// Arrivals counts the work that came.
type Arrivals struct {
	Work            uint64 `json:"work"`             // requests for work
	AfterLeaving    uint64 `json:"after_leaving"`    // of these, since the upstream leaves
	LastAfterLeftMS int64  `json:"last_after_ms"`    // how long after leaving the last came
	LeavingSinceMS  int64  `json:"leaving_since_ms"` // how long the upstream has been leaving
}

// Counter counts requests. It is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	seen     uint64
	arrivals Arrivals
	leaving  time.Time
}

// Credentials counts the requests that carry credentials.
func (c *Counter) Credentials(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "" {
			c.mu.Lock()
			c.seen++
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP answers with Seen.
func (c *Counter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	seen := c.seen
	c.mu.Unlock()
	reply.JSON(w, http.StatusOK, Seen{Count: seen})
}

// SetLeaving notes that the upstream leaves, or no longer does.
func (c *Counter) SetLeaving(leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !leaving:
		c.leaving = time.Time{}
	case c.leaving.IsZero():
		c.leaving = time.Now()
	}
}

// Work counts the requests for work.
func (c *Counter) Work(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.arrivals.Work++
		if !c.leaving.IsZero() {
			c.arrivals.AfterLeaving++
			c.arrivals.LastAfterLeftMS = time.Since(c.leaving).Milliseconds()
		}
		c.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// Arrivals returns the counts so far.
func (c *Counter) Arrivals() Arrivals {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.arrivals
	if !c.leaving.IsZero() {
		a.LeavingSinceMS = time.Since(c.leaving).Milliseconds()
	}
	return a
}
