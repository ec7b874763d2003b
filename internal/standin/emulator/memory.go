package emulator

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// maxSettled bounds the settled orders that a report shows.
const maxSettled = 256

// Reasons of refused orders.
const (
	ReasonOldFence   = "fence is below the highest one seen"
	ReasonNoMemory   = "not enough memory"
	ReasonNoModel    = "the adapter's model is not ready"
	ReasonNotThere   = "not resident"
	ReasonThere      = "already resident"
	ReasonUnknownOp  = "unknown operation"
	ReasonNoSize     = "memory_mb is not positive"
	ReasonNoModelSet = "no model named"
	ReasonNoRole     = "unknown role"
)

// item is one resident and what it waits for.
type item struct {
	engine.Resident
	load    uint64 // fetch that it waits for while it loads
	unload  string // order that unloads it
	leaves  time.Duration
	leaving bool // leaves is set
}

// memory is the accelerator's memory.
type memory struct {
	items    []*item
	settled  []engine.Settled
	fence    uint64
	seq      uint64
	lastLoad uint64
}

func (m *memory) used() int64 {
	sum := int64(0)
	for _, it := range m.items {
		sum += it.MemoryMB
	}
	return sum
}

// ready reports whether requests for a model, and adapter if named, can run.
func (m *memory) ready(model, adapter string) bool {
	isReady := func(name string) bool {
		return slices.ContainsFunc(m.items, func(it *item) bool {
			return it.Model == model && it.Adapter == name && it.State == engine.ResidencyReady
		})
	}
	return isReady("") && (adapter == "" || isReady(adapter))
}

// readyVersion returns the ready version of a model that loaded last.
func (m *memory) readyVersion(model string) string {
	version := ""
	for _, it := range m.items {
		if it.Model == model && it.Adapter == "" && it.State == engine.ResidencyReady {
			version = it.Version
		}
	}
	return version
}

// find returns the resident of a load order, or those that an unload order
// names; an unload without a version means every version.
func (m *memory) find(o engine.Order) []*item {
	unload := o.Op == engine.OpUnload || o.Op == engine.OpUnloadAdapter
	var found []*item
	for _, it := range m.items {
		sameVersion := it.Version == o.Version || (unload && o.Version == "")
		if it.Model == o.Model && it.Adapter == o.Adapter && sameVersion {
			found = append(found, it)
		}
	}
	return found
}

func (m *memory) nextUnload() (time.Duration, bool) {
	due, ok := time.Duration(0), false
	for _, it := range m.items {
		if it.leaving && (!ok || it.leaves < due) {
			due, ok = it.leaves, true
		}
	}
	return due, ok
}

func (m *memory) settle(id string, applied bool) {
	m.seq++
	m.settled = append(m.settled, engine.Settled{OrderID: id, Applied: applied})
	if extra := len(m.settled) - maxSettled; extra > 0 {
		m.settled = slices.Delete(m.settled, 0, extra)
	}
}

// order carries out an order and emits the reply to it.
func (e *Engine) order(o engine.Order) {
	reason := e.orderRefusal(o)
	if reason == "" {
		reason = e.apply(o)
	}
	if reason == "" || reason == ReasonThere {
		e.counters.OrdersAccepted++
	} else {
		e.counters.OrdersRefused++
	}
	e.emit(Replied{Reply: engine.OrderReply{
		Accepted: reason == "" || reason == ReasonThere,
		Reason:   reason,
		Fence:    e.memory.fence,
	}})
}

func (e *Engine) orderRefusal(o engine.Order) string {
	if o.Model == "" && o.Op != engine.OpSetRole {
		return ReasonNoModelSet
	}
	if !e.set.Fencing {
		return ""
	}
	if o.Fence < e.memory.fence {
		return ReasonOldFence
	}
	if o.Fence > e.memory.fence {
		e.memory.fence = o.Fence
		e.memory.seq++
	}
	return ""
}

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

// load begins to load. Its memory is in use from now on. A second delivery of
// the order that the resident came by leaves that order's outcome as it is.
func (e *Engine) load(o engine.Order) string {
	there := e.memory.find(o)
	if len(there) > 0 && there[0].OrderID == o.ID {
		e.counters.LoadsOfResident++
		return ReasonThere
	}
	if reason := e.loadRefusal(o); reason != "" {
		e.memory.settle(o.ID, false)
		return reason
	}
	e.memory.lastLoad++
	e.memory.items = append(e.memory.items, &item{
		Resident: engine.Resident{
			Model:    o.Model,
			Adapter:  o.Adapter,
			Version:  o.Version,
			MemoryMB: o.MemoryMB,
			State:    engine.ResidencyLoading,
			OrderID:  o.ID,
		},
		load: e.memory.lastLoad,
	})
	if o.Adapter == "" {
		e.counters.ModelLoads++
	} else {
		e.counters.AdapterLoads++
	}
	e.changed()
	e.emit(Fetch{Load: e.memory.lastLoad, Model: o.Model, Adapter: o.Adapter, Version: o.Version})
	return ""
}

func (e *Engine) loadRefusal(o engine.Order) string {
	switch {
	case o.MemoryMB <= 0:
		return ReasonNoSize
	case len(e.memory.find(o)) > 0:
		e.counters.LoadsOfResident++
		return ReasonThere
	case o.Op == engine.OpLoadAdapter && !e.memory.ready(o.Model, ""):
		return ReasonNoModel
	case e.set.RefuseOvercommit && e.memory.used()+o.MemoryMB > e.set.MemoryMB:
		return ReasonNoMemory
	}
	return ""
}

// fetched ends a load, unless the resident was unloaded meanwhile.
func (e *Engine) fetched(f Fetched) {
	i := slices.IndexFunc(e.memory.items, func(it *item) bool {
		return it.load == f.Load && it.State == engine.ResidencyLoading
	})
	if i < 0 {
		return
	}
	it := e.memory.items[i]
	if f.OK {
		it.State = engine.ResidencyReady
	} else {
		e.memory.items = slices.Delete(e.memory.items, i, i+1)
	}
	e.memory.settle(it.OrderID, f.OK)
	e.changed()
}

// unload begins to unload. The memory is in use until running requests ended
// and the unload time passed. A model takes its adapters along.
func (e *Engine) unload(o engine.Order) string {
	found := e.memory.find(o)
	if o.Op == engine.OpUnload && len(found) > 0 {
		found = append(found, e.adaptersLeftBehind(found)...)
	}
	if len(found) == 0 {
		e.memory.settle(o.ID, false)
		return ReasonNotThere
	}
	for _, it := range found {
		e.beginUnload(it, o.ID)
	}
	e.changed()
	return ""
}

// adaptersLeftBehind returns the adapters of a model none of whose versions
// stays.
func (e *Engine) adaptersLeftBehind(going []*item) []*item {
	model := going[0].Model
	var adapters []*item
	for _, it := range e.memory.items {
		if it.Model != model {
			continue
		}
		if it.Adapter != "" {
			adapters = append(adapters, it)
			continue
		}
		if !slices.Contains(going, it) && it.State != engine.ResidencyUnloading {
			return nil
		}
	}
	return adapters
}

func (e *Engine) beginUnload(it *item, order string) {
	if it.State == engine.ResidencyUnloading {
		return
	}
	if it.State == engine.ResidencyLoading {
		e.memory.settle(it.OrderID, false)
	}
	it.State = engine.ResidencyUnloading
	it.unload = order
}

// finishUnloads starts the clock of unloads whose requests ended, and frees
// the memory of those that are due.
func (e *Engine) finishUnloads(now time.Duration) {
	for _, it := range e.memory.items {
		if it.State == engine.ResidencyUnloading && !it.leaving && !e.busy(it.Resident) {
			it.leaving = true
			it.leaves = now + e.set.UnloadTime
		}
	}
	var done []string
	e.memory.items = slices.DeleteFunc(e.memory.items, func(it *item) bool {
		if !it.leaving || it.leaves > now {
			return false
		}
		if it.Adapter == "" {
			e.evictModel(it.Model)
		}
		if !slices.Contains(done, it.unload) {
			done = append(done, it.unload)
		}
		return true
	})
	for _, id := range done {
		e.settleUnload(id)
	}
}

// settleUnload settles an unload once nothing that it names is left.
func (e *Engine) settleUnload(id string) {
	pending := slices.ContainsFunc(e.memory.items, func(it *item) bool { return it.unload == id })
	if !pending {
		e.memory.settle(id, true)
	}
	e.changed()
}

// changed counts a change of residency and checks the memory.
func (e *Engine) changed() {
	e.memory.seq++
	used := e.memory.used()
	e.counters.MaxUsedMB = max(e.counters.MaxUsedMB, used)
	if used > e.set.MemoryMB {
		e.counters.Overcommit++
	}
}

// Residency fills in the part of a report that does not lag.
func (e *Engine) Residency() engine.Report {
	r := engine.Report{
		Seq:      e.memory.seq,
		Fence:    e.memory.fence,
		Role:     e.role,
		MemoryMB: e.set.MemoryMB,
		Resident: []engine.Resident{},
		Settled:  slices.Clone(e.memory.settled),
	}
	for _, it := range e.memory.items {
		r.Resident = append(r.Resident, it.Resident)
	}
	return r
}
