package limit

import (
	"encoding/json"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Message is an input of Instance.Step or Zone.Step.
type Message interface{ message() }

// Action is an output of Instance.Step or Zone.Step.
type Action interface{ action() }

// GrantNumber orders the grants that one instance receives: first by the
// fencing number of the duty holder, then by its sequence.
type GrantNumber struct {
	Fence uint64 `json:"fence"`
	Seq   uint64 `json:"seq"`
}

func (n GrantNumber) after(o GrantNumber) bool {
	return n.Fence > o.Fence || n.Fence == o.Fence && n.Seq > o.Seq
}

// Demand is what one organisation's callers ask of an instance.
type Demand struct {
	Org     string `json:"org"`
	RatePPM int64  `json:"rate_ppm"` // offered charges, of the organisation's rate
	// Need is the part of the largest refused charge that the instance's own
	// bucket lacks, in tokens; a loan of it would admit that charge.
	Need int64 `json:"need,omitempty"`
}

// OrgShare is an instance's share of one organisation's limit.
type OrgShare struct {
	Org   string `json:"org"`
	Base  Share  `json:"base"`
	Extra Share  `json:"extra"`
}

// Loan hands tokens over for one charge.
type Loan struct {
	ID     GrantNumber `json:"id"`
	Org    string      `json:"org"`
	Tokens int64       `json:"tokens"`
	Burst  int64       `json:"burst"` // the organisation's, as the lender knew it
}

// LoanRefund gives back what a request charged to a loan did not use.
type LoanRefund struct {
	ID     GrantNumber `json:"id"`
	Tokens int64       `json:"tokens"`
}

// Messages between instances and the duty holder of their zone.
type (
	// Request asks for shares. It is sent by an instance and says what the
	// instance has applied. An organisation that it does not name has no
	// demand.
	Request struct {
		Instance    string        `json:"instance"`
		Incarnation string        `json:"incarnation"`
		Seq         uint64        `json:"seq"`
		Applied     GrantNumber   `json:"applied"`
		Demand      []Demand      `json:"demand"`
		LoansDone   []GrantNumber `json:"loans_done,omitempty"` // used or lapsed
		LoanRefunds []LoanRefund  `json:"loan_refunds,omitempty"`
		Leaving     bool          `json:"leaving,omitempty"` // all shares are returned
	}
	// Grant is the duty holder's answer to Request number Request. It replaces
	// every earlier grant. It states all shares of the instance or, if Base is
	// set, those that differ from what that grant made them.
	Grant struct {
		Incarnation string      `json:"incarnation"`
		Number      GrantNumber `json:"number"`
		Base        GrantNumber `json:"base,omitzero"`
		Request     uint64      `json:"request"`
		Shares      []OrgShare  `json:"shares"`
		Loans       []Loan      `json:"loans,omitempty"`
	}
)

// Further messages.
type (
	// Tick lets time pass; send it a few times per second.
	Tick struct{}
	// Limits carries the organisations' limits of a configuration version.
	Limits struct {
		Version uint64
		Orgs    map[string]Limit
	}
	// Stop makes an instance return all its shares.
	Stop struct{}
	// Gone tells a zone that an incarnation's process has certainly ended. Its
	// shares are free a LendTerm later.
	Gone struct{ Incarnation string }
	// Read reports an object as read; the zero version if it does not exist.
	Read struct{ Object platform.Object }
	// Written reports an object as stored by a Put.
	Written struct{ Object platform.Object }
	// WriteFailed reports a Put that conflicted or whose outcome is unknown.
	WriteFailed struct{ Name string }
)

// Actions.
type (
	// SendRequest goes to the zone's duty holder. It may be lost.
	SendRequest struct{ Request Request }
	// SendGrant goes to the instance named. It may be lost.
	SendGrant struct {
		Instance string
		Grant    Grant
	}
	// Get reads a KindShare object.
	Get struct{ Name string }
	// Put writes a KindShare object conditionally.
	Put struct {
		Name            string
		ExpectedVersion uint64
		Value           json.RawMessage
	}
)

func (Request) message()     {}
func (Grant) message()       {}
func (Tick) message()        {}
func (Limits) message()      {}
func (Stop) message()        {}
func (Gone) message()        {}
func (Read) message()        {}
func (Written) message()     {}
func (WriteFailed) message() {}

func (SendRequest) action() {}
func (SendGrant) action()   {}
func (Get) action()         {}
func (Put) action()         {}
