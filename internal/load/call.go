package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Outcome is the way in which one request ended.
type Outcome string

// The outcomes. Only a request with OutcomeOK can meet its deadlines.
const (
	OutcomeOK         Outcome = "ok"
	OutcomeRefused    Outcome = "refused"    // an error response
	OutcomeFailed     Outcome = "failed"     // no response: connection refused or lost
	OutcomeTimeout    Outcome = "timeout"    // no complete response within the request timeout
	OutcomeTruncated  Outcome = "cut"        // the response was truncated, and the client could detect it
	OutcomeIncomplete Outcome = "incomplete" // the response ended without an error, but lacks its last event or finish reason
	OutcomeMismatch   Outcome = "wrong"      // the response to another request, or one with too few tokens
	OutcomeUnsent     Outcome = "unsent"     // the run ended before the request could be sent
)

// Result describes the outcome of one request. FirstToken and Total are
// measured from its intended send time.
type Result struct {
	Seq        int // sequence number of its arrival
	Outcome    Outcome
	Code       string        // error code of a refused request
	Streamed   bool          // the response was streamed
	FirstToken time.Duration // of a streamed response
	Total      time.Duration
	MeanGap    time.Duration // between two events with tokens
	WorstGap   time.Duration
	Tokens     int
	SendDelay  time.Duration // delay from the intended to the actual send time
}

const (
	maxResponseBytes = 16 << 20
	maxErrorBytes    = 64 << 10
)

// Errors that end a call before its response is complete.
var (
	errIncomplete = errors.New("load: the response ended before its last event")
	errTruncated  = errors.New("load: the response reports that it was truncated")
	errMismatch   = errors.New("load: wrong response")
)

// call is one request in flight.
type call struct {
	flow     *Flow
	arrival  Arrival
	id       string
	verify   bool
	intended time.Time
	result   Result
	response response
}

// run sends the request, reads the complete response and returns the result.
func (c *call) run(ctx context.Context, client *http.Client, t target) Result {
	c.result.Seq = c.arrival.Seq
	c.result.SendDelay = time.Since(c.intended)
	err := c.exchange(ctx, client, t)
	if c.result.Total == 0 {
		c.result.Total = time.Since(c.intended)
	}
	c.result.Tokens = c.response.tokens
	if err == nil && c.verify {
		err = c.check()
	}
	if c.result.Outcome == "" {
		c.result.Outcome = outcomeOf(ctx, err)
	}
	return c.result
}

// exchange sends the request and reads the response. It returns nil if the
// response is complete or a refusal.
func (c *call) exchange(ctx context.Context, client *http.Client, t target) error {
	req, err := newRequest(ctx, t, c.flow, c.arrival, c.id)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.result.Outcome = OutcomeFailed
		}
		return fmt.Errorf("load: send: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		c.recordRefusal(res)
		return nil
	}
	if c.flow.Stream && !c.flow.Kind.isPlain() {
		return c.readStream(res.Body)
	}
	return c.readBody(res.Body)
}

// outcomeOf returns the outcome for an error that occurred after the status
// line was read; nil means OutcomeOK.
func outcomeOf(ctx context.Context, err error) Outcome {
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, errIncomplete):
		return OutcomeIncomplete
	case errors.Is(err, errMismatch):
		return OutcomeMismatch
	case ctx.Err() != nil:
		return OutcomeTimeout
	default:
		return OutcomeTruncated
	}
}

// errorResponse is the part of the body of an error response that is recorded.
type errorResponse struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// recordRefusal records a response with a status other than 200. The code is
// that of the body, or http_ and the status if the body has none.
func (c *call) recordRefusal(res *http.Response) {
	c.result.Outcome = OutcomeRefused
	c.result.Code = fmt.Sprintf("http_%d", res.StatusCode)
	var r errorResponse
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err == nil && json.Unmarshal(body, &r) == nil && r.Error.Code != "" {
		c.result.Code = r.Error.Code
	}
}

// readBody reads a response that is not streamed.
func (c *call) readBody(body io.Reader) error {
	content, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("load: read response: %w", err)
	}
	c.response.body = content
	if c.flow.Kind.isPlain() {
		return nil
	}
	if err := c.response.addBody(c.response.body); err != nil {
		return fmt.Errorf("%w: %w", errIncomplete, err)
	}
	return nil
}
