package fleet

import "time"

// AnswerKind classifies an answer by what its status and headers prove.
type AnswerKind uint8

// The kinds of answers.
const (
	// AnswerMismatched: the answer to another request, or an answer that does not
	// come from the upstream itself.
	AnswerMismatched AnswerKind = iota
	// AnswerOwn: the upstream's answer to this request, a success or a failure,
	// which is passed to the caller.
	AnswerOwn
	// AnswerNotRun: the upstream did not start to process the request.
	AnswerNotRun
	// AnswerMisdirected: the request was not run, because another upstream has
	// the address or the upstream does not hold the model.
	AnswerMisdirected
)

// String returns the name of the kind for logs.
func (k AnswerKind) String() string {
	return [...]string{"foreign", "own", "not_run", "misdirected"}[k]
}

// Refusal is an answer that the gateway gives itself instead of an upstream.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which the caller may retry, 0 if it should
	// not.
	RetryAfter time.Duration
}

// Reason is the reason of a refusal.
type Reason uint8

// The reasons of refusals. Those up to ReasonOverloaded guarantee that the
// request has not run and will not run.
const (
	ReasonNone Reason = iota
	ReasonNotReady
	ReasonRateLimited
	ReasonNoUpstream
	ReasonModelAbsent
	// ReasonQuarantined: upstreams crash under such requests.
	ReasonQuarantined
	// ReasonVersionUnknown: nobody knows at which software version the stream began that
	// the caller resumes, and there are several.
	ReasonVersionUnknown
	// ReasonVersionGone: no upstream has the software version at which the stream began.
	ReasonVersionGone
	// ReasonEvacuated: all upstreams that could serve the request are in evacuated zones.
	ReasonEvacuated
	// ReasonRegion: no upstream is in a region to which the request may be sent.
	ReasonRegion
	// ReasonExceedsMemory: the request needs more memory than an engine has.
	ReasonExceedsMemory
	// ReasonNoMemory: clients take all the memory that they may.
	ReasonNoMemory
	// ReasonSlowBody: the body came too slowly.
	ReasonSlowBody
	// ReasonStopping: the instance ends before an answer to the request can be expected.
	ReasonStopping
	ReasonOverloaded
	// ReasonOutcomeUnknown: the request may have run.
	ReasonOutcomeUnknown
	ReasonTimeout
	ReasonNoRoute
	ReasonBadKey
	ReasonBadRequest
	ReasonTooLarge
)

// String returns the name of the reason for logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "not_ready", "limit", "no_upstream", "model_absent", "quarantined", "version_unknown", "version_gone", "evacuated", "region", "exceeds_memory", "no_memory", "slow_body", "stopping", "overloaded", "outcome_unknown",
		"timeout", "no_route", "bad_key", "bad_request", "too_large"}[r]
}
