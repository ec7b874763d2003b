// Package ledger counts the accelerator memory of one upstream in the worst
// case of what may still happen: what the engine reports as resident, and
// every load order that is recorded and not proven dead.
//
// A Ledger is a value that lives in one object of platform.KindLedger. All
// changes go through conditional updates, and an order is recorded before it
// is sent. Controller is the decision part that keeps that sequence.
//
// What an engine must promise:
//   - a report is a coherent snapshot, and an accepted load order shows as
//     resident (also while loading) or as settled in every later report;
//   - a model, adapter and version is resident at most once, and an order to
//     load what is resident changes nothing;
//   - either its highest fence survives a restart (Promise.DurableFence), or
//     no copy of an order arrives later than Promise.MaxOrderDelay.
//
// Without the last promise a duplicate of an old order may load a model at
// any later time, so its memory is never counted as free again.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Errors of a Ledger.
var (
	ErrNoMemory   = errors.New("ledger: memory would be overcommitted")
	ErrUnobserved = errors.New("ledger: no report of the engine seen yet")
	ErrInvalid    = errors.New("ledger: invalid value")
)

// Key names what an order loads or unloads.
type Key struct {
	Model   string
	Adapter string
	Version string
}

// OrderKey returns the key of an order.
func OrderKey(o engine.Order) Key {
	return Key{Model: o.Model, Adapter: o.Adapter, Version: o.Version}
}

// ResidentKey returns the key of a resident model or adapter.
func ResidentKey(r engine.Resident) Key {
	return Key{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}

// Ledger is the memory account of one upstream. Methods never change the
// receiver's slices; they return a changed copy.
type Ledger struct {
	// Owner is the fencing number of the lease under which the last owner
	// claimed the ledger. A holder of a lower one stops.
	Owner uint64 `json:"owner"`
	// Writer and Attempt recognise a write whose reply was lost.
	Writer  string `json:"writer"`
	Attempt uint64 `json:"attempt"`
	// Fence is the highest fence recorded or reported. Every order gets one of
	// its own, so a later order kills all earlier ones at a fencing engine.
	Fence uint64 `json:"fence"`
	// DurableFence says that the engine's fence survives its restart.
	DurableFence bool `json:"durable_fence"`
	// FenceLost is set for good when a report disproves DurableFence.
	FenceLost bool `json:"fence_lost,omitempty"`
	// MemoryMB is the accelerator's size in MB.
	MemoryMB int64 `json:"memory_mb"`
	// Place lets a later owner find the engine after it left the document.
	Place Place `json:"place,omitzero"`
	// Boot, Seq and SeenFence come from the latest report; Boot is empty
	// before the first one.
	Boot      string            `json:"boot"`
	Seq       uint64            `json:"seq"`
	SeenFence uint64            `json:"seen_fence"`
	Resident  []engine.Resident `json:"resident"`
	// Orders are those recorded and not proven dead, at most one for each key
	// and kind of operation: a later one outlives the one that it replaces.
	Orders []engine.Order `json:"orders"`
}

// Place is where an engine is, and what its document said of late orders.
type Place struct {
	Zone            string `json:"zone"`
	Address         string `json:"address"` // IP:port
	MaxOrderDelayMS int64  `json:"max_order_delay_ms,omitempty"`
}

// New returns the ledger of an upstream that was never observed. All its
// memory counts as committed until the first report.
func New(memoryMB int64, durableFence bool) Ledger {
	return Ledger{MemoryMB: memoryMB, DurableFence: durableFence}
}

// Decode reads a ledger. It fails with ErrInvalid.
func Decode(value []byte) (Ledger, error) {
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if l.MemoryMB <= 0 {
		return Ledger{}, fmt.Errorf("%w: memory_mb %d is not positive", ErrInvalid, l.MemoryMB)
	}
	return l, nil
}

// Encode returns the JSON value of the ledger.
func (l Ledger) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	return value, nil
}

// Observed says whether a report was ever counted.
func (l Ledger) Observed() bool { return l.Boot != "" }

// Committed returns the worst case of memory in use, in MB. A key that is
// both resident and ordered counts once, at the larger size.
func (l Ledger) Committed() int64 {
	if !l.Observed() {
		return l.MemoryMB
	}
	var sum int64
	for _, mb := range l.sizes() {
		sum += mb
	}
	return sum
}

// CommittedAdapters returns the part of Committed that adapters take.
func (l Ledger) CommittedAdapters() int64 {
	var sum int64
	for k, mb := range l.sizes() {
		if k.Adapter != "" {
			sum += mb
		}
	}
	return sum
}

// sizes returns the memory of each key that is resident or may become so.
func (l Ledger) sizes() map[Key]int64 {
	sizes := make(map[Key]int64, len(l.Resident)+len(l.Orders))
	for _, r := range l.Resident {
		k := ResidentKey(r)
		sizes[k] = max(sizes[k], r.MemoryMB)
	}
	for _, o := range l.Orders {
		if loads(o.Op) {
			k := OrderKey(o)
			sizes[k] = max(sizes[k], o.MemoryMB)
		}
	}
	return sizes
}

// Fits says whether mb more would stay within the accelerator's memory.
func (l Ledger) Fits(mb int64) bool { return l.Committed()+mb <= l.MemoryMB }

// Reserve records an order and returns the ledger with it and the order with
// its fence. It fails with ErrNoMemory or ErrUnobserved for a load that does
// not fit in the worst case.
func (l Ledger) Reserve(o engine.Order) (Ledger, engine.Order, error) {
	o.Fence = max(l.Fence, l.SeenFence) + 1
	next := l
	next.Fence = o.Fence
	next.Orders = make([]engine.Order, 0, len(l.Orders)+1)
	for _, old := range l.Orders {
		if OrderKey(old) == OrderKey(o) && old.Op == o.Op {
			o.MemoryMB = max(o.MemoryMB, old.MemoryMB)
			continue
		}
		next.Orders = append(next.Orders, old)
	}
	next.Orders = append(next.Orders, o)
	if !loads(o.Op) {
		return next, o, nil
	}
	if !l.Observed() {
		return l, o, fmt.Errorf("order for model %q: %w", o.Model, ErrUnobserved)
	}
	if next.Committed() > next.MemoryMB {
		return l, o, fmt.Errorf("order for model %q, %d MB on top of %d of %d MB: %w",
			o.Model, o.MemoryMB, l.Committed(), l.MemoryMB, ErrNoMemory)
	}
	return next, o, nil
}

// Observe counts a report that shows a state later than the ledger itself:
// the report was asked for after this version of the ledger was read.
// Expired names the orders of which no copy can arrive after the report was
// asked for; it is not used with durable fences. An order that is dead stays
// dead, and what it left behind is in the report.
func (l Ledger) Observe(r engine.Report, expired func(id string) bool) Ledger {
	if r.Boot == l.Boot && r.Seq < l.Seq {
		return l
	}
	next := l
	if l.DurableFence && r.Fence < l.SeenFence {
		next.FenceLost = true
	}
	next.Boot = r.Boot
	next.Seq = r.Seq
	next.SeenFence = r.Fence
	next.Fence = max(l.Fence, r.Fence)
	next.Resident = slices.Clone(r.Resident)
	next.Orders = slices.DeleteFunc(slices.Clone(l.Orders), func(o engine.Order) bool {
		return next.dead(o, expired)
	})
	return next
}

// FenceKills says whether a later fence proves an earlier order dead.
func (l Ledger) FenceKills() bool { return l.DurableFence && !l.FenceLost }

// dead says whether no copy of an order can change the engine any more. An
// engine may run a copy again at an equal fence, so a load needs a higher one
// to be dead; an unload run again at an equal fence finds nothing to unload.
func (l Ledger) dead(o engine.Order, expired func(id string) bool) bool {
	switch {
	case !l.FenceKills():
		return expired(o.ID)
	case loads(o.Op):
		return l.SeenFence > o.Fence
	default:
		return l.SeenFence >= o.Fence
	}
}

// Find returns the resident entry of a key.
func (l Ledger) Find(k Key) (engine.Resident, bool) {
	for _, r := range l.Resident {
		if ResidentKey(r) == k {
			return r, true
		}
	}
	return engine.Resident{}, false
}

// Pending returns the order for a key that is not proven dead.
func (l Ledger) Pending(k Key, load bool) (engine.Order, bool) {
	for _, o := range l.Orders {
		if OrderKey(o) == k && loads(o.Op) == load {
			return o, true
		}
	}
	return engine.Order{}, false
}

// Ready says whether a key is ready to serve and no order that may still
// arrive would unload it. Only such a replica counts as a home.
func (l Ledger) Ready(k Key) bool {
	r, resident := l.Find(k)
	_, unloading := l.Pending(k, false)
	return resident && r.State == engine.ResidencyReady && !unloading
}

func loads(op engine.Op) bool {
	return op == engine.OpLoad || op == engine.OpLoadAdapter
}
