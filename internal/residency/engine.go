package residency

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// Engine is what the holder knows of one engine.
type Engine struct {
	Entry  fleet.Upstream
	Spec   *fleet.Engine
	Report fleet.Report
	// ReadAt is when the request for Report was sent, 0 before the first.
	ReadAt time.Duration
	// Sequence is that of the report or of the last accepted order.
	Sequence int64
	Models   []fleet.ResidentModel
	Busy     bool
	// Loading is the model that is being loaded, and when it should be ready.
	Loading   string
	LoadReady time.Duration
	Unloading string
	// Reserved is the model for which room is made or was made, until a load
	// of it is ordered.
	Reserved      string
	reservedUntil time.Duration
	// Requests is the work that instances have there.
	Requests int

	busyUntil   time.Duration // no order before then
	failures    int
	adapterUsed map[string]time.Duration // model/adapter to when it was ordered or used last
	stale       bool                     // the outcome of an order is open: read a report first
	asking      bool
}

func (e *Engine) usable(now time.Duration) bool {
	return e.ReadAt != 0 && !e.stale && !e.asking && !e.Busy && now >= e.busyUntil
}

func (e *Engine) holds(model string) bool { return fleet.Find(e.Models, model) != nil }

// covers reports whether the model is there or coming, and stays.
func (e *Engine) covers(model string) bool {
	return (e.holds(model) || e.Loading == model || e.Reserved == model) && e.Unloading != model
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

func (e *Engine) freeMB() float64 { return e.Spec.WeightsMB - e.usedMB() }

func (e *Engine) adapters() int {
	n := 0
	for _, m := range e.Models {
		n += len(m.Adapters)
	}
	return n
}

// roomMargin is kept free beside what the configuration says of sizes.
const roomMargin = 1.0 // MB

func (e *Engine) fits(m *fleet.Model) bool { return e.freeMB()-roomMargin >= m.WeightsMB }

// loadTime is how long a load takes here, and whether it is from the store.
func (e *Engine) loadTime(m *fleet.Model) (d time.Duration, fromStore bool) {
	switch {
	case slices.Contains(e.Report.InMemory, m.Name) && m.WarmTime > 0:
		return m.WarmTime, false
	case slices.Contains(e.Report.OnDisk, m.Name) && m.DiskTime > 0:
		return m.DiskTime, false
	}
	return m.LoadTime, true
}

// apply takes in a report that was asked for at sentAt.
func (e *Engine) apply(sentAt time.Duration, r fleet.Report) {
	if r.Sequence < e.Sequence && (r.Born == 0 || r.Born == e.Entry.Born) && e.ReadAt != 0 {
		e.ReadAt = sentAt // as of before the last accepted order: ask again, but not at once
		return
	}
	e.Report, e.ReadAt, e.Sequence = r, sentAt, r.Sequence
	e.Models = cloneModels(r.Models)
	e.Busy, e.stale = r.Busy, false
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
