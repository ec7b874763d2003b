package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type inner struct {
	MemoryMB int64 `json:"memory_mb"`
}

type outer struct {
	Name   string   `json:"name"`
	Wait   Duration `json:"wait"`
	Models []inner  `json:"models"`
}

func TestDecode(t *testing.T) {
	var o outer
	src := "{\n // comment\n \"name\": \"a\", \"wait\": \"2s\", \"models\": [{\"memory_mb\": 3},],\n}"
	must.NoError(t, Decode("f", []byte(src), &o))
	must.Eq(t, outer{Name: "a", Wait: Duration(2 * time.Second), Models: []inner{{3}}}, o)
}

func TestDecodeErrorNamesLineAndField(t *testing.T) {
	for _, tc := range []struct {
		name, src, field, want string
		line                   int
	}{
		{"near match", "{\n\"models\": [\n{\"memory_bm\": 3}]}", "models/0/memory_bm", `did you mean "memory_mb"?`, 3},
		{"far", "{\"zzzzzzzzzz\": 3}", "zzzzzzzzzz", "known are models, name, wait", 1},
		{"twice", "{\"name\": \"a\",\n\"name\": \"b\"}", "name", "duplicate field", 2},
		{"type", "{\n\"name\": 3}", "name", "want string, got number", 2},
		{"duration", "{\"wait\": \"soon\"}", "", "want a duration", 1},
		{"syntax", "{\n\"name\" 3}", "", "hujson", 2},
	} {
		err := Decode("f.hujson", []byte(tc.src), new(outer))
		var fe *FieldError
		must.True(t, errors.As(err, &fe), must.Sprint(tc.name))
		must.Eq(t, tc.line, fe.Line, must.Sprint(tc.name))
		must.Eq(t, tc.field, fe.Field, must.Sprint(tc.name))
		must.StrContains(t, fe.Error(), tc.want, must.Sprint(tc.name))
	}
}
