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

// headerIdempotencyKey carries a caller's id of a non-idempotent request.
const headerIdempotencyKey = "Idempotency-Key"

// settleTimeout bounds the wait for room in the inbox of the claims.
const settleTimeout = time.Second

// Claimer claims idempotency keys; claims.Duty implements it.
type Claimer interface {
	Claim(ctx context.Context, key once.Key, fingerprint uint64) (once.Holder, once.Reply, error)
	Settle(ctx context.Context, s once.Settle)
}

// granted is a claim that this call holds.
type granted struct {
	key    once.Key
	holder once.Holder
}

// claim claims the idempotency key of a non-idempotent call before it runs.
// done is true if the answer of a former run was passed on.
func (p *plainCall) claim(ctx context.Context, w http.ResponseWriter, req *once.Request) (claim *granted, done bool, err *Error) {
	value := p.request.Header.Get(headerIdempotencyKey)
	if p.route.Idempotent || value == "" {
		return nil, false, nil
	}
	key, keyErr := once.ParseKey(p.call.org.Service, p.call.org.Organisation, value, time.Now().UnixMilli(), once.KeyOptions{})
	if keyErr != nil {
		return nil, false, refuse(http.StatusBadRequest, CodeBadRequest, keyErr.Error())
	}
	req.Claim()
	holder, reply, claimErr := p.server.opts.Claimer.Claim(ctx, key, p.fingerprint())
	if claimErr != nil {
		reply = once.Reply{Reason: once.ReasonOverload, RetryAfter: once.DefaultRetryAfter}
	}
	d := req.ClaimReply(reply)
	switch {
	case reply.Granted:
		return &granted{key: key, holder: holder}, false, nil
	case reply.Denial == once.DenialReplay:
		replay(w, reply.Result)
		return nil, true, nil
	}
	err = denied(reply)
	err.Ran = Ran(d.Ran)
	if errors.Is(claimErr, context.DeadlineExceeded) || errors.Is(claimErr, context.Canceled) {
		err.Code = CodeDeadline
	}
	return nil, false, err
}

// fingerprint tells two requests under one key apart.
func (p *plainCall) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{p.request.Method, p.path} {
		_, _ = d.WriteString(strconv.Itoa(len(part)))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(p.body)
	return d.Sum64()
}

// replay answers with the result of the first run.
func replay(w http.ResponseWriter, r *once.Result) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.Header().Set(headerReplayed, "true")
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// denied turns a claim that was not granted into an answer.
func denied(r once.Reply) *Error {
	switch r.Denial {
	case once.DenialInProgress:
		return refuseFor(http.StatusConflict, CodeInProgress, "a request with this Idempotency-Key may still be running", r.RetryAfter)
	case once.DenialMismatch:
		return refuse(http.StatusUnprocessableEntity, CodeKeyReused, "the Idempotency-Key was used with another request")
	case once.DenialStale:
		return refuse(http.StatusConflict, CodeKeyTooOld, "the Idempotency-Key is older than what is remembered")
	case once.DenialUnknown:
		return refuse(http.StatusConflict, CodeOutcomeUnknown, "what the first request with this Idempotency-Key did is not known")
	}
	return refuseFor(http.StatusServiceUnavailable, CodeClaimUnavailable, "the Idempotency-Key cannot be claimed now: "+string(r.Reason), r.RetryAfter)
}

// settleClaim says how the run under a claim ended.
func (p *plainCall) settleClaim(claim *granted, req *once.Request, answer *plainAnswer) {
	if claim == nil {
		return
	}
	s := once.Settle{Key: claim.key.Digest, Holder: claim.holder, State: once.StateUnknown}
	switch d := req.GiveUp(); {
	case d.Verdict == once.VerdictAnswer && answer != nil:
		s.State = once.StateDone
		s.Result = &once.Result{Status: answer.status, ContentType: answer.header.Get("Content-Type"), Body: answer.body}
	case d.Verdict == once.VerdictFail && d.Ran == once.RanNo:
		s.State = once.StateReleased
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	p.server.opts.Claimer.Settle(ctx, s)
}
