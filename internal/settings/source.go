// Package settings decodes HuJSON (JSON with comments and trailing commas) strictly.
// Unknown and duplicate fields are errors, and every error names the file, the line,
// the field and the expected value.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// FieldError describes an error in one field of a file.
type FieldError struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1
	Column  int    `json:"column"` // from 1
	Field   string `json:"field"`  // path such as models/2/memory_mb; empty for the whole file
	Message string `json:"want"`
}

// Error implements error.
func (e *FieldError) Error() string {
	at := fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", at, e.Message)
	}
	return fmt.Sprintf("%s: field %s: %s", at, e.Field, e.Message)
}

// Source is a parsed file that retains the position of each field.
type Source struct {
	file string
	src  []byte
	root hujson.Value
}

// Parse parses HuJSON. It returns a *FieldError on failure.
func Parse(file string, src []byte) (*Source, error) {
	root, err := hujson.Parse(slices.Clone(src))
	if err != nil {
		return nil, syntaxError(file, src, err)
	}
	return &Source{file: file, src: src, root: root}, nil
}

// syntaxError converts a parser error, which states "line L, column C", to a
// *FieldError.
func syntaxError(file string, src []byte, err error) error {
	e := &FieldError{File: file, Line: 1, Column: 1, Message: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &e.Line, &e.Column); scanErr != nil {
		e.Line, e.Column = position(src, len(src))
	}
	return e
}

// Decode decodes the source into dst, a pointer to a struct. It returns a *FieldError
// on failure.
func (s *Source) Decode(dst any) error {
	if err := s.checkFields(dst); err != nil {
		return err
	}
	std := s.JSON()
	err := json.Unmarshal(std, dst)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return s.Errorf(strings.ReplaceAll(typeErr.Field, ".", "/"), "want %s, got %s", typeErr.Type, typeErr.Value)
	default:
		return s.Errorf("", "%v", err)
	}
}

// JSON returns the source as standard JSON.
func (s *Source) JSON() []byte {
	v := s.root.Clone()
	v.Standardize()
	return v.Pack()
}

// Errorf returns a *FieldError for a field, given as a slash-separated path. If the
// field is absent, the error states the position of the nearest enclosing field.
func (s *Source) Errorf(field, format string, args ...any) error {
	e := &FieldError{File: s.file, Field: field, Message: fmt.Sprintf(format, args...)}
	e.Line, e.Column = position(s.src, s.offset(field))
	return e
}

// offset returns the byte offset of a field or of its nearest enclosing field.
func (s *Source) offset(field string) int {
	for path := field; path != ""; {
		if v := s.root.Find("/" + path); v != nil {
			return v.StartOffset
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			break
		}
		path = path[:slash]
	}
	return s.root.StartOffset
}

// position returns the line and column of a byte offset, both from 1.
func position(src []byte, offset int) (line, column int) {
	before := string(src[:min(offset, len(src))])
	line = 1 + strings.Count(before, "\n")
	column = offset - strings.LastIndexByte(before, '\n')
	return line, column
}

// Decode parses src and decodes it into dst, a pointer to a struct. It returns a
// *FieldError that names file on failure.
func Decode(file string, src []byte, dst any) error {
	s, err := Parse(file, src)
	if err != nil {
		return err
	}
	return s.Decode(dst)
}

// Checker is a settings value that can validate itself after decoding.
type Checker interface {
	// Check returns a *FieldError created by src for the first invalid field, or
	// nil.
	Check(src *Source) error
}

// Load reads a file, decodes it into dst, which holds the defaults, and checks the
// result.
func Load(file string, dst Checker) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(file, src)
	if err != nil {
		return err
	}
	if err := s.Decode(dst); err != nil {
		return err
	}
	return dst.Check(s)
}
