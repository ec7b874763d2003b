package weights

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// elapsed runs n loads concurrently and returns the time until all are done.
func elapsed(t *testing.T, n int, load func() error) time.Duration {
	t.Helper()
	start := time.Now()
	var loads sync.WaitGroup
	for range n {
		loads.Go(func() { must.NoError(t, load()) })
	}
	loads.Wait()
	return time.Since(start)
}

func TestModelLoadsKeepRateAndConcurrency(t *testing.T) {
	cases := []struct {
		name string
		opts Options
		want time.Duration
	}{
		{"no limits", Options{LoadTime: time.Second}, time.Second},
		{"rate", Options{LoadTime: time.Second, LoadsPerSecond: 2}, 2500 * time.Millisecond},
		{"concurrency", Options{LoadTime: time.Second, InFlight: 2}, 2 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(tc.opts)
				load := func() error { return s.loadModel(context.Background(), LoadReply{Model: "m"}) }
				must.Eq(t, tc.want, elapsed(t, 4, load))
			})
		})
	}
}

func TestAdapterLoadsSlowDownAboveTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{AdapterInFlight: 4, AdapterMin: 5 * time.Millisecond, AdapterMax: 5 * time.Millisecond})
		load := func() error {
			return s.loadAdapter(context.Background(), LoadReply{Model: "m", Adapter: "a"})
		}
		must.Eq(t, 5*time.Millisecond, elapsed(t, 4, load))
		must.Eq(t, 10*time.Millisecond, elapsed(t, 8, load))
		must.Eq(t, 8, s.counters.MaxAdaptersInFlight)
	})
}
