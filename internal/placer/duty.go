// Package placer carries placement out in a running instance. Every instance
// counts what it is asked for and heeds what drains. The holder of the zone's
// lease runs, for its tenure, one ledger.Controller for each engine of the
// zone, plans with a placement.Planner, and keeps the zone's entries in the
// record of homes and its shares of the weight store's budget.
//
// What decides is pure and lives in package placement and its parts; here are
// the clock, the calls and what joins them. A call or order is made only while
// the lease is held under the fencing number of the tenure. An instance that
// cannot reach the platform loses the lease and moves nothing.
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

// Periods of the duty.
const (
	tickPeriod   = 250 * time.Millisecond
	busyPeriod   = 10 * time.Millisecond // while a request waits for an adapter
	planPeriod   = time.Second
	reportPeriod = time.Second
	greetPeriod  = 3 * time.Second
	retryPeriod  = time.Second
	// watchPause spaces two watches of the record of homes.
	watchPause = 200 * time.Millisecond
	// reportKept is how long a report of an instance counts, and how long an
	// instance heeds drains that it can no longer ask for.
	reportKept = 10 * time.Second
	// zoneKept is how long a zone counts as alive after it last answered.
	zoneKept    = 10 * time.Second
	callTimeout = 2 * time.Second
	inboxSize   = 1024
)

// Errors of the duty.
var (
	ErrStopped   = errors.New("placer: stopped")
	ErrNotHolder = errors.New("placer: no holder of the zone's lease can be reached")
	ErrAdapter   = errors.New("placer: adapter not loaded")
)

// Caller calls peers; peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error
}

// Engines reads reports and sends orders; engine.Client implements it.
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
	// Known returns the documents and members.
	Known func() *replica.Snapshot
	// Held reports whether this instance holds its zone's lease, and Holder
	// returns the name of the instance that does, "" if it is not known.
	Held   func() (fence uint64, ok bool)
	Holder func() string
	// DrainsChanged takes the upstreams on which other models drain than
	// before.
	DrainsChanged func(upstreams []string)
	// Count adds one to a counter of the instance.
	Count   func(name string)
	Planner placement.Planner
	Now     func() time.Duration // monotonic
	Log     *slog.Logger
}

// Duty is one instance's part in placement. One goroutine owns the term.
type Duty struct {
	opts    Options
	meter   *meter
	drains  *drainSet
	inbox   chan func()
	stopped chan struct{}
	begun   chan struct{} // a term has begun: other zones are to be greeted

	// Owned by the goroutine of own.
	term   *term
	remote map[string]zoneDrains    // what drains in other zones
	seen   map[string]time.Duration // when each other zone last answered
}

// New returns a duty that holds nothing.
func New(opts Options) *Duty {
	return &Duty{
		opts: opts, meter: newMeter(), drains: newDrainSet(), inbox: make(chan func(), inboxSize), stopped: make(chan struct{}),
		begun:  make(chan struct{}, 1),
		remote: map[string]zoneDrains{}, seen: map[string]time.Duration{},
	}
}

// Run reports demand and, while the lease is held, places models, until ctx
// ends.
func (d *Duty) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.own(ctx) })
	g.Go(func() error { return d.reportDemand(ctx) })
	g.Go(func() error { return d.greetZones(ctx) })
	return g.Wait()
}

// own steps the term; it is the only goroutine that touches it.
func (d *Duty) own(ctx context.Context) error {
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
		next = min(next, d.opts.Now()+d.period())
		timer.Reset(next - d.opts.Now())
	}
}

func (d *Duty) period() time.Duration {
	if d.term != nil && len(d.term.waiters) > 0 {
		return busyPeriod
	}
	return tickPeriod
}

// tick begins and ends the term with the lease.
func (d *Duty) tick(ctx context.Context) {
	fence, held := d.opts.Held()
	if d.term != nil && (!held || d.term.fence != fence) {
		d.endTerm("lease lost")
	}
	if held && d.term == nil {
		d.opts.Log.Info("placement term begins", "fence", fence)
		d.term = newTerm(ctx, d, fence)
		select {
		case d.begun <- struct{}{}:
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
	d.opts.Log.Info("placement term ends", "fence", d.term.fence, "reason", reason)
	d.term.end()
	d.term = nil
}

// post runs a step in the owning goroutine, later.
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

// do runs a step in the owning goroutine and waits for it.
func (d *Duty) do(ctx context.Context, step func()) error {
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

func sleep(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}
