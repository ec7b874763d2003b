package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
)

// limiter is a sharedlimit.Limiter that is safe for concurrent use.
type limiter struct {
	now   func() time.Duration
	mu    sync.Mutex
	inner *sharedlimit.Limiter
}

func (l *limiter) admit(org *fleet.Organisation, cost float64) sharedlimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Admit(l.now(), org, cost)
}

func (l *limiter) charge(org string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner.Charge(org, cost)
}

func (l *limiter) refund(org string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner.Refund(org, cost)
}

func (l *limiter) withLock(f func(now time.Duration, l *sharedlimit.Limiter)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.now(), l.inner)
}

// demandMeter is a residency.Meter that is safe for concurrent use.
type demandMeter struct {
	now   func() time.Duration
	mu    sync.Mutex
	meter *residency.Meter
}

func (d *demandMeter) count(service, model, adapter string, work float64) {
	if model == "" || work <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.meter.Count(now, residency.ModelKey{Service: service, Model: model}, work)
	if adapter != "" {
		d.meter.Count(now, residency.ModelKey{Service: service, Model: model, Adapter: adapter}, work)
	}
}

func (d *demandMeter) rates() map[residency.ModelKey]residency.Rates {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meter.Rates(d.now())
}

// adapterRequester asks the holder of the placement lease to load adapters that
// no upstream holds.
type adapterRequester struct {
	now      func() time.Duration
	hasModel func(service, model, adapter string) bool
	send     func(ctx context.Context, adapter residency.ModelKey)
	mu       sync.Mutex
	sentAt   map[residency.ModelKey]time.Duration
	inFlight int
}

const (
	// adapterRequestInterval is the minimum time between two requests for the
	// same adapter.
	adapterRequestInterval = 150 * time.Millisecond
	// maxAdapterRequests bounds the number of concurrent calls.
	maxAdapterRequests = 16
)

func (a *adapterRequester) requestIfMissing(service, model, adapter string) {
	if a.hasModel(service, model, adapter) {
		return
	}
	key := residency.ModelKey{Service: service, Model: model, Adapter: adapter}
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.sentAt[key]; ok && now-at < adapterRequestInterval || a.inFlight >= maxAdapterRequests {
		return
	}
	maps.DeleteFunc(a.sentAt, func(_ residency.ModelKey, at time.Duration) bool { return now-at >= adapterRequestInterval })
	a.sentAt[key] = now
	a.inFlight++
	go func() {
		a.send(context.Background(), key)
		a.mu.Lock()
		a.inFlight--
		a.mu.Unlock()
	}()
}

// logRateLimiter is a token bucket for the log lines of successful requests.
type logRateLimiter struct {
	linesPerS  float64
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Duration
}

func (l *logRateLimiter) allow(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+(now-l.refilledAt).Seconds()*l.linesPerS, max(l.linesPerS, 1))
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
