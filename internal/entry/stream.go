package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/answer"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
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
	next        *nextAttempt
	slot        *dispatch.Slot
	attempt     string
	address     string
	body        []byte
	progress    time.Duration // time without a new token that counts as silence
	checker     *answer.Stream
	verdict     answer.NextStep
	lastTokenAt time.Duration // when the last token was forwarded

	begunAt      time.Duration // on the clock of the crash watch, as the next two
	firstTokenAt time.Duration // 0 before
	brokeAt      time.Duration // when a connection first broke, 0 if none did
	sound        bool          // the answer got beyond its beginning

	open     []*connection // oldest first
	textless textlessEvent
	signals  chan signal
	ended    chan struct{} // closed at the end of the stream
	readers  sync.WaitGroup
}

// textlessEvent is the last event without text that was forwarded.
type textlessEvent struct {
	from   *connection
	offset int64
}

// maxConnections bounds the open connections of a stream.
const maxConnections = 1 + answer.DefaultMaxResumes

// newStream returns the stream of an attempt that is about to be sent.
func (m *modelCall) newStream(next *nextAttempt, slot *dispatch.Slot, attempt, address string, body []byte) *stream {
	deadlines := m.call.service.Deadlines
	progress := time.Duration(deadlines.ProgressMS) * time.Millisecond
	requestTime := time.Duration(deadlines.RequestMS) * time.Millisecond // silence ends nothing sooner
	checker := answer.NewStream(m.server.opts.Now(), answer.Options{
		Attempt: attempt, Resumable: true, FirstTokenTimeout: requestTime, TokenTimeout: requestTime,
	})
	return &stream{
		modelCall: m, next: next, slot: slot, attempt: attempt, address: address, body: body,
		progress: progress, checker: checker, verdict: answer.Continue,
		signals: make(chan signal), ended: make(chan struct{}),
		begunAt: m.server.opts.Crashes.Now(),
	}
}

// run sends the attempt and reads until the answer is complete or the attempt has
// failed.
func (st *stream) run(ctx context.Context) once.Outcome {
	outcome := st.receive(ctx)
	if outcome == once.Answered {
		st.recordSound()
	}
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
			switch complete := st.verdict == answer.Complete; {
			case ended && complete:
				return once.Answered // with or without the end marker
			case ended && !st.continueAfter(ctx, s.from, outcome):
				return st.attemptOutcome(s.from, outcome)
			case ended || complete || st.checker.Delivered() > delivered:
				silence.Reset(st.progress)
			}
		case <-silence.C:
			if st.verdict == answer.Complete {
				return once.Answered
			}
			st.handleSilence(ctx)
			silence.Reset(st.progress)
		}
	}
}

// handleSilence keeps the silent connections and asks for the rest of the answer on
// one more. Before the first event another attempt follows instead, once it is
// reserved; only then the connection is closed.
func (st *stream) handleSilence(ctx context.Context) {
	switch {
	case st.mayResume():
		if len(st.open) >= maxConnections || st.checker.Silent().Next != answer.Resume {
			return
		}
		st.avoidIdleConnections()
		st.connect(ctx, true)
	case !st.open[0].closed && st.next.reserve():
		st.avoidIdleConnections()
		st.open[0].close()
	}
}

// avoidIdleConnections has further connections made anew.
func (st *stream) avoidIdleConnections() {
	st.modelCall.server.closeIdle()
	st.modelCall.freshConnection = true
}

// mayResume reports whether a part of the answer was delivered, so that only its own
// attempt can continue it. Before that another engine may answer instead.
func (st *stream) mayResume() bool {
	return st.checker.Delivered() > 0 || st.modelCall.sink.started()
}

// continueAfter reports whether the attempt goes on after a connection has ended with
// this outcome. If no connection is left, it asks the engine for the rest of the answer.
func (st *stream) continueAfter(ctx context.Context, c *connection, outcome once.Outcome) bool {
	if outcome == once.Answered || st.verdict == answer.Truncated {
		return false
	}
	if len(st.open) > 0 {
		return true
	}
	if st.attemptOutcome(c, outcome) != once.Unknown || !st.mayResume() || ctx.Err() != nil || !st.shouldResume() {
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
	st.open = append(st.open, c)
	st.readers.Go(func() {
		defer cancel()
		c.read(ctx, m.server.opts.Upstream, a, signalSender{st.signals, st.ended})
	})
}

// handle delivers an event, or notes the end of a connection. It reports whether
// the connection has ended, and with which outcome.
func (st *stream) handle(s signal) (outcome once.Outcome, ended bool) {
	if !slices.Contains(st.open, s.from) || s.from.closed && s.event != nil {
		return "", false
	}
	if s.event == nil {
		st.noteBreak(s)
		st.drop(s.from)
		return st.endOutcome(s), true
	}
	err := st.handleEvent(s.from, s.event)
	if err == nil {
		return once.Answered, st.verdict == answer.Complete && isEndMarker(s.event)
	}
	st.drop(s.from)
	st.connectionFailed(err)
	return once.Unknown, true
}

// drop closes a connection. What it still carries is not read.
func (st *stream) drop(c *connection) {
	c.close()
	st.open = slices.DeleteFunc(st.open, func(o *connection) bool { return o == c })
}

// dropOthers closes all connections but one, which carried the end of the answer.
func (st *stream) dropOthers(last *connection) {
	for _, c := range slices.Clone(st.open) {
		if c != last {
			st.drop(c)
		}
	}
}

// endOutcome returns the outcome of a connection that ended by itself.
func (st *stream) endOutcome(s signal) once.Outcome {
	if s.refusal != nil {
		return st.classifyRefusal(s.from, s.refusal)
	}
	if errors.Is(s.err, errOtherAnswer) {
		st.modelCall.server.opts.Metrics.Count(metrics.ForeignResponses)
	}
	st.connectionFailed(s.err)
	return s.outcome
}

// connectionFailed logs why a connection ended without the end of the answer.
func (st *stream) connectionFailed(err error) {
	st.modelCall.freshConnection = true
	st.log("connection failed", err)
}

func isEndMarker(event []byte) bool { return string(event) == "[DONE]" }

// handleEvent delivers an event or handles the end marker. The marker alone does not
// prove that the answer is complete.
func (st *stream) handleEvent(from *connection, event []byte) error {
	if !isEndMarker(event) {
		return st.deliver(from, event)
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
// reports an error in the caller's request is forwarded, but not that of a resume: the
// attempt was accepted.
func (st *stream) classifyRefusal(from *connection, r *refusal) once.Outcome {
	outcome := once.Classify(once.Evidence{
		Sent: true, Complete: r.err == nil, Status: r.status, Ran: r.header.Get(engine.HeaderExecuted),
	})
	badRequest := r.status == http.StatusBadRequest || r.status == http.StatusUnprocessableEntity
	if r.err == nil && badRequest && !from.resumed && !st.modelCall.sink.started() {
		st.modelCall.sink.forwardError(r.status, r.header, r.body)
		return once.Answered
	}
	if outcome == once.Answered {
		return once.Unknown
	}
	return outcome
}

// deliver checks an event and forwards it.
func (st *stream) deliver(from *connection, data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if st.verdict == answer.Complete && c.Attempt == st.attempt {
		return st.forward(data, &c) // usage may follow the last token
	}
	if c.Attempt == st.attempt && c.Offset > st.checker.Delivered() {
		return answer.ErrGap // of this connection; another may have the missing part
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
		return nil // delivered before, by another connection
	case d.Next == answer.Complete:
		st.dropOthers(from)
	case !c.hasToken() && st.isRepeated(from, c.Offset):
		return nil
	}
	if err := st.forward(data, &c); err != nil {
		return err
	}
	if c.hasToken() {
		st.observeToken()
	}
	return nil
}

// isRepeated reports whether an event without text may have been forwarded already
// from another connection. Such events have no offset of their own.
func (st *stream) isRepeated(from *connection, offset int64) bool {
	last := st.textless
	if last.from != nil && last.from != from && offset <= last.offset || from.resumed && offset < st.checker.Delivered() {
		return true
	}
	st.textless = textlessEvent{from, offset}
	return false
}

// forward passes an event to the sink and notes the usage in it.
func (st *stream) forward(data []byte, c *chunk) error {
	if c.Usage != nil {
		st.modelCall.usedTokens = c.Usage.TotalTokens
	}
	if err := st.modelCall.sink.event(data, c); err != nil {
		st.verdict = answer.Truncated
		return errCallerGone
	}
	return nil
}

// noteBreak notes the time if a connection ended that the instance had not given up.
func (st *stream) noteBreak(s signal) {
	if s.outcome == once.Unknown && !s.from.closed && !errors.Is(s.err, errOtherAnswer) && st.brokeAt == 0 {
		st.brokeAt = st.modelCall.server.opts.Crashes.Now()
	}
}

// brokeInBeginning reports whether a connection broke before the answer got beyond its
// beginning.
func (st *stream) brokeInBeginning() bool {
	return st.brokeAt > 0 && (st.firstTokenAt == 0 || st.brokeAt-st.firstTokenAt < quarantine.SuspectTime)
}

// recordSound records that the answer has got beyond its beginning.
func (st *stream) recordSound() {
	if !st.sound {
		st.sound = true
		st.modelCall.suspect.Sound(max(st.begunAt, st.firstTokenAt))
	}
}

// observeToken records the time to the first token or the gap between two tokens.
func (st *stream) observeToken() {
	now := st.modelCall.server.opts.Now()
	flow := st.modelCall.server.flow(st.modelCall.call)
	crashes := st.modelCall.server.opts.Crashes
	if st.firstTokenAt == 0 {
		st.firstTokenAt = crashes.Now()
		crashes.Alive(incarnation(st.modelCall.call.service, st.slot.Upstream))
	} else if crashes.Now()-st.firstTokenAt >= quarantine.SoundTime {
		st.recordSound()
	}
	if st.checker.Delivered() == 1 {
		st.slot.FirstToken()
		flow.TimeToFirstToken(now - st.modelCall.call.received)
	} else {
		flow.InterTokenLatency(now - st.lastTokenAt)
	}
	st.lastTokenAt = now
}
