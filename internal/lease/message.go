package lease

import (
	"encoding/json"
	"fmt"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Value is the content of the lease object.
type Value struct {
	Holder     string `json:"holder"`  // instance name, for operators
	Writer     string `json:"writer"`  // unique per incarnation
	Attempt    uint64 `json:"attempt"` // unique per writer
	DurationMS int64  `json:"term_ms"`
	Released   bool   `json:"released,omitempty"`
}

// Decode decodes the value of a lease object. It fails on malformed JSON.
func Decode(obj objectstore.Object) (Value, error) {
	var v Value
	if err := json.Unmarshal(obj.Value, &v); err != nil {
		return Value{}, fmt.Errorf("lease: decoding object %s: %w", obj.Name, err)
	}
	return v, nil
}

// Message is an input of Lease.Step.
type Message interface{ message() }

// Messages. Attempt is the attempt number of the Put that is answered.
type (
	// Tick advances the time; send it a few times per second.
	Tick struct{}
	// Read reports the object as read for a Get, however late it arrives. The
	// zero Object means that the object was never written.
	Read struct{ Object objectstore.Object }
	// PeerObserved reports the object as another instance read or wrote it. A
	// version newer than the latest seen postpones this candidate's next read.
	PeerObserved struct{ Object objectstore.Object }
	// WriteOK reports the object as a Put stored it.
	WriteOK struct {
		Attempt uint64
		Object  objectstore.Object
	}
	// WriteConflict reports that a Put had no effect.
	WriteConflict struct{ Attempt uint64 }
	// WriteUnknown reports that a Put may have had an effect, now or later.
	WriteUnknown struct{ Attempt uint64 }
	// Unavailable reports that the object store did not answer a Get or a Put.
	Unavailable struct{}
	// EraSeen reports an era of the store, from whatever source. Objects tell theirs
	// by themselves.
	EraSeen struct{ Era uint64 }
	// Release releases the lease; the candidate does not acquire it again.
	Release struct{}
)

func (Tick) message()          {}
func (Read) message()          {}
func (PeerObserved) message()  {}
func (WriteOK) message()       {}
func (WriteConflict) message() {}
func (WriteUnknown) message()  {}
func (Unavailable) message()   {}
func (EraSeen) message()       {}
func (Release) message()       {}

// Action is an output of Lease.Step. The caller executes it and reports the
// outcome as a message.
type Action interface{ action() }

// Actions.
type (
	// Get requests a read of the object, reported as Read or Unavailable.
	Get struct{}
	// Put requests a conditional write, reported with its attempt number.
	Put struct {
		Attempt         uint64
		ExpectedVersion uint64
		Value           json.RawMessage
	}
)

func (Get) action() {}
func (Put) action() {}
