package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// UpstreamState is the state that an upstream reports.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamDraining
)

// ResidentModel is a model that an upstream has loaded, with the loaded adapters.
type ResidentModel struct {
	Model    string
	Version  int64
	Adapters []string
}

// Upstream is one entry in the list of upstreams.
type Upstream struct {
	ID       string
	Revision uint64 // revision of the entry in the store
	Service  string
	Address  string
	Zone     string
	Slots    int
	Version  string // of the upstream's software, empty if the entry has none
	State    UpstreamState
	// StartedAtMS is the start time of this incarnation in Unix milliseconds. An
	// upstream that restarts under the same ID has another start time.
	StartedAtMS int64
	// RemainingTime is the time until an upstream that is being removed at short
	// notice ends, 0 if it has announced no removal.
	RemainingTime time.Duration
	// ColdLeft is the time for which the upstream stays cold, from when the entry was
	// received. HasColdLeft is whether the entry says so.
	ColdLeft    time.Duration
	HasColdLeft bool
	Models      []ResidentModel
	// Malformed names the fields that were left out, nil if there are none.
	Malformed error `json:"-"`
}

const (
	// maxSlots bounds the slots of an upstream.
	maxSlots = 1 << 20
	// maxNameBytes bounds the names in an entry.
	maxNameBytes = 512
	// maxResidentModels bounds the models, and the adapters, that an upstream holds.
	maxResidentModels = 1 << 16
)

// Errors of Check. ErrOutOfBounds means that a number is too small or too large to be meant.
var (
	ErrMissing     = errors.New("missing")
	ErrOutOfBounds = errors.New("out of bounds")
)

// Check reports why an entry of the store names no upstream to use. Such entries come from
// several writers.
func (u *Upstream) Check() error {
	address, err := netip.ParseAddrPort(u.Address)
	switch {
	case err != nil:
		return fmt.Errorf("address: %w", err)
	case address.Port() == 0:
		return fmt.Errorf("address: port: %w", ErrOutOfBounds)
	case u.ID == "":
		return fmt.Errorf("name: %w", ErrMissing)
	case u.Service == "":
		return fmt.Errorf("service: %w", ErrMissing)
	case u.Slots < 1:
		return fmt.Errorf("slots: %w: %d", ErrOutOfBounds, u.Slots)
	}
	return u.CheckBounds()
}

// CheckBounds reports which figure of an entry cannot be meant. Peers of other builds may send
// such entries.
func (u *Upstream) CheckBounds() error {
	switch {
	case u.Slots > maxSlots:
		return fmt.Errorf("slots: %w: %d", ErrOutOfBounds, u.Slots)
	case u.ColdLeft < 0:
		return fmt.Errorf("cold time: %w: %v", ErrOutOfBounds, u.ColdLeft)
	case u.RemainingTime < 0:
		return fmt.Errorf("remaining time: %w: %v", ErrOutOfBounds, u.RemainingTime)
	}
	for _, name := range []string{u.ID, u.Service, u.Zone, u.Version} {
		if len(name) > maxNameBytes {
			return fmt.Errorf("name of %d bytes: %w", len(name), ErrOutOfBounds)
		}
	}
	held := len(u.Models)
	for _, m := range u.Models {
		held += len(m.Adapters)
	}
	if held > maxResidentModels {
		return fmt.Errorf("models: %w: %d", ErrOutOfBounds, held)
	}
	return nil
}

// Report is the state that an upstream returns on request.
type Report struct {
	UpstreamID  string
	StartedAtMS int64 // 0 if the report does not include it
	Sequence    int64 // number of orders that the upstream has accepted
	Busy        bool  // an order for a model is being carried out
	Draining    bool
	Queued      int
	Active      int
	KVUsed      int // in tokens, without those that can be dropped
	KVTotal     int // in tokens
	Models      []ResidentModel
	InMemory    []string // models that load in Model.MemoryLoadTime
	OnDisk      []string // models that load in Model.DiskLoadTime
}

// FindModel returns the resident model with the given name, nil if it is not
// loaded.
func FindModel(models []ResidentModel, name string) *ResidentModel {
	for i := range models {
		if models[i].Model == name {
			return &models[i]
		}
	}
	return nil
}

// HasAdapter reports whether the adapter is loaded. It returns true for the empty
// name, which stands for the model itself.
func (m *ResidentModel) HasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(m.Adapters, adapter)
}

// OrderKind is the operation that an order asks for.
type OrderKind uint8

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// String returns the name of the kind for logs.
func (k OrderKind) String() string { return [...]string{"load", "unload"}[k] }

// Order asks an upstream to load or unload a model or an adapter.
type Order struct {
	Kind         OrderKind
	Model        string
	Adapter      string // empty for the model itself
	Holder       string // instance that holds the placement lease and sends the order
	FencingToken uint64 // of that lease
	// ExpectedSequence is the sequence number that the upstream must have when it
	// carries out the order, otherwise it refuses the order; -1 for any. It
	// prevents an order that arrives late from taking effect.
	ExpectedSequence int64
}

// OrderOutcome is the answer of an upstream to an order.
type OrderOutcome uint8

// The outcomes of orders.
const (
	// OrderUnknown: no answer arrived; the order may still be carried out.
	OrderUnknown OrderOutcome = iota
	OrderAccepted
	OrderAlreadyApplied // the upstream is already in the state asked for
	OrderConflict       // another order is being carried out, or the sequence number differs
	OrderFenced         // a newer holder of the lease has sent orders
	OrderInvalid
	OrderMisdirected // another upstream has the address
)

// String returns the name of the outcome for logs.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected"}[o]
}
