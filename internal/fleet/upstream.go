package fleet

import (
	"slices"
	"time"
)

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamDraining
)

// ResidentModel is a model that an upstream holds.
type ResidentModel struct {
	Model    string
	Version  int64
	Adapters []string
}

// Upstream is one entry of the list of upstreams.
type Upstream struct {
	ID       string
	Revision uint64 // the store's revision of the entry
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    UpstreamState
	// Born is the start of this incarnation, in milliseconds of Unix time. An
	// upstream that starts again under its ID has another one.
	Born int64
	// LeavesIn is how long an upstream that is removed at short notice has
	// left, 0 if it said nothing of it.
	LeavesIn time.Duration
	Models   []ResidentModel
}

// Report is what an upstream answers when it is asked for its state.
type Report struct {
	UpstreamID string
	Born       int64 // 0 if the report does not tell
	Sequence   int64
	Busy       bool // a model order is being carried out
	Draining   bool
	Queued     int
	Active     int
	KVUsed     int
	KVTotal    int
	Models     []ResidentModel
	InMemory   []string // models that load in Model.WarmTime
	OnDisk     []string // models that load in Model.DiskTime
}

// Find returns the resident model of that name, nil if it is not there.
func Find(models []ResidentModel, name string) *ResidentModel {
	for i := range models {
		if models[i].Model == name {
			return &models[i]
		}
	}
	return nil
}

// Holds reports whether the adapter is loaded; the empty name always is.
func (m *ResidentModel) Holds(adapter string) bool {
	return adapter == "" || slices.Contains(m.Adapters, adapter)
}

// OrderKind is what an order asks for.
type OrderKind uint8

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// String returns the kind as logs show it.
func (k OrderKind) String() string { return [...]string{"load", "unload"}[k] }

// Order asks an upstream to load or unload a model or an adapter.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string // empty for the model itself
	Holder  string
	Fence   uint64
	// Expected is the sequence that the upstream must have reached, -1 for
	// any. It keeps an order that arrives late from taking effect.
	Expected int64
}

// OrderOutcome is what an upstream answered to an order.
type OrderOutcome uint8

// The outcomes of orders.
const (
	// OrderUnknown: no answer; the order may be carried out later.
	OrderUnknown OrderOutcome = iota
	OrderAccepted
	OrderHolds    // it was already so
	OrderConflict // another order is under way, or the sequence differs
	OrderFenced   // a newer holder has given orders
	OrderInvalid
	OrderMisdirected // another upstream has the address
)

// String returns the outcome as logs show it.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected"}[o]
}
