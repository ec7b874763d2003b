package ledger

import (
	"fmt"
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// fencingKind is how a fake engine treats fencing tokens.
type fencingKind int

const (
	fencingDurable  fencingKind = iota // refuses lower tokens, also after a reboot
	fencingVolatile                    // refuses lower tokens until a reboot resets the highest one
	fencingIgnored
)

// fakeEngine executes every order that its fencing allows, even if its memory
// does not suffice.
type fakeEngine struct {
	fencing      fencingKind
	boots        int
	seq          uint64
	highestToken uint64
	resident     []engine.Resident
	settled      []engine.OrderOutcome
}

func (e *fakeEngine) used() int64 {
	var sum int64
	for _, r := range e.resident {
		sum += r.MemoryMB
	}
	return sum
}

func (e *fakeEngine) applyOrder(o engine.Order) engine.OrderReply {
	if e.fencing != fencingIgnored {
		if o.FencingToken < e.highestToken {
			return engine.OrderReply{Reason: "old fencing token", FencingToken: e.highestToken}
		}
		e.highestToken = o.FencingToken
	}
	e.seq++
	i := slices.IndexFunc(e.resident, func(r engine.Resident) bool { return ResidentKey(r) == OrderKey(o) })
	switch {
	case isLoad(o.Op) && i < 0:
		e.resident = append(e.resident, engine.Resident{
			Model: o.Model, MemoryMB: o.MemoryMB, State: engine.ResidencyLoading, OrderID: o.ID,
		})
	case !isLoad(o.Op) && i >= 0:
		e.resident[i].State = engine.ResidencyUnloading
	default:
		e.settled = append(e.settled, engine.OrderOutcome{OrderID: o.ID, Applied: true})
	}
	return engine.OrderReply{Accepted: true, FencingToken: e.highestToken}
}

// progress completes the load or unload at one position, or fails the load.
func (e *fakeEngine) progress(i int, fail bool) {
	if len(e.resident) == 0 {
		return
	}
	e.seq++
	i %= len(e.resident)
	r := &e.resident[i]
	switch {
	case r.State == engine.ResidencyUnloading || r.State == engine.ResidencyLoading && fail:
		e.resident = slices.Delete(e.resident, i, i+1)
	case r.State == engine.ResidencyLoading:
		r.State = engine.ResidencyReady
		e.settled = append(e.settled, engine.OrderOutcome{OrderID: r.OrderID, Applied: true})
	}
}

func (e *fakeEngine) reboot() {
	e.boots++
	e.seq = 0
	e.resident, e.settled = nil, nil
	if e.fencing == fencingVolatile {
		e.highestToken = 0
	}
}

func (e *fakeEngine) report() engine.Report {
	return engine.Report{
		Boot: fmt.Sprint("boot-", e.boots), Seq: e.seq, FencingToken: e.highestToken,
		MemoryMB: sizeMB, Resident: slices.Clone(e.resident), Outcomes: slices.Clone(e.settled),
	}
}
