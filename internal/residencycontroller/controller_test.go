package residencycontroller

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/shoenig/test/must"
)

// fakeEngines serves one engine without models and counts the calls.
type fakeEngines struct {
	mu       sync.Mutex
	outcome  fleet.OrderOutcome
	sequence int64
	orders   []fleet.Order
	reports  int
	steps    int
	stepTime time.Duration
}

// demand is called once in each step and takes stepTime.
func (f *fakeEngines) demand() map[residency.ModelKey]residency.Rates {
	f.mu.Lock()
	f.steps++
	took := f.stepTime
	f.mu.Unlock()
	time.Sleep(took)
	return nil
}

func (f *fakeEngines) counts() (reports, steps int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports, f.steps
}

func (f *fakeEngines) FetchReport(context.Context, *fleet.Upstream) (fleet.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	return fleet.Report{UpstreamID: "e", Sequence: f.sequence}, nil
}

func (f *fakeEngines) SendOrder(_ context.Context, _ *fleet.Upstream, o fleet.Order) (fleet.OrderOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return f.outcome, nil
}

func (f *fakeEngines) receivedOrders() []fleet.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fleet.Order(nil), f.orders...)
}

// fakeLease is held under one fencing token until a time.
type fakeLease struct {
	mu    sync.Mutex
	now   func() time.Duration
	fence uint64
	until time.Duration
}

func (l *fakeLease) HeldFor(rest time.Duration) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.now()+rest < l.until
}

func (l *fakeLease) hold(fence uint64, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.until = fence, until
}

func runWithLease(t *testing.T, outcome fleet.OrderOutcome, scenario func(l *fakeLease, e *fakeEngines, now func() time.Duration)) {
	t.Helper()
	runController(t, outcome, func(_ *Controller, l *fakeLease, e *fakeEngines, now func() time.Duration) { scenario(l, e, now) })
}

func runController(t *testing.T, outcome fleet.OrderOutcome, scenario func(d *Controller, l *fakeLease, e *fakeEngines, now func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Second }
		config := &fleet.Config{Services: map[string]*fleet.Service{"chat": {Name: "chat", Engine: &fleet.Engine{
			Slots: 4, MemoryMB: 100, LoadsPerS: 2, ModelNames: []string{"m"},
			Models: map[string]*fleet.Model{"m": {Name: "m", WeightsMB: 50, StoreLoadTime: time.Second}},
		}}}}
		engines, lease := &fakeEngines{outcome: outcome}, &fakeLease{now: now}
		d := New(Options{
			Name: "n1", Lease: lease, Engines: engines, Config: func() *fleet.Config { return config },
			Upstreams: func() []fleet.Upstream { return []fleet.Upstream{{ID: "e", Service: "chat", Zone: "z"}} },
			Requests:  func() map[string]int { return nil }, Limits: func() map[string]float64 { return nil }, Pauses: func() map[string]time.Duration { return nil }, Demand: engines.demand,
			OnStep: func(uint64, []residency.EngineState) {}, OnDraining: func(string, int64) {}, LoadWindow: 5 * time.Second,
			Now: now, Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		scenario(d, lease, engines, now)
		cancel()
		must.NoError(t, <-done)
	})
}

func TestOrdersAreSentWhileTheLeaseIsHeld(t *testing.T) {
	runWithLease(t, fleet.OrderAccepted, func(l *fakeLease, e *fakeEngines, now func() time.Duration) {
		time.Sleep(2 * time.Second)
		must.SliceEmpty(t, e.receivedOrders())
		l.hold(7, now()+10*time.Second)
		time.Sleep(2 * time.Second)
		must.SliceNotEmpty(t, e.receivedOrders())
		must.Eq(t, 7, e.receivedOrders()[0].FencingToken)
		must.Eq(t, "n1", e.receivedOrders()[0].Holder)
	})
}

// A refusal of an order because of a newer holder ends the leadership: no
// further order carries the old fencing token, even if the lease still counts
// as held. Orders are sent again in the next leadership.
func TestNewerHolderEndsATenure(t *testing.T) {
	runWithLease(t, fleet.OrderFenced, func(l *fakeLease, e *fakeEngines, now func() time.Duration) {
		l.hold(7, now()+time.Hour)
		time.Sleep(10 * time.Second)
		must.Len(t, 1, e.receivedOrders())
		l.hold(9, now()+time.Hour)
		time.Sleep(10 * time.Second)
		must.Len(t, 2, e.receivedOrders())
		must.Eq(t, 9, e.receivedOrders()[1].FencingToken)
	})
}

func TestNoOrderNearTheEndOfTheLease(t *testing.T) {
	runWithLease(t, fleet.OrderUnknown, func(l *fakeLease, e *fakeEngines, now func() time.Duration) {
		l.hold(7, now()+minLeaseRemaining)
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, e.receivedOrders())
	})
}

// With slow steps and a flood of adapter requests, as in a large fleet, steps
// must take a bounded share of the time, and reports must be read and applied
// as without the flood.
func TestFloodOfWishes(t *testing.T) {
	reports := map[bool]int{}
	for _, flood := range []bool{false, true} {
		runController(t, fleet.OrderAccepted, func(d *Controller, l *fakeLease, e *fakeEngines, now func() time.Duration) {
			e.stepTime = 100 * time.Millisecond
			l.hold(7, now()+time.Hour)
			for range 2000 { // 20 s
				if flood {
					d.RequestAdapter(residency.ModelKey{Service: "chat", Model: "m", Adapter: "a"})
				}
				time.Sleep(10 * time.Millisecond)
			}
			var steps int
			reports[flood], steps = e.counts()
			must.LessEq(t, 20*10/stepTimeDivisor+1, steps)
		})
	}
	must.Positive(t, reports[false])
	must.GreaterEq(t, reports[false], reports[true])
}
