// Package placer runs model placement in an instance. Every instance measures
// its demand, reports it to the holder of the zone's placement lease, and keeps
// the set of draining models for its router. During its tenure the holder runs
// one ledger.Controller for each engine of the zone, plans with a
// placement.Planner, and maintains the zone's entries in the record of homes
// and its shares of the weight store's load budget.
//
// The decision logic is free of side effects and lives in package placement and
// its subpackages; this package supplies the clock, the calls and the glue. A
// call or order is made only while the lease is held under the fencing number
// of the tenure. An instance that cannot reach the platform loses the lease and
// moves no models.
package placer

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
)

// Periods and timeouts.
const (
	tickPeriod        = 250 * time.Millisecond
	waitingTickPeriod = 10 * time.Millisecond // tick period while a request waits for an adapter
	planPeriod        = time.Second
	reportPeriod      = time.Second
	drainSharePeriod  = 3 * time.Second
	retryPeriod       = time.Second
	// watchInterval is the pause between two watches of the record of homes.
	watchInterval = 200 * time.Millisecond
	// reportTTL is how long an instance's report stays valid, and how long an
	// instance keeps applying drains after it last reached the holder.
	reportTTL = 10 * time.Second
	// zoneTimeout is how long a zone counts as alive after it last answered.
	zoneTimeout   = 10 * time.Second
	callTimeout   = 2 * time.Second
	inboxCapacity = 1024
)

// Errors of a Duty.
var (
	// ErrStopped means that the Duty's Run has returned.
	ErrStopped = errors.New("placer: stopped")
	// ErrNotHolder means that no lease holder of the zone could be reached.
	ErrNotHolder = errors.New("placer: no holder of the zone's lease can be reached")
	// ErrAdapter means that the adapter could not be loaded.
	ErrAdapter = errors.New("placer: adapter not loaded")
)

// Caller makes RPC calls to peers; peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error
}

// Engines reads engine reports and sends orders to engines; engine.Client
// implements it.
type Engines interface {
	Report(ctx context.Context, address string) (engine.Report, error)
	Order(ctx context.Context, address string, o engine.Order) (engine.OrderReply, error)
}

// Options configure a Duty.
type Options struct {
	Self    platform.Instance
	Store   platform.Store
	Peers   Caller
	Engines Engines
	// Known returns the current documents and members.
	Known func() *replica.Snapshot
	// Held reports whether this instance holds its zone's lease and under which
	// fencing number. Holder returns the name of the holder, "" if unknown.
	Held   func() (fence uint64, ok bool)
	Holder func() string
	// DrainsChanged is called with the upstreams, named service/upstream, whose
	// set of draining models changed.
	DrainsChanged func(upstreams []string)
	// Count increments a counter of the instance.
	Count   func(name string)
	Planner placement.Planner
	Now     func() time.Duration // monotonic
	Log     *slog.Logger
}

// Duty is one instance's part in placement. The goroutine of runLoop owns the
// term.
type Duty struct {
	opts      Options
	meter     *usageMeter
	drains    *drainSet
	inbox     chan func()
	stopped   chan struct{}
	termBegan chan struct{} // signals a new term: share drains with other zones now

	// Owned by the goroutine of runLoop.
	term         *term
	remoteDrains map[string]zoneDrains    // by zone
	zoneSeenAt   map[string]time.Duration // when each other zone last answered
}

// New returns a Duty; call Run to start it.
func New(opts Options) *Duty {
	return &Duty{
		opts: opts, meter: newMeter(), drains: newDrainSet(), inbox: make(chan func(), inboxCapacity), stopped: make(chan struct{}),
		termBegan:    make(chan struct{}, 1),
		remoteDrains: map[string]zoneDrains{}, zoneSeenAt: map[string]time.Duration{},
	}
}

// Run reports demand and, while this instance holds the lease, places models.
// It returns when ctx is done.
func (d *Duty) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runLoop(ctx) })
	g.Go(func() error { return d.reportDemand(ctx) })
	g.Go(func() error { return d.shareDrainsPeriodically(ctx) })
	return g.Wait()
}

// runLoop runs queued steps and ticks. Only its goroutine accesses the term.
func (d *Duty) runLoop(ctx context.Context) error {
	defer close(d.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := d.opts.Now()
	for {
		select {
		case <-ctx.Done():
			d.endTerm("stopped")
			return nil
		case step := <-d.inbox:
			step()
		case <-timer.C:
			d.tick(ctx)
			next = d.opts.Now() + tickPeriod
		}
		next = min(next, d.opts.Now()+d.tickInterval())
		timer.Reset(next - d.opts.Now())
	}
}

func (d *Duty) tickInterval() time.Duration {
	if d.term != nil && len(d.term.waiters) > 0 {
		return waitingTickPeriod
	}
	return tickPeriod
}

// tick starts a term when the lease is acquired, ends it when the lease is lost
// or its fencing number changed, and ticks the current one.
func (d *Duty) tick(ctx context.Context) {
	fence, held := d.opts.Held()
	if d.term != nil && (!held || d.term.fence != fence) {
		d.endTerm("lease lost")
	}
	if held && d.term == nil {
		d.opts.Log.Info("placement term started", "fence", fence)
		d.term = newTerm(ctx, d, fence)
		select {
		case d.termBegan <- struct{}{}:
		default:
		}
	}
	if d.term != nil {
		d.term.tick(d.opts.Now())
	}
}

func (d *Duty) endTerm(reason string) {
	if d.term == nil {
		return
	}
	d.opts.Log.Info("placement term ended", "fence", d.term.fence, "reason", reason)
	d.term.end()
	d.term = nil
}

// post queues a step for the goroutine of runLoop and does not wait for it to
// run.
func (d *Duty) post(ctx context.Context, step func()) error {
	select {
	case d.inbox <- step:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return ErrStopped
	}
}

// postAndWait runs a step in the goroutine of runLoop and waits for it to end.
func (d *Duty) postAndWait(ctx context.Context, step func()) error {
	done := make(chan struct{})
	if err := d.post(ctx, func() { step(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return ErrStopped
	}
}

// sleep waits for a period or until ctx is done.
func sleep(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}
