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

const maxErrorBodyBytes = 64 << 10

// Errors that end one connection of a stream.
var (
	errForeign = errors.New("entry: answer of another attempt")
	errCaller  = errors.New("entry: caller has left")
	errNoEnd   = errors.New("entry: end marker before the answer was whole")
)

// chunk is the part of a streamed event that the instance reads. Offset is the
// index of the event's token; an event without text carries the number of
// tokens before it.
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

func (c *chunk) hasToken() bool {
	return len(c.Choices) > 0 && (c.Choices[0].Text != "" || c.Choices[0].Delta.Content != "")
}

// ends reports whether the event is the last one with a part of the answer.
func (c *chunk) ends() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// stream reads one attempt's answer, over more than one connection if need be.
// check decides what is delivered and when the answer is whole.
type stream struct {
	call    *modelCall
	slot    *dispatch.Slot
	attempt string
	address string
	body    []byte
	check   *answer.Stream
	verdict answer.Verdict
	last    time.Duration // when the last token was passed on
}

func (m *modelCall) newStream(slot *dispatch.Slot, attempt, address string, body []byte) *stream {
	progress := time.Duration(m.call.service.Deadlines.ProgressMS) * time.Millisecond
	check := answer.NewStream(m.server.opts.Now(), answer.Options{
		Attempt: attempt, Resumable: true, FirstProgress: progress, Progress: progress,
	})
	return &stream{call: m, slot: slot, attempt: attempt, address: address, body: body, check: check, verdict: answer.Continue}
}

// run reads until the answer is whole or cannot be got. A connection that
// breaks off after the first token is resumed on the same engine; before it,
// another engine may do better.
func (st *stream) run(ctx context.Context) once.Outcome {
	outcome := st.connect(ctx, false)
	for outcome == once.Unknown && st.check.Delivered() > 0 && ctx.Err() == nil && st.resumes() {
		st.call.server.opts.Metrics.Count(metrics.Resumes)
		outcome = st.connect(ctx, true)
		if outcome != once.Answered {
			// The attempt itself has run, whatever the resume says.
			outcome = once.Unknown
		}
	}
	if outcome == once.Unknown {
		st.cancel()
	}
	return outcome
}

// resumes takes the end of a connection and reports whether to resume.
func (st *stream) resumes() bool {
	if st.verdict == answer.Continue {
		st.verdict = st.check.Broken(st.call.server.opts.Now()).Verdict
	}
	return st.verdict == answer.Resume
}

// cancelTimeout bounds the call that tells an engine to stop.
const cancelTimeout = time.Second

// cancel tells the engine that nobody waits for the attempt any more.
func (st *stream) cancel() {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if err := st.call.server.opts.Engines.Cancel(ctx, st.address, st.attempt); err != nil {
			st.log("cancel attempt", err)
		}
	}()
}

// connect sends the attempt, or its resume, and reads what comes. Silence for
// longer than the progress deadline cancels the call, which closes the
// connection.
func (st *stream) connect(ctx context.Context, resume bool) once.Outcome {
	now := st.call.server.opts.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := st.call.newAttempt(st.attempt, st.address, st.body)
	if resume {
		st.check.Started(now)
		st.verdict = answer.Continue
		a.Header.Set(engine.HeaderOffset, strconv.FormatInt(st.check.Delivered(), 10))
	}
	watchdog := time.AfterFunc(st.check.NextDeadline()-now, func() {
		st.call.server.opts.Metrics.Count(metrics.SilentConnections)
		st.call.server.opts.Upstream.CloseIdle()
		cancel()
	})
	defer watchdog.Stop()
	resp, err := st.call.server.opts.Upstream.Do(ctx, a)
	if err != nil {
		st.call.fresh = true
		st.log("no answer", err)
		return once.Classify(once.Evidence{Sent: a.Sent.Load()})
	}
	defer resp.Body.Close()
	if resp.Header.Get(engine.HeaderAttempt) != st.attempt {
		st.log("answer dropped", errForeign)
		st.call.server.opts.Metrics.Count(metrics.ForeignAnswers)
		return once.Unknown
	}
	if resp.StatusCode != http.StatusOK {
		return st.failure(resp)
	}
	err = st.read(resp.Body, watchdog)
	if err != nil {
		st.call.fresh = true
		st.log("stream broken", err)
	}
	return once.Classify(once.Evidence{Sent: true, Whole: err == nil, Status: resp.StatusCode})
}

func (st *stream) log(msg string, err error) {
	st.call.server.opts.Log.Info(msg, "request", st.call.call.id, "attempt", st.attempt,
		"upstream", st.address, "tokens", st.check.Delivered(), "error", err)
}

// failure classifies an error answer; one that proves nothing but the
// caller's own mistake is passed on.
func (st *stream) failure(resp *http.Response) once.Outcome {
	body, err := upstream.ReadAll(resp.Body, maxErrorBodyBytes)
	outcome := once.Classify(once.Evidence{
		Sent: true, Whole: err == nil, Status: resp.StatusCode, Ran: resp.Header.Get(engine.HeaderRan),
	})
	badRequest := resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusUnprocessableEntity
	if err == nil && badRequest && !st.call.sink.started() {
		st.call.sink.pass(resp.StatusCode, resp.Header, body)
		return once.Answered
	}
	if outcome == once.Answered {
		return once.Unknown
	}
	return outcome
}

// read delivers events until the end marker.
func (st *stream) read(body io.Reader, watchdog *time.Timer) error {
	in := bufio.NewReaderSize(body, streamBufferBytes)
	for {
		data, err := readEvent(in)
		if err != nil {
			return err
		}
		if string(data) == "[DONE]" {
			return st.end()
		}
		if err := st.deliver(data); err != nil {
			return err
		}
		watchdog.Reset(st.check.NextDeadline() - st.call.server.opts.Now())
	}
}

// end takes the end marker, which proves nothing by itself.
func (st *stream) end() error {
	if st.verdict != answer.Complete {
		return errNoEnd
	}
	return nil
}

// deliver checks an event and passes it on.
func (st *stream) deliver(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if st.verdict == answer.Complete && c.Attempt == st.attempt {
		return st.pass(data, &c) // usage may follow the last token
	}
	part := answer.Chunk{Attempt: c.Attempt, Offset: c.Offset, End: c.ends()}
	if c.hasToken() {
		part.Tokens = [][]byte{data}
	}
	d := st.check.Receive(st.call.server.opts.Now(), part)
	st.verdict = d.Verdict
	switch {
	case c.Attempt != st.attempt:
		return errForeign
	case d.Verdict == answer.Resume:
		return answer.ErrGap
	case d.Verdict == answer.Cut:
		return d.Err
	case c.hasToken() && len(d.Deliver) == 0:
		return nil // delivered before the resume
	}
	if err := st.pass(data, &c); err != nil {
		return err
	}
	if c.hasToken() {
		st.measure()
	}
	return nil
}

// pass gives an event to the caller.
func (st *stream) pass(data []byte, c *chunk) error {
	if c.Usage != nil {
		st.call.used = c.Usage.TotalTokens
	}
	if err := st.call.sink.event(data, c); err != nil {
		return errCaller
	}
	return nil
}

// measure takes the time of a token that was passed on.
func (st *stream) measure() {
	now := st.call.server.opts.Now()
	flow := st.call.server.flow(st.call.call)
	if st.check.Delivered() == 1 {
		st.slot.FirstToken()
		flow.FirstToken(now - st.call.call.received)
	} else {
		flow.Gap(now - st.last)
	}
	st.last = now
}
