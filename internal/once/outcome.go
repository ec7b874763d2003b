// Package once decides whether a request may be attempted, retried or only
// reported as failed. It ensures that a non-idempotent request runs at most once
// and that a request reported as not run has not run and will not run. It
// classifies the outcomes of attempts, keeps the state of a request and the
// retry budget, and records claims on idempotency keys in the object store. The
// package does no I/O: its state machines take messages and return actions, the
// caller passes the time of its monotonic clock, and randomness is seeded.
package once

import (
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Outcome is what is known about one attempt after it ended.
type Outcome string

// The outcomes of an attempt.
const (
	// NotSent means that no byte of the request was handed to a connection.
	NotSent Outcome = "not_sent"
	// RefusedBeforeRun means that the upstream reported that it did not start
	// the request.
	RefusedBeforeRun Outcome = "refused_before_run"
	// Answered means that the complete response was received.
	Answered Outcome = "answered"
	// Unknown means that the request may have run, may be running or may still
	// run.
	Unknown Outcome = "unknown"
)

// RunStatus is what an error response states about whether the request ran.
type RunStatus string

// The values of RunStatus.
const (
	RunStatusNotRun  RunStatus = "not_run"
	RunStatusUnknown RunStatus = "unknown"
)

// Evidence is what the transport observed of one attempt.
type Evidence struct {
	// Sent is true once any byte of the request was handed to a connection.
	Sent bool
	// Complete is true if the response was received to its end and belongs to
	// this attempt.
	Complete bool
	// Status is the HTTP status of the response, or 0 without a response.
	Status int
	// Ran is the value of the response header engine.HeaderExecuted.
	Ran string
}

// Classify returns the outcome that the evidence proves, and Unknown if it
// proves none. An upstream's statement that it did not run the request counts
// only on a complete error response.
func Classify(e Evidence) Outcome {
	switch {
	case !e.Sent:
		return NotSent
	case !e.Complete:
		return Unknown
	case e.Status >= http.StatusBadRequest && e.Ran == engine.ExecutedNo:
		return RefusedBeforeRun
	case isGatewayFailure(e.Status):
		return Unknown
	}
	return Answered
}

// isGatewayFailure reports whether an intermediary may have set the status,
// which then proves nothing about the run.
func isGatewayFailure(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
