package e2e

import (
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/observe"
	"github.com/shoenig/test/must"
)

// TestPlannedStopOfAnInstance: an instance that is told to stop under load
// finishes its streams, and callers who follow the platform's list, which lags,
// lose no request.
func TestPlannedStopOfAnInstance(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.decodeMS = 20
	f := startFleet(t, opts)
	f.faults(`{"instance_lag_ms": 300}`)
	l := f.startLoad(f.listed)
	l.awaitMore(f, 20)
	for _, name := range []string{"north-1", "south-2"} {
		e := f.entry(name)
		long := make(chan streamed, 1)
		begun := make(chan bool, 1)
		go func() {
			long <- newFreshCaller(t, f.key).stream(e.url(), "long "+name, 100, func() {
				select {
				case begun <- true:
				default:
				}
			})
		}()
		<-begun
		must.Eq(t, 0, e.proc.Stop())
		s := <-long
		must.True(t, s.whole(), must.Sprint(s))
	}
	l.awaitMore(f, 20)
	must.SliceEmpty(t, l.end())
}

// TestLeavingUpstreamGetsNoNewWork: an upstream that leaves gets nothing new
// after a few seconds, finishes what it has and stops, and no request is lost.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.decodeMS = 10
	f := startFleet(t, opts)
	l := f.startLoad(f.all)
	l.awaitMore(f, 40)
	leaving := f.upstreams["north"]
	for _, base := range []string{leaving.engine, leaving.plain} {
		must.Positive(t, readJSON[observe.Arrivals](t, base+"/counters").Work, must.Sprint(base))
		Faults(t, base, `{"leaving": true}`)
	}
	const quiet = 60 // requests elsewhere that show that nothing new comes
	arrived := func() uint64 {
		return readJSON[observe.Arrivals](t, leaving.engine+"/counters").Work + readJSON[observe.Arrivals](t, leaving.plain+"/counters").Work
	}
	f.eventually(promptBound, "no new work at the leaving upstreams", func() bool {
		before := arrived()
		l.awaitMore(f, quiet)
		return arrived() == before
	})
	before := arrived()
	l.awaitMore(f, quiet)
	must.Eq(t, before, arrived())
	for _, base := range []string{leaving.engine, leaving.plain} {
		t.Logf("%+v", readJSON[observe.Arrivals](t, base+"/counters"))
	}
	must.Eq(t, 0, leaving.proc.Stop())
	l.awaitMore(f, quiet)
	must.SliceEmpty(t, l.end())
}
