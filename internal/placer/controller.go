// Package placer runs model placement in an instance. Every instance measures
// its demand, reports it to the zone leader, which holds the zone's placement
// lease, and keeps the set of draining models for its router. During its
// leadership the zone leader runs one ledger.Controller for each engine of the
// zone, plans with a placement.Planner, and maintains the zone's entries in the
// record of home zones and its shares of the weight store's load budget.
//
// The decision logic has no side effects and is in package placement and its
// subpackages; this package supplies the clock and makes the calls. A write or
// order is sent only while the lease is held under the fencing token of the
// leadership. An instance that cannot reach the platform loses the lease and
// moves no models.
package placer

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
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
	// watchInterval is the pause between two watches of the record of home zones.
	watchInterval = 200 * time.Millisecond
	// reportTTL is how long a report stays valid, and how long an instance keeps
	// applying drains after it last reached the zone leader.
	reportTTL = 10 * time.Second
	// zoneTimeout is how long a zone counts as alive after it last answered.
	zoneTimeout   = 10 * time.Second
	callTimeout   = 2 * time.Second
	inboxCapacity = 1024
)

// Errors of a Controller.
var (
	// ErrStopped means that the Controller's Run has returned.
	ErrStopped = errors.New("placer: stopped")
	// ErrNoZoneLeader means that the zone leader could not be reached.
	ErrNoZoneLeader = errors.New("placer: no holder of the zone's lease can be reached")
	// ErrAdapter means that the adapter could not be loaded.
	ErrAdapter = errors.New("placer: adapter not loaded")
)

// PeerCaller makes RPC calls to peers; peer.Client implements it.
type PeerCaller interface {
	Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error
}

// Engines reads engine reports and sends orders to engines; engine.Client
// implements it.
type Engines interface {
	Report(ctx context.Context, address string) (engine.Report, error)
	Order(ctx context.Context, address string, o engine.Order) (engine.OrderReply, error)
}

// Options configure a Controller.
type Options struct {
	Self    objectstore.Instance
	Store   objectstore.Store
	Peers   PeerCaller
	Engines Engines
	// Snapshot returns the current documents and members.
	Snapshot func() *docsync.Snapshot
	// LeaseHeld reports whether this instance holds its zone's lease and under
	// which fencing token. ZoneLeader returns the name of the zone leader, "" if
	// unknown.
	LeaseHeld  func() (fence uint64, ok bool)
	ZoneLeader func() string
	// OnDrainsChanged is called with the upstreams, named service/upstream, whose
	// set of draining models changed.
	OnDrainsChanged func(upstreams []string)
	// IncrementCounter increments a counter of the instance.
	IncrementCounter func(name string)
	Planner          placement.Planner
	Now              func() time.Duration // monotonic
	Log              *slog.Logger
}

// Controller runs one instance's part of placement. Only the goroutine of
// runLoop accesses the leadership.
type Controller struct {
	opts              Options
	meter             *usageMeter
	drains            *drainSet
	inbox             chan func()
	stopped           chan struct{}
	leadershipStarted chan struct{} // signals that drains must be shared with other zones now

	// Owned by the goroutine of runLoop.
	leadership   *leadership
	remoteDrains map[string]zoneDrains    // by zone
	zoneSeenAt   map[string]time.Duration // send time of the last call that each other zone answered
}

// New returns a Controller; call Run to start it.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, meter: newMeter(), drains: newDrainSet(), inbox: make(chan func(), inboxCapacity), stopped: make(chan struct{}),
		leadershipStarted: make(chan struct{}, 1),
		remoteDrains:      map[string]zoneDrains{}, zoneSeenAt: map[string]time.Duration{},
	}
}

// Run reports demand and, while this instance is the zone leader, places
// models. It returns when ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.runLoop(ctx) })
	g.Go(func() error { return c.reportDemand(ctx) })
	g.Go(func() error { return c.shareDrainsPeriodically(ctx) })
	return g.Wait()
}

// runLoop runs queued steps and ticks until ctx is done.
func (c *Controller) runLoop(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := c.opts.Now()
	for {
		select {
		case <-ctx.Done():
			c.endLeadership("stopped")
			return nil
		case step := <-c.inbox:
			step()
		case <-timer.C:
			c.tick(ctx)
			next = c.opts.Now() + tickPeriod
		}
		next = min(next, c.opts.Now()+c.tickInterval())
		timer.Reset(next - c.opts.Now())
	}
}

func (c *Controller) tickInterval() time.Duration {
	if c.leadership != nil && len(c.leadership.waiters) > 0 {
		return waitingTickPeriod
	}
	return tickPeriod
}

// tick starts a leadership when the lease is acquired, ends it when the lease is
// lost or its fencing token has changed, and ticks the current leadership.
func (c *Controller) tick(ctx context.Context) {
	fence, held := c.opts.LeaseHeld()
	if c.leadership != nil && (!held || c.leadership.fence != fence) {
		c.endLeadership("lease lost")
	}
	if held && c.leadership == nil {
		c.opts.Log.Info("placement leadership started", "fence", fence)
		c.leadership = newLeadership(ctx, c, fence)
		select {
		case c.leadershipStarted <- struct{}{}:
		default:
		}
	}
	if c.leadership != nil {
		c.leadership.tick(c.opts.Now())
	}
}

func (c *Controller) endLeadership(reason string) {
	if c.leadership == nil {
		return
	}
	c.opts.Log.Info("placement leadership ended", "fence", c.leadership.fence, "reason", reason)
	c.leadership.end()
	c.leadership = nil
}

// post queues a step for the goroutine of runLoop and does not wait for it to
// run.
func (c *Controller) post(ctx context.Context, step func()) error {
	select {
	case c.inbox <- step:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return ErrStopped
	}
}

// postAndWait runs a step in the goroutine of runLoop and waits for it to end.
func (c *Controller) postAndWait(ctx context.Context, step func()) error {
	done := make(chan struct{})
	if err := c.post(ctx, func() { step(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
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
