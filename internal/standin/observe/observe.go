// Package observe counts the requests that reach the stand-in of an upstream:
// those that carry credentials, and those that arrive after the upstream began
// to leave. Tests compare the counts with what the system under test reports.
package observe

import (
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// CredentialsPath is the HTTP path that shows the number of requests with
// credentials.
const CredentialsPath = "/seen-credentials"

// CredentialCount is the response body at CredentialsPath.
type CredentialCount struct {
	Count uint64 `json:"count"` // requests that carried Authorization or X-Api-Key
}

// Arrivals counts the requests for work that arrived.
type Arrivals struct {
	Work               uint64 `json:"work"`             // requests for work
	AfterLeaving       uint64 `json:"after_leaving"`    // of these, requests that arrived while the upstream was leaving
	LastAfterLeavingMS int64  `json:"last_after_ms"`    // time from the start of leaving to the last such request
	LeavingSinceMS     int64  `json:"leaving_since_ms"` // how long the upstream has been leaving
}

// Counter counts requests. It is safe for concurrent use.
type Counter struct {
	mu              sync.Mutex
	withCredentials uint64
	arrivals        Arrivals
	leavingSince    time.Time
}

// CountCredentials returns a handler that counts the requests with credentials and
// calls next.
func (c *Counter) CountCredentials(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "" {
			c.mu.Lock()
			c.withCredentials++
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP writes CredentialCount as JSON.
func (c *Counter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	seen := c.withCredentials
	c.mu.Unlock()
	reply.JSON(w, http.StatusOK, CredentialCount{Count: seen})
}

// SetLeaving records that the upstream is leaving, or no longer is.
func (c *Counter) SetLeaving(leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !leaving:
		c.leavingSince = time.Time{}
	case c.leavingSince.IsZero():
		c.leavingSince = time.Now()
	}
}

// CountWork returns a handler that counts the requests for work and calls next.
func (c *Counter) CountWork(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.arrivals.Work++
		if !c.leavingSince.IsZero() {
			c.arrivals.AfterLeaving++
			c.arrivals.LastAfterLeavingMS = time.Since(c.leavingSince).Milliseconds()
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
	if !c.leavingSince.IsZero() {
		a.LeavingSinceMS = time.Since(c.leavingSince).Milliseconds()
	}
	return a
}
