package residency

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// Engine is the lease holder's state of one engine.
type Engine struct {
	Upstream fleet.Upstream
	Spec     *fleet.Engine
	Report   fleet.Report
	// ReadAt is when the request for Report was sent, 0 before the first
	// report. An accepted model order sets it too, which delays the next read.
	ReadAt time.Duration
	// Sequence is the engine's sequence number after the report or the last
	// accepted order.
	Sequence int64
	Models   []fleet.ResidentModel
	Busy     bool
	// Loading is the model that is being loaded, and LoadReady is when it
	// should be ready.
	Loading   string
	LoadReady time.Duration
	Unloading string
	// Reserved is the model for which memory is being freed or was freed,
	// until its load is ordered.
	Reserved      string
	reservedUntil time.Duration
	// Requests is the number of requests that all instances have at the
	// engine.
	Requests int

	// limited is whether the engine takes so few requests that its models need
	// replicas elsewhere.
	limited            bool
	longCold           bool          // stays cold for so long that its models need replicas elsewhere
	coldUntil          time.Duration // takes few calls before then
	calledAt           time.Duration // last report or order, 0 for none
	backoffUntil       time.Duration // no call before then
	failures           int
	adapterLastOrdered map[string]time.Duration // model/adapter to the time of its last order
	needsReport        bool                     // the outcome of an order is unknown: read a report first
	callPending        bool
	late               []sentLoad // that former incarnations were sent
}

func (e *Engine) canTakeOrder(now time.Duration) bool {
	return e.ReadAt != 0 && !e.limited && !e.needsReport && !e.callPending && !e.Busy && now >= e.backoffUntil && e.mayCall(now)
}

func (e *Engine) holds(model string) bool { return fleet.FindModel(e.Models, model) != nil }

// assigned reports whether the engine holds the model, is loading it or has
// memory reserved for it, and is not unloading it.
func (e *Engine) assigned(model string) bool {
	return (e.holds(model) || e.Loading == model || e.Reserved == model) && e.Unloading != model
}

// assignedModels returns the models for which assigned reports true.
func (e *Engine) assignedModels() []string {
	var out []string
	add := func(name string) {
		if name != "" && name != e.Unloading && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for i := range e.Models {
		add(e.Models[i].Model)
	}
	add(e.Loading)
	add(e.Reserved)
	return out
}

func (e *Engine) usedMB() float64 {
	mb := 0.0
	for _, m := range e.Models {
		if spec := e.Spec.Models[m.Model]; spec != nil {
			mb += spec.WeightsMB + float64(len(m.Adapters))*spec.AdapterMB
		}
	}
	return mb
}

func (e *Engine) freeMB() float64 { return e.Spec.MemoryMB - e.usedMB() }

func (e *Engine) adapterCount() int {
	n := 0
	for _, m := range e.Models {
		n += len(m.Adapters)
	}
	return n
}

// memoryMarginMB is the memory kept free in addition to the configured sizes,
// in MB.
const memoryMarginMB = 1.0

// roomMB returns the memory that a load of the model or adapter may take. Late loads have theirs.
func (e *Engine) roomMB(model, adapter string) float64 {
	return e.freeMB() - e.lateMB(model, adapter) - memoryMarginMB
}

func (e *Engine) fits(m *fleet.Model) bool { return e.roomMB(m.Name, "") >= m.WeightsMB }

// waitsForLate reports whether a model that does not fit would, but for late loads.
func (e *Engine) waitsForLate(m *fleet.Model) bool { return e.freeMB()-memoryMarginMB >= m.WeightsMB }

// loadTime returns how long a load of the model takes on this engine, and
// whether it reads from the weight store.
func (e *Engine) loadTime(m *fleet.Model) (d time.Duration, fromStore bool) {
	switch {
	case slices.Contains(e.Report.InMemory, m.Name) && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime, false
	case slices.Contains(e.Report.OnDisk, m.Name) && m.DiskLoadTime > 0:
		return m.DiskLoadTime, false
	}
	return m.StoreLoadTime, true
}

// applyReport applies a report that was requested at sentAt.
func (e *Engine) applyReport(sentAt time.Duration, r fleet.Report) {
	if r.Sequence < e.Sequence && (r.StartedAtMS == 0 || r.StartedAtMS == e.Upstream.StartedAtMS) && e.ReadAt != 0 {
		e.ReadAt = sentAt // the report predates the last accepted order: read another, but not at once
		return
	}
	e.Report, e.ReadAt, e.Sequence = r, sentAt, r.Sequence
	e.Models = cloneModels(r.Models)
	e.Busy, e.needsReport = r.Busy, false
	if !r.Busy {
		e.Loading, e.Unloading = "", ""
	}
}

func cloneModels(in []fleet.ResidentModel) []fleet.ResidentModel {
	out := slices.Clone(in)
	for i := range out {
		out[i].Adapters = slices.Clone(out[i].Adapters)
	}
	return out
}
