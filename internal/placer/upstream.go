package placer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Times of a controller.
const (
	sendWindow = time.Second
	retryAfter = 5 * time.Second
	// pollPeriod is the time between two reports of an engine in a zone of up
	// to upstreamsPerPeriod; it grows with their number.
	pollPeriod         = time.Second
	upstreamsPerPeriod = 32
	ordersQueued       = 64
)

var errNotSent = errors.New("placer: order not sent")

// wanted is a model or adapter that an upstream shall hold.
type wanted struct {
	memoryMB int64
	since    time.Duration
	used     time.Duration // when a request last asked for it
}

// upstream is one engine of the zone during a term.
type upstream struct {
	t         *term
	target    inventory.Target
	service   string
	c         *ledger.Controller
	ctx       context.Context
	cancel    context.CancelFunc
	orders    chan decided
	want      map[ledger.Key]*wanted
	pollEvery time.Duration
	liveAt    time.Duration // when the engine last reported
	adopted   bool          // what it held before the term is wanted
	boot      string        // of the engine's last report
	draining  map[string]time.Duration
	leaving   bool
	invalid   bool // its ledger cannot be read
	retired   bool
	retiredAt time.Duration
	expect    string // the run of an engine that no document names, "" for others
	foreign   bool   // it reported another run: it is no longer the same engine
}

// decided is an order and when it was decided to send it.
type decided struct {
	order engine.Order
	at    time.Duration
}

// LedgerName returns the name of the ledger object of an upstream,
// service/upstream. Neither name may contain a colon.
func LedgerName(upstream string) string { return strings.Replace(upstream, "/", ":", 1) }

func newUpstream(t *term, target inventory.Target, engines int) *upstream {
	service, _ := inventory.SplitName(target.Name)
	u := &upstream{
		t: t, target: target, service: service, orders: make(chan decided, ordersQueued),
		want: map[ledger.Key]*wanted{}, draining: map[string]time.Duration{},
		pollEvery: pollPeriod * time.Duration(1+engines/upstreamsPerPeriod),
	}
	u.ctx, u.cancel = context.WithCancel(t.ctx)
	u.c = ledger.NewController(ledger.Options{
		Upstream: LedgerName(target.Name), Writer: t.writer, Owner: t.fence, MemoryMB: target.Upstream.MemoryMB,
		Promise: ledger.Promise{
			DurableFence:  target.Upstream.Fencing,
			MaxOrderDelay: time.Duration(target.Upstream.MaxOrderDelayS) * time.Second,
		},
		Place: ledger.Place{
			Zone: target.Upstream.Zone, Address: target.Upstream.Address,
			MaxOrderDelayMS: int64(target.Upstream.MaxOrderDelayS) * time.Second.Milliseconds(),
		},
		SendWindow: sendWindow, RetryAfter: retryAfter, CallTimeout: callTimeout,
		PollEvery: u.pollEvery, PollBusy: busyPeriod, AwaitWanted: true,
	})
	go u.send()
	return u
}

func (u *upstream) stop() {
	if u != nil {
		u.cancel()
	}
}

// owned says whether the ledger names this term's owner.
func (u *upstream) owned() bool { return u.invalid || u.c.Ledger().Owner == u.t.fence }

// serves says whether what is ready here may count as a home. An engine that
// missed a report or two still serves.
func (u *upstream) serves() bool {
	if u.retired || u.leaving || !u.c.Claimed() || !u.adopted {
		return false
	}
	state := u.c.State()
	silent := u.t.d.opts.Now() - u.liveAt
	return state == ledger.UpstreamLive || state == ledger.UpstreamUnknown && silent <= silentPolls*u.pollEvery
}

// silentPolls is the number of reports that may be missed by an engine that
// counts as live.
const silentPolls = 4

// ready says whether a version of a model is ready.
func (u *upstream) ready(model string) bool {
	l := u.c.Ledger()
	return slices.ContainsFunc(l.Resident, func(r engine.Resident) bool {
		return r.Model == model && r.Adapter == "" && l.Ready(ledger.ResidentKey(r))
	})
}

// list takes what the members say of the upstream.
func (u *upstream) list(leaving bool) {
	if leaving == u.leaving {
		return
	}
	u.leaving = leaving
	state := platform.InstanceLive
	if leaving {
		state = platform.InstanceLeaving
	}
	u.step(ledger.Listed{Present: true, State: state})
}

func (u *upstream) step(msg ledger.Message) {
	if u.ctx.Err() != nil {
		return
	}
	for _, a := range u.c.Step(u.t.d.opts.Now(), msg) {
		u.carryOut(a)
	}
}

func (u *upstream) carryOut(a ledger.Action) {
	store := u.t.d.opts.Store
	switch a := a.(type) {
	case ledger.ReadObject:
		u.t.start(func(ctx context.Context) func() {
			obj, err := store.Get(ctx, platform.KindLedger, LedgerName(u.target.Name))
			return func() { u.step(ledger.ReadDone{ID: a.ID, Object: obj, Err: err}) }
		})
	case ledger.WriteObject:
		u.t.start(func(ctx context.Context) func() {
			err := platform.ErrUnavailable
			var obj platform.Object
			if u.t.holds() {
				obj, err = store.Put(ctx, a.Object)
			}
			return func() { u.step(ledger.WriteDone{Attempt: a.Attempt, Version: obj.Version, Err: err}) }
		})
	case ledger.PollReport:
		u.t.start(func(ctx context.Context) func() {
			r, err := u.t.d.opts.Engines.Report(ctx, u.target.Upstream.Address)
			return func() { u.polled(ledger.PollDone{ID: a.ID, Report: r, Err: err}) }
		})
	case ledger.SendOrder:
		u.queue(a.Order)
	case ledger.Invalid:
		if !u.invalid {
			u.t.d.opts.Log.Error("ledger cannot be read; no orders go out", "upstream", u.target.Name, "error", a.Err)
		}
		u.invalid = true
	}
}

// queue hands an order to the sender. One that finds the queue full stays
// recorded and is never sent.
func (u *upstream) queue(o engine.Order) {
	select {
	case u.orders <- decided{o, u.t.d.opts.Now()}:
	default:
		u.t.d.opts.Log.Warn("order not sent: too many at once", "upstream", u.target.Name, "order", o.ID)
	}
}

// send sends orders one after another, each once, so that a fence never
// overtakes a lower one on its way.
func (u *upstream) send() {
	for {
		select {
		case <-u.ctx.Done():
			return
		case o := <-u.orders:
			reply, err := u.sendOne(o)
			_ = u.t.d.post(u.ctx, func() {
				u.t.step(func() { u.step(ledger.OrderDone{ID: o.order.ID, Reply: reply, Err: err}) })
			})
		}
	}
}

func (u *upstream) sendOne(o decided) (engine.OrderReply, error) {
	opts := u.t.d.opts
	ctx, cancel := context.WithTimeout(u.ctx, sendWindow)
	defer cancel()
	if !u.t.holds() || opts.Now()-o.at > sendWindow {
		return engine.OrderReply{}, errNotSent
	}
	reply, err := opts.Engines.Order(ctx, u.target.Upstream.Address, o.order)
	opts.Log.Info("order sent", "upstream", u.target.Name, "order", o.order.ID, "op", string(o.order.Op),
		"model", o.order.Model, "adapter", o.order.Adapter, "fence", o.order.Fence,
		"accepted", reply.Accepted, "reason", reply.Reason, "error", err)
	return reply, err
}

// polled takes a report. What the engine held when the term began is wanted
// until the planner decides otherwise.
func (u *upstream) polled(m ledger.PollDone) {
	if u.expect != "" && m.Err == nil && m.Report.Boot != u.expect && !u.adopted {
		u.foreign = true
		u.stop()
		return
	}
	if m.Err == nil && !u.adopted {
		u.adopt(m.Report)
	}
	u.step(m)
	if u.c.State() == ledger.UpstreamLive {
		u.adopted = true
		u.liveAt = u.t.d.opts.Now()
	}
	u.noticeRestart()
}

func (u *upstream) adopt(r engine.Report) {
	clear(u.want)
	now := u.t.d.opts.Now()
	for _, res := range r.Resident {
		if res.State != engine.ResidencyUnloading {
			u.want[ledger.ResidentKey(res)] = &wanted{memoryMB: res.MemoryMB, since: now, used: now}
		}
	}
	for _, o := range u.c.Ledger().Orders {
		if o.Op == engine.OpLoad || o.Op == engine.OpLoadAdapter {
			u.want[ledger.OrderKey(o)] = &wanted{memoryMB: o.MemoryMB, since: now, used: now}
		}
	}
	u.sendWanted()
}

// noticeRestart lets go of what an engine lost by a restart, so that the
// planner restores it within the budget of loads.
func (u *upstream) noticeRestart() {
	l := u.c.Ledger()
	if u.c.Boot() == u.boot {
		return
	}
	if u.boot != "" {
		u.t.d.opts.Log.Warn("engine restarted", "upstream", u.target.Name, "fence_lost", l.FenceLost)
		for k := range u.want {
			if _, resident := l.Find(k); !resident {
				delete(u.want, k)
			}
		}
		clear(u.draining)
	}
	u.boot = u.c.Boot()
	u.sendWanted()
}

// sendWanted tells the controller what shall be resident: models before
// adapters, the oldest first.
func (u *upstream) sendWanted() {
	list := make([]ledger.Want, 0, len(u.want))
	for k, w := range u.want {
		list = append(list, ledger.Want{Key: k, MemoryMB: w.memoryMB})
	}
	slices.SortFunc(list, func(a, b ledger.Want) int {
		if byKind := strings.Compare(a.Key.Adapter, b.Key.Adapter); (a.Key.Adapter == "") != (b.Key.Adapter == "") {
			return byKind
		}
		if by := u.want[a.Key].since - u.want[b.Key].since; by != 0 {
			return int(by)
		}
		return strings.Compare(a.Key.Model+":"+a.Key.Adapter+":"+a.Key.Version, b.Key.Model+":"+b.Key.Adapter+":"+b.Key.Version)
	})
	u.step(ledger.Wanted{Want: list})
}

// wants says whether a version of a model shall be resident.
func (u *upstream) wants(model string) bool {
	return slices.ContainsFunc(u.wantedModels(), func(k ledger.Key) bool { return k.Model == model })
}

// unwant takes a model with its adapters out of the wanted set.
func (u *upstream) unwant(model string) {
	for k := range u.want {
		if k.Model == model {
			delete(u.want, k)
		}
	}
	delete(u.draining, model)
	u.sendWanted()
}
