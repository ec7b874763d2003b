package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/answer"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// maxErrorBodyBytes bounds the body of an engine's error response.
const maxErrorBodyBytes = 64 << 10

// Errors that end a connection of a stream.
var (
	errOtherAttempt = errors.New("entry: answer belongs to another attempt")
	errCallerGone   = errors.New("entry: caller disconnected")
	errIncomplete   = errors.New("entry: end marker before the answer was complete")
)

// chunk holds the fields of a streamed event that the instance reads. Offset is
// the index of the event's token. In an event without text it is the number of
// tokens before the event.
type chunk struct {
	Attempt string        `json:"attempt"`
	Offset  int64         `json:"offset"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Text         string     `json:"text"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// hasToken reports whether the event carries text.
func (c *chunk) hasToken() bool {
	return len(c.Choices) > 0 && (c.Choices[0].Text != "" || c.Choices[0].Delta.Content != "")
}

// isLast reports whether the event is the last one of the answer; only usage may
// follow.
func (c *chunk) isLast() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// stream reads the answer to one attempt, over several connections if it is
// resumed. checker decides which tokens are delivered and when the answer is
// complete.
type stream struct {
	modelCall   *modelCall
	slot        *dispatch.Slot
	attempt     string
	address     string
	body        []byte
	checker     *answer.Stream
	verdict     answer.NextStep
	lastTokenAt time.Duration // when the last token was forwarded
}

// newStream returns the stream of an attempt that is about to be sent.
func (m *modelCall) newStream(slot *dispatch.Slot, attempt, address string, body []byte) *stream {
	progress := time.Duration(m.call.service.Deadlines.ProgressMS) * time.Millisecond
	checker := answer.NewStream(m.server.opts.Now(), answer.Options{
		Attempt: attempt, Resumable: true, FirstTokenTimeout: progress, TokenTimeout: progress,
	})
	return &stream{modelCall: m, slot: slot, attempt: attempt, address: address, body: body, checker: checker, verdict: answer.Continue}
}

// run sends the attempt and reads until the answer is complete or the attempt has
// failed. If a connection breaks after the first token, the answer is resumed on
// the same engine. If it breaks earlier the attempt fails, since another engine
// may answer instead.
func (st *stream) run(ctx context.Context) once.Outcome {
	outcome := st.connect(ctx, false)
	for outcome == once.Unknown && st.checker.Delivered() > 0 && ctx.Err() == nil && st.shouldResume() {
		st.modelCall.server.opts.Metrics.Count(metrics.Resumes)
		outcome = st.connect(ctx, true)
		if outcome != once.Answered {
			// The attempt itself has run, whatever the outcome of the resume.
			outcome = once.Unknown
		}
	}
	if outcome == once.Unknown {
		st.cancel()
	}
	return outcome
}

// shouldResume notes the end of a connection and reports whether to resume.
func (st *stream) shouldResume() bool {
	if st.verdict == answer.Continue {
		st.verdict = st.checker.ConnectionLost(st.modelCall.server.opts.Now()).Next
	}
	return st.verdict == answer.Resume
}

// cancelTimeout bounds the call that cancels an attempt on an engine.
const cancelTimeout = time.Second

// cancel asks the engine to stop the attempt, whose answer is no longer needed. It
// does not wait for the engine.
func (st *stream) cancel() {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if err := st.modelCall.server.opts.Engines.Cancel(ctx, st.address, st.attempt); err != nil {
			st.log("cancelling the attempt failed", err)
		}
	}()
}

// connect sends the attempt, or resumes it, and reads the answer. If no progress
// is made until the progress deadline, the call is cancelled, which closes the
// connection.
func (st *stream) connect(ctx context.Context, resume bool) once.Outcome {
	now := st.modelCall.server.opts.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := st.modelCall.newAttempt(st.attempt, st.address, st.body)
	if resume {
		st.checker.ResumeSent(now)
		st.verdict = answer.Continue
		a.Header.Set(engine.HeaderOffset, strconv.FormatInt(st.checker.Delivered(), 10))
	}
	watchdog := time.AfterFunc(st.checker.NextDeadline()-now, func() {
		st.modelCall.server.opts.Metrics.Count(metrics.SilentConnections)
		st.modelCall.server.opts.Upstream.CloseIdle()
		cancel()
	})
	defer watchdog.Stop()
	resp, err := st.modelCall.server.opts.Upstream.Do(ctx, a)
	if err != nil {
		st.modelCall.freshConnection = true
		st.log("no answer", err)
		return once.Classify(once.Evidence{Sent: a.Sent.Load()})
	}
	defer resp.Body.Close()
	if resp.Header.Get(engine.HeaderAttempt) != st.attempt {
		st.log("answer dropped", errOtherAttempt)
		st.modelCall.server.opts.Metrics.Count(metrics.ForeignResponses)
		return once.Unknown
	}
	if resp.StatusCode != http.StatusOK {
		return st.classifyError(resp)
	}
	err = st.read(resp.Body, watchdog)
	if err != nil {
		st.modelCall.freshConnection = true
		st.log("stream broken", err)
	}
	return once.Classify(once.Evidence{Sent: true, Complete: err == nil, Status: resp.StatusCode})
}

// log logs a failed connection of the stream.
func (st *stream) log(msg string, err error) {
	st.modelCall.server.opts.Log.Info(msg, "request", st.modelCall.call.id, "attempt", st.attempt,
		"upstream", st.address, "tokens", st.checker.Delivered(), "error", err)
}

// classifyError returns the outcome for an error response of the engine. A
// response that reports an error in the caller's request is forwarded.
func (st *stream) classifyError(resp *http.Response) once.Outcome {
	body, err := upstream.ReadAll(resp.Body, maxErrorBodyBytes)
	outcome := once.Classify(once.Evidence{
		Sent: true, Complete: err == nil, Status: resp.StatusCode, Ran: resp.Header.Get(engine.HeaderExecuted),
	})
	badRequest := resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusUnprocessableEntity
	if err == nil && badRequest && !st.modelCall.sink.started() {
		st.modelCall.sink.forwardError(resp.StatusCode, resp.Header, body)
		return once.Answered
	}
	if outcome == once.Answered {
		return once.Unknown
	}
	return outcome
}

// read delivers events until the end marker and resets the watchdog after each.
func (st *stream) read(body io.Reader, watchdog *time.Timer) error {
	in := bufio.NewReaderSize(body, streamBufferBytes)
	for {
		data, err := readEvent(in)
		if err != nil {
			return err
		}
		if string(data) == "[DONE]" {
			return st.checkEnd()
		}
		if err := st.deliver(data); err != nil {
			return err
		}
		watchdog.Reset(st.checker.NextDeadline() - st.modelCall.server.opts.Now())
	}
}

// checkEnd handles the end marker. The marker alone does not prove that the
// answer is complete.
func (st *stream) checkEnd() error {
	if st.verdict != answer.Complete {
		return errIncomplete
	}
	return nil
}

// deliver checks an event and forwards it.
func (st *stream) deliver(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if st.verdict == answer.Complete && c.Attempt == st.attempt {
		return st.forward(data, &c) // usage may follow the last token
	}
	part := answer.Chunk{Attempt: c.Attempt, Offset: c.Offset, End: c.isLast()}
	if c.hasToken() {
		part.Tokens = [][]byte{data}
	}
	d := st.checker.Receive(st.modelCall.server.opts.Now(), part)
	st.verdict = d.Next
	switch {
	case c.Attempt != st.attempt:
		return errOtherAttempt
	case d.Next == answer.Resume:
		return answer.ErrGap
	case d.Next == answer.Truncated:
		return d.Err
	case c.hasToken() && len(d.Deliver) == 0:
		return nil // delivered before the resume
	}
	if err := st.forward(data, &c); err != nil {
		return err
	}
	if c.hasToken() {
		st.observeToken()
	}
	return nil
}

// forward passes an event to the sink and notes the usage in it.
func (st *stream) forward(data []byte, c *chunk) error {
	if c.Usage != nil {
		st.modelCall.usedTokens = c.Usage.TotalTokens
	}
	if err := st.modelCall.sink.event(data, c); err != nil {
		return errCallerGone
	}
	return nil
}

// observeToken records the time to the first token or the gap between two tokens.
func (st *stream) observeToken() {
	now := st.modelCall.server.opts.Now()
	flow := st.modelCall.server.flow(st.modelCall.call)
	if st.checker.Delivered() == 1 {
		st.slot.FirstToken()
		flow.TimeToFirstToken(now - st.modelCall.call.received)
	} else {
		flow.InterTokenLatency(now - st.lastTokenAt)
	}
	st.lastTokenAt = now
}
