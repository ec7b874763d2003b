package once

import (
	"encoding/json"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Message is an input to Claimer.Step.
type Message interface{ isMessage() }

// Claim asks for the right to run the request with a key. A holder is used in
// one Claim message only, which may be sent again to the same Claimer but not
// to another one.
type Claim struct {
	Key    Key
	Holder Holder
	// Fingerprint is a hash of the request (method, path and body). A claim is
	// denied if its key was used with another request.
	Fingerprint uint64
}

// Settlement reports the outcome of the run under a granted claim. State is
// StateDone with a result, StateUnknown, or StateReleased if the request has
// not run and the holder will not run it.
type Settlement struct {
	Key    Digest
	Holder Holder
	State  State
	Result *Result
}

// Tick makes the Claimer check its timeouts and due writes.
type Tick struct{}

// StoreRead is the reply to a Get. Found is false if the object never existed.
type StoreRead struct {
	Op     uint64
	Found  bool
	Object objectstore.Object
}

// StoreWritten is the reply to a Put that succeeded.
type StoreWritten struct {
	Op      uint64
	Version uint64
}

// StoreConflict is the reply to a Put whose Version differs from the stored
// version.
type StoreConflict struct{ Op uint64 }

// StoreUnknown is the reply to a Put that may have taken effect.
type StoreUnknown struct{ Op uint64 }

// StoreUnavailable is the reply to a Get or Put that failed without effect.
type StoreUnavailable struct{ Op uint64 }

func (Claim) isMessage()            {}
func (Settlement) isMessage()       {}
func (Tick) isMessage()             {}
func (StoreRead) isMessage()        {}
func (StoreWritten) isMessage()     {}
func (StoreConflict) isMessage()    {}
func (StoreUnknown) isMessage()     {}
func (StoreUnavailable) isMessage() {}

// Action is an operation that Claimer.Step asks its caller to perform.
type Action interface{ isAction() }

// Get reads an object of objectstore.KindClaim. Its reply has the same Op.
type Get struct {
	Op   uint64
	Name string
}

// Put writes an object of objectstore.KindClaim if the stored version is
// Version. Its reply has the same Op.
type Put struct {
	Op      uint64
	Name    string
	Version uint64
	Value   json.RawMessage
}

// Delete deletes an object that is no longer referenced if the stored version
// is Version. Its reply is not awaited.
type Delete struct {
	Name    string
	Version uint64
}

// Answer is the reply to a Claim.
type Answer struct {
	Key    Digest
	Holder Holder
	Reply  Reply
}

func (Get) isAction()    {}
func (Put) isAction()    {}
func (Delete) isAction() {}
func (Answer) isAction() {}

// Denial is the reason why another run under a key is not allowed.
type Denial string

// The denials. DenialNone without a grant means that the claim was refused: the
// request has not run and its holder must not run it.
const (
	DenialNone       Denial = ""
	DenialReplay     Denial = "replay"      // the result of the first run is known
	DenialInProgress Denial = "in_progress" // the first run may still be in progress
	DenialUnknown    Denial = "unknown"     // the outcome of the first run is not known
	DenialStale      Denial = "stale"       // the key is older than the remembered keys
	DenialMismatch   Denial = "mismatch"    // the key was used with another request
)

// Reason is the reason why a claim was refused.
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
	Reason     Reason        // with refusals
	Result     *Result       // with DenialReplay
	RetryAfter time.Duration // with DenialInProgress and refusals
}
