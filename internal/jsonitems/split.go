// Package jsonitems splits a JSON text into its items without decoding them, so that each
// item is decoded by itself: an item that cannot be decoded costs only itself, and one whose
// bytes have not changed need not be decoded again.
package jsonitems

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrSyntax means that a text cannot be split into items.
var ErrSyntax = errors.New("jsonitems: syntax error")

// Member is one member of an object.
type Member struct {
	Key      string
	Value    []byte   // part of the text that was split
	Elements [][]byte // of Value, if IsArray
	IsArray  bool
}

// IsNull reports whether the value is null.
func (m *Member) IsNull() bool { return string(m.Value) == "null" }

// Object returns the members of an object in the order of the text; the object null has
// none. It only finds where values begin and end, however deep they are nested. Whether a
// value is valid shows when it is decoded.
func Object(text []byte) ([]Member, error) {
	if string(bytes.TrimSpace(text)) == "null" {
		return nil, nil
	}
	var out []Member
	s := &splitter{text: text}
	err := s.whole('{', '}', func() error {
		m, err := s.member()
		out = append(out, m)
		return err
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Members calls f with each member of an object, in the order of the text, as Object does, but
// keeps nothing. key and value are parts of the text, but for a key with escapes.
func Members(text []byte, f func(key, value []byte)) error {
	if string(bytes.TrimSpace(text)) == "null" {
		return nil
	}
	s := &splitter{text: text}
	return s.whole('{', '}', func() error {
		key, err := s.key()
		if err != nil {
			return err
		}
		value, err := s.value()
		if err == nil {
			f(key, value)
		}
		return err
	})
}

// Elements calls f with each element of an array, in the order of the text.
func Elements(text []byte, f func(value []byte)) error {
	s := &splitter{text: text}
	return s.whole('[', ']', func() error {
		value, err := s.value()
		if err == nil {
			f(value)
		}
		return err
	})
}

// splitter reads a text from left to right.
type splitter struct {
	text []byte
	at   int
}

// whole is items for the whole text.
func (s *splitter) whole(opening, closing byte, item func() error) error {
	if err := s.items(opening, closing, item); err != nil {
		return err
	}
	if s.skipSpace(); s.at != len(s.text) {
		return s.errorf("text after the end")
	}
	return nil
}

// items calls item at the beginning of each item between two brackets.
func (s *splitter) items(opening, closing byte, item func() error) error {
	if !s.take(opening) {
		return s.errorf("%q expected", opening)
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return s.errorf("',' or %q expected", closing)
		}
		if err := item(); err != nil {
			return err
		}
	}
	return nil
}

func (s *splitter) errorf(format string, args ...any) error {
	return fmt.Errorf("%w at byte %d: %s", ErrSyntax, s.at, fmt.Sprintf(format, args...))
}

func (s *splitter) skipSpace() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

func isSpace(b byte) bool { return b == ' ' || b == '\n' || b == '\t' || b == '\r' }

// take skips b, if it comes next after white space, and reports whether it did.
func (s *splitter) take(b byte) bool {
	if s.skipSpace(); s.at < len(s.text) && s.text[s.at] == b {
		s.at++
		return true
	}
	return false
}

// key skips a key with its colon and returns the text that it stands for.
func (s *splitter) key() ([]byte, error) {
	s.skipSpace()
	began := s.at
	if !s.take('"') {
		return nil, s.errorf("a key expected")
	}
	if err := s.restOfString(); err != nil {
		return nil, err
	}
	raw := s.text[began:s.at]
	key := raw[1 : len(raw)-1]
	if bytes.IndexByte(raw, '\\') >= 0 {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return nil, s.errorf("key: %v", err)
		}
		key = []byte(text)
	}
	if !s.take(':') {
		return nil, s.errorf("':' expected")
	}
	return key, nil
}

func (s *splitter) member() (Member, error) {
	key, err := s.key()
	if err != nil {
		return Member{}, err
	}
	m := Member{Key: string(key)}
	s.skipSpace()
	began := s.at
	m.IsArray = s.at < len(s.text) && s.text[s.at] == '['
	if !m.IsArray {
		m.Value, err = s.value()
		return m, err
	}
	err = s.items('[', ']', func() error {
		element, err := s.value()
		m.Elements = append(m.Elements, element)
		return err
	})
	m.Value = s.text[began:s.at:s.at]
	return m, err
}

// value skips one value and returns its bytes.
func (s *splitter) value() ([]byte, error) {
	s.skipSpace()
	began := s.at
	if s.at == len(s.text) {
		return nil, s.errorf("a value expected")
	}
	var err error
	switch s.text[s.at] {
	case '{', '[':
		err = s.nested()
	case '"':
		s.at++
		err = s.restOfString()
	default:
		err = s.literal()
	}
	return s.text[began:s.at:s.at], err
}

// nested skips an array or object. It does not recurse, so that no depth exhausts the stack.
func (s *splitter) nested() error {
	var closing []byte // of the brackets that are open
	for s.at < len(s.text) {
		b := s.text[s.at]
		s.at++
		switch b {
		case '{':
			closing = append(closing, '}')
		case '[':
			closing = append(closing, ']')
		case '"':
			if err := s.restOfString(); err != nil {
				return err
			}
		case '}', ']':
			if b != closing[len(closing)-1] {
				return s.errorf("%q expected", closing[len(closing)-1])
			}
			if closing = closing[:len(closing)-1]; len(closing) == 0 {
				return nil
			}
		}
	}
	return s.errorf("%d brackets are open", len(closing))
}

// restOfString skips a string whose opening quote was read.
func (s *splitter) restOfString() error {
	for i := s.at; i < len(s.text); i++ {
		switch s.text[i] {
		case '\\':
			i++
		case '"':
			s.at = i + 1
			return nil
		}
	}
	s.at = len(s.text)
	return s.errorf("a string does not end")
}

// literal skips a number, true, false or null.
func (s *splitter) literal() error {
	began := s.at
	for s.at < len(s.text) {
		switch b := s.text[s.at]; {
		case b == ',' || b == ']' || b == '}' || isSpace(b):
			if s.at == began {
				return s.errorf("a value expected")
			}
			return nil
		}
		s.at++
	}
	return nil
}
