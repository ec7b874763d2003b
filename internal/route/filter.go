package route

import "time"

// Filter decides whether a candidate may get a request. Implementations keep no
// state and allocate nothing.
type Filter interface {
	Filter(now time.Duration, r *Request, c *Candidate) Reason
}

// Reason is why a filter rejects a candidate.
type Reason uint8

// The reasons of filters, in order of preference when several apply to the
// candidates of one model.
const (
	ReasonNone Reason = iota
	ReasonNotReady
	ReasonLeaving
	ReasonSuspect
	reasonCount
)
