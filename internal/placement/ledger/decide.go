package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// maxOrdersPerWrite is the maximum number of orders that one conditional update
// records; several adapter orders share a write.
const maxOrdersPerWrite = 8

// startWrite starts a write that claims the ledger and records the orders that
// are due, if there is anything to write.
func (c *Controller) startWrite(now time.Duration) []Action {
	next := c.ledger
	next.Owner = c.opt.Owner
	next.Writer = c.opt.Writer
	next.Attempt = c.attempt + 1
	next.MemoryMB = c.opt.MemoryMB
	next.DurableFencing = c.opt.Guarantees.DurableFencing
	next.Location = c.opt.Location
	var orders []engine.Order
	if c.State() == UpstreamLive && !c.awaitingWanted {
		next, orders = c.reserve(now, next)
	}
	if len(orders) == 0 && c.ledger.Owner == c.opt.Owner && c.ledger.Location == c.opt.Location {
		return nil
	}
	value, err := next.Encode()
	if err != nil {
		return []Action{ReportInvalid{Err: err}}
	}
	c.attempt++
	c.write = &pendingWrite{attempt: c.attempt, started: now, next: next, orders: orders}
	return []Action{WriteObject{Attempt: c.attempt, Object: objectstore.Object{
		Kind: objectstore.KindLedger, Name: c.opt.Upstream, Version: c.version, Value: value,
	}}}
}

// reserve records the orders that are due: unloads first, then loads by
// urgency. A load that does not fit waits until memory is proven free.
func (c *Controller) reserve(now time.Duration, l Ledger) (Ledger, []engine.Order) {
	var orders []engine.Order
	for _, o := range append(c.dueUnloads(now), c.dueLoads(now)...) {
		if len(orders) == maxOrdersPerWrite {
			break
		}
		o.ID = fmt.Sprintf("%s/%d/%d", c.opt.Writer, l.Attempt, len(orders))
		next, recorded, err := l.Reserve(o)
		if err != nil {
			continue
		}
		l = next
		orders = append(orders, recorded)
	}
	return l, orders
}

// wanted reports whether a key is in the wanted set.
func (c *Controller) wanted(k Key) bool {
	return slices.ContainsFunc(c.want, func(w WantedModel) bool { return w.Key == k })
}

// dueUnloads returns unload orders for keys that are resident, or may become so,
// and are not wanted. At an engine with durable fencing an unload also serves as
// a barrier: its higher fencing token proves a lost load order dead. At other
// engines only the passing of time does.
func (c *Controller) dueUnloads(now time.Duration) []engine.Order {
	var due []engine.Order
	for _, r := range c.ledger.Resident {
		k := ResidentKey(r)
		if !c.wanted(k) && r.State != engine.ResidencyUnloading && c.due(now, k, false) {
			due = append(due, unloadOrder(k))
		}
	}
	if !c.ledger.FenceProvesDead() {
		return due
	}
	for _, o := range c.ledger.Orders {
		k := OrderKey(o)
		_, resident := c.ledger.FindResident(k)
		if isLoad(o.Op) && !resident && !c.wanted(k) && c.due(now, k, false) {
			due = append(due, unloadOrder(k))
		}
	}
	return due
}

// dueLoads returns load orders for wanted keys that are not resident or that an
// earlier order may still unload. In the latter case a load serves as a barrier
// at an engine with durable fencing; at other engines the load waits until no
// copy of the unload can arrive.
func (c *Controller) dueLoads(now time.Duration) []engine.Order {
	var due []engine.Order
	for _, w := range c.want {
		r, resident := c.ledger.FindResident(w.Key)
		_, unloadPending := c.ledger.PendingOrder(w.Key, false)
		barrier := unloadPending && c.ledger.FenceProvesDead()
		blocked := unloadPending && !c.ledger.FenceProvesDead()
		unloading := resident && r.State == engine.ResidencyUnloading
		if unloading || blocked || resident && !barrier {
			continue
		}
		if c.due(now, w.Key, true) {
			due = append(due, loadOrder(w))
		}
	}
	return due
}

// due reports whether a key has no recent load or unload order, so that a new
// one may be recorded.
func (c *Controller) due(now time.Duration, k Key, load bool) bool {
	o, pending := c.ledger.PendingOrder(k, load)
	if !pending {
		return true
	}
	st := c.orders[o.ID]
	return st == nil || st.retry || now-st.firstSeen >= c.opt.RetryAfter
}

func loadOrder(w WantedModel) engine.Order {
	o := engine.Order{Op: engine.OpLoad, MemoryMB: w.MemoryMB}
	if w.Key.Adapter != "" {
		o.Op = engine.OpLoadAdapter
	}
	return withKey(o, w.Key)
}

func unloadOrder(k Key) engine.Order {
	o := engine.Order{Op: engine.OpUnload}
	if k.Adapter != "" {
		o.Op = engine.OpUnloadAdapter
	}
	return withKey(o, k)
}

func withKey(o engine.Order, k Key) engine.Order {
	o.Model = k.Model
	o.Adapter = k.Adapter
	o.Version = k.Version
	return o
}
