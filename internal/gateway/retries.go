package gateway

import (
	"sync"
	"time"
)

const (
	// budgetSafetyFactor is the fraction of its part of the retry budget that an
	// instance uses. The platform counts requests and retries over a sliding
	// window of its own that is not aligned with the slots here, and its budget
	// must not be exceeded in that window either.
	budgetSafetyFactor = 0.75
	// slotsPerWindow is the number of time slots into which a window is divided
	// for counting.
	slotsPerWindow = 10
)

// retryBudget limits, for each service, how often requests are retried at another
// upstream. In each window it allows a fraction of the number of requests plus a
// fixed number. Each instance computes the fraction from its own requests; the
// fixed number is divided evenly among the instances.
type retryBudget struct {
	settings RetrySettings
	// instances returns the number of instances that share the fixed part.
	instances func() int
	now       func() time.Duration

	mu       sync.Mutex
	services map[string]*slidingCount
}

// slidingCount counts the requests and retries of one service in a sliding
// window.
type slidingCount struct {
	slots  [slotsPerWindow]struct{ requests, retries int }
	newest int64 // number of the newest slot
}

func newRetryBudget(s RetrySettings, instances func() int, now func() time.Duration) *retryBudget {
	return &retryBudget{settings: s, instances: instances, now: now, services: map[string]*slidingCount{}}
}

// advance returns the counts of a service after dropping the slots that have
// left the window.
func (b *retryBudget) advance(service string) *slidingCount {
	c := b.services[service]
	if c == nil {
		c = &slidingCount{}
		b.services[service] = c
	}
	slot := int64(b.now() / (b.settings.Window.Std() / slotsPerWindow))
	for c.newest < slot {
		if slot-c.newest > slotsPerWindow {
			c.newest = slot - slotsPerWindow
		}
		c.newest++
		c.slots[c.newest%slotsPerWindow] = struct{ requests, retries int }{}
	}
	return c
}

// countRequest counts one request of a caller.
func (b *retryBudget) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	c.slots[c.newest%slotsPerWindow].requests++
}

// retry is one retry that was taken from the budget.
type retry struct{ slot int64 }

// takeRetry takes one retry from the budget and reports whether it had one.
func (b *retryBudget) takeRetry(service string) (retry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	requests, retries := 0, 0
	for _, s := range c.slots {
		requests += s.requests
		retries += s.retries
	}
	allowed := budgetSafetyFactor * (b.settings.Ratio*float64(requests) + b.settings.FixedPerWindow/float64(max(b.instances(), 1)))
	if float64(retries)+1 > allowed {
		return retry{}, false
	}
	c.slots[c.newest%slotsPerWindow].retries++
	return retry{c.newest}, true
}

// returnRetry returns a retry that was taken from the budget and not sent.
func (b *retryBudget) returnRetry(service string, r retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.advance(service); c.newest-r.slot < slotsPerWindow {
		c.slots[r.slot%slotsPerWindow].retries--
	}
}
