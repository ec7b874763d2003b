package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

const (
	loadCallers = 4
	loadTokens  = 20
)

// load is a mix of streams and lookups over the instances that a balancer
// would use.
type load struct {
	wg     sync.WaitGroup
	stop   context.CancelFunc
	ended  atomic.Int64
	mu     sync.Mutex
	failed []string
}

// startLoad sends requests to the instances that targets returns, until it is
// ended. Requests do not share connections.
func (f *fleet) startLoad(targets func() []*entry) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	f.t.Cleanup(stop)
	for n := range loadCallers {
		c := newFreshCaller(f.t, f.key)
		l.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				list := targets()
				l.one(c, list[(n+i)%len(list)], fmt.Sprintf("caller %d request %d", n, i), i%2 == 0)
			}
		})
	}
	return l
}

// one sends one request and notes whether its answer is whole.
func (l *load) one(c *caller, e *entry, prompt string, stream bool) {
	defer l.ended.Add(1)
	if stream {
		if s := c.stream(e.url(), prompt, loadTokens, func() {}); !s.whole() {
			l.fail(e, s)
		}
		return
	}
	if a := c.get(e.url() + "/services/lab/lookup/a"); a.err != nil || a.status != http.StatusOK {
		l.fail(e, a)
	}
}

func (l *load) fail(e *entry, got fmt.Stringer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, e.name+": "+got.String())
}

// awaitMore waits until so many more requests have ended.
func (l *load) awaitMore(f *fleet, requests int64) {
	f.t.Helper()
	until := l.ended.Load() + requests
	f.eventually(callTimeout, fmt.Sprintf("%d more requests", requests), func() bool { return l.ended.Load() >= until })
}

// end stops the load and returns the requests that failed.
func (l *load) end() []string {
	l.stop()
	l.wg.Wait()
	return l.failed
}

// all returns all instances.
func (f *fleet) all() []*entry { return f.entries }

// listed returns the instances that the platform's list shows as live, as a
// balancer sees it.
func (f *fleet) listed() []*entry {
	list, err := f.store.Instances(context.Background())
	if err != nil {
		return f.entries
	}
	live := map[string]bool{}
	for _, inst := range list {
		live[inst.Name] = inst.State == platform.InstanceLive
	}
	var entries []*entry
	for _, e := range f.entries {
		if live[e.name] {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return f.entries
	}
	return entries
}

// awaitServing waits until instances serve models and plain services.
func (f *fleet) awaitServing(within time.Duration, entries ...*entry) {
	f.t.Helper()
	c := newCaller(f.t, f.key)
	for _, e := range entries {
		f.eventually(within, e.name+" serves", func() bool {
			return c.get(e.url()+"/services/lab/lookup/a").status == http.StatusOK && c.stream(e.url(), "a", 1, func() {}).whole()
		})
	}
}
