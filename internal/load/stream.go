package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
)

// response is the part of a response that was received so far.
type response struct {
	text   strings.Builder
	tokens int
	finish string // finish reason; empty until it was received
	usage  *modelengine.Usage
	body   []byte // of a response that is not streamed
}

// event is one event of a stream, or the body of a response that is not streamed.
type event struct {
	modelengine.Chunk
	Error json.RawMessage `json:"error"`
}

var (
	eventPrefix = []byte("data:")
	doneMarker  = []byte("[DONE]")
)

const (
	maxEventBytes    = 1 << 20
	maxTrailingBytes = 4 << 10 // bytes read after the last event
)

// readStream reads server-sent events up to the last one and records the times.
// It then reads up to the end of the body, so that the connection can be reused.
func (c *call) readStream(body io.Reader) error {
	err := c.readEvents(body)
	c.result.Total = time.Since(c.intended)
	if err == nil {
		_, _ = io.CopyN(io.Discard, body, maxTrailingBytes) // the response was already complete
	}
	return err
}

func (c *call) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	var latest time.Time
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), eventPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			c.setMeanGap(latest)
			return nil
		}
		tokens, err := c.response.add(data)
		if err != nil {
			return err
		}
		if tokens > 0 {
			latest = c.recordTokenTime(latest)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("load: read stream: %w", err)
	}
	return errIncomplete
}

// recordTokenTime records the time of an event that contains tokens and returns
// it; latest is the time of the previous such event.
func (c *call) recordTokenTime(latest time.Time) time.Time {
	now := time.Now()
	if latest.IsZero() {
		c.result.Streamed = true
		c.result.FirstToken = now.Sub(c.intended)
		return now
	}
	c.result.WorstGap = max(c.result.WorstGap, now.Sub(latest))
	return now
}

func (c *call) setMeanGap(latest time.Time) {
	if c.response.tokens > 1 && !latest.IsZero() {
		span := latest.Sub(c.intended) - c.result.FirstToken
		c.result.MeanGap = span / time.Duration(c.response.tokens-1)
	}
}

// add decodes one event and returns its number of tokens.
func (r *response) add(data []byte) (int, error) {
	var ev event
	if err := json.Unmarshal(data, &ev); err != nil {
		return 0, fmt.Errorf("load: decode event: %w", err)
	}
	if len(ev.Error) > 0 {
		return 0, errTruncated
	}
	before := r.tokens
	if ev.Usage != nil {
		r.usage = ev.Usage
	}
	for _, choice := range ev.Choices {
		text := textOf(choice)
		r.text.WriteString(text)
		r.tokens += len(strings.Fields(text))
		if choice.FinishReason != nil {
			r.finish = *choice.FinishReason
		}
	}
	return r.tokens - before, nil
}

// addBody decodes the body of a response that is not streamed. It fails if there
// is no finish reason.
func (r *response) addBody(data []byte) error {
	if _, err := r.add(data); err != nil {
		return err
	}
	if r.finish == "" {
		return errors.New("load: no finish reason")
	}
	return nil
}

func textOf(c modelengine.Choice) string {
	switch {
	case c.Text != nil:
		return *c.Text
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	}
	return ""
}
