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

// maxNearDistance is the edit distance up to which a known field is proposed
// for an unknown one.
const maxNearDistance = 3

// checkFields refuses fields that dst's type does not declare and fields that
// stand twice.
func (s *Source) checkFields(dst any) error {
	return s.walk(s.root, reflect.TypeOf(dst), "")
}

func (s *Source) walk(v hujson.Value, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		return s.walkObject(val, t, path)
	case *hujson.Array:
		return s.walkArray(val, t, path)
	}
	return nil
}

func (s *Source) walkArray(arr *hujson.Array, t reflect.Type, path string) error {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		return nil
	}
	for i, el := range arr.Elements {
		if err := s.walk(el, t.Elem(), join(path, strconv.Itoa(i))); err != nil {
			return err
		}
	}
	return nil
}

func (s *Source) walkObject(obj *hujson.Object, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		if seen[name] {
			return s.errorAt(m.Name.StartOffset, field, "stands twice")
		}
		seen[name] = true
		elem, known := memberType(t, name)
		if !known {
			return s.errorAt(m.Name.StartOffset, field, unknownField(t, name))
		}
		if err := s.walk(m.Value, elem, field); err != nil {
			return err
		}
	}
	return nil
}

func (s *Source) errorAt(offset int, field, want string) error {
	e := &FieldError{File: s.file, Field: field, Want: want}
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
		return reflect.TypeFor[any](), true // json reports the wrong type
	}
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func unknownField(t reflect.Type, name string) string {
	near, best := "", maxNearDistance+1
	var known []string
	for _, f := range reflect.VisibleFields(t) {
		n := fieldName(f)
		if n == "" || n == "-" {
			continue
		}
		known = append(known, n)
		if d := levenshtein.Distance(name, n, nil); d < best {
			near, best = n, d
		}
	}
	if near != "" {
		return "unknown field; did you mean " + strconv.Quote(near) + "?"
	}
	slices.Sort(known)
	return "unknown field; known are " + strings.Join(known, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
