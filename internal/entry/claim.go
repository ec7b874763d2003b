package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
)

// headerIdempotencyKey is the header by which a caller identifies a
// non-idempotent request across retries.
const headerIdempotencyKey = "Idempotency-Key"

// settleTimeout bounds the wait for space in the inbox of the claims controller.
const settleTimeout = time.Second

// Claimer claims idempotency keys and settles the claims; claims.Controller
// implements it.
type Claimer interface {
	Claim(ctx context.Context, key once.Key, fingerprint uint64) (once.Holder, once.Reply, error)
	Settle(ctx context.Context, s once.Settlement)
}

// heldClaim is a claim that was granted to this call.
type heldClaim struct {
	key    once.Key
	holder once.Holder
}

// claimKey claims the idempotency key of a non-idempotent call before it runs.
// It returns nil if the call needs no claim. replayed is true if the stored
// answer of an earlier run was sent to the caller.
func (p *plainCall) claimKey(ctx context.Context, w http.ResponseWriter, req *once.Request) (claim *heldClaim, replayed bool, err *Error) {
	value := p.request.Header.Get(headerIdempotencyKey)
	if p.route.Idempotent || value == "" {
		return nil, false, nil
	}
	key, keyErr := once.ParseKey(p.call.org.Service, p.call.org.Organisation, value, time.Now().UnixMilli(), once.KeyOptions{})
	if keyErr != nil {
		return nil, false, newError(http.StatusBadRequest, CodeBadRequest, keyErr.Error())
	}
	req.Claim()
	holder, reply, claimErr := p.server.opts.Claimer.Claim(ctx, key, p.fingerprint())
	if claimErr != nil {
		reply = once.Reply{Reason: once.ReasonOverload, RetryAfter: once.DefaultRetryAfter}
	}
	d := req.ClaimReply(reply)
	switch {
	case reply.Granted:
		return &heldClaim{key: key, holder: holder}, false, nil
	case reply.Denial == once.DenialReplay:
		replay(w, reply.Result)
		return nil, true, nil
	}
	err = denialError(reply)
	err.Ran = Ran(d.Ran)
	if errors.Is(claimErr, context.DeadlineExceeded) || errors.Is(claimErr, context.Canceled) {
		err.Code = CodeDeadline
	}
	return nil, false, err
}

// fingerprint returns a hash of method, path and body, by which a different
// request under the same idempotency key is detected.
func (p *plainCall) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{p.request.Method, p.path} {
		_, _ = d.WriteString(strconv.Itoa(len(part)))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(p.body)
	return d.Sum64()
}

// replay sends the stored result of the first run to the caller.
func replay(w http.ResponseWriter, r *once.Result) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.Header().Set(headerReplayed, "true")
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// denialError converts a claim that was not granted into an error for the
// caller.
func denialError(r once.Reply) *Error {
	switch r.Denial {
	case once.DenialInProgress:
		return newRetryableError(http.StatusConflict, CodeInProgress, "a request with this Idempotency-Key may still be running", r.RetryAfter)
	case once.DenialMismatch:
		return newError(http.StatusUnprocessableEntity, CodeKeyReused, "the Idempotency-Key was used with another request")
	case once.DenialStale:
		return newError(http.StatusConflict, CodeKeyTooOld, "the Idempotency-Key is older than what is remembered")
	case once.DenialUnknown:
		return newError(http.StatusConflict, CodeOutcomeUnknown, "what the first request with this Idempotency-Key did is not known")
	}
	return newRetryableError(http.StatusServiceUnavailable, CodeClaimUnavailable, "the Idempotency-Key cannot be claimed now: "+string(r.Reason), r.RetryAfter)
}

// settleClaim reports the end of the run to the claimer: done with the answer,
// released if the request has not run, unknown otherwise.
func (p *plainCall) settleClaim(claim *heldClaim, req *once.Request, answer *plainAnswer) {
	if claim == nil {
		return
	}
	s := once.Settlement{Key: claim.key.Digest, Holder: claim.holder, State: once.StateUnknown}
	switch d := req.GiveUp(); {
	case d.Next == once.StepRespond && answer != nil:
		s.State = once.StateDone
		s.Result = &once.Result{Status: answer.status, ContentType: answer.header.Get("Content-Type"), Body: answer.body}
	case d.Next == once.StepFail && d.Ran == once.RunStatusNotRun:
		s.State = once.StateReleased
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	p.server.opts.Claimer.Settle(ctx, s)
}
