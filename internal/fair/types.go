package fair

import (
	"fmt"
	"time"
)

// Class is the scheduling class of a request.
type Class uint8

// The classes of requests. Live requests have priority over batch requests.
const (
	Live Class = iota
	Batch
	classCount
)

// Request is a queued request.
type Request struct {
	ID           uint64
	Organisation string
	Class        Class
	// PrefillTokens and DecodeTokens are the numbers of prompt tokens and of
	// expected output tokens.
	PrefillTokens int
	DecodeTokens  int
	// Deadline is the latest time of dispatch on the instance's monotonic
	// clock, 0 for none.
	Deadline time.Duration

	seq uint64 // order of arrival
}

// Reason is why a request was refused.
type Reason uint8

// The reasons of refusals.
const (
	// ReasonDeadline means that the deadline passed or cannot be met.
	ReasonDeadline Reason = iota
	// ReasonFull means that the queue is full.
	ReasonFull
)

// RefusedError is the final refusal of a request, which was not dispatched.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Reason == ReasonFull {
		return fmt.Sprintf("fair: queue full, retry after %v", e.RetryAfter)
	}
	return fmt.Sprintf("fair: deadline cannot be met, retry after %v", e.RetryAfter)
}

// Refusal is a request that was refused after it had been queued.
type Refusal struct {
	Request Request
	Err     *RefusedError
}
