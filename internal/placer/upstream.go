package placer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
)

// Timing and limits of the calls to engines.
const (
	sendWindow = time.Second
	retryAfter = 5 * time.Second
	// pollPeriod is the time between two report polls of an engine in a zone with
	// fewer than upstreamsPerPollPeriod engines. It grows with their number.
	pollPeriod             = time.Second
	upstreamsPerPollPeriod = 32
	orderQueueCapacity     = 64
)

var errNotSent = errors.New("placer: order not sent")

// wanted is a model or adapter that an upstream should hold.
type wanted struct {
	memoryMB int64
	since    time.Duration
	lastUsed time.Duration // time of the last request for it
}

// upstream is one engine of the zone during a leadership.
type upstream struct {
	leadership    *leadership
	target        inventory.Target
	service       string
	controller    *ledger.Controller
	ctx           context.Context
	cancel        context.CancelFunc
	orders        chan queuedOrder
	want          map[ledger.Key]*wanted
	pollInterval  time.Duration
	lastLive      time.Duration // when the engine last answered a poll as live
	adopted       bool          // what was resident at the start of the leadership is in want
	boot          string        // boot ID of the engine's last report
	draining      map[string]time.Duration
	leaving       bool
	ledgerInvalid bool // its ledger cannot be decoded
	retired       bool
	retiredAt     time.Duration
	expectedBoot  string // boot ID expected of an orphaned engine, "" for others
	replaced      bool   // it reported a boot ID other than expectedBoot, so it is another engine
}

// queuedOrder is an order and the time of the decision to send it.
type queuedOrder struct {
	order     engine.Order
	decidedAt time.Duration
}

// LedgerName returns the name of the ledger object of an upstream, named
// service/upstream. Neither part may contain a colon.
func LedgerName(upstream string) string { return strings.Replace(upstream, "/", ":", 1) }

func newUpstream(l *leadership, target inventory.Target, engines int) *upstream {
	service, _ := inventory.SplitName(target.Name)
	u := &upstream{
		leadership: l, target: target, service: service, orders: make(chan queuedOrder, orderQueueCapacity),
		want: map[ledger.Key]*wanted{}, draining: map[string]time.Duration{},
		pollInterval: pollPeriod * time.Duration(1+engines/upstreamsPerPollPeriod),
	}
	u.ctx, u.cancel = context.WithCancel(l.ctx)
	u.controller = ledger.NewController(ledger.Options{
		Upstream: LedgerName(target.Name), Writer: l.writer, Owner: l.fence, MemoryMB: target.Upstream.MemoryMB,
		Guarantees: ledger.Guarantees{
			DurableFencing: target.Upstream.SupportsFencing,
			MaxOrderDelay:  time.Duration(target.Upstream.MaxOrderDelayS) * time.Second,
		},
		Location: ledger.Location{
			Zone: target.Upstream.Zone, Address: target.Upstream.Address,
			MaxOrderDelayMS: int64(target.Upstream.MaxOrderDelayS) * time.Second.Milliseconds(),
		},
		SendWindow: sendWindow, RetryAfter: retryAfter, CallTimeout: callTimeout,
		PollInterval: u.pollInterval, PollIntervalAdapter: waitingTickPeriod, AwaitWanted: true,
	})
	go u.sendOrders()
	return u
}

func (u *upstream) stop() {
	if u != nil {
		u.cancel()
	}
}

// owned reports whether the ledger names this leadership as its owner. It is
// also true for a ledger that cannot be decoded, so that planning does not wait
// for it.
func (u *upstream) owned() bool {
	return u.ledgerInvalid || u.controller.Ledger().Owner == u.leadership.fence
}

// serves reports whether a model that is ready on this upstream counts as a
// ready replica of the zone. An engine that missed up to maxMissedReports
// reports still serves.
func (u *upstream) serves() bool {
	if u.retired || u.leaving || !u.controller.Claimed() || !u.adopted {
		return false
	}
	state := u.controller.State()
	silent := u.leadership.controller.opts.Now() - u.lastLive
	return state == ledger.UpstreamLive || state == ledger.UpstreamUnknown && silent <= maxMissedReports*u.pollInterval
}

// maxMissedReports is the number of reports that an engine may miss before it
// stops serving.
const maxMissedReports = 4

// hasReady reports whether any version of a model is ready.
func (u *upstream) hasReady(model string) bool {
	l := u.controller.Ledger()
	return slices.ContainsFunc(l.Resident, func(r engine.Resident) bool {
		return r.Model == model && r.Adapter == "" && l.Ready(ledger.ResidentKey(r))
	})
}

// setLeaving records whether the instance list shows the upstream as leaving.
func (u *upstream) setLeaving(leaving bool) {
	if leaving == u.leaving {
		return
	}
	u.leaving = leaving
	state := objectstore.InstanceLive
	if leaving {
		state = objectstore.InstanceLeaving
	}
	u.step(ledger.InstanceListed{Present: true, State: state})
}

func (u *upstream) step(msg ledger.Message) {
	if u.ctx.Err() != nil {
		return
	}
	for _, a := range u.controller.Step(u.leadership.controller.opts.Now(), msg) {
		u.execute(a)
	}
}

// execute performs an action of the controller.
func (u *upstream) execute(a ledger.Action) {
	store := u.leadership.controller.opts.Store
	switch a := a.(type) {
	case ledger.ReadObject:
		u.leadership.startCall(func(ctx context.Context) func() {
			obj, err := store.Get(ctx, objectstore.KindLedger, LedgerName(u.target.Name))
			return func() { u.step(ledger.ReadDone{ID: a.ID, Object: obj, Err: err}) }
		})
	case ledger.WriteObject:
		u.leadership.startCall(func(ctx context.Context) func() {
			err := objectstore.ErrUnavailable
			var obj objectstore.Object
			if u.leadership.holdsLease() {
				obj, err = store.Put(ctx, a.Object)
			}
			return func() { u.step(ledger.WriteDone{Attempt: a.Attempt, Version: obj.Version, Err: err}) }
		})
	case ledger.PollReport:
		u.leadership.startCall(func(ctx context.Context) func() {
			r, err := u.leadership.controller.opts.Engines.Report(ctx, u.target.Upstream.Address)
			return func() { u.handleReport(ledger.PollDone{ID: a.ID, Report: r, Err: err}) }
		})
	case ledger.SendOrder:
		u.queueOrder(a.Order)
	case ledger.ReportInvalid:
		if !u.ledgerInvalid {
			u.leadership.controller.opts.Log.Error("ledger is invalid; no orders are sent", "upstream", u.target.Name, "error", a.Err)
		}
		u.ledgerInvalid = true
	}
}

// queueOrder queues an order for sendOrders. If the queue is full, the order
// stays recorded in the ledger and is never sent.
func (u *upstream) queueOrder(o engine.Order) {
	select {
	case u.orders <- queuedOrder{o, u.leadership.controller.opts.Now()}:
	default:
		u.leadership.controller.opts.Log.Warn("order not sent: queue full", "upstream", u.target.Name, "order", o.ID)
	}
}

// sendOrders sends the queued orders one at a time, each once, so that an order
// cannot overtake one with a lower fencing token in transit.
func (u *upstream) sendOrders() {
	for {
		select {
		case <-u.ctx.Done():
			return
		case o := <-u.orders:
			reply, err := u.sendOrder(o)
			_ = u.leadership.controller.post(u.ctx, func() {
				u.leadership.runStep(func() { u.step(ledger.OrderDone{ID: o.order.ID, Reply: reply, Err: err}) })
			})
		}
	}
}

// sendOrder sends an order, unless the lease was lost or sendWindow has passed
// since the decision.
func (u *upstream) sendOrder(o queuedOrder) (engine.OrderReply, error) {
	opts := u.leadership.controller.opts
	ctx, cancel := context.WithTimeout(u.ctx, sendWindow)
	defer cancel()
	if !u.leadership.holdsLease() || opts.Now()-o.decidedAt > sendWindow {
		return engine.OrderReply{}, errNotSent
	}
	reply, err := opts.Engines.Order(ctx, u.target.Upstream.Address, o.order)
	opts.Log.Info("order sent", "upstream", u.target.Name, "order", o.order.ID, "op", string(o.order.Op),
		"model", o.order.Model, "adapter", o.order.Adapter, "fence", o.order.FencingToken,
		"accepted", reply.Accepted, "reason", reply.Reason, "error", err)
	return reply, err
}

// handleReport processes the result of a poll. What was resident on the
// engine when the leadership started stays wanted until the planner decides
// otherwise.
func (u *upstream) handleReport(m ledger.PollDone) {
	if u.expectedBoot != "" && m.Err == nil && m.Report.Boot != u.expectedBoot && !u.adopted {
		u.replaced = true
		u.stop()
		return
	}
	if m.Err == nil && !u.adopted {
		u.adoptResident(m.Report)
	}
	u.step(m)
	if u.controller.State() == ledger.UpstreamLive {
		u.adopted = true
		u.lastLive = u.leadership.controller.opts.Now()
	}
	u.handleRestart()
}

// adoptResident sets the wanted set to what a report lists as resident and what
// recorded orders load.
func (u *upstream) adoptResident(r engine.Report) {
	clear(u.want)
	now := u.leadership.controller.opts.Now()
	for _, res := range r.Resident {
		if res.State != engine.ResidencyUnloading {
			u.want[ledger.ResidentKey(res)] = &wanted{memoryMB: res.MemoryMB, since: now, lastUsed: now}
		}
	}
	for _, o := range u.controller.Ledger().Orders {
		if o.Op == engine.OpLoad || o.Op == engine.OpLoadAdapter {
			u.want[ledger.OrderKey(o)] = &wanted{memoryMB: o.MemoryMB, since: now, lastUsed: now}
		}
	}
	u.sendWanted()
}

// handleRestart removes from the wanted set what an engine lost in a restart, so
// that the planner restores it within the load budget.
func (u *upstream) handleRestart() {
	l := u.controller.Ledger()
	if u.controller.Boot() == u.boot {
		return
	}
	if u.boot != "" {
		u.leadership.controller.opts.Log.Warn("engine restarted", "upstream", u.target.Name, "fence_lost", l.FencingLost)
		for k := range u.want {
			if _, resident := l.FindResident(k); !resident {
				delete(u.want, k)
			}
		}
		clear(u.draining)
	}
	u.boot = u.controller.Boot()
	u.sendWanted()
}

// sendWanted passes the wanted set to the controller, models before adapters and
// oldest first.
func (u *upstream) sendWanted() {
	list := make([]ledger.WantedModel, 0, len(u.want))
	for k, w := range u.want {
		list = append(list, ledger.WantedModel{Key: k, MemoryMB: w.memoryMB})
	}
	slices.SortFunc(list, func(a, b ledger.WantedModel) int {
		if byAdapter := strings.Compare(a.Key.Adapter, b.Key.Adapter); (a.Key.Adapter == "") != (b.Key.Adapter == "") {
			return byAdapter
		}
		if by := u.want[a.Key].since - u.want[b.Key].since; by != 0 {
			return int(by)
		}
		return strings.Compare(a.Key.Model+":"+a.Key.Adapter+":"+a.Key.Version, b.Key.Model+":"+b.Key.Adapter+":"+b.Key.Version)
	})
	u.step(ledger.SetWanted{Set: list})
}

// wantsModel reports whether any version of a model is wanted.
func (u *upstream) wantsModel(model string) bool {
	return slices.ContainsFunc(u.wantedModels(), func(k ledger.Key) bool { return k.Model == model })
}

// removeWanted removes a model and its adapters from the wanted set.
func (u *upstream) removeWanted(model string) {
	for k := range u.want {
		if k.Model == model {
			delete(u.want, k)
		}
	}
	delete(u.draining, model)
	u.sendWanted()
}
