package ledger

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Promise is what an operator states about an engine.
type Promise struct {
	// DurableFence: the engine refuses orders below the highest fence that it
	// ever saw, also after a restart.
	DurableFence bool
	// MaxOrderDelay bounds the time from a controller's decision to send an
	// order to the arrival of its last copy. Zero means that there is no bound.
	// It is not used with durable fences.
	MaxOrderDelay time.Duration
}

// Options configure a Controller. Durations are on the instance's own clock.
type Options struct {
	Upstream string
	// Writer is unique to one run of one instance.
	Writer string
	// Owner is the fencing number of the zone's placement lease.
	Owner    uint64
	MemoryMB int64
	Promise  Promise
	Place    Place
	// SendWindow is how long after the start of its intent write an order may
	// still be sent.
	SendWindow time.Duration
	// RetryAfter is how long an order may stay without effect before a new
	// one is recorded in its place.
	RetryAfter time.Duration
	// PollEvery is the interval between reports while nothing is outstanding.
	PollEvery time.Duration
	// PollBusy is that interval while a wanted adapter is not ready; zero
	// stands for PollEvery.
	PollBusy time.Duration
	// AwaitWanted holds orders back after a restart of the engine until the
	// next Wanted, so that what was lost is restored within a budget.
	AwaitWanted bool
	// CallTimeout ends calls to the object API and to the engine.
	CallTimeout time.Duration
}

// Want is a model or adapter that shall be resident.
type Want struct {
	Key      Key
	MemoryMB int64
}

// Message is an input of Controller.Step.
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{}

// Wanted replaces the set that shall be resident, most urgent first. What is
// missing from it is unloaded, so a planner takes a key out only once the
// model has another home.
type Wanted struct{ Want []Want }

// ReadDone answers ReadObject. Err is an error of platform.Store.
type ReadDone struct {
	ID     uint64
	Object platform.Object
	Err    error
}

// WriteDone answers WriteObject. Err is an error of platform.Store.
type WriteDone struct {
	Attempt uint64
	Version uint64
	Err     error
}

// PollDone answers PollReport. The client matches the answer to the request
// by the attempt header, so that a crossed answer is an error.
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

// Listed tells what the instance list shows of the upstream.
type Listed struct {
	Present bool
	State   platform.InstanceState
}

func (Tick) message()      {}
func (Wanted) message()    {}
func (ReadDone) message()  {}
func (WriteDone) message() {}
func (PollDone) message()  {}
func (OrderDone) message() {}
func (Listed) message()    {}

// Action is an output of Controller.Step.
type Action interface{ action() }

// ReadObject asks for the ledger object of the upstream.
type ReadObject struct{ ID uint64 }

// WriteObject asks for a conditional update of the ledger object.
type WriteObject struct {
	Attempt uint64
	Object  platform.Object
}

// PollReport asks the engine for a report.
type PollReport struct{ ID uint64 }

// SendOrder sends an order once; the caller never sends it again by itself.
type SendOrder struct{ Order engine.Order }

// Invalid says that the stored ledger cannot be read, so that no order can be
// given. An operator has to repair it.
type Invalid struct{ Err error }

func (ReadObject) action()  {}
func (WriteObject) action() {}
func (PollReport) action()  {}
func (SendOrder) action()   {}
func (Invalid) action()     {}
