package once

import (
	_ "embed"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/chart"
)

//go:embed request.hujson
var requestSource []byte

var requestChart = chart.MustLoad(requestSource)

// Events of the request chart.
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

// Verdict is what to do with a request next.
type Verdict string

// The verdicts on a request.
const (
	VerdictWait   Verdict = "wait"   // nothing to do: a claim or an attempt is open
	VerdictStart  Verdict = "start"  // start an attempt after Decision.Wait
	VerdictAnswer Verdict = "answer" // pass the answer, or the replayed result
	VerdictFail   Verdict = "fail"   // answer with an error that states Decision.Ran
)

// Decision is the verdict on a request with what it needs.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration // before the next attempt, with VerdictStart
	Ran     Ran           // with VerdictFail
}

// RequestOptions describe one request.
type RequestOptions struct {
	Idempotent bool
	// Deadline is the instance's time after which no attempt starts.
	Deadline time.Duration
}

// Request is the state of one request at an instance. It is not safe for
// concurrent use.
type Request struct {
	opts    RequestOptions
	budget  *Budget
	machine *chart.Machine
	attempt string
	retries int
}

// NewRequest returns a request of which nothing has been sent.
func NewRequest(opts RequestOptions, budget *Budget) *Request {
	return &Request{opts: opts, budget: budget, machine: requestChart.New()}
}

// State returns the state of the chart.
func (r *Request) State() string { return r.machine.State() }

// Claim notes that a claim on the request's idempotency key was asked for. It
// must come before the first attempt.
func (r *Request) Claim() { r.fire(eventClaim) }

// ClaimReply applies the reply to the claim. The first reply is final.
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

// Start notes that an attempt goes out now. It reports false, and the attempt
// must not be sent, unless the state allows one.
func (r *Request) Start(attempt string) bool {
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

// Done applies the outcome of an attempt. The outcome of any but the current
// attempt changes nothing.
func (r *Request) Done(now time.Duration, attempt string, outcome Outcome) Decision {
	if attempt != r.attempt {
		return r.decision()
	}
	switch outcome {
	case Answered:
		return r.fire(eventAnswered)
	case NotSent, RefusedBeforeRun:
		return r.retryOr(now, true, eventNotRunRetry, eventNotRunFinal)
	}
	return r.retryOr(now, r.opts.Idempotent, eventUnknownRetry, eventUnknownFinal)
}

func (r *Request) retryOr(now time.Duration, allowed bool, retry, final string) Decision {
	if !r.running() {
		return r.decision()
	}
	wait := r.budget.Backoff(r.retries + 1)
	if !allowed || now+wait >= r.opts.Deadline || !r.budget.Retry(now) {
		return r.fire(final)
	}
	r.retries++
	d := r.fire(retry)
	d.Wait = wait
	return d
}

func (r *Request) running() bool {
	return r.State() == "running" || r.State() == "running_unsure"
}

// GiveUp ends the request: the caller left, the deadline passed or the
// instance stops. A claim that is still open must be released.
func (r *Request) GiveUp() Decision { return r.fire(eventGiveUp) }

func (r *Request) fire(event string) Decision {
	if _, err := r.machine.Fire(event); err != nil {
		panic(err) // the chart defines every pair of state and event
	}
	return r.decision()
}

func (r *Request) decision() Decision {
	switch r.State() {
	case "answered":
		return Decision{Verdict: VerdictAnswer}
	case "not_run":
		return Decision{Verdict: VerdictFail, Ran: RanNo}
	case "unknown":
		return Decision{Verdict: VerdictFail, Ran: RanUnknown}
	case "new", "ready", "waiting", "waiting_unsure":
		return Decision{Verdict: VerdictStart}
	}
	return Decision{Verdict: VerdictWait}
}
