package route

import (
	"errors"
	"fmt"
	"time"
)

// Errors of Pick. The request was not sent to any upstream.
var (
	// ErrNoReplica means that no upstream has the model ready.
	ErrNoReplica = errors.New("route: no upstream holds the model")
	// ErrAllLeaving means that every upstream that has the model is leaving.
	ErrAllLeaving = errors.New("route: all upstreams of the model are leaving")
)

// OverloadedError means that no upstream can meet the deadline of a request, or
// that all of them are suspect.
type OverloadedError struct {
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	// Suspect is true if the upstreams are failing, not merely busy.
	Suspect bool
}

// Error implements error.
func (e *OverloadedError) Error() string {
	if e.Suspect {
		return fmt.Sprintf("route: all upstreams of the model are suspect, retry after %v", e.RetryAfter)
	}
	return fmt.Sprintf("route: no upstream meets the deadline, retry after %v", e.RetryAfter)
}
