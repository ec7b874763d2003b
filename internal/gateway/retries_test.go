package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/shoenig/test/must"
)

// newTestExchange returns an exchange on a repeatable route with a budget of n
// retries.
func newTestExchange(n int) *exchange {
	now := func() time.Duration { return time.Minute }
	budget := newRetryBudget(RetrySettings{FixedPerWindow: float64(n) / budgetSafetyFactor, Window: settings.Duration(10 * time.Second)}, func() int { return 1 }, now)
	return &exchange{
		g: &Gateway{now: now, retryBudget: budget}, ctx: context.Background(), service: "app",
		route: &fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 9}, job: &assign.Job{Deadline: time.Hour},
	}
}

// endOne ends an attempt as serve does and reports whether another may follow.
func (x *exchange) endOne(o outcome) bool {
	a := &attempt{
		QueueResult: assign.QueueResult{Decision: assign.Decision{Upstream: &fleet.Upstream{ID: "u"}}},
		cancel:      func() {}, retry: x.sent > 0,
	}
	return x.mayRetry(x.finishAttempt(a, o))
}

// A retry that no upstream received is not lost to the budget.
func TestUnsentRetryKeepsTheBudget(t *testing.T) {
	x := newTestExchange(1)
	must.True(t, x.endOne(outcomeUnknown))
	must.True(t, x.endOne(outcomeNotSent))
	must.True(t, x.endOne(outcomeNotSent))
	must.False(t, x.endOne(outcomeUnknown)) // the one retry was sent
	must.Eq(t, deniedBudget, x.rec.retryDenied)
}

// A retry leaves the window with the slot in which it was taken, also if it was
// returned later.
func TestReturnedRetryIsNotReturnedTwice(t *testing.T) {
	at := time.Minute
	b := newRetryBudget(RetrySettings{FixedPerWindow: 2 / budgetSafetyFactor, Window: settings.Duration(10 * time.Second)}, func() int { return 1 }, func() time.Duration { return at })
	taken, ok := b.takeRetry("app")
	must.True(t, ok)
	at += 1100 * time.Millisecond // the next slot
	b.returnRetry("app", taken)
	at += 9 * time.Second // the first slot has left the window
	for range 2 {
		_, ok = b.takeRetry("app")
		must.True(t, ok)
	}
	_, ok = b.takeRetry("app")
	must.False(t, ok)
}

// A handover that the budget denies leaves the scheduler as it was.
func TestDeniedHandoverDoesNotUseUpAProbe(t *testing.T) {
	at := time.Minute
	now := func() time.Duration { return at }
	x := newTestExchange(0)
	x.g.now = now
	x.g.dispatcher = newDispatcher(assign.Options{}, now)
	x.g.dispatcher.setUpstreams(&fleet.Config{}, []fleet.Upstream{{ID: "u0", Service: "app", Slots: 4}, {ID: "u1", Service: "app", Slots: 4}})
	job := func() *assign.Job {
		return &assign.Job{Service: "app", TriedUpstreams: []string{"u0"}, Arrived: at, Objective: at + time.Second, FirstEventDeadline: at + 2*time.Second, Deadline: at + 5*time.Second}
	}
	for range 3 {
		p, ok := x.g.dispatcher.placeNow(job())
		must.True(t, ok)
		x.g.dispatcher.done(p.Placement, assign.ResultFailed)
	}
	at += 2 * time.Second // u1 is no longer ejected and due for a probe
	must.True(t, x.g.dispatcher.sched.HasEligible(at, job()))
	x.job = job()
	must.False(t, x.handOver(context.Background())) // no retry in the budget
	at += 200 * time.Millisecond
	must.True(t, x.g.dispatcher.sched.HasEligible(at, job()))
}

// withUpstreams gives the exchange a dispatcher with upstreams that are free.
func (x *exchange) withUpstreams(ids ...string) *exchange {
	x.g.dispatcher = newDispatcher(assign.Options{}, x.g.now)
	var list []fleet.Upstream
	for _, id := range ids {
		list = append(list, fleet.Upstream{ID: id, Service: "app", Slots: 4})
	}
	x.g.dispatcher.setUpstreams(&fleet.Config{}, list)
	x.job.Service = "app"
	return x
}

// A handover leaves the route's maximum number of attempts unchanged.
func TestHandoverDoesNotExceedTheAttempts(t *testing.T) {
	x := newTestExchange(1).withUpstreams("u0")
	x.sent = x.route.MaxAttempts - 1 // and one is open
	must.False(t, x.handOver(context.Background()))
	must.True(t, x.takeRetry()) // the budget is untouched
}

// A stream of which the caller has a part is queued as in progress.
func TestStartedStreamIsQueuedAsInProgress(t *testing.T) {
	x := newTestExchange(0).withUpstreams("u0")
	x.rec.stream = &streamState{headSent: true, lastEventAt: time.Minute}
	x.patience = 2 * time.Second
	_, ok := x.acquire(context.Background())
	must.True(t, ok)
	must.True(t, x.job.InProgress)
	must.Eq(t, time.Minute+2*time.Second, x.job.FirstEventDeadline)
}
