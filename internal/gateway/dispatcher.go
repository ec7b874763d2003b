package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
)

// busyTickPeriod is the interval at which the scheduler runs while requests are
// queued and nothing else triggers it.
const busyTickPeriod = 15 * time.Millisecond

// idleTickPeriod is the interval at which the scheduler checks the age of the
// loads that peers reported, while no request is queued.
const idleTickPeriod = 250 * time.Millisecond

// dispatcher serializes access to one assign.Scheduler, which the goroutines of
// all requests share.
type dispatcher struct {
	now func() time.Duration

	mu      sync.Mutex
	sched   *assign.Scheduler
	waiters map[*assign.Job]waiter
	wake    chan struct{}
	ended   func(p *assign.Placement, r assign.Result, full bool) // called after the end of a placement
}

// waiter is a request whose job is queued.
type waiter struct {
	ready chan assign.QueueResult
	held  func() (fleet.Refusal, bool) // whether the request is held back
}

func newDispatcher(opts assign.Options, now func() time.Duration) *dispatcher {
	return &dispatcher{
		now: now, sched: assign.New(opts), waiters: map[*assign.Job]waiter{}, wake: make(chan struct{}, 1),
		ended: func(*assign.Placement, assign.Result, bool) {},
	}
}

// acquire waits until the scheduler places the job at an upstream or refuses
// it. ok is false if ctx ended first. held returns whether the request is held back.
func (d *dispatcher) acquire(ctx context.Context, j *assign.Job, held func() (fleet.Refusal, bool)) (result assign.QueueResult, ok bool) {
	d.mu.Lock()
	placement, decision := d.sched.Submit(d.now(), j)
	if decision != nil {
		d.mu.Unlock()
		return assign.QueueResult{Decision: *decision, Placement: placement}, true
	}
	ready := make(chan assign.QueueResult, 1)
	d.waiters[j] = waiter{ready, held}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	select {
	case result = <-ready:
		return result, true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sched.Cancel(j) {
		delete(d.waiters, j)
		return assign.QueueResult{}, false
	}
	if result = <-ready; result.Placement != nil {
		d.sched.Release(d.now(), result.Placement, assign.ResultUnknown)
	}
	return assign.QueueResult{}, false
}

// run calls the scheduler periodically, and when a job is queued, until ctx
// ends.
func (d *dispatcher) run(ctx context.Context) error {
	timer := time.NewTimer(idleTickPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-d.wake:
		}
		period := idleTickPeriod
		d.update(func(now time.Duration, s *assign.Scheduler) {
			s.DropStalePeers(now)
			if s.QueueLength() > 0 {
				period = busyTickPeriod
			}
		})
		timer.Reset(period)
	}
}

// update applies a change to the scheduler and delivers the decisions on queued
// jobs that result from it.
func (d *dispatcher) update(change func(now time.Duration, s *assign.Scheduler)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	change(now, d.sched)
	for _, p := range d.sched.PlaceQueued(now) {
		d.waiters[p.Decision.Job].ready <- p
		delete(d.waiters, p.Decision.Job)
	}
}

// withdrawHeld refuses the queued requests that are held back.
func (d *dispatcher) withdrawHeld() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for j, w := range d.waiters {
		if refusal, held := w.held(); held && d.sched.Cancel(j) {
			w.ready <- assign.QueueResult{Decision: assign.Decision{Job: j, Refusal: refusal}}
			delete(d.waiters, j)
		}
	}
}

func (d *dispatcher) firstToken(p *assign.Placement) {
	d.update(func(now time.Duration, s *assign.Scheduler) { s.RecordFirstToken(now, p) })
}

func (d *dispatcher) done(p *assign.Placement, r assign.Result) {
	defer d.ended(p, r, false)
	d.update(func(now time.Duration, s *assign.Scheduler) { s.Release(now, p, r) })
}

// read calls f with the scheduler. f must not change what decides on queued jobs.
func (d *dispatcher) read(f func(s *assign.Scheduler)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.sched)
}

// recordOutput records that the response to a placement was complete after so many events.
func (d *dispatcher) recordOutput(p *assign.Placement, events int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sched.RecordOutput(p, events)
}

// requestsByUpstream returns the number of requests at each upstream, summed
// over all instances.
func (d *dispatcher) requestsByUpstream() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.RequestCounts()
}

// setEngineStates updates the models that each engine holds and the times at
// which models being loaded become ready. It reads them under the dispatcher's lock.
func (d *dispatcher) setEngineStates(list func() []residency.EngineState) {
	d.update(func(_ time.Duration, s *assign.Scheduler) {
		readyTimes := map[string]time.Duration{}
		for _, e := range list() {
			s.SetModels(e.ID, e.StartedAtMS, e.Models, e.Unloading)
			if e.Loading == "" {
				continue
			}
			if at, ok := readyTimes[e.Loading]; !ok || e.ReadyAt < at {
				readyTimes[e.Loading] = e.ReadyAt
			}
		}
		s.SetModelReadyTimes(readyTimes)
	})
}

// setUpstreams updates the configuration and the list of upstreams. It reads them under
// the dispatcher's lock.
func (d *dispatcher) setUpstreams(config func() *fleet.Config, list func() []fleet.Upstream) {
	d.update(func(now time.Duration, s *assign.Scheduler) {
		c, upstreams := config(), list()
		s.SetUpstreams(c, upstreams)
		s.SetCold(now, c, upstreams)
	})
}

// upstreamFull ends a placement whose upstream had no capacity for the request.
func (d *dispatcher) upstreamFull(p *assign.Placement, id string) {
	defer d.ended(p, assign.ResultUnknown, true)
	d.update(func(now time.Duration, s *assign.Scheduler) {
		s.Release(now, p, assign.ResultUnknown)
		s.RecordFull(now, id)
	})
}

// modelAbsent ends a placement whose upstream does not hold the model or
// adapter.
func (d *dispatcher) modelAbsent(p *assign.Placement, id, model, adapter string) {
	defer d.ended(p, assign.ResultUnknown, false)
	d.update(func(now time.Duration, s *assign.Scheduler) {
		s.Release(now, p, assign.ResultUnknown)
		s.RecordModelAbsent(now, id, model, adapter)
	})
}

// hasModel reports whether some usable upstream holds the model and adapter.
func (d *dispatcher) hasModel(service, model, adapter string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.HasModel(d.now(), service, model, adapter)
}

// servesElsewhere reports whether another upstream than the one with an ID could serve a job, now or later.
func (d *dispatcher) servesElsewhere(j *assign.Job, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.ServesElsewhere(d.now(), j, id)
}

// placeNow places a job at an upstream that it has not tried, if one can take it at
// once.
func (d *dispatcher) placeNow(j *assign.Job) (result assign.QueueResult, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	placement, decision := d.sched.PlaceNow(d.now(), j)
	return assign.QueueResult{Decision: *decision, Placement: placement}, placement != nil
}

// recordSilence records that an upstream makes no progress with a request, if
// another upstream is eligible for it, and reports whether it did.
func (d *dispatcher) recordSilence(p *assign.Placement, j *assign.Job) (recorded bool) {
	d.update(func(now time.Duration, s *assign.Scheduler) {
		if recorded = s.HasEligible(now, j); recorded {
			s.RecordSilence(now, p)
		}
	})
	return recorded
}

// recordFailure records a failure of the upstream of a placement that was released.
func (d *dispatcher) recordFailure(p *assign.Placement) {
	d.update(func(now time.Duration, s *assign.Scheduler) { s.RecordSilence(now, p) })
}

// maySend reports whether the request of a placement may still be sent.
func (d *dispatcher) maySend(p *assign.Placement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.MaySend(d.now(), p)
}

// isUsable reports whether the upstream of a placement may get new requests.
func (d *dispatcher) isUsable(p *assign.Placement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.IsUsable(p)
}

// recordNotSent records that no byte of the request of a placement was sent.
func (d *dispatcher) recordNotSent(p *assign.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sched.RecordNotSent(p)
}

// recordCrash records that an incarnation of an upstream has ended.
func (d *dispatcher) recordCrash(id string, startedAtMS int64) {
	d.update(func(now time.Duration, s *assign.Scheduler) { s.RecordCrash(now, id, startedAtMS) })
}

// recordNotice records what an upstream says about itself in the answer to a request that
// was sent at sentAt.
func (d *dispatcher) recordNotice(sentAt time.Duration, u *fleet.Upstream, n fleet.Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sched.RecordNotice(d.now(), sentAt, u.ID, u.StartedAtMS, n)
}

// limitObservations returns what is known of the limits of upstreams.
func (d *dispatcher) limitObservations() []upstreamlimit.Observation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Limits().Observations(d.now())
}

// rooms returns what is known of brittle upstreams.
func (d *dispatcher) rooms() []upstreamlimit.Room {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Rooms().Known(d.now())
}

// limits returns the limits that upstreams name, in requests per second by upstream ID.
func (d *dispatcher) limits() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.LimitedRates(d.now())
}

// memberCount returns the number of instances among which limits are shared.
func (d *dispatcher) memberCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Limits().MemberCount()
}

// pauses returns the times until which upstreams want no request from this instance.
func (d *dispatcher) pauses() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Pauses(d.now())
}

// localLoads returns this instance's load at each upstream, to be sent to peers.
func (d *dispatcher) localLoads() map[string]assign.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.OwnLoads()
}

// orderStates returns the orders of services that are not ordered by priority alone, and the
// number of queued requests.
func (d *dispatcher) orderStates() ([]assign.OrderState, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.OrderStates(d.now()), d.sched.QueueLength()
}
