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

// Outcome says how one request ended.
type Outcome string

// The outcomes. Only OutcomeOK can be attained.
const (
	OutcomeOK         Outcome = "ok"
	OutcomeRefused    Outcome = "refused"    // an error answer
	OutcomeFailed     Outcome = "failed"     // no answer: connection refused or lost
	OutcomeTimeout    Outcome = "timeout"    // no whole answer in the time set
	OutcomeCut        Outcome = "cut"        // the answer broke off, and this showed
	OutcomeIncomplete Outcome = "incomplete" // the answer ended as if whole, but was not
	OutcomeWrong      Outcome = "wrong"      // the answer to another request, or a short one
	OutcomeUnsent     Outcome = "unsent"     // the run ended before it could be sent
)

// Result is what one request got. Durations count from its intended moment.
type Result struct {
	Seq        int // of its arrival
	Outcome    Outcome
	Code       string        // of a refusal
	Streamed   bool          // the answer came token by token
	FirstToken time.Duration // of a streamed answer
	Total      time.Duration
	MeanGap    time.Duration // between tokens
	WorstGap   time.Duration
	Tokens     int
	Late       time.Duration // from the intended moment to the sending
}

const (
	maxAnswerBytes = 16 << 20
	maxErrorBytes  = 64 << 10
)

// Errors that end a call before its answer is whole.
var (
	errIncomplete = errors.New("load: the answer ended before its last event")
	errCutNotice  = errors.New("load: the answer reports that it was cut")
	errWrong      = errors.New("load: wrong answer")
)

// call is one request on its way.
type call struct {
	flow     *Flow
	arrival  Arrival
	id       string
	verify   bool
	intended time.Time
	result   Result
	answer   answer
}

// run sends the request and reads the whole answer.
func (c *call) run(ctx context.Context, client *http.Client, t target) Result {
	c.result.Seq = c.arrival.Seq
	c.result.Late = time.Since(c.intended)
	err := c.exchange(ctx, client, t)
	if c.result.Total == 0 {
		c.result.Total = time.Since(c.intended)
	}
	c.result.Tokens = c.answer.tokens
	if err == nil && c.verify {
		err = c.check()
	}
	if c.result.Outcome == "" {
		c.result.Outcome = outcomeOf(ctx, err)
	}
	return c.result
}

// exchange returns nil if an answer came that looks whole.
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
		c.refused(res)
		return nil
	}
	if c.flow.Stream && !c.flow.Kind.plain() {
		return c.readStream(res.Body)
	}
	return c.readWhole(res.Body)
}

// outcomeOf classifies an error met after the status.
func outcomeOf(ctx context.Context, err error) Outcome {
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, errIncomplete):
		return OutcomeIncomplete
	case errors.Is(err, errWrong):
		return OutcomeWrong
	case ctx.Err() != nil:
		return OutcomeTimeout
	default:
		return OutcomeCut
	}
}

// refusal is the part of an error answer that is counted.
type refusal struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (c *call) refused(res *http.Response) {
	c.result.Outcome = OutcomeRefused
	c.result.Code = fmt.Sprintf("http_%d", res.StatusCode)
	var r refusal
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err == nil && json.Unmarshal(body, &r) == nil && r.Error.Code != "" {
		c.result.Code = r.Error.Code
	}
}

// readWhole reads an answer that is not streamed.
func (c *call) readWhole(body io.Reader) error {
	whole, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("load: answer: %w", err)
	}
	c.answer.whole = whole
	if c.flow.Kind.plain() {
		return nil
	}
	if err := c.answer.addWhole(c.answer.whole); err != nil {
		return fmt.Errorf("%w: %w", errIncomplete, err)
	}
	return nil
}
