package emulator

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// maxOutcomes is the number of latest order outcomes that a report shows.
const maxOutcomes = 256

// Reasons of refused orders.
const (
	ReasonStaleFencingToken = "fence is below the highest one seen"
	ReasonNoMemory          = "not enough memory"
	ReasonModelNotReady     = "the adapter's model is not ready"
	ReasonNotResident       = "not resident"
	ReasonAlreadyResident   = "already resident"
	ReasonUnknownOp         = "unknown operation"
	ReasonInvalidSize       = "memory_mb is not positive"
	ReasonModelMissing      = "no model named"
	ReasonUnknownRole       = "unknown role"
)

// allocation is the memory of one resident model or adapter, with the state of its
// load or unload.
type allocation struct {
	engine.Resident
	fetchID     uint64        // fetch that a loading resident waits for
	unloadOrder string        // id of the order that unloads it
	freeAt      time.Duration // end of the unload; valid if freeing is set
	freeing     bool          // no request uses it any more and the unload time is running
}

// memory is the accelerator's memory.
type memory struct {
	allocations  []*allocation
	outcomes     []engine.OrderOutcome // oldest first
	fencingToken uint64                // highest one seen
	seq          uint64                // of the report; grows with every change
	lastFetch    uint64                // id of the latest fetch
}

// used returns the memory in use in MB.
func (m *memory) used() int64 {
	sum := int64(0)
	for _, it := range m.allocations {
		sum += it.MemoryMB
	}
	return sum
}

// ready reports whether requests for a model, and for its adapter if that is not
// empty, can run.
func (m *memory) ready(model, adapter string) bool {
	isReady := func(name string) bool {
		return slices.ContainsFunc(m.allocations, func(it *allocation) bool {
			return it.Model == model && it.Adapter == name && it.State == engine.ResidencyReady
		})
	}
	return isReady("") && (adapter == "" || isReady(adapter))
}

// readyVersion returns the version of a model, among those that are ready, whose
// load was ordered last.
func (m *memory) readyVersion(model string) string {
	version := ""
	for _, it := range m.allocations {
		if it.Model == model && it.Adapter == "" && it.State == engine.ResidencyReady {
			version = it.Version
		}
	}
	return version
}

// find returns the allocations that an order refers to. An unload order without a
// version refers to all versions.
func (m *memory) find(o engine.Order) []*allocation {
	unload := o.Op == engine.OpUnload || o.Op == engine.OpUnloadAdapter
	var found []*allocation
	for _, it := range m.allocations {
		sameVersion := it.Version == o.Version || (unload && o.Version == "")
		if it.Model == o.Model && it.Adapter == o.Adapter && sameVersion {
			found = append(found, it)
		}
	}
	return found
}

// nextFree returns the time at which the next unload ends, if one is running.
func (m *memory) nextFree() (time.Duration, bool) {
	due, ok := time.Duration(0), false
	for _, it := range m.allocations {
		if it.freeing && (!ok || it.freeAt < due) {
			due, ok = it.freeAt, true
		}
	}
	return due, ok
}

// recordOutcome records the outcome of an order.
func (m *memory) recordOutcome(id string, applied bool) {
	m.seq++
	m.outcomes = append(m.outcomes, engine.OrderOutcome{OrderID: id, Applied: applied})
	if extra := len(m.outcomes) - maxOutcomes; extra > 0 {
		m.outcomes = slices.Delete(m.outcomes, 0, extra)
	}
}

// handleOrder carries out an order and emits the reply.
func (e *Engine) handleOrder(o engine.Order) {
	reason := e.orderRefusal(o)
	if reason == "" {
		reason = e.apply(o)
	}
	if reason == "" || reason == ReasonAlreadyResident {
		e.counters.OrdersAccepted++
	} else {
		e.counters.OrdersRefused++
	}
	e.emit(OrderReplied{Reply: engine.OrderReply{
		Accepted:     reason == "" || reason == ReasonAlreadyResident,
		Reason:       reason,
		FencingToken: e.memory.fencingToken,
	}})
}

// orderRefusal returns why an order is invalid or stale, or "" if it is neither.
// It records a higher fencing token.
func (e *Engine) orderRefusal(o engine.Order) string {
	if o.Model == "" && o.Op != engine.OpSetRole {
		return ReasonModelMissing
	}
	if !e.settings.Fencing {
		return ""
	}
	if o.FencingToken < e.memory.fencingToken {
		return ReasonStaleFencingToken
	}
	if o.FencingToken > e.memory.fencingToken {
		e.memory.fencingToken = o.FencingToken
		e.memory.seq++
	}
	return ""
}

// apply carries out an order and returns the reason if it is refused.
func (e *Engine) apply(o engine.Order) string {
	switch o.Op {
	case engine.OpLoad:
		o.Adapter = ""
		return e.load(o)
	case engine.OpLoadAdapter:
		return e.load(o)
	case engine.OpUnload:
		o.Adapter = ""
		return e.unload(o)
	case engine.OpUnloadAdapter:
		return e.unload(o)
	case engine.OpSetRole:
		return e.setRole(o)
	}
	return ReasonUnknownOp
}

// load starts a load, whose memory is in use from now on. If the same order is
// delivered again while what it loads is resident, its recorded outcome does not
// change.
func (e *Engine) load(o engine.Order) string {
	resident := e.memory.find(o)
	if len(resident) > 0 && resident[0].OrderID == o.ID {
		e.counters.LoadsOfResident++
		return ReasonAlreadyResident
	}
	if reason := e.loadRefusal(o); reason != "" {
		e.memory.recordOutcome(o.ID, false)
		return reason
	}
	e.memory.lastFetch++
	e.memory.allocations = append(e.memory.allocations, &allocation{
		Resident: engine.Resident{
			Model:    o.Model,
			Adapter:  o.Adapter,
			Version:  o.Version,
			MemoryMB: o.MemoryMB,
			State:    engine.ResidencyLoading,
			OrderID:  o.ID,
		},
		fetchID: e.memory.lastFetch,
	})
	if o.Adapter == "" {
		e.counters.ModelLoads++
	} else {
		e.counters.AdapterLoads++
	}
	e.residencyChanged()
	e.emit(FetchWeights{ID: e.memory.lastFetch, Model: o.Model, Adapter: o.Adapter, Version: o.Version})
	return ""
}

// loadRefusal returns why a load is refused, or "" if it can start.
func (e *Engine) loadRefusal(o engine.Order) string {
	switch {
	case o.MemoryMB <= 0:
		return ReasonInvalidSize
	case len(e.memory.find(o)) > 0:
		e.counters.LoadsOfResident++
		return ReasonAlreadyResident
	case o.Op == engine.OpLoadAdapter && !e.memory.ready(o.Model, ""):
		return ReasonModelNotReady
	case e.settings.RefuseOvercommit && e.memory.used()+o.MemoryMB > e.settings.MemoryMB:
		return ReasonNoMemory
	}
	return ""
}

// finishFetch completes a load, unless an unload of the resident was ordered
// meanwhile.
func (e *Engine) finishFetch(f WeightsFetched) {
	i := slices.IndexFunc(e.memory.allocations, func(it *allocation) bool {
		return it.fetchID == f.ID && it.State == engine.ResidencyLoading
	})
	if i < 0 {
		return
	}
	it := e.memory.allocations[i]
	if f.OK {
		it.State = engine.ResidencyReady
	} else {
		e.memory.allocations = slices.Delete(e.memory.allocations, i, i+1)
	}
	e.memory.recordOutcome(it.OrderID, f.OK)
	e.residencyChanged()
}

// unload starts an unload. The memory stays in use until the running requests have
// ended and the unload time has passed. Unloading the last version of a model
// unloads its adapters too.
func (e *Engine) unload(o engine.Order) string {
	found := e.memory.find(o)
	if o.Op == engine.OpUnload && len(found) > 0 {
		found = append(found, e.orphanedAdapters(found)...)
	}
	if len(found) == 0 {
		e.memory.recordOutcome(o.ID, false)
		return ReasonNotResident
	}
	for _, it := range found {
		e.beginUnload(it, o.ID)
	}
	e.residencyChanged()
	return ""
}

// orphanedAdapters returns the adapters of the model of unloading, if no version
// of that model stays resident besides those in unloading. Otherwise it returns
// nil.
func (e *Engine) orphanedAdapters(unloading []*allocation) []*allocation {
	model := unloading[0].Model
	var adapters []*allocation
	for _, it := range e.memory.allocations {
		if it.Model != model {
			continue
		}
		if it.Adapter != "" {
			adapters = append(adapters, it)
			continue
		}
		if !slices.Contains(unloading, it) && it.State != engine.ResidencyUnloading {
			return nil
		}
	}
	return adapters
}

// beginUnload marks an allocation as unloading, if it is not so already. If its
// load is not finished, the load order is recorded as not applied.
func (e *Engine) beginUnload(it *allocation, orderID string) {
	if it.State == engine.ResidencyUnloading {
		return
	}
	if it.State == engine.ResidencyLoading {
		e.memory.recordOutcome(it.OrderID, false)
	}
	it.State = engine.ResidencyUnloading
	it.unloadOrder = orderID
}

// finishUnloads starts the unload time of residents that no request uses any more,
// and frees the memory of those whose unload time has passed.
func (e *Engine) finishUnloads(now time.Duration) {
	for _, it := range e.memory.allocations {
		if it.State == engine.ResidencyUnloading && !it.freeing && !e.inUse(it.Resident) {
			it.freeing = true
			it.freeAt = now + e.settings.UnloadTime
		}
	}
	var done []string
	e.memory.allocations = slices.DeleteFunc(e.memory.allocations, func(it *allocation) bool {
		if !it.freeing || it.freeAt > now {
			return false
		}
		if it.Adapter == "" {
			e.evictModel(it.Model)
		}
		if !slices.Contains(done, it.unloadOrder) {
			done = append(done, it.unloadOrder)
		}
		return true
	})
	for _, id := range done {
		e.recordUnload(id)
	}
}

// recordUnload records the outcome of an unload order once all allocations that it
// unloads are freed.
func (e *Engine) recordUnload(id string) {
	pending := slices.ContainsFunc(e.memory.allocations, func(it *allocation) bool { return it.unloadOrder == id })
	if !pending {
		e.memory.recordOutcome(id, true)
	}
	e.residencyChanged()
}

// residencyChanged records a change of residency, and counts an overcommit if more
// memory is in use than Settings.MemoryMB.
func (e *Engine) residencyChanged() {
	e.memory.seq++
	used := e.memory.used()
	e.counters.MaxUsedMB = max(e.counters.MaxUsedMB, used)
	if used > e.settings.MemoryMB {
		e.counters.Overcommit++
	}
}

// Residency returns a report without the load figures. Unlike those, its fields
// are always current.
func (e *Engine) Residency() engine.Report {
	r := engine.Report{
		Seq:          e.memory.seq,
		FencingToken: e.memory.fencingToken,
		Role:         e.role,
		MemoryMB:     e.settings.MemoryMB,
		Resident:     []engine.Resident{},
		Outcomes:     slices.Clone(e.memory.outcomes),
	}
	for _, it := range e.memory.allocations {
		r.Resident = append(r.Resident, it.Resident)
	}
	return r
}
