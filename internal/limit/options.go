package limit

import "time"

// Policy selects how shares are given out.
type Policy int

// The policies. StaticDivision is the baseline that escrow is measured
// against: each instance holds an equal, fixed part and no messages are sent.
const (
	Escrow Policy = iota
	StaticDivision
)

// Defaults of Options.
const (
	DefaultBaseTerm  = 4 * time.Hour
	DefaultExtraTerm = 5 * time.Second
	DefaultLendTerm  = 30 * time.Second
	DefaultDriftPPM  = 500
	DefaultMoveEvery = 2 * time.Second
)

// Default parts of a zone's claim: base shares, the duty holder's reserve for
// loans, and extras, which get the rest.
var (
	DefaultBase    = Share{RatePPM: 300_000, BurstPPM: 100_000}
	DefaultReserve = Share{RatePPM: 300_000, BurstPPM: 300_000}
)

// Options are common to the instances and duty holders of a fleet, and must
// be the same in all of them but for MoveEvery. Zero values take defaults.
type Options struct {
	Policy    Policy
	Instances int           // the divisor of StaticDivision
	BaseTerm  time.Duration // how long an isolated instance keeps its base share
	ExtraTerm time.Duration // how long extras and loans last
	LendTerm  time.Duration // how long a zone peer lends a part of its base share
	// DriftPPM bounds how much any clock's rate may be off, in parts per
	// million. Buckets refill slower by it and terms are waited out longer.
	DriftPPM  int64
	MoveEvery time.Duration // shortest time between changes of a zone's claim
	Base      Share         // part of the claim that is given as base shares
	Reserve   Share         // part of the claim that is lent by the charge
}

func (o Options) withDefaults() Options {
	if o.BaseTerm <= 0 {
		o.BaseTerm = DefaultBaseTerm
	}
	if o.ExtraTerm <= 0 {
		o.ExtraTerm = DefaultExtraTerm
	}
	if o.LendTerm <= 0 {
		o.LendTerm = DefaultLendTerm
	}
	if o.DriftPPM <= 0 {
		o.DriftPPM = DefaultDriftPPM
	}
	if o.MoveEvery <= 0 {
		o.MoveEvery = DefaultMoveEvery
	}
	if o.Base == (Share{}) {
		o.Base = DefaultBase
	}
	if o.Reserve == (Share{}) {
		o.Reserve = DefaultReserve
	}
	return o
}
