package gateway

import (
	"sync"
	"time"
)

const (
	// budgetPart of an instance's part of the retry budget is used: windows
	// of the platform slide, and so does the count of requests.
	budgetPart = 0.75
	// budgetSlots divides a window for counting.
	budgetSlots = 10
)

// retryBudget holds the sends of requests to a second upstream, per service,
// to a part of the requests in the same window. The part that grows with the
// requests is each instance's own; the fixed part is split evenly.
type retryBudget struct {
	settings RetrySettings
	// instances returns how many instances share the fixed part.
	instances func() int
	now       func() time.Duration

	mu       sync.Mutex
	services map[string]*retryCount
}

type retryCount struct {
	slots [budgetSlots]struct{ requests, retries int }
	at    int64 // number of the newest slot
}

func newRetryBudget(s RetrySettings, instances func() int, now func() time.Duration) *retryBudget {
	return &retryBudget{settings: s, instances: instances, now: now, services: map[string]*retryCount{}}
}

func (b *retryBudget) count(service string) *retryCount {
	c := b.services[service]
	if c == nil {
		c = &retryCount{}
		b.services[service] = c
	}
	slot := int64(b.now() / (b.settings.Window.Std() / budgetSlots))
	for c.at < slot {
		if slot-c.at > budgetSlots {
			c.at = slot - budgetSlots
		}
		c.at++
		c.slots[c.at%budgetSlots] = struct{ requests, retries int }{}
	}
	return c
}

// request counts a request of a caller.
func (b *retryBudget) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.count(service)
	c.slots[c.at%budgetSlots].requests++
}

// take takes one repeated send, if the budget has one.
func (b *retryBudget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.count(service)
	requests, retries := 0, 0
	for _, s := range c.slots {
		requests += s.requests
		retries += s.retries
	}
	allowed := budgetPart * (b.settings.Ratio*float64(requests) + b.settings.Slack/float64(max(b.instances(), 1)))
	if float64(retries)+1 > allowed {
		return false
	}
	c.slots[c.at%budgetSlots].retries++
	return true
}
