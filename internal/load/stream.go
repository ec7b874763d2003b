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

// answer is what came of an answer so far.
type answer struct {
	text   strings.Builder
	tokens int
	finish string // finish reason; empty until it came
	usage  *modelengine.Usage
	whole  []byte // of an answer that is not streamed
}

// event is one event of a stream, or a whole answer.
type event struct {
	modelengine.Chunk
	Error json.RawMessage `json:"error"`
}

var (
	eventPrefix = []byte("data:")
	lastEvent   = []byte("[DONE]")
)

const (
	maxEventBytes = 1 << 20
	maxTrailBytes = 4 << 10 // read after the last event
)

// readStream reads server-sent events to the last one, and takes the times. It
// then reads to the end, so that the connection can be used again.
func (c *call) readStream(body io.Reader) error {
	err := c.readEvents(body)
	c.result.Total = time.Since(c.intended)
	if err == nil {
		_, _ = io.CopyN(io.Discard, body, maxTrailBytes) // the answer was whole already
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
		if bytes.Equal(data, lastEvent) {
			c.setMeanGap(latest)
			return nil
		}
		tokens, err := c.answer.add(data)
		if err != nil {
			return err
		}
		if tokens > 0 {
			latest = c.note(latest)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("load: stream: %w", err)
	}
	return errIncomplete
}

// note takes the time of an event that brought tokens.
func (c *call) note(latest time.Time) time.Time {
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
	if c.answer.tokens > 1 && !latest.IsZero() {
		span := latest.Sub(c.intended) - c.result.FirstToken
		c.result.MeanGap = span / time.Duration(c.answer.tokens-1)
	}
}

// add takes one event and returns how many tokens it brought.
func (a *answer) add(data []byte) (int, error) {
	var ev event
	if err := json.Unmarshal(data, &ev); err != nil {
		return 0, fmt.Errorf("load: event: %w", err)
	}
	if len(ev.Error) > 0 {
		return 0, errCutNotice
	}
	before := a.tokens
	if ev.Usage != nil {
		a.usage = ev.Usage
	}
	for _, choice := range ev.Choices {
		text := textOf(choice)
		a.text.WriteString(text)
		a.tokens += len(strings.Fields(text))
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
	}
	return a.tokens - before, nil
}

func (a *answer) addWhole(data []byte) error {
	if _, err := a.add(data); err != nil {
		return err
	}
	if a.finish == "" {
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
