package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
)

// limiter lets request goroutines share one sharedlimit.Limiter.
type limiter struct {
	now func() time.Duration
	mu  sync.Mutex
	l   *sharedlimit.Limiter
}

func (l *limiter) admit(org *fleet.Organisation, cost float64) sharedlimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.l.Admit(l.now(), org, cost)
}

func (l *limiter) refund(org string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l.Refund(org, cost)
}

func (l *limiter) with(f func(now time.Duration, l *sharedlimit.Limiter)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.now(), l.l)
}

// demandCounter counts the work asked for since the process started.
type demandCounter struct {
	mu    sync.Mutex
	total map[demandKey]*demandTotal
	now   func() time.Duration
}

type demandKey struct{ service, model, adapter string }

type demandTotal struct {
	work float64
	at   time.Duration // last change
}

// demandTold is how long after its last change a counter is told to peers.
const demandTold = 3 * time.Second

func (c *demandCounter) count(service, model, adapter string, work float64) {
	if model == "" || work <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := demandKey{service, model, adapter}
	t := c.total[key]
	if t == nil {
		t = &demandTotal{}
		c.total[key] = t
	}
	t.work += work
	t.at = c.now()
}

// recent returns the counters that changed lately.
func (c *demandCounter) recent() []*meshpb.ModelDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var out []*meshpb.ModelDemand
	for k, t := range c.total {
		if now-t.at <= demandTold {
			out = append(out, &meshpb.ModelDemand{Service: k.service, Model: k.model, Adapter: k.adapter, Work: t.work})
		}
	}
	return out
}

// adapterAsker asks the holder of the placement lease for adapters that no
// upstream holds.
type adapterAsker struct {
	now    func() time.Duration
	holds  func(service, model, adapter string) bool
	ask    func(ctx context.Context, service, model, adapter string)
	mu     sync.Mutex
	asked  map[demandKey]time.Duration
	active int
}

const (
	// askEvery is how often one adapter is asked for.
	askEvery = 150 * time.Millisecond
	// maxAsking bounds the calls under way.
	maxAsking = 16
)

func (a *adapterAsker) want(service, model, adapter string) {
	if a.holds(service, model, adapter) {
		return
	}
	key := demandKey{service, model, adapter}
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.asked[key]; ok && now-at < askEvery || a.active >= maxAsking {
		return
	}
	a.asked[key] = now
	a.active++
	go func() {
		a.ask(context.Background(), service, model, adapter)
		a.mu.Lock()
		a.active--
		a.mu.Unlock()
	}()
}

// lineLimit bounds the log lines of requests that ended well.
type lineLimit struct {
	perS float64
	mu   sync.Mutex
	left float64
	at   time.Duration
	// suppressed counts the lines left out.
	suppressed int64
}

func (l *lineLimit) take(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = min(l.left+(now-l.at).Seconds()*l.perS, max(l.perS, 1))
	l.at = now
	if l.left < 1 {
		l.suppressed++
		return false
	}
	l.left--
	return true
}

func loadToWire(id string, l *assign.Load) *meshpb.UpstreamLoad {
	out := &meshpb.UpstreamLoad{Upstream: id, Running: uint32(l.Running)}
	for urgency, n := range l.Pending {
		if n > 0 {
			out.Pending = append(out.Pending, &meshpb.PendingLoad{
				Urgency: uint32(urgency), Requests: uint32(n), Tokens: uint32(l.PendingTokens[urgency]),
			})
		}
	}
	return out
}

func loadFromWire(in *meshpb.UpstreamLoad) assign.Load {
	l := assign.Load{Running: int(in.Running)}
	for _, p := range in.Pending {
		if p.Urgency < assign.Urgencies {
			l.Pending[p.Urgency] += int(p.Requests)
			l.PendingTokens[p.Urgency] += int(p.Tokens)
		}
	}
	return l
}
