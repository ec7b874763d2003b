package limit

import (
	"encoding/json"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Message is an input of InstanceLimiter.Step or ZoneLeader.Step.
type Message interface{ message() }

// Action is an output of InstanceLimiter.Step or ZoneLeader.Step.
type Action interface{ action() }

// GrantNumber orders the grants that one instance receives: first by the
// fencing token of the zone leader, then by its sequence number.
type GrantNumber struct {
	Fence uint64 `json:"fence"`
	Seq   uint64 `json:"seq"`
}

func (n GrantNumber) after(o GrantNumber) bool {
	return n.Fence > o.Fence || n.Fence == o.Fence && n.Seq > o.Seq
}

// Demand is the load that one organisation offers to an instance.
type Demand struct {
	Org     string `json:"org"`
	RatePPM int64  `json:"rate_ppm"` // offered charges, in parts per million of the organisation's rate
	// Shortfall is the number of tokens that the instance's bucket lacked for the
	// largest refused charge; a loan of that size would admit the charge.
	Shortfall int64 `json:"need,omitempty"`
}

// OrgShare is an instance's share of one organisation's limit.
type OrgShare struct {
	Org   string `json:"org"`
	Base  Share  `json:"base"`
	Extra Share  `json:"extra"`
}

// Loan transfers tokens from the zone leader's reserve for one charge.
type Loan struct {
	ID     GrantNumber `json:"id"`
	Org    string      `json:"org"`
	Tokens int64       `json:"tokens"`
	Burst  int64       `json:"burst"` // the organisation's burst in tokens, as known to the zone leader
}

// LoanRefund reports the tokens of a loan that its request did not use.
type LoanRefund struct {
	ID     GrantNumber `json:"id"`
	Tokens int64       `json:"tokens"`
}

// Messages between instances and their zone leader.
type (
	// ShareRequest asks the zone leader for shares. AppliedGrant is the last
	// grant that the instance has applied. An organisation that is missing from
	// Demand has no demand.
	ShareRequest struct {
		Instance     string        `json:"instance"`
		Incarnation  string        `json:"incarnation"`
		Seq          uint64        `json:"seq"`
		AppliedGrant GrantNumber   `json:"applied"`
		Demand       []Demand      `json:"demand"`
		EndedLoans   []GrantNumber `json:"loans_done,omitempty"` // used or expired
		LoanRefunds  []LoanRefund  `json:"loan_refunds,omitempty"`
		Leaving      bool          `json:"leaving,omitempty"` // the instance returns all its shares
	}
	// Grant is the zone leader's reply to the request whose Seq is RequestSeq. It
	// replaces every earlier grant. It contains all shares of the instance or, if
	// DeltaOf is set, only those that differ from the shares after grant number
	// DeltaOf.
	Grant struct {
		Incarnation string      `json:"incarnation"`
		Number      GrantNumber `json:"number"`
		DeltaOf     GrantNumber `json:"base,omitzero"`
		RequestSeq  uint64      `json:"request"`
		Shares      []OrgShare  `json:"shares"`
		Loans       []Loan      `json:"loans,omitempty"`
	}
)

// Messages from the caller of Step.
type (
	// Tick reports that time has passed; send it a few times per second.
	Tick struct{}
	// Limits contains the organisations' limits of a configuration version.
	Limits struct {
		Version uint64
		Orgs    map[string]Limit
	}
	// Stop makes an instance return all its shares.
	Stop struct{}
	// ProcessEnded reports to a ZoneLeader that the process of an incarnation has
	// certainly ended. Its shares are free a LendTerm later.
	ProcessEnded struct{ Incarnation string }
	// Read is the result of a Get. The version is zero if the object does not
	// exist.
	Read struct{ Object objectstore.Object }
	// Written is the object as stored by a Put.
	Written struct{ Object objectstore.Object }
	// CallFailed reports a Put that conflicted or whose outcome is unknown, or a
	// Get that failed.
	CallFailed struct{ Name string }
)

// Actions.
type (
	// SendShareRequest sends a request to the zone leader. The message may be lost.
	SendShareRequest struct{ Request ShareRequest }
	// SendGrant sends a grant to the named instance. The message may be lost.
	SendGrant struct {
		Instance string
		Grant    Grant
	}
	// Get reads a KindShare object.
	Get struct{ Name string }
	// Put writes a KindShare object if its version is still ExpectedVersion.
	Put struct {
		Name            string
		ExpectedVersion uint64
		Value           json.RawMessage
	}
)

func (ShareRequest) message() {}
func (Grant) message()        {}
func (Tick) message()         {}
func (Limits) message()       {}
func (Stop) message()         {}
func (ProcessEnded) message() {}
func (Read) message()         {}
func (Written) message()      {}
func (CallFailed) message()   {}

func (SendShareRequest) action() {}
func (SendGrant) action()        {}
func (Get) action()              {}
func (Put) action()              {}
