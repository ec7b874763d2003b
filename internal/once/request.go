package once

import (
	_ "embed"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/statechart"
)

//go:embed request.hujson
var requestSource []byte

var requestChart = statechart.MustLoad(requestSource)

// Events of the request state machine.
const (
	eventClaim         = "claim"
	eventClaimGranted  = "claim_granted"
	eventClaimRefused  = "claim_refused"
	eventClaimReplayed = "claim_replayed"
	eventClaimUnknown  = "claim_unknown"
	eventStart         = "start"
	eventAnswered      = "answered"
	eventNotRunRetry   = "not_run_retry"
	eventNotRunFinal   = "not_run_final"
	eventUnknownRetry  = "unknown_retry"
	eventUnknownFinal  = "unknown_final"
	eventGiveUp        = "give_up"
)

// NextStep is the next step for a request.
type NextStep string

// The values of NextStep.
const (
	StepWait    NextStep = "wait"   // nothing to do: a claim or an attempt is outstanding
	StepStart   NextStep = "start"  // start an attempt after Decision.Delay
	StepRespond NextStep = "answer" // return the response of the attempt, or the replayed result
	StepFail    NextStep = "fail"   // return an error that states Decision.Ran
)

// Decision is a NextStep and its parameters.
type Decision struct {
	Next  NextStep
	Delay time.Duration // delay before the next attempt, with StepStart
	Ran   RunStatus     // with StepFail
}

// RequestOptions describes one request.
type RequestOptions struct {
	Idempotent bool
	// Deadline is the time on the instance's monotonic clock after which no
	// attempt starts.
	Deadline time.Duration
}

// Request is the state of one request at an instance. It is not safe for
// concurrent use.
type Request struct {
	opts    RequestOptions
	budget  *Budget
	machine *statechart.Machine
	attempt string
	retries int

	reserved   bool          // the budget's retry for the next attempt is taken
	retryDelay time.Duration // delay before that attempt
}

// NewRequest returns a request without attempts.
func NewRequest(opts RequestOptions, budget *Budget) *Request {
	return &Request{opts: opts, budget: budget, machine: requestChart.NewMachine()}
}

// State returns the state of the request, as named in request.hujson.
func (r *Request) State() string { return r.machine.State() }

// Claim records that a claim on the request's idempotency key was sent. It must
// be called before the first attempt.
func (r *Request) Claim() { r.fire(eventClaim) }

// ClaimReply applies the reply to the claim and returns the resulting decision.
// Replies after the first one are ignored.
func (r *Request) ClaimReply(reply Reply) Decision {
	switch {
	case reply.Granted:
		return r.fire(eventClaimGranted)
	case reply.Denial == DenialReplay:
		return r.fire(eventClaimReplayed)
	case reply.Denial == DenialNone:
		return r.fire(eventClaimRefused)
	}
	return r.fire(eventClaimUnknown)
}

// StartAttempt records that an attempt is about to be sent. It reports false,
// and the attempt must not be sent, if the state does not allow one.
func (r *Request) StartAttempt(attempt string) bool {
	before := r.State()
	if r.fire(eventStart); r.State() == before {
		return false
	}
	r.attempt = attempt
	if r.retries == 0 {
		r.budget.First()
	}
	return true
}

// AttemptDone applies the outcome of an attempt and returns the resulting
// decision. The outcome of any attempt other than the current one is ignored.
func (r *Request) AttemptDone(now time.Duration, attempt string, outcome Outcome) Decision {
	if attempt != r.attempt {
		return r.decision()
	}
	switch outcome {
	case Answered:
		r.ReturnRetry()
		return r.fire(eventAnswered)
	case NotSent, RefusedBeforeRun:
		return r.retryOrFail(now, true, eventNotRunRetry, eventNotRunFinal)
	}
	return r.retryOrFail(now, r.opts.Idempotent, eventUnknownRetry, eventUnknownFinal)
}

// ReserveRetry takes, while an attempt is open, what another one needs if the open
// one ends as Unknown: time before the deadline and a retry from the budget. It
// reports whether they are taken. An attempt without an answer may be given up only
// then. AttemptDone uses the reservation; it goes back if no attempt follows.
func (r *Request) ReserveRetry(now time.Duration) bool {
	if !r.reserved && r.opts.Idempotent && r.attemptOpen() {
		r.reserved = r.takeRetry(now)
	}
	return r.reserved
}

func (r *Request) takeRetry(now time.Duration) bool {
	r.retryDelay = r.budget.Backoff(r.retries + 1)
	return now+r.retryDelay < r.opts.Deadline && r.budget.Retry(now)
}

// ReturnRetry gives a reservation back: no other attempt can follow yet.
func (r *Request) ReturnRetry() {
	if r.reserved {
		r.reserved = false
		r.budget.Return()
	}
}

func (r *Request) retryOrFail(now time.Duration, allowed bool, retry, final string) Decision {
	if !r.attemptOpen() {
		return r.decision()
	}
	if !r.reserved && (!allowed || !r.takeRetry(now)) {
		return r.fire(final)
	}
	r.reserved = false
	r.retries++
	d := r.fire(retry)
	d.Delay = r.retryDelay
	return d
}

func (r *Request) attemptOpen() bool {
	return r.State() == "running" || r.State() == "running_unsure"
}

// GiveUp ends the request because the caller disconnected, the deadline passed
// or the instance is stopping. It does not release an open claim: the code that
// calls GiveUp must do so.
func (r *Request) GiveUp() Decision {
	r.ReturnRetry()
	return r.fire(eventGiveUp)
}

func (r *Request) fire(event string) Decision {
	if _, err := r.machine.Fire(event); err != nil {
		panic(err) // the state machine defines every pair of state and event
	}
	return r.decision()
}

func (r *Request) decision() Decision {
	switch r.State() {
	case "answered":
		return Decision{Next: StepRespond}
	case "not_run":
		return Decision{Next: StepFail, Ran: RunStatusNotRun}
	case "unknown":
		return Decision{Next: StepFail, Ran: RunStatusUnknown}
	case "new", "ready", "waiting", "waiting_unsure":
		return Decision{Next: StepStart}
	}
	return Decision{Next: StepWait}
}
