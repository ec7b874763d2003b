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
		events := rapid.SliceOfN(rapid.StringMatching(`(id: [0-9]{1,3}\n)?data: [a-z]{0,12}\n\n|(data: [a-z]{0,3}\r\n){1,2}\r\n|:?\n\n|:\r?\n[a-z]\r\n\r\n`), 0, 8).Draw(rt, "events")
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

// The work for an event must grow with its size, not with its square: an upstream may send one
// that never ends in pieces of few bytes.
func BenchmarkLongEventInSmallPieces(b *testing.B) {
	piece := []byte("data:xxx")
	for b.Loop() {
		s := NewSplitter(256 << 10)
		for s.Feed(piece) == nil {
			s.Next()
		}
	}
}

func BenchmarkManySmallEvents(b *testing.B) {
	read := []byte(strings.Repeat("\n\n", 8<<10))
	for b.Loop() {
		s := NewSplitter(256 << 10)
		must.NoError(b, s.Feed(read))
		for _, ok := s.Next(); ok; _, ok = s.Next() {
		}
	}
}
