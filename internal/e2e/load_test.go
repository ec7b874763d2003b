package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

const (
	loadCallers     = 4
	tokensPerStream = 20
)

// loadGenerator sends streamed requests and lookups in turn from several callers
// and records the requests that fail.
type loadGenerator struct {
	wg        sync.WaitGroup
	stop      context.CancelFunc
	completed atomic.Int64
	mu        sync.Mutex
	failures  []string // instance and response of each failed request
}

// startLoad sends requests to the instances that targets returns, until
// stopAndWait is called or the test ends. Each request has its own connection.
func (f *fleet) startLoad(targets func() []*entry) *loadGenerator {
	ctx, stop := context.WithCancel(context.Background())
	l := &loadGenerator{stop: stop}
	f.t.Cleanup(stop)
	for n := range loadCallers {
		c := newCallerWithoutKeepAlive(f.t, f.key)
		l.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				list := targets()
				l.send(c, list[(n+i)%len(list)], fmt.Sprintf("caller %d request %d", n, i), i%2 == 0)
			}
		})
	}
	return l
}

// send sends one request and records it if it fails.
func (l *loadGenerator) send(c *caller, e *entry, prompt string, stream bool) {
	defer l.completed.Add(1)
	if stream {
		if s := c.stream(e.url(), prompt, tokensPerStream, func() {}); !s.complete() {
			l.recordFailure(e, s)
		}
		return
	}
	if res := c.get(e.url() + "/services/lab/lookup/a"); res.err != nil || res.status != http.StatusOK {
		l.recordFailure(e, res)
	}
}

func (l *loadGenerator) recordFailure(e *entry, got fmt.Stringer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, e.name+": "+got.String())
}

// awaitRequests waits until the given number of further requests have ended.
func (l *loadGenerator) awaitRequests(f *fleet, requests int64) {
	f.t.Helper()
	want := l.completed.Load() + requests
	f.eventually(callTimeout, fmt.Sprintf("%d more requests", requests), func() bool { return l.completed.Load() >= want })
}

// stopAndWait stops sending, waits for the pending requests and returns the
// failed ones.
func (l *loadGenerator) stopAndWait() []string {
	l.stop()
	l.wg.Wait()
	return l.failures
}

// allEntries returns all instances.
func (f *fleet) allEntries() []*entry { return f.entries }

// listedEntries returns the instances that the platform lists as live, which are
// those that a load balancer would use. If the list has none or cannot be read,
// it returns all instances.
func (f *fleet) listedEntries() []*entry {
	list, err := f.store.Instances(context.Background())
	if err != nil {
		return f.entries
	}
	live := map[string]bool{}
	for _, inst := range list {
		live[inst.Name] = inst.State == objectstore.InstanceLive
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

// awaitServing waits until the instances serve requests to models and to plain
// services.
func (f *fleet) awaitServing(timeout time.Duration, entries ...*entry) {
	f.t.Helper()
	c := newCaller(f.t, f.key)
	for _, e := range entries {
		f.eventually(timeout, e.name+" serves", func() bool {
			return c.get(e.url()+"/services/lab/lookup/a").status == http.StatusOK && c.stream(e.url(), "a", 1, func() {}).complete()
		})
	}
}
