package gateway

import (
	"errors"
	"sync"
)

const (
	// upstreamBodyBytes is how much of large bodies all instances together send to one
	// upstream at a time: an upstream ends if the requests that it holds exceed its memory.
	upstreamBodyBytes = 128 << 20
	// largeBodyBytes is the size from which bodies count. Smaller ones are bounded by the
	// slots and queues of upstreams.
	largeBodyBytes = 64 << 10
)

// errUpstreamBytes means that a request was not sent because its upstream has as much of large
// bodies as it may.
var errUpstreamBytes = errors.New("gateway: too many bytes in flight to the upstream")

// inFlight counts the bytes of large bodies at each upstream. It is safe for concurrent use.
type inFlight struct {
	mu    sync.Mutex
	bytes map[string]int64 // by upstream ID, without zeros
}

func newInFlight() *inFlight { return &inFlight{bytes: map[string]int64{}} }

// take counts a body of n bytes and reports whether it may be sent, within limit bytes. One
// body may always be sent.
func (f *inFlight) take(id string, n, limit int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if used := f.bytes[id]; used > 0 && used+n > limit {
		return false
	}
	f.bytes[id] += n
	return true
}

// release ends the count of a body.
func (f *inFlight) release(id string, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bytes[id] -= n; f.bytes[id] <= 0 {
		delete(f.bytes, id)
	}
}

// takeBytes counts the body of an attempt at its upstream and reports whether it may be sent.
// Each instance has an even part of the bound.
func (x *exchange) takeBytes(a *attempt) bool {
	n := int64(bodyBytes(x.body))
	if n < largeBodyBytes {
		return true
	}
	if !x.g.inFlight.take(a.Decision.Upstream.ID, n, upstreamBodyBytes/int64(x.g.budgetInstances())) {
		x.g.metrics.Count("upstream_bytes_denied")
		return false
	}
	a.inFlight = n
	return true
}

// releaseBytes ends the count of the body of an attempt.
func (x *exchange) releaseBytes(a *attempt) {
	if a.inFlight > 0 {
		x.g.inFlight.release(a.Decision.Upstream.ID, a.inFlight)
		a.inFlight = 0
	}
}
