// Package once decides whether a request may be attempted, retried or only
// reported, so that a non-idempotent request runs at most once and an error
// that says "not run" is true. It holds the outcome of attempts, the state of
// a request, the retry budget and the claims on idempotency keys. All of it is
// pure: time is the caller's monotonic clock, randomness is seeded.
package once

import (
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Outcome is what is known about one attempt when it ended.
type Outcome string

// The outcomes of an attempt.
const (
	// NotSent: no byte of the request reached a connection.
	NotSent Outcome = "not_sent"
	// RefusedBeforeRun: the upstream says that it did not start the request.
	RefusedBeforeRun Outcome = "refused_before_run"
	// Answered: the whole answer is there.
	Answered Outcome = "answered"
	// Unknown: the request may have run, may be running or may still run.
	Unknown Outcome = "unknown"
)

// Ran is what an error tells the caller about the run of the request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "not_run"
	RanUnknown Ran = "unknown"
)

// Evidence is what the transport saw of one attempt.
type Evidence struct {
	// Sent is true once any byte of the request was handed to a connection.
	Sent bool
	// Whole is true if the answer was received to its end and is this
	// attempt's own.
	Whole bool
	// Status is the HTTP status of the answer, 0 without one.
	Status int
	// Ran is the answer's engine.HeaderRan.
	Ran string
}

// Classify returns the outcome that the evidence proves; it never guesses. An
// upstream's own "not run" counts only on an error answer that is whole.
func Classify(e Evidence) Outcome {
	switch {
	case !e.Sent:
		return NotSent
	case !e.Whole:
		return Unknown
	case e.Status >= http.StatusBadRequest && e.Ran == engine.RanNo:
		return RefusedBeforeRun
	case isGatewayFailure(e.Status):
		return Unknown
	}
	return Answered
}

// isGatewayFailure reports a status that something between the two ends may
// have written, which proves nothing about the run.
func isGatewayFailure(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
