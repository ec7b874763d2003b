package answer

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// engine answers attempts with tokens that tell attempt and offset apart.
func engineTokens(attempt string, from, to int64) [][]byte {
	var tokens [][]byte
	for i := from; i < to; i++ {
		tokens = append(tokens, fmt.Appendf(nil, "%s/%d", attempt, i))
	}
	return tokens
}

// conn is one connection of a stream: what the engine put on it and how far.
type conn struct {
	next   int64
	silent bool
	broken bool
}

type world struct {
	t      *rapid.T
	now    time.Duration
	length int64
	stream *Stream
	conns  []*conn // oldest first; the last one is the stream's current one
	got    [][]byte
	final  *Decision
	sent   []Chunk
}

func (w *world) apply(d Decision) {
	if w.final != nil {
		must.EqOp(w.t, w.final.Verdict, d.Verdict, must.Sprint("the verdict is final"))
		must.SliceEmpty(w.t, d.Deliver)
		return
	}
	w.got = append(w.got, d.Deliver...)
	current := w.conns[len(w.conns)-1]
	current.broken = current.broken || d.AbandonConnection
	switch d.Verdict {
	case Resume:
		must.EqOp(w.t, int64(len(w.got)), d.Offset)
		w.conns = append(w.conns, &conn{next: d.Offset})
		w.stream.Started(w.now)
	case Complete, Cut:
		w.final = &d
	}
}

func (w *world) chunk(attempt string, from, n int64) Chunk {
	to := min(from+n, w.length)
	return Chunk{Attempt: attempt, Offset: from, Tokens: engineTokens(attempt, from, to), End: to == w.length}
}

// step lets one thing happen: progress, a crossed, late, duplicated or lost
// chunk, a break, silence, or time.
func (w *world) step() {
	c := w.conns[rapid.IntRange(0, len(w.conns)-1).Draw(w.t, "conn")]
	n := rapid.Int64Range(1, 5).Draw(w.t, "tokens")
	switch rapid.IntRange(0, 9).Draw(w.t, "event") {
	case 0, 1, 2, 3:
		if c.silent || c.broken && c == w.conns[len(w.conns)-1] || c.next > w.length {
			return
		}
		chunk := w.chunk("own", c.next, n)
		c.next = max(c.next+n, c.next+1)
		w.sent = append(w.sent, chunk)
		w.apply(w.stream.Receive(w.now, chunk))
	case 4:
		w.apply(w.stream.Receive(w.now, w.chunk("other", rapid.Int64Range(0, w.length).Draw(w.t, "from"), n)))
	case 5:
		if len(w.sent) > 0 {
			w.apply(w.stream.Receive(w.now, rapid.SampledFrom(w.sent).Draw(w.t, "again")))
		}
	case 6:
		c.next += n // a chunk lost on the way
	case 7:
		c.broken = true
		if c == w.conns[len(w.conns)-1] {
			w.apply(w.stream.Broken(w.now))
		}
	case 8:
		c.silent = true
	case 9:
		w.now += time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond
		w.apply(w.stream.Stalled(w.now))
	}
}

// Under crossed, late, duplicated, lost and cut chunks and silent connections
// the caller has a prefix of its own answer at every moment, the whole of it
// when the stream is complete, and an error otherwise; and a stream never
// waits beyond its progress deadline.
func TestStreamWholeAndOwn(t *testing.T) {
	verdicts := map[Verdict]int{}
	rapidtest.Check(t, func(t *rapid.T) {
		w := &world{t: t, length: rapid.Int64Range(0, 30).Draw(t, "length"), conns: []*conn{{}}}
		w.stream = NewStream(0, Options{Attempt: "own", Resumable: rapid.Bool().Draw(t, "resumable"), FirstProgress: 4 * time.Second})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			w.step()
			whole := engineTokens("own", 0, w.length)
			must.LessEq(t, len(whole), len(w.got))
			must.True(t, slices.EqualFunc(whole[:len(w.got)], w.got, bytes.Equal), must.Sprint("a prefix of the own answer"))
		}
		w.finish()
		verdicts[w.final.Verdict]++
		switch w.final.Verdict {
		case Complete:
			must.EqOp(t, int(w.length), len(w.got), must.Sprint("complete means whole"))
		case Cut:
			must.Error(t, w.final.Err)
		}
	})
	must.Positive(t, verdicts[Complete])
	must.Positive(t, verdicts[Cut])
}

// finish lets only time pass: each silent connection is abandoned and the
// stream ends.
func (w *world) finish() {
	for i := 0; w.final == nil; i++ {
		must.Less(w.t, 100, i, must.Sprint("the stream ends"))
		w.now = w.stream.NextDeadline()
		d := w.stream.Stalled(w.now)
		must.True(w.t, d.AbandonConnection, must.Sprint("a silent connection is abandoned"))
		w.apply(d)
	}
}

// Chunks of other attempts on a connection are no progress.
func TestCrossedChunksDoNotHideSilence(t *testing.T) {
	s := NewStream(0, Options{Attempt: "own"})
	s.Receive(0, Chunk{Attempt: "own", Tokens: engineTokens("own", 0, 1)})
	d := s.Receive(DefaultProgress-1, Chunk{Attempt: "other", Tokens: engineTokens("other", 0, 1)})
	must.EqOp(t, Continue, d.Verdict)
	d = s.Receive(DefaultProgress, Chunk{Attempt: "other", Tokens: engineTokens("other", 1, 2)})
	must.EqOp(t, Cut, d.Verdict)
	must.True(t, d.AbandonConnection)
	must.ErrorIs(t, d.Err, ErrStalled)
}

func TestCheckBody(t *testing.T) {
	must.NoError(t, CheckBody("a", Body{Attempt: "a", Declared: 3, Received: 3, Ended: true}))
	must.NoError(t, CheckBody("a", Body{Attempt: "a", Declared: -1, Received: 3, Ended: true}))
	must.ErrorIs(t, CheckBody("a", Body{Attempt: "b", Declared: 3, Received: 3, Ended: true}), ErrCrossed)
	must.ErrorIs(t, CheckBody("a", Body{Declared: 3, Received: 3, Ended: true}), ErrCrossed)
	must.ErrorIs(t, CheckBody("a", Body{Attempt: "a", Declared: 4, Received: 3, Ended: true}), ErrShort)
	must.ErrorIs(t, CheckBody("a", Body{Attempt: "a", Declared: -1, Received: 3}), ErrShort)
}
