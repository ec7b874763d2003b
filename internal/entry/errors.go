package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of responses to callers.
const (
	headerRequestID  = "X-Request-Id"
	headerRan        = "X-Request-Ran"
	headerRetryAfter = "Retry-After"
	headerReplayed   = "X-Idempotent-Replayed"
)

// Ran tells a caller whether a refused or failed request ran.
type Ran string

// The values of Ran. RanUnknown is used whenever RanNo is not certain.
const (
	RanNo      Ran = "not_run"
	RanUnknown Ran = "unknown"
)

// Code is a machine-readable error code.
type Code string

// codeOK is the metrics label of requests that got a complete answer.
const codeOK Code = "ok"

// The error codes sent to callers.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeSlowBody         Code = "slow_body"
	CodeUnauthorized     Code = "unauthorized"
	CodeStaleKeyData     Code = "key_knowledge_stale"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeRateLimited      Code = "rate_limited"
	CodeNoShare          Code = "no_share"
	CodeOverloaded       Code = "overloaded"
	CodeNoUpstream       Code = "no_upstream"
	CodeStopping         Code = "stopping"
	CodeNotReady         Code = "not_ready"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeDeadline         Code = "deadline_exceeded"
	CodeStreamTruncated  Code = "stream_cut"
	CodeInProgress       Code = "in_progress"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyTooOld        Code = "idempotency_key_too_old"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeRecordFull       Code = "record_full"
	CodeQuarantined      Code = "quarantined"
)

// Error is an error response that the instance itself gives to a caller.
type Error struct {
	Status     int
	Code       Code
	Message    string
	Ran        Ran
	RetryAfter time.Duration // 0 if the response has none
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// newError returns an error of a request that has not run.
func newError(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Ran: RanNo}
}

// newRetryableError returns an error of a request that has not run and may be
// sent again after retryAfter, which is raised to at least 1 ms.
func newRetryableError(status int, code Code, message string, retryAfter time.Duration) *Error {
	e := newError(status, code, message)
	e.RetryAfter = max(retryAfter, time.Millisecond)
	return e
}

// errorBody is the JSON form of an Error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         Code   `json:"code"`
	Type         Code   `json:"type"` // clients of model APIs read this field
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// body returns the JSON form of the error.
func (e *Error) body(requestID string) []byte {
	b, err := json.Marshal(errorBody{Error: errorDetail{
		Code: e.Code, Type: e.Code, Message: e.Message, Ran: e.Ran, RequestID: requestID,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return b
}

// write sends the error to a caller.
func (e *Error) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRan, string(e.Ran))
	if e.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.body(requestID))
}
