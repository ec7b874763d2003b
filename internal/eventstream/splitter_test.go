package eventstream

import (
	"strings"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestSplitter(t *testing.T) {
	s := NewSplitter(1 << 10)
	must.NoError(t, s.Feed([]byte("id: 1\ndata: x\n\nid: 2\nda")))
	event, ok := s.Next()
	must.True(t, ok)
	must.Eq(t, "id: 1\ndata: x\n\n", string(event.Raw))
	must.Eq(t, "1", string(event.ID))
	_, ok = s.Next()
	must.False(t, ok)
	must.True(t, s.Partial())
	must.NoError(t, s.Feed([]byte("ta: y\r\n\r\n")))
	event, ok = s.Next()
	must.True(t, ok)
	must.Eq(t, "2", string(event.ID))
	must.False(t, s.Partial())
}

func TestEventBeyondTheLimit(t *testing.T) {
	s := NewSplitter(8)
	must.ErrorIs(t, s.Feed([]byte("data: too long")), ErrTooLarge)
}

// The events must not depend on how the stream is divided into reads.
func TestEventsDoNotDependOnReadSizes(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.StringMatching(`(id: [0-9]{1,3}\n)?data: [a-z]{0,12}\n\n`), 0, 8).Draw(rt, "events")
		rest := strings.Join(events, "")
		s := NewSplitter(1 << 10)
		var got []string
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "n")
			if err := s.Feed([]byte(rest[:n])); err != nil {
				rt.Fatal(err)
			}
			rest = rest[n:]
			for e, ok := s.Next(); ok; e, ok = s.Next() {
				got = append(got, string(e.Raw))
			}
		}
		if strings.Join(got, "|") != strings.Join(events, "|") || s.Partial() {
			rt.Fatalf("got %q, want %q", got, events)
		}
	})
}
