// Package eventstream splits the bytes of a text/event-stream into whole events,
// so that a stream that breaks in the middle of an event can be resumed after the
// last complete one. The input is fed in pieces of any size; the output is the raw
// bytes and the ID of each event.
package eventstream

import (
	"bytes"
	"errors"
)

// ErrTooLarge means that an event exceeds the size limit of its Splitter.
var ErrTooLarge = errors.New("eventstream: event too large")

// Event is one whole event.
type Event struct {
	Raw []byte // with the blank line that ends it; valid until the next Feed
	ID  []byte // value of the last id field, empty if the event has none; valid until the next Feed
}

// Splitter buffers the bytes of a stream until they form whole events. It is not
// safe for concurrent use.
type Splitter struct {
	maxBytes int
	buf      []byte
	consumed int // number of bytes of buf that Next has returned
}

// NewSplitter returns a splitter that accepts events of up to maxBytes bytes.
func NewSplitter(maxBytes int) *Splitter { return &Splitter{maxBytes: maxBytes} }

// keptBytes is the size of the largest buffer that is kept when it is empty.
const keptBytes = 32 << 10

// Feed appends bytes of the stream. It invalidates the events returned so far, and
// returns ErrTooLarge if more bytes than the limit are buffered without a whole
// event.
func (s *Splitter) Feed(p []byte) error {
	if !s.Partial() && cap(s.buf) > keptBytes {
		s.buf, s.consumed = nil, 0
	}
	s.buf = append(s.buf[:copy(s.buf, s.buf[s.consumed:])], p...)
	s.consumed = 0
	if len(s.buf) > s.maxBytes && s.eventLen(s.buf) < 0 {
		return ErrTooLarge
	}
	return nil
}

// Next returns the next whole event, and false if there is none yet.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buf[s.consumed:]
	end := s.eventLen(rest)
	if end < 0 {
		return Event{}, false
	}
	s.consumed += end
	return Event{Raw: rest[:end], ID: eventID(rest[:end])}, true
}

// Buffered returns the number of bytes that Next has not returned.
func (s *Splitter) Buffered() int { return len(s.buf) - s.consumed }

// Partial reports whether the buffer holds bytes that Next has not returned.
func (s *Splitter) Partial() bool { return s.consumed < len(s.buf) }

// eventLen returns the length in bytes of the first whole event in b, -1 if there
// is none.
func (s *Splitter) eventLen(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || lf >= 0 && lf < crlf:
		return lf + 2
	}
	return crlf + 4
}

// eventID returns the value of the last id field of an event.
func eventID(raw []byte) []byte {
	var id []byte
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.TrimSpace(value)
		}
	}
	return id
}
