package ledger

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Guarantees holds the guarantees about an engine that its operator states.
type Guarantees struct {
	// DurableFencing states that the engine refuses orders below the highest
	// fencing token that it ever saw, also after a restart.
	DurableFencing bool
	// MaxOrderDelay is the maximum time from a controller's decision to send an
	// order to the arrival of its last copy. Zero means that there is no
	// maximum. It is not used with durable fencing.
	MaxOrderDelay time.Duration
}

// Options configures a Controller. Durations are measured on the instance's own
// clock.
type Options struct {
	Upstream string
	// Writer is an identifier unique to one run of one instance.
	Writer string
	// Owner is the fencing token of the zone's placement lease.
	Owner      uint64
	MemoryMB   int64
	Guarantees Guarantees
	Location   Location
	// SendWindow is the maximum time from the start of the write that records an
	// order to the sending of the order.
	SendWindow time.Duration
	// RetryAfter is how long an order may have no effect before a new one is
	// recorded in its place.
	RetryAfter time.Duration
	// PollInterval is the interval between reports while no write is outstanding;
	// a new version of the ledger triggers a report at once.
	PollInterval time.Duration
	// PollIntervalAdapter is that interval while a wanted adapter is not ready;
	// zero means PollInterval.
	PollIntervalAdapter time.Duration
	// AwaitWanted delays orders after a restart of the engine until the next
	// SetWanted message, so that lost models are restored within the load budget.
	AwaitWanted bool
	// CallTimeout is the timeout of calls to the object API and to the engine.
	CallTimeout time.Duration
}

// WantedModel is a model or adapter that should be resident.
type WantedModel struct {
	Key      Key
	MemoryMB int64
}

// Message is an input of Controller.Step.
type Message interface{ message() }

// Tick triggers actions that are due at the current time.
type Tick struct{}

// SetWanted replaces the wanted set: the keys that should be resident, most
// urgent first. Keys missing from it are unloaded, so a planner removes a key
// only once the model has another home zone.
type SetWanted struct{ Set []WantedModel }

// ReadDone answers ReadObject. Err is an error of objectstore.Store.
type ReadDone struct {
	ID     uint64
	Object objectstore.Object
	Err    error
}

// WriteDone answers WriteObject. Err is an error of objectstore.Store.
type WriteDone struct {
	Attempt uint64
	Version uint64
	Err     error
}

// PollDone answers PollReport. The client matches the answer to the request by
// the attempt header, so an answer to another request is an error.
type PollDone struct {
	ID     uint64
	Report engine.Report
	Err    error
}

// OrderDone answers SendOrder.
type OrderDone struct {
	ID    string
	Reply engine.OrderReply
	Err   error
}

// InstanceListed reports the upstream's entry in the instance list, if present.
type InstanceListed struct {
	Present bool
	State   objectstore.InstanceState
}

func (Tick) message()           {}
func (SetWanted) message()      {}
func (ReadDone) message()       {}
func (WriteDone) message()      {}
func (PollDone) message()       {}
func (OrderDone) message()      {}
func (InstanceListed) message() {}

// Action is an output of Controller.Step.
type Action interface{ action() }

// ReadObject requests the ledger object of the upstream.
type ReadObject struct{ ID uint64 }

// WriteObject requests a conditional update of the ledger object.
type WriteObject struct {
	Attempt uint64
	Object  objectstore.Object
}

// PollReport requests a report from the engine.
type PollReport struct{ ID uint64 }

// SendOrder requests that an order is sent once; the caller must not retry it.
type SendOrder struct{ Order engine.Order }

// ReportInvalid reports that the stored ledger cannot be decoded, or a new one
// not encoded, so that no order can be recorded. An operator has to repair it.
type ReportInvalid struct{ Err error }

func (ReadObject) action()    {}
func (WriteObject) action()   {}
func (PollReport) action()    {}
func (SendOrder) action()     {}
func (ReportInvalid) action() {}
