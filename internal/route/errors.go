package route

import (
	"errors"
	"fmt"
	"time"
)

// Errors of Pick. With each of them the request has not run.
var (
	// ErrNoHome says that no upstream holds the model ready.
	ErrNoHome = errors.New("route: no upstream holds the model")
	// ErrAllLeaving says that each upstream that holds the model is leaving.
	ErrAllLeaving = errors.New("route: all upstreams of the model are leaving")
)

// OverloadedError says that no upstream can meet the deadline of a request, or
// that each one is suspect.
type OverloadedError struct {
	// RetryAfter is when a retry may succeed.
	RetryAfter time.Duration
	// Suspect says that the upstreams fail, rather than being busy.
	Suspect bool
}

// Error implements error.
func (e *OverloadedError) Error() string {
	if e.Suspect {
		return fmt.Sprintf("route: all upstreams of the model are suspect, retry after %v", e.RetryAfter)
	}
	return fmt.Sprintf("route: no upstream meets the deadline, retry after %v", e.RetryAfter)
}
