package once

import (
	"encoding/json"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Message is what a Claimer is told.
type Message interface{ isMessage() }

// Claim asks for the right to run the request of a key. A holder is used in
// one Claim message only, which may be sent again to the same Claimer but to
// no other one.
type Claim struct {
	Key    Key
	Holder Holder
	// Fingerprint of the request (method, path and body); a key used again
	// with another request is denied.
	Fingerprint uint64
}

// Settle says how the run under a granted claim ended. State is StateDone with
// a result, StateUnknown, or StateReleased if the request has not run and the
// holder will not run it any more.
type Settle struct {
	Key    Digest
	Holder Holder
	State  State
	Result *Result
}

// Tick lets time pass.
type Tick struct{}

// StoreRead answers a Get. Found is false if the object never existed.
type StoreRead struct {
	Op     uint64
	Found  bool
	Object platform.Object
}

// StoreWritten answers a Put that took effect.
type StoreWritten struct {
	Op      uint64
	Version uint64
}

// StoreConflict answers a Put whose version was not the stored one.
type StoreConflict struct{ Op uint64 }

// StoreUnknown answers a Put that may have taken effect.
type StoreUnknown struct{ Op uint64 }

// StoreUnavailable answers a Get or Put that failed without effect.
type StoreUnavailable struct{ Op uint64 }

func (Claim) isMessage()            {}
func (Settle) isMessage()           {}
func (Tick) isMessage()             {}
func (StoreRead) isMessage()        {}
func (StoreWritten) isMessage()     {}
func (StoreConflict) isMessage()    {}
func (StoreUnknown) isMessage()     {}
func (StoreUnavailable) isMessage() {}

// Action is what a Claimer asks for.
type Action interface{ isAction() }

// Get reads an object of platform.KindClaim. Its reply carries Op.
type Get struct {
	Op   uint64
	Name string
}

// Put writes an object of platform.KindClaim if its version is Version.
type Put struct {
	Op      uint64
	Name    string
	Version uint64
	Value   json.RawMessage
}

// Delete removes an object that nothing refers to. Its reply is not awaited.
type Delete struct {
	Name    string
	Version uint64
}

// Answer replies to a Claim.
type Answer struct {
	Key    Digest
	Holder Holder
	Reply  Reply
}

func (Get) isAction()    {}
func (Put) isAction()    {}
func (Delete) isAction() {}
func (Answer) isAction() {}

// Denial says why another run under a key is not allowed.
type Denial string

// The denials. DenialNone without a grant means that the claim was refused:
// the request has not run and its holder must not run it.
const (
	DenialNone       Denial = ""
	DenialReplay     Denial = "replay"      // the first run's result is known
	DenialInProgress Denial = "in_progress" // the first run may still go on
	DenialUnknown    Denial = "unknown"     // what the first run did is not known
	DenialStale      Denial = "stale"       // the key is older than what is remembered
	DenialMismatch   Denial = "mismatch"    // the key belongs to another request
)

// Reason says why a claim was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonUnavailable Reason = "platform_unavailable"
	ReasonTimeout     Reason = "claim_timeout"
	ReasonFull        Reason = "shard_full"
	ReasonOverload    Reason = "claim_queue_full"
)

// Reply is the reply to a claim.
type Reply struct {
	Granted    bool
	Denial     Denial
	Reason     Reason        // of a refusal
	Result     *Result       // with DenialReplay
	RetryAfter time.Duration // with DenialInProgress and refusals
}
