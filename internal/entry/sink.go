package entry

import (
	"encoding/json"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// sink writes the answer to the caller from the events of a checked stream.
type sink interface {
	// event adds one event. The sink may retain data. An error means that the
	// caller has disconnected.
	event(data []byte, c *chunk) error
	// finish ends a complete answer.
	finish() *Error
	// abort writes the error into an answer that has started. The connection is
	// aborted afterwards, so that no client takes the answer for a complete one.
	abort(err *Error, requestID string)
	// forwardError sends an upstream's error response to the caller.
	forwardError(status int, header http.Header, body []byte)
	// reset discards the events of an earlier attempt. It returns false if part of
	// the answer has been sent, in which case no other attempt may follow.
	reset() bool
	// started reports whether any part of the answer has been sent.
	started() bool
	// tokens returns the number of tokens added.
	tokens() int
}

func newSink(w http.ResponseWriter, req *completion) sink {
	common := sinkBase{w: w}
	if req.stream {
		return &streamSink{sinkBase: common, responseController: http.NewResponseController(w)}
	}
	return &bufferedSink{sinkBase: common, chat: req.chat}
}

type sinkBase struct {
	w              http.ResponseWriter
	tokenCount     int
	writeStarted   bool
	errorForwarded bool
}

func (s *sinkBase) tokens() int   { return s.tokenCount }
func (s *sinkBase) started() bool { return s.writeStarted }

func (s *sinkBase) forwardError(status int, header http.Header, body []byte) {
	s.writeStarted, s.errorForwarded = true, true
	upstream.CopyResponseHeader(s.w.Header(), header)
	s.w.WriteHeader(status)
	_, _ = s.w.Write(body)
}

func (s *sinkBase) reset() bool { return !s.writeStarted }

// streamSink forwards events to the caller as they arrive.
type streamSink struct {
	sinkBase
	responseController *http.ResponseController
}

func (s *streamSink) event(data []byte, c *chunk) error {
	if !s.writeStarted {
		s.writeStarted = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	if c.hasToken() {
		s.tokenCount++
	}
	return s.write(data)
}

func (s *streamSink) write(data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.responseController.Flush()
}

func (s *streamSink) finish() *Error {
	if !s.errorForwarded {
		_ = s.write([]byte("[DONE]"))
	}
	return nil
}

func (s *streamSink) abort(err *Error, requestID string) {
	_ = s.write(err.body(requestID))
}

// bufferedSink collects the events into one answer that is not streamed.
type bufferedSink struct {
	sinkBase
	chat         bool
	answerText   []byte
	lastEvent    []byte  // JSON of the last event
	finishReason *string // finish_reason of the last event with a choice
}

func (s *bufferedSink) event(data []byte, c *chunk) error {
	if c.hasToken() {
		s.tokenCount++
		s.answerText = append(s.answerText, c.Choices[0].Text...)
		s.answerText = append(s.answerText, c.Choices[0].Delta.Content...)
	}
	if len(c.Choices) > 0 {
		s.finishReason = c.Choices[0].FinishReason
	}
	s.lastEvent = data
	return nil
}

func (s *bufferedSink) reset() bool {
	*s = bufferedSink{sinkBase: sinkBase{w: s.w, writeStarted: s.writeStarted, errorForwarded: s.errorForwarded}, chat: s.chat}
	return !s.writeStarted
}

// completionChoice is the only choice of an answer that is not streamed.
type completionChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *bufferedSink) finish() *Error {
	if s.errorForwarded {
		return nil
	}
	text := string(s.answerText)
	choice := completionChoice{FinishReason: s.finishReason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	var last map[string]json.RawMessage
	if s.lastEvent != nil {
		if err := json.Unmarshal(s.lastEvent, &last); err != nil {
			panic(err) // it was decoded as an event before
		}
	}
	answer := map[string]any{"object": object, "choices": []completionChoice{choice}}
	for _, field := range []string{"id", "created", "model", "usage", "attempt"} {
		if raw, ok := last[field]; ok {
			answer[field] = raw
		}
	}
	s.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(s.w).Encode(answer); err != nil {
		return nil // the caller has disconnected
	}
	return nil
}

// abort does nothing: an answer is written only when it is complete.
func (s *bufferedSink) abort(*Error, string) {}
