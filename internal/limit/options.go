package limit

import "time"

// Policy selects how limits are divided between instances.
type Policy int

// The policies. StaticDivision is the baseline for comparison with Escrow: each
// instance has an equal, fixed share and no messages are sent.
const (
	Escrow Policy = iota
	StaticDivision
)

// Defaults of Options.
const (
	DefaultBaseTerm      = 4 * time.Hour
	DefaultExtraTerm     = 5 * time.Second
	DefaultLendTerm      = 30 * time.Second
	DefaultDriftPPM      = 500
	DefaultClaimInterval = 2 * time.Second
)

// Default fractions of a zone's claim that are used for base shares and for the
// zone leader's loan reserve. The remainder is used for extra shares.
var (
	DefaultBaseFraction    = Share{RatePPM: 300_000, BurstPPM: 100_000}
	DefaultReserveFraction = Share{RatePPM: 300_000, BurstPPM: 300_000}
)

// Options configure the instances and zone leaders of a fleet. They must be the
// same in the whole fleet, except for ClaimInterval. Zero values select the
// defaults.
type Options struct {
	Policy    Policy
	Instances int           // number of instances that share each limit under StaticDivision
	BaseTerm  time.Duration // how long an isolated instance keeps its base share
	ExtraTerm time.Duration // how long extra shares and loans last
	LendTerm  time.Duration // how long a zone peer lends a part of its base shares
	// DriftPPM bounds the rate error of any clock, in parts per million. Buckets
	// refill slower by this margin, and whoever grants or lends shares counts
	// their term as longer by a margin for it.
	DriftPPM        int64
	ClaimInterval   time.Duration // minimum interval between changes of a zone's claim
	BaseFraction    Share         // fraction of the claim that is granted as base shares
	ReserveFraction Share         // fraction of the claim that is lent for single charges
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
	if o.ClaimInterval <= 0 {
		o.ClaimInterval = DefaultClaimInterval
	}
	if o.BaseFraction == (Share{}) {
		o.BaseFraction = DefaultBaseFraction
	}
	if o.ReserveFraction == (Share{}) {
		o.ReserveFraction = DefaultReserveFraction
	}
	return o
}
