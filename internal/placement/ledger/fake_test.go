package ledger

import (
	"fmt"
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// sort of a fake engine.
type sort int

const (
	fenceDurable  sort = iota // refuses old fences, also after a reboot
	fenceVolatile             // refuses old fences, forgets them at a reboot
	fenceIgnored
)

// fakeEngine does whatever an order says, also if memory does not suffice.
type fakeEngine struct {
	sort    sort
	boots   int
	seq     uint64
	fence   uint64
	held    []engine.Resident
	settled []engine.Settled
}

func (e *fakeEngine) used() int64 {
	var sum int64
	for _, r := range e.held {
		sum += r.MemoryMB
	}
	return sum
}

func (e *fakeEngine) order(o engine.Order) engine.OrderReply {
	if e.sort != fenceIgnored {
		if o.Fence < e.fence {
			return engine.OrderReply{Reason: "old fence", Fence: e.fence}
		}
		e.fence = o.Fence
	}
	e.seq++
	i := slices.IndexFunc(e.held, func(r engine.Resident) bool { return ResidentKey(r) == OrderKey(o) })
	switch {
	case loads(o.Op) && i < 0:
		e.held = append(e.held, engine.Resident{
			Model: o.Model, MemoryMB: o.MemoryMB, State: engine.ResidencyLoading, OrderID: o.ID,
		})
	case !loads(o.Op) && i >= 0:
		e.held[i].State = engine.ResidencyUnloading
	default:
		e.settled = append(e.settled, engine.Settled{OrderID: o.ID, Applied: true})
	}
	return engine.OrderReply{Accepted: true, Fence: e.fence}
}

// progress ends the loading or unloading at one position, or fails a load.
func (e *fakeEngine) progress(i int, fail bool) {
	if len(e.held) == 0 {
		return
	}
	e.seq++
	i %= len(e.held)
	r := &e.held[i]
	switch {
	case r.State == engine.ResidencyUnloading || r.State == engine.ResidencyLoading && fail:
		e.held = slices.Delete(e.held, i, i+1)
	case r.State == engine.ResidencyLoading:
		r.State = engine.ResidencyReady
		e.settled = append(e.settled, engine.Settled{OrderID: r.OrderID, Applied: true})
	}
}

func (e *fakeEngine) reboot() {
	e.boots++
	e.seq = 0
	e.held, e.settled = nil, nil
	if e.sort == fenceVolatile {
		e.fence = 0
	}
}

func (e *fakeEngine) report() engine.Report {
	return engine.Report{
		Boot: fmt.Sprint("boot-", e.boots), Seq: e.seq, Fence: e.fence,
		MemoryMB: sizeMB, Resident: slices.Clone(e.held), Settled: slices.Clone(e.settled),
	}
}
