package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/tailscale/hujson"
)

// maxSuggestionDistance is the maximum edit distance at which a known field is
// suggested for an unknown one.
const maxSuggestionDistance = 3

// checkFields returns an error for the first field that the type of dst does not
// declare or that occurs twice in an object.
func (s *Source) checkFields(dst any) error {
	return s.checkValue(s.root, reflect.TypeOf(dst), "")
}

// checkValue checks the fields of v, which is decoded into type t. Types with their
// own json.Unmarshaler are not checked.
func (s *Source) checkValue(v hujson.Value, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		return s.checkObject(val, t, path)
	case *hujson.Array:
		return s.checkArray(val, t, path)
	}
	return nil
}

func (s *Source) checkArray(arr *hujson.Array, t reflect.Type, path string) error {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		return nil
	}
	for i, el := range arr.Elements {
		if err := s.checkValue(el, t.Elem(), join(path, strconv.Itoa(i))); err != nil {
			return err
		}
	}
	return nil
}

func (s *Source) checkObject(obj *hujson.Object, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		if seen[name] {
			return s.errorAt(m.Name.StartOffset, field, "duplicate field")
		}
		seen[name] = true
		elem, known := memberType(t, name)
		if !known {
			return s.errorAt(m.Name.StartOffset, field, unknownFieldMessage(t, name))
		}
		if err := s.checkValue(m.Value, elem, field); err != nil {
			return err
		}
	}
	return nil
}

// errorAt returns a *FieldError for the byte offset in the source.
func (s *Source) errorAt(offset int, field, want string) error {
	e := &FieldError{File: s.file, Field: field, Message: want}
	e.Line, e.Column = position(s.src, offset)
	return e
}

// memberType returns the type of a member of an object that is decoded into t.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		for _, f := range reflect.VisibleFields(t) {
			if fieldName(f) == name {
				return f.Type, true
			}
		}
		return nil, false
	default:
		return reflect.TypeFor[any](), true // json.Unmarshal reports the type error
	}
}

// fieldName returns the JSON name of a struct field, "" if it has none.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// unknownFieldMessage returns the error text for a field that t does not declare: it
// suggests the nearest field or lists all.
func unknownFieldMessage(t reflect.Type, name string) string {
	suggestion, best := "", maxSuggestionDistance+1
	var known []string
	for _, f := range reflect.VisibleFields(t) {
		n := fieldName(f)
		if n == "" || n == "-" {
			continue
		}
		known = append(known, n)
		if d := levenshtein.Distance(name, n, nil); d < best {
			suggestion, best = n, d
		}
	}
	if suggestion != "" {
		return "unknown field; did you mean " + strconv.Quote(suggestion) + "?"
	}
	slices.Sort(known)
	return "unknown field; known are " + strings.Join(known, ", ")
}

// join appends a name to a slash-separated path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
