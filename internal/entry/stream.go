package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

const (
	maxResumes        = 3
	maxErrorBodyBytes = 64 << 10
	maxEventBytes     = 1 << 20
	streamBufferBytes = 16 << 10
)

// Errors that end one connection of a stream.
var (
	errForeign  = errors.New("entry: answer of another attempt")
	errGap      = errors.New("entry: gap in the stream")
	errTooLarge = errors.New("entry: event too large")
	errCaller   = errors.New("entry: caller has left")
)

// chunk is the part of a streamed event that the instance reads. Offset is the
// index of the event's token; an event without text carries the number of
// tokens before it.
type chunk struct {
	Attempt string        `json:"attempt"`
	Offset  int           `json:"offset"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Text  string     `json:"text"`
	Delta chunkDelta `json:"delta"`
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

// stream reads one attempt's answer, over more than one connection if need be.
type stream struct {
	call    *modelCall
	slot    *dispatch.Slot
	attempt string
	address string
	body    []byte
	next    int // tokens delivered
	last    time.Duration
}

// run reads until the answer is whole or cannot be got. A broken connection is
// resumed on the same engine at the token after the last one delivered.
func (st *stream) run(ctx context.Context) once.Outcome {
	outcome := st.connect(ctx, false)
	for resumes := 0; outcome == once.Unknown && resumes < maxResumes && ctx.Err() == nil; resumes++ {
		st.call.server.opts.Metrics.Count(metrics.Resumes)
		outcome = st.connect(ctx, true)
		if outcome != once.Answered {
			// The attempt itself has run, whatever the resume says.
			outcome = once.Unknown
		}
	}
	return outcome
}

// connect sends the attempt, or its resume, and reads what comes. Silence for
// longer than the progress deadline cancels the call, which closes the
// connection.
func (st *stream) connect(ctx context.Context, resume bool) once.Outcome {
	progress := time.Duration(st.call.call.service.Deadlines.ProgressMS) * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(progress, func() {
		st.call.server.opts.Metrics.Count(metrics.SilentConnections)
		cancel()
	})
	defer watchdog.Stop()
	a := st.call.newAttempt(st.attempt, st.address, st.body)
	if resume {
		a.Header.Set(engine.HeaderOffset, strconv.Itoa(st.next))
	}
	resp, err := st.call.server.opts.Upstream.Do(ctx, a)
	if err != nil {
		st.log("no answer", err)
		return once.Classify(once.Evidence{Sent: a.Sent.Load()})
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st.failure(resp)
	}
	if resp.Header.Get(engine.HeaderAttempt) != st.attempt {
		st.log("answer dropped", errForeign)
		st.call.server.opts.Metrics.Count(metrics.ForeignAnswers)
		return once.Unknown
	}
	err = st.read(resp.Body, func() { watchdog.Reset(progress) })
	if err != nil {
		st.log("stream broken", err)
	}
	return once.Classify(once.Evidence{Sent: true, Whole: err == nil, Status: resp.StatusCode})
}

func (st *stream) log(msg string, err error) {
	st.call.server.opts.Log.Info(msg, "request", st.call.call.id, "attempt", st.attempt,
		"upstream", st.address, "tokens", st.next, "error", err)
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
func (st *stream) read(body io.Reader, progress func()) error {
	in := bufio.NewReaderSize(body, streamBufferBytes)
	for {
		data, err := readEvent(in)
		if err != nil {
			return err
		}
		progress()
		if string(data) == "[DONE]" {
			return nil
		}
		if err := st.deliver(data); err != nil {
			return err
		}
	}
}

func (st *stream) deliver(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	switch {
	case c.Attempt != st.attempt:
		return errForeign
	case c.Offset > st.next:
		return errGap
	case c.Offset < st.next:
		return nil // delivered before the resume
	}
	if c.Usage != nil {
		st.call.used = c.Usage.TotalTokens
	}
	if err := st.call.sink.event(data, &c); err != nil {
		return errCaller
	}
	if c.hasToken() {
		st.next++
		st.measure()
	}
	return nil
}

// measure takes the time of a token that was passed on.
func (st *stream) measure() {
	now := st.call.server.opts.Now()
	flow := st.call.server.flow(st.call.call)
	if st.next == 1 {
		st.slot.FirstToken()
		flow.FirstToken(now - st.call.call.received)
	} else {
		flow.Gap(now - st.last)
	}
	st.last = now
}

var dataField = []byte("data:")

// readEvent returns the data of the next server-sent event.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && data != nil {
			return data, nil
		}
		if value, ok := bytes.CutPrefix(line, dataField); ok {
			data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		}
		if len(data) > maxEventBytes {
			return nil, errTooLarge
		}
	}
}

func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
