// Package ledger accounts for the accelerator memory of one upstream in the
// worst case: what the engine reports as resident, and every load order that is
// recorded and not proven dead. An order is dead when no copy of it can change
// the engine any more.
//
// A Ledger is a value stored in one object of objectstore.KindLedger. It
// changes only by conditional update, and an order is recorded before it is
// sent. Controller is the state machine that enforces this sequence: its inputs
// are Messages, its outputs are Actions.
//
// An engine must guarantee the following:
//   - a report is a consistent snapshot, and an accepted load order shows as
//     resident (also while loading) or as settled in every later report;
//   - each model, adapter and version is resident at most once, and an order to
//     load what is already resident changes nothing;
//   - either the highest fencing token that it saw survives a restart
//     (Guarantees.DurableFencing), or no copy of an order arrives later than
//     Guarantees.MaxOrderDelay.
//
// Without the last guarantee a duplicate of an old order may load a model at
// any later time, so its memory is never counted as free again.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Errors of operations on a Ledger.
var (
	ErrNoMemory = errors.New("ledger: memory would be overcommitted")
	ErrNoReport = errors.New("ledger: no report of the engine seen yet")
	ErrInvalid  = errors.New("ledger: invalid value")
)

// Key identifies the model or adapter that an order loads or unloads.
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

// Ledger is the memory account of one upstream. Methods do not modify the
// receiver's slices; they return a changed copy.
type Ledger struct {
	// Owner is the fencing token of the lease under which the last owner
	// claimed the ledger. A controller with a lower token stops.
	Owner uint64 `json:"owner"`
	// Writer and Attempt identify the last write, so that its writer recognises
	// it after the reply was lost.
	Writer  string `json:"writer"`
	Attempt uint64 `json:"attempt"`
	// FencingToken is the highest fencing token recorded or reported. Every order
	// gets its own token, so an engine that checks tokens and accepts an order
	// refuses all earlier ones.
	FencingToken uint64 `json:"fence"`
	// DurableFencing is set if the highest fencing token that the engine saw
	// survives its restart.
	DurableFencing bool `json:"durable_fence"`
	// FencingLost is set permanently once a report disproves DurableFencing.
	FencingLost bool `json:"fence_lost,omitempty"`
	// MemoryMB is the accelerator's memory size, in MB.
	MemoryMB int64 `json:"memory_mb"`
	// Location is where a later owner finds the engine after it was removed from
	// the configuration document.
	Location Location `json:"place,omitzero"`
	// Boot, Seq, SeenFencingToken and Resident are from the latest report; Boot
	// is empty before the first one.
	Boot             string            `json:"boot"`
	Seq              uint64            `json:"seq"`
	SeenFencingToken uint64            `json:"seen_fence"`
	Resident         []engine.Resident `json:"resident"`
	// Orders are the orders recorded and not proven dead, at most one for each
	// key and operation: a later order replaces the earlier one, which is dead
	// once the later one is.
	Orders []engine.Order `json:"orders"`
}

// Location is the location of an engine and the bound on order delay that its
// configuration document stated, in milliseconds.
type Location struct {
	Zone            string `json:"zone"`
	Address         string `json:"address"` // IP:port
	MaxOrderDelayMS int64  `json:"max_order_delay_ms,omitempty"`
}

// NewLedger returns the ledger of an upstream with the given memory, in MB, of
// which no report was seen. All its memory counts as committed until the first
// report.
func NewLedger(memoryMB int64, durableFencing bool) Ledger {
	return Ledger{MemoryMB: memoryMB, DurableFencing: durableFencing}
}

// Decode decodes a ledger from JSON. It fails with ErrInvalid.
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

// Encode returns the JSON encoding of the ledger.
func (l Ledger) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	return value, nil
}

// HasReport reports whether the ledger includes a report of the engine.
func (l Ledger) HasReport() bool { return l.Boot != "" }

// Committed returns the worst-case memory in use, in MB. A key that is both
// resident and ordered counts once, at the larger size.
func (l Ledger) Committed() int64 {
	if !l.HasReport() {
		return l.MemoryMB
	}
	var sum int64
	for _, mb := range l.sizesByKey() {
		sum += mb
	}
	return sum
}

// CommittedAdapters returns the part of Committed that adapters use, in MB.
func (l Ledger) CommittedAdapters() int64 {
	var sum int64
	for k, mb := range l.sizesByKey() {
		if k.Adapter != "" {
			sum += mb
		}
	}
	return sum
}

// sizesByKey returns the memory, in MB, of each key that is resident or may
// become so.
func (l Ledger) sizesByKey() map[Key]int64 {
	sizes := make(map[Key]int64, len(l.Resident)+len(l.Orders))
	for _, r := range l.Resident {
		k := ResidentKey(r)
		sizes[k] = max(sizes[k], r.MemoryMB)
	}
	for _, o := range l.Orders {
		if isLoad(o.Op) {
			k := OrderKey(o)
			sizes[k] = max(sizes[k], o.MemoryMB)
		}
	}
	return sizes
}

// Fits reports whether mb MB more fit into the accelerator's memory.
func (l Ledger) Fits(mb int64) bool { return l.Committed()+mb <= l.MemoryMB }

// Reserve records an order and returns the changed ledger and the order with
// its fencing token. A load fails with ErrNoReport before the first report,
// and with ErrNoMemory if it does not fit in the worst case.
func (l Ledger) Reserve(o engine.Order) (Ledger, engine.Order, error) {
	o.FencingToken = max(l.FencingToken, l.SeenFencingToken) + 1
	next := l
	next.FencingToken = o.FencingToken
	next.Orders = make([]engine.Order, 0, len(l.Orders)+1)
	for _, old := range l.Orders {
		if OrderKey(old) == OrderKey(o) && old.Op == o.Op {
			o.MemoryMB = max(o.MemoryMB, old.MemoryMB)
			continue
		}
		next.Orders = append(next.Orders, old)
	}
	next.Orders = append(next.Orders, o)
	if !isLoad(o.Op) {
		return next, o, nil
	}
	if !l.HasReport() {
		return l, o, fmt.Errorf("order for model %q: %w", o.Model, ErrNoReport)
	}
	if next.Committed() > next.MemoryMB {
		return l, o, fmt.Errorf("order for model %q needs %d MB, %d of %d MB committed: %w",
			o.Model, o.MemoryMB, l.Committed(), l.MemoryMB, ErrNoMemory)
	}
	return next, o, nil
}

// WithReport returns the ledger with a report included. The report must show a
// state later than the ledger, that is, it was requested after this version of
// the ledger was read. The function expired reports whether no copy of an order
// can arrive after the report was requested; it is not used with durable
// fencing. A dead order stays dead, and its effect is in the report.
func (l Ledger) WithReport(r engine.Report, expired func(id string) bool) Ledger {
	if r.Boot == l.Boot && r.Seq < l.Seq {
		return l
	}
	next := l
	if l.DurableFencing && r.FencingToken < l.SeenFencingToken {
		next.FencingLost = true
	}
	next.Boot = r.Boot
	next.Seq = r.Seq
	next.SeenFencingToken = r.FencingToken
	next.FencingToken = max(l.FencingToken, r.FencingToken)
	next.Resident = slices.Clone(r.Resident)
	next.Orders = slices.DeleteFunc(slices.Clone(l.Orders), func(o engine.Order) bool {
		return next.provenDead(o, expired)
	})
	return next
}

// FenceProvesDead reports whether a higher fencing token proves an earlier order
// dead.
func (l Ledger) FenceProvesDead() bool { return l.DurableFencing && !l.FencingLost }

// provenDead reports whether no copy of an order can change the engine any
// more. An engine may execute a copy again at an equal fencing token, so only a
// higher token proves a load dead; an unload executed again at an equal token
// finds nothing to unload.
func (l Ledger) provenDead(o engine.Order, expired func(id string) bool) bool {
	switch {
	case !l.FenceProvesDead():
		return expired(o.ID)
	case isLoad(o.Op):
		return l.SeenFencingToken > o.FencingToken
	default:
		return l.SeenFencingToken >= o.FencingToken
	}
}

// FindResident returns the resident entry of a key, and whether there is one.
func (l Ledger) FindResident(k Key) (engine.Resident, bool) {
	for _, r := range l.Resident {
		if ResidentKey(r) == k {
			return r, true
		}
	}
	return engine.Resident{}, false
}

// PendingOrder returns the load or unload order for a key that is not proven
// dead, and whether there is one.
func (l Ledger) PendingOrder(k Key, load bool) (engine.Order, bool) {
	for _, o := range l.Orders {
		if OrderKey(o) == k && isLoad(o.Op) == load {
			return o, true
		}
	}
	return engine.Order{}, false
}

// Ready reports whether a key is ready to serve and no order that may still
// arrive would unload it. Only such a replica counts as the required replica of
// a home zone.
func (l Ledger) Ready(k Key) bool {
	r, resident := l.FindResident(k)
	_, unloading := l.PendingOrder(k, false)
	return resident && r.State == engine.ResidencyReady && !unloading
}

// isLoad reports whether an operation loads a model or adapter.
func isLoad(op engine.Op) bool {
	return op == engine.OpLoad || op == engine.OpLoadAdapter
}
