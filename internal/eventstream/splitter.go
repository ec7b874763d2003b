// Package eventstream cuts the bytes of a text/event-stream into whole events,
// so that a stream that breaks in the middle of one can go on after the last
// that was whole.
package eventstream

import (
	"bytes"
	"errors"
)

// ErrTooLarge means that an event is larger than a splitter holds.
var ErrTooLarge = errors.New("eventstream: event too large")

// Event is one whole event with the blank line that ends it.
type Event struct {
	Raw []byte // valid until the next Feed
	ID  []byte // empty if the event has none
}

// Splitter holds the bytes of an event that is not whole yet.
type Splitter struct {
	limit int
	buf   []byte
	next  int // the first byte of buf that was not given out
}

// NewSplitter returns a splitter that holds events up to limit bytes.
func NewSplitter(limit int) *Splitter { return &Splitter{limit: limit} }

// Feed takes in bytes. Events given out before are no longer valid.
func (s *Splitter) Feed(p []byte) error {
	s.buf = append(s.buf[:copy(s.buf, s.buf[s.next:])], p...)
	s.next = 0
	if len(s.buf) > s.limit && s.end(s.buf) < 0 {
		return ErrTooLarge
	}
	return nil
}

// Next returns the next whole event.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buf[s.next:]
	end := s.end(rest)
	if end < 0 {
		return Event{}, false
	}
	s.next += end
	return Event{Raw: rest[:end], ID: eventID(rest[:end])}, true
}

// Partial reports whether bytes of an event that is not whole are held.
func (s *Splitter) Partial() bool { return s.next < len(s.buf) }

// end returns the length of the first whole event, -1 if there is none.
func (s *Splitter) end(b []byte) int {
	unix, dos := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case unix < 0 && dos < 0:
		return -1
	case dos < 0 || unix >= 0 && unix < dos:
		return unix + 2
	}
	return dos + 4
}

// eventID returns the value of the last id field.
func eventID(raw []byte) []byte {
	var id []byte
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.TrimSpace(value)
		}
	}
	return id
}
