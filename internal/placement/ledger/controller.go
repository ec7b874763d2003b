package ledger

import (
	"errors"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/chart"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// driftDivisor allows for clocks that differ in speed by one in this many.
const driftDivisor = 100

// Controller brings one upstream to the wanted set. Each change is recorded
// by a conditional update, then sent once, then watched in the engine's
// reports; a retry is a new record. It is pure and not safe for concurrent
// use.
//
// Any number of controllers, current or former owners, may act on one
// upstream: the memory bound rests on the record alone. The owner's fencing
// number only keeps them from undoing each other's work.
type Controller struct {
	opt      Options
	base     Ledger // as stored at version, with later reports counted
	version  uint64
	known    bool
	stopped  bool // a later owner has claimed the ledger
	want     []Want
	boot     string // of the latest report counted here
	awaiting bool   // a Wanted, see Options.AwaitWanted
	upstream *chart.Machine
	orders   map[string]*orderState
	read     call
	poll     call
	nextPoll time.Duration
	write    *pendingWrite
	attempt  uint64
}

// call is a request with at most one answer that counts.
type call struct {
	id      uint64
	started time.Duration
	active  bool
}

func (c *call) start(now time.Duration) uint64 {
	c.id++
	c.started = now
	c.active = true
	return c.id
}

// end says whether an answer is the one that is waited for.
func (c *call) end(id uint64) bool {
	if !c.active || c.id != id {
		return false
	}
	c.active = false
	return true
}

// expire gives up a call that took too long.
func (c *call) expire(now, timeout time.Duration) bool {
	if !c.active || now-c.started < timeout {
		return false
	}
	c.active = false
	return true
}

type pendingWrite struct {
	attempt uint64
	started time.Duration
	next    Ledger
	orders  []engine.Order
	unknown bool // the reply was lost: read back
}

// orderState is what this instance knows of one order in the ledger.
type orderState struct {
	machine   *chart.Machine
	firstSeen time.Duration // when it was first seen recorded
	retry     bool          // refused: need not wait for RetryAfter
}

// NewController returns a controller that knows nothing of its upstream yet.
func NewController(opt Options) *Controller {
	return &Controller{
		opt:      opt,
		upstream: upstreamChart.New(),
		orders:   map[string]*orderState{},
	}
}

// Ledger returns the ledger as known, with the latest report counted.
func (c *Controller) Ledger() Ledger { return c.base }

// Boot returns the run of the engine that the latest report was of.
func (c *Controller) Boot() string { return c.boot }

// State returns the state of the upstream in its chart.
func (c *Controller) State() string { return c.upstream.State() }

// Claimed says whether the ledger names this owner. Before that a former
// owner's unload may still be recorded, so nothing counts as a home.
func (c *Controller) Claimed() bool {
	return c.known && !c.stopped && c.base.Owner == c.opt.Owner && c.base.Observed()
}

// OrderStates returns the state of each order that counts, by order id.
func (c *Controller) OrderStates() map[string]string {
	states := make(map[string]string, len(c.orders))
	for id, o := range c.orders {
		states[id] = o.machine.State()
	}
	return states
}

// Step takes one message at the instance's own time and returns what to do.
func (c *Controller) Step(now time.Duration, msg Message) []Action {
	var actions []Action
	switch m := msg.(type) {
	case Wanted:
		c.want = m.Want
		c.awaiting = false
	case ReadDone:
		actions = c.readDone(now, m)
	case WriteDone:
		actions = c.writeDone(now, m)
	case PollDone:
		c.pollDone(now, m)
	case OrderDone:
		c.orderDone(m)
	case Listed:
		c.listed(m)
	}
	return append(actions, c.advance(now)...)
}

// advance starts what is due.
func (c *Controller) advance(now time.Duration) []Action {
	c.expireCalls(now)
	if c.stopped {
		return nil
	}
	if !c.known || (c.write != nil && c.write.unknown) {
		return c.startRead(now)
	}
	var actions []Action
	if c.write == nil {
		actions = c.startWrite(now)
	}
	if !c.poll.active && now >= c.nextPoll && c.State() != UpstreamGone {
		actions = append(actions, PollReport{ID: c.poll.start(now)})
	}
	return actions
}

func (c *Controller) expireCalls(now time.Duration) {
	c.read.expire(now, c.opt.CallTimeout)
	if c.poll.expire(now, c.opt.CallTimeout) {
		fire(c.upstream, eventSilent)
	}
	if c.write != nil && now-c.write.started >= c.opt.CallTimeout {
		c.write.unknown = true
	}
	for _, o := range c.orders {
		if now-o.firstSeen >= c.opt.RetryAfter {
			fire(o.machine, eventNoAnswer)
		}
	}
}

func (c *Controller) startRead(now time.Duration) []Action {
	if c.read.active {
		return nil
	}
	return []Action{ReadObject{ID: c.read.start(now)}}
}

func (c *Controller) readDone(now time.Duration, m ReadDone) []Action {
	if !c.read.end(m.ID) {
		return nil
	}
	stored := New(c.opt.MemoryMB, c.opt.Promise.DurableFence)
	switch {
	case errors.Is(m.Err, platform.ErrNotFound):
	case m.Err != nil:
		return nil
	case !m.Object.Deleted:
		var err error
		if stored, err = Decode(m.Object.Value); err != nil {
			return []Action{Invalid{Err: err}}
		}
	}
	w := c.write
	c.write = nil
	c.setBase(now, stored, m.Object.Version)
	if w == nil {
		return nil
	}
	if stored.Writer == c.opt.Writer && stored.Attempt == w.attempt {
		return c.recorded(now, w)
	}
	return nil
}

func (c *Controller) writeDone(now time.Duration, m WriteDone) []Action {
	w := c.write
	if w == nil || w.attempt != m.Attempt {
		return nil
	}
	switch {
	case m.Err == nil:
		c.write = nil
		c.setBase(now, w.next, m.Version)
		return c.recorded(now, w)
	case errors.Is(m.Err, platform.ErrConflict):
		c.write = nil
		c.known = false
	default:
		w.unknown = true
	}
	return nil
}

// setBase takes a stored version. A report asked for before it was known may
// be older than orders in it, so a poll that is under way no longer counts.
func (c *Controller) setBase(now time.Duration, l Ledger, version uint64) {
	c.base = l
	c.version = version
	c.known = true
	c.stopped = l.Owner > c.opt.Owner
	c.poll.active = false
	c.nextPoll = now
	c.trackOrders(now)
}

// trackOrders keeps a state for just the orders in the ledger.
func (c *Controller) trackOrders(now time.Duration) {
	kept := make(map[string]*orderState, len(c.base.Orders))
	for _, o := range c.base.Orders {
		st := c.orders[o.ID]
		if st == nil {
			st = &orderState{machine: orderChart.NewAt(OrderUnknown), firstSeen: now}
		}
		kept[o.ID] = st
	}
	for id, st := range c.orders {
		if kept[id] == nil {
			fire(st.machine, eventDied)
		}
	}
	c.orders = kept
}

// recorded sends the orders of a write that is known to have taken effect. An
// order past the send window stays recorded and is never sent, so that other
// instances can bound the arrival of its last copy.
func (c *Controller) recorded(now time.Duration, w *pendingWrite) []Action {
	var actions []Action
	for _, o := range w.orders {
		m := orderChart.New()
		fire(m, eventWritten)
		c.orders[o.ID] = &orderState{machine: m, firstSeen: now}
		if c.stopped || now-w.started > c.opt.SendWindow {
			fire(m, eventWithhold)
			continue
		}
		fire(m, eventSend)
		actions = append(actions, SendOrder{Order: o})
	}
	return actions
}

func (c *Controller) pollDone(now time.Duration, m PollDone) {
	asked := c.poll.started
	if !c.poll.end(m.ID) {
		return
	}
	c.nextPoll = now + c.opt.PollEvery
	if m.Err != nil {
		fire(c.upstream, eventSilent)
		return
	}
	event := eventReport
	if m.Report.Leaving {
		event = eventReportLeaving
	}
	fire(c.upstream, event)
	if c.boot != m.Report.Boot {
		c.boot = m.Report.Boot
		c.awaiting = c.opt.AwaitWanted
	}
	c.base = c.base.Observe(m.Report, func(id string) bool { return c.expired(id, asked) })
	c.settle(m.Report)
	c.trackOrders(now)
	if c.opt.PollBusy > 0 && c.adapterAwaited() {
		c.nextPoll = now + c.opt.PollBusy
	}
}

// adapterAwaited says whether a wanted adapter is not ready yet.
func (c *Controller) adapterAwaited() bool {
	return slices.ContainsFunc(c.want, func(w Want) bool { return w.Key.Adapter != "" && !c.base.Ready(w.Key) })
}

// expired says whether all copies of an order had arrived before a report was
// asked for: the order was recorded before it was first seen here, is sent
// within the send window of that, and arrives within MaxOrderDelay.
func (c *Controller) expired(id string, asked time.Duration) bool {
	bound := c.opt.Promise.MaxOrderDelay
	st := c.orders[id]
	if bound <= 0 || st == nil {
		return false
	}
	bound += c.opt.SendWindow
	bound += bound / driftDivisor
	return asked-st.firstSeen > bound
}

func (c *Controller) settle(r engine.Report) {
	for _, s := range r.Settled {
		if st := c.orders[s.OrderID]; st != nil {
			fire(st.machine, eventSettled)
		}
	}
}

func (c *Controller) orderDone(m OrderDone) {
	st := c.orders[m.ID]
	if st == nil {
		return
	}
	switch {
	case m.Err != nil:
		fire(st.machine, eventNoAnswer)
	case m.Reply.Accepted:
		fire(st.machine, eventAccepted)
	default:
		fire(st.machine, eventRefused)
		st.retry = true
		c.base.Fence = max(c.base.Fence, m.Reply.Fence)
	}
}

func (c *Controller) listed(m Listed) {
	switch {
	case !m.Present:
		fire(c.upstream, eventUnlisted)
	case m.State == platform.InstanceLeaving:
		fire(c.upstream, eventListedLeaving)
	default:
		fire(c.upstream, eventListedLive)
	}
}
