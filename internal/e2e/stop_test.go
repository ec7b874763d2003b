package e2e

import (
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/observe"
	"github.com/shoenig/test/must"
)

// TestPlannedStopOfAnInstance checks that an instance that receives SIGTERM under
// load finishes its streams, and that callers who choose instances from the
// platform's instance list, which lags behind, lose no request.
func TestPlannedStopOfAnInstance(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.decodeMS = 20
	f := startFleet(t, opts)
	f.setPlatformFaults(`{"instance_lag_ms": 300}`)
	l := f.startLoad(f.listedEntries)
	l.awaitRequests(f, 20)
	for _, name := range []string{"north-1", "south-2"} {
		e := f.entry(name)
		longStream := make(chan streamResponse, 1)
		started := make(chan bool, 1)
		go func() {
			longStream <- newCallerWithoutKeepAlive(t, f.key).stream(e.url(), "long "+name, 100, func() {
				select {
				case started <- true:
				default:
				}
			})
		}()
		<-started
		must.Eq(t, 0, e.proc.Stop())
		s := <-longStream
		must.True(t, s.complete(), must.Sprint(s))
	}
	l.awaitRequests(f, 20)
	must.SliceEmpty(t, l.stopAndWait())
}

// TestLeavingUpstreamGetsNoNewWork checks that an upstream that reports that it is
// leaving receives no new requests after a few seconds, finishes the running ones
// and stops, and that no request is lost.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.decodeMS = 10
	f := startFleet(t, opts)
	l := f.startLoad(f.allEntries)
	l.awaitRequests(f, 40)
	leaving := f.upstreams["north"]
	for _, base := range []string{leaving.engineURL, leaving.plainURL} {
		must.Positive(t, readJSON[observe.Arrivals](t, base+"/counters").Work, must.Sprint(base))
		SetFaults(t, base, `{"leaving": true}`)
	}
	const probeRequests = 60 // requests to the fleet during which the leaving upstreams must receive none
	workArrived := func() uint64 {
		return readJSON[observe.Arrivals](t, leaving.engineURL+"/counters").Work + readJSON[observe.Arrivals](t, leaving.plainURL+"/counters").Work
	}
	f.eventually(promptTimeout, "no new work at the leaving upstreams", func() bool {
		arrivedBefore := workArrived()
		l.awaitRequests(f, probeRequests)
		return workArrived() == arrivedBefore
	})
	arrivedBefore := workArrived()
	l.awaitRequests(f, probeRequests)
	must.Eq(t, arrivedBefore, workArrived())
	for _, base := range []string{leaving.engineURL, leaving.plainURL} {
		t.Logf("%+v", readJSON[observe.Arrivals](t, base+"/counters"))
	}
	must.Eq(t, 0, leaving.proc.Stop())
	l.awaitRequests(f, probeRequests)
	must.SliceEmpty(t, l.stopAndWait())
}
