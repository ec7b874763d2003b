package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

// A stopping instance sends what can be expected to end before it does.
func TestStoppingInstanceTakesWhatEndsInTime(t *testing.T) {
	const left = 5 * time.Second
	for name, c := range map[string]struct {
		kind     fleet.RouteKind
		deadline time.Duration
		measured []time.Duration
		unended  time.Duration // after so long one had not ended
		begun    bool
		want     bool
	}{
		"unknown, may be repeated":     {kind: fleet.KindIdempotent, deadline: left + 1, want: true},
		"unknown, may not be repeated": {deadline: left + 1},
		"over by itself in time":       {deadline: left, want: true},
		"short":                        {deadline: time.Minute, measured: []time.Duration{time.Second, time.Second, time.Second, time.Second}, want: true},
		"too long":                     {kind: fleet.KindIdempotent, deadline: time.Minute, measured: []time.Duration{6 * time.Second}},
		"varies":                       {deadline: time.Minute, measured: []time.Duration{time.Second, 5 * time.Second, time.Second, 5 * time.Second}},
		"one had not ended":            {deadline: time.Minute, measured: []time.Duration{time.Second, time.Second, time.Second, time.Second}, unended: 6 * time.Second},
		"a caller left at once":        {deadline: time.Minute, unended: time.Millisecond},
		"stream that has begun":        {kind: fleet.KindStream, deadline: time.Minute, begun: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := newTestExchange(0)
			x.route = &fleet.Route{Name: "r", Kind: c.kind}
			x.rec.stream = &streamState{headSent: c.begun}
			x.job = &assign.Job{Deadline: x.g.now() + c.deadline}
			for _, d := range c.measured {
				x.g.runTimes.observe(x.runKind(), d, true)
			}
			x.g.runTimes.observe(x.runKind(), c.unended, false)
			must.True(t, x.endsInTime())
			x.g.shutdown.begin(x.g.now() + left)
			must.Eq(t, c.want, x.endsInTime())
		})
	}
}

// A request that waited for an upstream until it cannot end in time gives its place back.
func TestRequestThatWaitedTooLongInAStopIsNotSent(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Minute))
	x := newTestExchange(0)
	x.g.now = func() time.Duration { return time.Duration(clock.Load()) }
	x.withUpstreams("u0")
	job := func() *assign.Job {
		at := x.g.now()
		return &assign.Job{Service: "app", Arrived: at, Objective: at + time.Minute, FirstEventDeadline: at + time.Minute, Deadline: at + time.Minute}
	}
	var running []*assign.Placement
	for {
		placed, ok := x.g.dispatcher.placeNow(job())
		if !ok {
			break
		}
		running = append(running, placed.Placement)
	}
	x.job, x.rec.stream = job(), &streamState{}
	x.g.runTimes.observe(x.runKind(), time.Second, true)
	x.g.shutdown.begin(x.g.now() + 5*time.Second)
	must.True(t, x.endsInTime())
	result := make(chan assign.QueueResult, 1)
	go func() {
		placed, _ := x.acquire(context.Background())
		result <- placed
	}()
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		x.g.dispatcher.read(func(s *assign.Scheduler) { queued = s.QueueLength() })
	}
	clock.Add(int64(3 * time.Second))
	for _, p := range running {
		x.g.dispatcher.done(p, assign.ResultOK)
	}
	placed := <-result
	must.Nil(t, placed.Placement)
	must.Eq(t, fleet.ReasonStopping, placed.Decision.Refusal.Reason)
	must.MapEmpty(t, x.g.dispatcher.localLoads())
	placed, ok := x.acquire(context.Background()) // another attempt is refused at once
	must.True(t, ok)
	must.Eq(t, fleet.ReasonStopping, placed.Decision.Refusal.Reason)
}
