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

	mark int // bytes of a byte order mark at the beginning of Raw
}

// byteOrderMark may stand before the first line of a stream and is no part of it.
var byteOrderMark = []byte("\xEF\xBB\xBF")

// Splitter buffers the bytes of a stream until they form whole events. It is not
// safe for concurrent use.
type Splitter struct {
	maxBytes int
	buf      []byte
	consumed int  // number of bytes of buf that Next has returned
	searched int  // no event after consumed ends with a blank line that begins before
	begun    bool // Next has returned an event
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
		s.buf, s.consumed, s.searched = nil, 0, 0
	}
	if s.consumed > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.consumed:])]
		s.searched, s.consumed = s.searched-s.consumed, 0
	}
	s.buf = append(s.buf, p...)
	if len(s.buf) > s.maxBytes && s.eventEnd() < 0 {
		return ErrTooLarge
	}
	return nil
}

// Next returns the next whole event, and false if there is none yet.
func (s *Splitter) Next() (Event, bool) {
	end := s.eventEnd()
	if end < 0 {
		return Event{}, false
	}
	raw := s.buf[s.consumed:end]
	s.consumed = end
	mark := 0
	if !s.begun && bytes.HasPrefix(raw, byteOrderMark) {
		mark = len(byteOrderMark)
	}
	s.begun = true
	return Event{Raw: raw, ID: eventID(raw[mark:]), mark: mark}, true
}

// Buffered returns the number of bytes that Next has not returned.
func (s *Splitter) Buffered() int { return len(s.buf) - s.consumed }

// Partial reports whether the buffer holds bytes that Next has not returned.
func (s *Splitter) Partial() bool { return s.consumed < len(s.buf) }

// eventEnd returns where the next event ends in the buffer, -1 if it is not whole. What was
// searched in vain is not searched again.
func (s *Splitter) eventEnd() int {
	from := max(s.searched, s.consumed)
	for {
		n := bytes.IndexByte(s.buf[from:], '\n')
		if n < 0 {
			break
		}
		i := from + n
		rest := s.buf[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		}
		if i > s.consumed && s.buf[i-1] == '\r' && bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
		from = i + 1
	}
	s.searched = max(len(s.buf)-2, s.consumed)
	return -1
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
