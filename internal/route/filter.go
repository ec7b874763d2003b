package route

import "time"

// Filter says whether a candidate may get a request. Implementations keep no
// state and allocate nothing.
type Filter interface {
	Filter(now time.Duration, r *Request, c *Candidate) Reason
}

// Reason is why a filter rules a candidate out.
type Reason uint8

// The reasons of filters; the order is that of preference when several apply
// to the candidates of one model.
const (
	ReasonNone Reason = iota
	ReasonNotReady
	ReasonLeaving
	ReasonSuspect
	reasons
)
