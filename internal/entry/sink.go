package entry

import (
	"encoding/json"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// sink takes the events of a checked stream and answers the caller.
type sink interface {
	// event takes one event and may keep its data; an error means that the
	// caller has left.
	event(data []byte, c *chunk) error
	// finish ends a whole answer.
	finish() *Error
	// abort tells the error inside an answer that has started. The connection
	// is aborted after it, so that nobody takes the answer for a whole one.
	abort(err *Error, requestID string)
	// pass answers with an upstream's own error.
	pass(status int, header http.Header, body []byte)
	// restart forgets what an earlier attempt gave. It returns false if some of
	// that has reached the caller, so that no other attempt may follow it.
	restart() bool
	// started reports whether any of the answer has reached the caller.
	started() bool
	// tokens returns the number of tokens taken.
	tokens() int
}

func newSink(w http.ResponseWriter, req *completion) sink {
	base := sinkBase{w: w}
	if req.stream {
		return &streamSink{sinkBase: base, flush: http.NewResponseController(w)}
	}
	return &wholeSink{sinkBase: base, chat: req.chat}
}

type sinkBase struct {
	w      http.ResponseWriter
	count  int
	wrote  bool
	passed bool
}

func (s *sinkBase) tokens() int   { return s.count }
func (s *sinkBase) started() bool { return s.wrote }

func (s *sinkBase) pass(status int, header http.Header, body []byte) {
	s.wrote, s.passed = true, true
	upstream.CopyAnswerHeader(s.w.Header(), header)
	s.w.WriteHeader(status)
	_, _ = s.w.Write(body)
}

func (s *sinkBase) restart() bool { return !s.wrote }

// streamSink passes events on as they come.
type streamSink struct {
	sinkBase
	flush *http.ResponseController
}

func (s *streamSink) event(data []byte, c *chunk) error {
	if !s.wrote {
		s.wrote = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	if c.hasToken() {
		s.count++
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
	return s.flush.Flush()
}

func (s *streamSink) finish() *Error {
	if !s.passed {
		_ = s.write([]byte("[DONE]"))
	}
	return nil
}

func (s *streamSink) abort(err *Error, requestID string) {
	_ = s.write(err.body(requestID))
}

// wholeSink collects the events into one answer.
type wholeSink struct {
	sinkBase
	chat bool
	text []byte
	last []byte  // data of the last event
	stop *string // finish_reason
}

func (s *wholeSink) event(data []byte, c *chunk) error {
	if c.hasToken() {
		s.count++
		s.text = append(s.text, c.Choices[0].Text...)
		s.text = append(s.text, c.Choices[0].Delta.Content...)
	}
	if len(c.Choices) > 0 {
		s.stop = c.Choices[0].FinishReason
	}
	s.last = data
	return nil
}

func (s *wholeSink) restart() bool {
	*s = wholeSink{sinkBase: sinkBase{w: s.w, wrote: s.wrote, passed: s.passed}, chat: s.chat}
	return !s.wrote
}

// wholeChoice is the one choice of a whole answer.
type wholeChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *wholeSink) finish() *Error {
	if s.passed {
		return nil
	}
	text := string(s.text)
	choice := wholeChoice{FinishReason: s.stop}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	var last map[string]json.RawMessage
	if s.last != nil {
		if err := json.Unmarshal(s.last, &last); err != nil {
			panic(err) // it was read as an event before
		}
	}
	answer := map[string]any{"object": object, "choices": []wholeChoice{choice}}
	for _, field := range []string{"id", "created", "model", "usage", "attempt"} {
		if raw, ok := last[field]; ok {
			answer[field] = raw
		}
	}
	s.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(s.w).Encode(answer); err != nil {
		return nil // the caller has left
	}
	return nil
}

// abort is never needed: nothing is written before the answer is whole.
func (s *wholeSink) abort(*Error, string) {}
