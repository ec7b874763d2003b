// Package residencycontroller runs the placement of models and adapters on
// engines while this instance holds the placement lease. It reads the engines'
// reports, sends them the load and unload orders that package residency
// decides, and passes what the engines hold to the caller, which publishes it
// to the other instances. Orders carry the lease's fencing token.
package residencycontroller

import (
	"context"
	"log/slog"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
)

const (
	tickPeriod = 40 * time.Millisecond
	// idlePeriod is how often an instance that does not hold the lease checks
	// whether it does now.
	idlePeriod    = 150 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// minLeaseRemaining is how much of the lease duration must remain when an
	// order is sent, as no order may arrive after the lease has lapsed.
	minLeaseRemaining = orderTimeout + 100*time.Millisecond
	// adapterQueueSize is how many requests for adapters are queued. One that
	// finds the queue full is dropped, since callers ask again.
	adapterQueueSize = 256
	// minStepPause is the shortest pause between two steps.
	minStepPause = 10 * time.Millisecond
	// stepTimeDivisor bounds the share of time spent in steps to
	// 1/stepTimeDivisor.
	stepTimeDivisor = 4
)

// Engines reads reports from engines and sends them orders.
type Engines interface {
	FetchReport(ctx context.Context, u *fleet.Upstream) (fleet.Report, error)
	SendOrder(ctx context.Context, u *fleet.Upstream, o fleet.Order) (fleet.OrderOutcome, error)
}

// Lease reports whether this instance may send orders.
type Lease interface {
	// HeldFor reports whether the lease is held from now until rest has
	// passed, and its fencing token.
	HeldFor(rest time.Duration) (fence uint64, ok bool)
}

// Options configure a Controller.
type Options struct {
	Name      string // of this instance
	Lease     Lease
	Engines   Engines
	Config    func() *fleet.Config
	Upstreams func() []fleet.Upstream
	Requests  func() map[string]int // requests at each upstream by ID, over all instances
	// Limits returns the limits that upstreams name, in requests per second by ID.
	Limits func() map[string]float64
	// Pauses returns the times until which engines want no call from this instance, by
	// ID.
	Pauses func() map[string]time.Duration
	// Cold returns for how long upstreams are cold, by ID. It may be nil.
	Cold func() map[string]time.Duration
	// Demand returns the requested work, summed over all instances.
	Demand func() map[residency.ModelKey]residency.Rates
	// OnStep is called after each step with the models that the engines hold.
	OnStep func(fence uint64, residents []residency.EngineState)
	// OnDraining is called when an engine reports that it is draining.
	OnDraining func(id string, born int64)
	LoadWindow time.Duration
	Now        func() time.Duration
	Log        *slog.Logger
}

// Controller drives a residency.Planner. The goroutine in Run owns the planner.
type Controller struct {
	opts            Options
	adapterRequests chan residency.ModelKey
	results         chan func(now time.Duration) // outcomes of reports and orders; none is dropped
	planner         *residency.Planner
	fence           uint64
	supersededFence uint64        // fencing token of a leadership that a newer holder ended
	nextStepAt      time.Duration // when the next step may run
}

// New returns a controller that sends no orders until Run is called.
func New(opts Options) *Controller {
	return &Controller{opts: opts, adapterRequests: make(chan residency.ModelKey, adapterQueueSize), results: make(chan func(time.Duration))}
}

// RequestAdapter requests that an adapter be loaded. It reports whether this
// instance holds the lease; if not, the request is not queued.
func (c *Controller) RequestAdapter(adapter residency.ModelKey) bool {
	if _, held := c.opts.Lease.HeldFor(0); !held {
		return false
	}
	select {
	case c.adapterRequests <- adapter:
	default:
		c.opts.Log.Warn("adapter request dropped", "model", adapter.Model, "adapter", adapter.Adapter, "reason", "queue full")
	}
	return true
}

// Run sends orders while the lease is held, until ctx ends. Incoming results
// and requests are applied at once, while one step, which examines all engines
// and models, covers all of them together: in a large fleet many messages
// arrive in the time that a step takes.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTimer(tickPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case apply := <-c.results:
			apply(c.opts.Now())
		case adapter := <-c.adapterRequests:
			c.requestAdapter(adapter)
		case <-timer.C:
			c.timedStep(ctx)
			timer.Reset(c.period())
			continue
		}
		timer.Reset(max(c.nextStepAt-c.opts.Now(), 0))
	}
}

func (c *Controller) requestAdapter(adapter residency.ModelKey) {
	if c.planner != nil {
		c.planner.RequestAdapter(c.opts.Now(), adapter)
	}
}

// timedStep runs a step and sets the earliest time of the next one.
func (c *Controller) timedStep(ctx context.Context) {
	began := c.opts.Now()
	c.step(ctx)
	ended := c.opts.Now()
	c.nextStepAt = ended + max(minStepPause, (stepTimeDivisor-1)*(ended-began))
}

// period returns the time to the next step if no message arrives.
func (c *Controller) period() time.Duration {
	period := idlePeriod
	if c.planner != nil {
		period = tickPeriod
	}
	return max(period, c.nextStepAt-c.opts.Now())
}

// deliver sends a function that applies the result of a report or an order to
// the goroutine that owns the planner.
func (c *Controller) deliver(ctx context.Context, apply func(now time.Duration)) {
	select {
	case c.results <- apply:
	case <-ctx.Done():
	}
}

func (c *Controller) step(ctx context.Context) {
	now := c.opts.Now()
	config := c.opts.Config()
	fence, held := c.opts.Lease.HeldFor(minLeaseRemaining)
	if !held || config == nil || fence == c.supersededFence {
		if c.planner != nil && (!held || fence == c.supersededFence) {
			c.planner = nil
		}
		return
	}
	if c.planner == nil || c.fence != fence {
		c.planner = residency.NewPlanner(residency.Options{Holder: c.opts.Name, LoadWindow: c.opts.LoadWindow})
		c.fence = fence
		c.opts.Log.Info("placement begins", "fence", fence)
	}
	c.planner.SetEngines(now, config, c.opts.Upstreams())
	c.planner.SetRequests(c.opts.Requests())
	c.planner.SetLimits(c.opts.Limits())
	c.planner.SetPauses(c.opts.Pauses())
	if c.opts.Cold != nil {
		c.planner.SetCold(now, c.opts.Cold())
	}
	c.planner.SetDemand(c.opts.Demand())
	for _, a := range c.planner.Step(now) {
		c.execute(ctx, a)
	}
	c.opts.OnStep(fence, c.planner.EngineStates())
}

func (c *Controller) execute(ctx context.Context, a residency.Action) {
	entry := a.Engine.Upstream
	if a.Report {
		go c.fetchReport(ctx, c.planner, entry)
		return
	}
	order := *a.Order
	order.FencingToken = c.fence
	c.opts.Log.Info("order", "upstream", entry.ID, "order", order.Kind.String(), "model", order.Model, "adapter", order.Adapter,
		"fence", order.FencingToken, "sequence", order.ExpectedSequence, "report_age_ms", (c.opts.Now() - a.Engine.ReadAt).Milliseconds(), "reason", a.Reason,
		"from_store", a.FromStore)
	go c.sendOrder(ctx, c.planner, entry, order)
}

func (c *Controller) fetchReport(ctx context.Context, p *residency.Planner, entry fleet.Upstream) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := c.opts.Now()
	report, err := c.opts.Engines.FetchReport(callCtx, &entry)
	if err != nil {
		c.opts.Log.Debug("report", "upstream", entry.ID, "error", err)
	}
	c.deliver(ctx, func(now time.Duration) {
		p.HandleReport(now, sentAt, entry.ID, entry.StartedAtMS, report, err)
		if err == nil && report.Draining {
			c.opts.OnDraining(entry.ID, entry.StartedAtMS)
		}
	})
}

func (c *Controller) sendOrder(ctx context.Context, p *residency.Planner, entry fleet.Upstream, o fleet.Order) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := fleet.OrderConflict
	var err error
	if fence, held := c.opts.Lease.HeldFor(orderTimeout); held && fence == o.FencingToken {
		outcome, err = c.opts.Engines.SendOrder(callCtx, &entry, o)
	}
	c.opts.Log.Info("order answered", "upstream", entry.ID, "order", o.Kind.String(), "model", o.Model, "adapter", o.Adapter,
		"sequence", o.ExpectedSequence, "outcome", outcome.String(), "error", err)
	c.deliver(ctx, func(now time.Duration) {
		if outcome == fleet.OrderFenced {
			c.supersededFence = o.FencingToken
		}
		p.HandleOrderOutcome(now, entry.ID, entry.StartedAtMS, o, outcome)
	})
}
