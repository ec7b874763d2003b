package ledger

import (
	"errors"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/statechart"
)

// driftDivisor allows for clocks whose rates differ by up to one part in
// driftDivisor.
const driftDivisor = 100

// Controller brings one upstream to the wanted set. Each order is recorded by a
// conditional update, then sent once, then followed in the engine's reports; a
// retry is recorded as a new order. It does no I/O, reads no clock and is not
// safe for concurrent use.
//
// Any number of controllers, of current or former owners, may act on one
// upstream: the memory bound depends on the record alone. The owner's fencing
// token only keeps them from undoing each other's changes.
type Controller struct {
	opt            Options
	ledger         Ledger // as stored at version, including later reports
	version        uint64
	known          bool
	superseded     bool // a later owner has claimed the ledger
	want           []WantedModel
	boot           string // id of the engine's run in the latest report received here
	awaitingWanted bool   // no orders until the next SetWanted, see Options.AwaitWanted
	upstream       *statechart.Machine
	orders         map[string]*orderState
	read           call
	poll           call
	nextPoll       time.Duration
	write          *pendingWrite
	attempt        uint64
}

// call tracks a request that accepts at most one answer.
type call struct {
	id      uint64
	started time.Duration
	active  bool
}

// start begins a new request and returns its id.
func (c *call) start(now time.Duration) uint64 {
	c.id++
	c.started = now
	c.active = true
	return c.id
}

// finish ends the request if the answer belongs to it, and reports whether it
// does.
func (c *call) finish(id uint64) bool {
	if !c.active || c.id != id {
		return false
	}
	c.active = false
	return true
}

// expire abandons a request after the timeout, and reports whether it did.
func (c *call) expire(now, timeout time.Duration) bool {
	if !c.active || now-c.started < timeout {
		return false
	}
	c.active = false
	return true
}

// pendingWrite is a conditional update whose outcome is not known yet.
type pendingWrite struct {
	attempt uint64
	started time.Duration
	next    Ledger
	orders  []engine.Order
	unknown bool // the reply was lost: the object has to be read to learn the outcome
}

// orderState is what this instance knows of one order in the ledger.
type orderState struct {
	machine   *statechart.Machine
	firstSeen time.Duration // when it was first seen recorded
	retry     bool          // the order was refused: a new one need not wait for RetryAfter
}

// NewController returns a controller without any knowledge of its upstream.
func NewController(opt Options) *Controller {
	return &Controller{
		opt:      opt,
		upstream: upstreamChart.NewMachine(),
		orders:   map[string]*orderState{},
	}
}

// Ledger returns the ledger as last known, including the latest report.
func (c *Controller) Ledger() Ledger { return c.ledger }

// Boot returns the identifier of the engine's run in the latest report.
func (c *Controller) Boot() string { return c.boot }

// State returns the state of the upstream, as defined in upstream.hujson.
func (c *Controller) State() string { return c.upstream.State() }

// Claimed reports whether the ledger names this owner and includes a report.
// Before that a former owner's unload may still be recorded, so no replica
// counts as the required replica of a home zone.
func (c *Controller) Claimed() bool {
	return c.known && !c.superseded && c.ledger.Owner == c.opt.Owner && c.ledger.HasReport()
}

// OrderStates returns the state of each order in the ledger, by order id.
func (c *Controller) OrderStates() map[string]string {
	states := make(map[string]string, len(c.orders))
	for id, o := range c.orders {
		states[id] = o.machine.State()
	}
	return states
}

// Step processes one message and returns the actions to perform. The time now
// is on the instance's own clock.
func (c *Controller) Step(now time.Duration, msg Message) []Action {
	var actions []Action
	switch m := msg.(type) {
	case SetWanted:
		c.want = m.Set
		c.awaitingWanted = false
	case ReadDone:
		actions = c.readDone(now, m)
	case WriteDone:
		actions = c.writeDone(now, m)
	case PollDone:
		c.pollDone(now, m)
	case OrderDone:
		c.orderDone(m)
	case InstanceListed:
		c.listed(m)
	}
	return append(actions, c.advance(now)...)
}

// advance returns the actions that are due.
func (c *Controller) advance(now time.Duration) []Action {
	c.expireCalls(now)
	if c.superseded {
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

// expireCalls handles the timeouts of calls, writes and orders.
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
	if !c.read.finish(m.ID) {
		return nil
	}
	stored := NewLedger(c.opt.MemoryMB, c.opt.Guarantees.DurableFencing)
	switch {
	case errors.Is(m.Err, objectstore.ErrNotFound):
	case m.Err != nil:
		return nil
	case !m.Object.Deleted:
		var err error
		if stored, err = Decode(m.Object.Value); err != nil {
			return []Action{ReportInvalid{Err: err}}
		}
	}
	w := c.write
	c.write = nil
	c.setLedger(now, stored, m.Object.Version)
	if w == nil {
		return nil
	}
	if stored.Writer == c.opt.Writer && stored.Attempt == w.attempt {
		return c.sendRecorded(now, w)
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
		c.setLedger(now, w.next, m.Version)
		return c.sendRecorded(now, w)
	case errors.Is(m.Err, objectstore.ErrConflict):
		c.write = nil
		c.known = false
	default:
		w.unknown = true
	}
	return nil
}

// setLedger sets the ledger to a stored version. A report requested before that
// version was known may be older than orders in it, so the answer to a pending
// poll is ignored.
func (c *Controller) setLedger(now time.Duration, l Ledger, version uint64) {
	c.ledger = l
	c.version = version
	c.known = true
	c.superseded = l.Owner > c.opt.Owner
	c.poll.active = false
	c.nextPoll = now
	c.trackOrders(now)
}

// trackOrders adds a state for each new order in the ledger and removes the
// states of orders that are no longer in it.
func (c *Controller) trackOrders(now time.Duration) {
	kept := make(map[string]*orderState, len(c.ledger.Orders))
	for _, o := range c.ledger.Orders {
		st := c.orders[o.ID]
		if st == nil {
			st = &orderState{machine: orderChart.NewMachineIn(OrderUnknown), firstSeen: now}
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

// sendRecorded sends the orders of a write that is known to have taken effect.
// An order past the send window stays recorded and is never sent, so that other
// instances can bound the arrival time of its last copy.
func (c *Controller) sendRecorded(now time.Duration, w *pendingWrite) []Action {
	var actions []Action
	for _, o := range w.orders {
		m := orderChart.NewMachine()
		fire(m, eventWritten)
		c.orders[o.ID] = &orderState{machine: m, firstSeen: now}
		if c.superseded || now-w.started > c.opt.SendWindow {
			fire(m, eventWithhold)
			continue
		}
		fire(m, eventSend)
		actions = append(actions, SendOrder{Order: o})
	}
	return actions
}

func (c *Controller) pollDone(now time.Duration, m PollDone) {
	pollStarted := c.poll.started
	if !c.poll.finish(m.ID) {
		return
	}
	c.nextPoll = now + c.opt.PollInterval
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
		c.awaitingWanted = c.opt.AwaitWanted
	}
	c.ledger = c.ledger.WithReport(m.Report, func(id string) bool { return c.expired(id, pollStarted) })
	c.settle(m.Report)
	c.trackOrders(now)
	if c.opt.PollIntervalAdapter > 0 && c.wantedAdapterPending() {
		c.nextPoll = now + c.opt.PollIntervalAdapter
	}
}

// wantedAdapterPending reports whether a wanted adapter is not ready yet.
func (c *Controller) wantedAdapterPending() bool {
	return slices.ContainsFunc(c.want, func(w WantedModel) bool { return w.Key.Adapter != "" && !c.ledger.Ready(w.Key) })
}

// expired reports whether all copies of an order had arrived before a report
// was requested: the order was recorded before it was first seen here, is sent
// within the send window after that, and arrives within MaxOrderDelay.
func (c *Controller) expired(id string, pollStarted time.Duration) bool {
	bound := c.opt.Guarantees.MaxOrderDelay
	st := c.orders[id]
	if bound <= 0 || st == nil {
		return false
	}
	bound += c.opt.SendWindow
	bound += bound / driftDivisor
	return pollStarted-st.firstSeen > bound
}

// settle marks the orders that a report shows as settled.
func (c *Controller) settle(r engine.Report) {
	for _, s := range r.Outcomes {
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
		c.ledger.FencingToken = max(c.ledger.FencingToken, m.Reply.FencingToken)
	}
}

func (c *Controller) listed(m InstanceListed) {
	switch {
	case !m.Present:
		fire(c.upstream, eventUnlisted)
	case m.State == objectstore.InstanceLeaving:
		fire(c.upstream, eventListedLeaving)
	default:
		fire(c.upstream, eventListedLive)
	}
}
