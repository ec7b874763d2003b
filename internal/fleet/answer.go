package fleet

import "time"

// AnswerKind is what the head of an upstream's answer proves.
type AnswerKind uint8

// The kinds of answers.
const (
	// AnswerForeign: the answer to another request, or not the upstream's own.
	AnswerForeign AnswerKind = iota
	// AnswerOwn: the upstream's answer, a success or a failure, for the caller.
	AnswerOwn
	// AnswerNotRun: the upstream did not begin the request.
	AnswerNotRun
	// AnswerMisdirected: not run, because another upstream has the address or
	// the model is not there.
	AnswerMisdirected
)

// String returns the kind as logs show it.
func (k AnswerKind) String() string {
	return [...]string{"foreign", "own", "not_run", "misdirected"}[k]
}

// Refusal is an answer of the gateway itself.
type Refusal struct {
	Reason Reason
	// RetryAfter tells the caller when to come back, 0 for not at all.
	RetryAfter time.Duration
}

// Reason is why the gateway answers by itself.
type Reason uint8

// The reasons of refusals. Those up to ReasonOverloaded promise that the
// request has not run and never will.
const (
	ReasonNone Reason = iota
	ReasonNotReady
	ReasonLimit
	ReasonNoUpstream
	ReasonModelAbsent
	ReasonOverloaded
	// ReasonOutcomeUnknown: the request may have run.
	ReasonOutcomeUnknown
	ReasonTimeout
	ReasonNoRoute
	ReasonBadKey
	ReasonBadRequest
	ReasonTooLarge
)

// String returns the reason as logs and metrics show it.
func (r Reason) String() string {
	return [...]string{"none", "not_ready", "limit", "no_upstream", "model_absent", "overloaded", "outcome_unknown",
		"timeout", "no_route", "bad_key", "bad_request", "too_large"}[r]
}
