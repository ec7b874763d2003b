package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/answer"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
)

// maxErrorBodyBytes bounds the body of an engine's error response.
const maxErrorBodyBytes = 64 << 10

// Errors that end a connection of a stream.
var (
	errOtherAttempt = errors.New("entry: event belongs to another attempt")
	errOtherAnswer  = errors.New("entry: answer belongs to another attempt")
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
	req         *once.Request
	slot        *dispatch.Slot
	attempt     string
	address     string
	body        []byte
	progress    time.Duration // time without a new token that counts as silence
	checker     *answer.Stream
	verdict     answer.NextStep
	lastTokenAt time.Duration // when the last token was forwarded

	connection *connection
	signals    chan signal
	ended      chan struct{} // closed at the end of the stream
	readers    sync.WaitGroup
}

// newStream returns the stream of an attempt that is about to be sent.
func (m *modelCall) newStream(req *once.Request, slot *dispatch.Slot, attempt, address string, body []byte) *stream {
	deadlines := m.call.service.Deadlines
	progress := time.Duration(deadlines.ProgressMS) * time.Millisecond
	checker := answer.NewStream(m.server.opts.Now(), answer.Options{
		Attempt: attempt, Resumable: true, TokenTimeout: progress,
		FirstTokenTimeout: time.Duration(deadlines.RequestMS) * time.Millisecond,
	})
	return &stream{
		modelCall: m, req: req, slot: slot, attempt: attempt, address: address, body: body,
		progress: progress, checker: checker, verdict: answer.Continue,
		signals: make(chan signal), ended: make(chan struct{}),
	}
}

// run sends the attempt and reads until the answer is complete or the attempt has
// failed.
func (st *stream) run(ctx context.Context) once.Outcome {
	outcome := st.receive(ctx)
	if outcome == once.Unknown {
		st.cancel()
	}
	return outcome
}

// receive handles the signals of the connections and the silence between new tokens.
// Nothing else decides about the stream, so that nothing is closed while it delivers.
func (st *stream) receive(ctx context.Context) once.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer st.readers.Wait()
	defer close(st.ended)
	defer cancel()
	st.connect(ctx, false)
	silence := time.NewTimer(st.progress)
	defer silence.Stop()
	for {
		select {
		case s := <-st.signals:
			delivered := st.checker.Delivered()
			outcome, ended := st.handle(s)
			if ended && !st.resume(ctx, s.from, outcome) {
				return st.attemptOutcome(s.from, outcome)
			}
			if ended || st.checker.Delivered() > delivered {
				silence.Reset(st.progress)
			}
		case <-silence.C:
			st.handleSilence()
			silence.Reset(st.progress)
		}
	}
}

// handleSilence closes a silent connection. Before the first event another attempt
// follows, so the connection is kept until that one is reserved.
func (st *stream) handleSilence() {
	m := st.modelCall
	replaced := st.checker.Delivered() == 0 && !m.sink.started()
	if st.connection.closed || replaced && !st.req.ReserveRetry(m.server.opts.Now()) {
		return
	}
	m.server.opts.Metrics.Count(metrics.SilentConnections)
	m.server.opts.Upstream.CloseIdle()
	m.freshConnection = true
	st.connection.close()
}

// resume asks the engine for the rest of the answer after a connection ended with
// this outcome. It returns false if the attempt has ended. Before the first token it
// has, since another engine may answer instead.
func (st *stream) resume(ctx context.Context, c *connection, outcome once.Outcome) bool {
	if st.attemptOutcome(c, outcome) != once.Unknown || st.checker.Delivered() == 0 || ctx.Err() != nil || !st.shouldResume() {
		return false
	}
	st.connect(ctx, true)
	return true
}

// attemptOutcome returns the outcome of the attempt if this connection was its last.
// An attempt that was resumed has run, whatever became of the resume.
func (st *stream) attemptOutcome(c *connection, outcome once.Outcome) once.Outcome {
	if c.resumed && outcome != once.Answered {
		return once.Unknown
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

// connect sends the attempt, or resumes it, on a connection that is read from then on.
func (st *stream) connect(ctx context.Context, resume bool) {
	m := st.modelCall
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{resumed: resume, cancel: cancel}
	a := m.newAttempt(st.attempt, st.address, st.body)
	if resume {
		m.server.opts.Metrics.Count(metrics.Resumes)
		st.checker.ResumeSent(m.server.opts.Now())
		st.verdict = answer.Continue
		a.Header.Set(engine.HeaderOffset, strconv.FormatInt(st.checker.Delivered(), 10))
	}
	st.connection = c
	st.readers.Go(func() {
		defer cancel()
		c.read(ctx, m.server.opts.Upstream, a, signalSender{st.signals, st.ended})
	})
}

// handle delivers an event, or notes the end of a connection. It reports whether
// the connection has ended, and with which outcome.
func (st *stream) handle(s signal) (outcome once.Outcome, ended bool) {
	switch {
	case s.from != st.connection || s.from.closed && s.event != nil:
		return "", false
	case s.refusal != nil:
		return st.classifyRefusal(s.refusal), true
	case s.event == nil:
		if errors.Is(s.err, errOtherAnswer) {
			st.modelCall.server.opts.Metrics.Count(metrics.ForeignResponses)
		}
		st.connectionFailed(s.err)
		return s.outcome, true
	}
	err := st.handleEvent(s.event)
	if err == nil {
		return once.Answered, st.verdict == answer.Complete && isEndMarker(s.event)
	}
	s.from.close()
	st.connection = nil
	st.connectionFailed(err)
	return once.Unknown, true
}

// connectionFailed logs why a connection ended without the end of the answer.
func (st *stream) connectionFailed(err error) {
	st.modelCall.freshConnection = true
	st.log("connection failed", err)
}

func isEndMarker(event []byte) bool { return string(event) == "[DONE]" }

// handleEvent delivers an event or handles the end marker. The marker alone does not
// prove that the answer is complete.
func (st *stream) handleEvent(event []byte) error {
	if !isEndMarker(event) {
		return st.deliver(event)
	}
	if st.verdict != answer.Complete {
		return errIncomplete
	}
	return nil
}

// log logs a failed connection of the stream.
func (st *stream) log(msg string, err error) {
	st.modelCall.server.opts.Log.Info(msg, "request", st.modelCall.call.id, "attempt", st.attempt,
		"upstream", st.address, "tokens", st.checker.Delivered(), "error", err)
}

// classifyRefusal returns the outcome for an answer that is not a stream. One that
// reports an error in the caller's request is forwarded.
func (st *stream) classifyRefusal(r *refusal) once.Outcome {
	outcome := once.Classify(once.Evidence{
		Sent: true, Complete: r.err == nil, Status: r.status, Ran: r.header.Get(engine.HeaderExecuted),
	})
	badRequest := r.status == http.StatusBadRequest || r.status == http.StatusUnprocessableEntity
	if r.err == nil && badRequest && !st.modelCall.sink.started() {
		st.modelCall.sink.forwardError(r.status, r.header, r.body)
		return once.Answered
	}
	if outcome == once.Answered {
		return once.Unknown
	}
	return outcome
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
