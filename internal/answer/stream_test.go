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

// engineTokens returns the tokens that an engine sends for a range of offsets. Each
// token identifies its attempt and its offset.
func engineTokens(attempt string, from, to int64) [][]byte {
	var tokens [][]byte
	for i := from; i < to; i++ {
		tokens = append(tokens, fmt.Appendf(nil, "%s/%d", attempt, i))
	}
	return tokens
}

// connection is one connection of a stream, with the offset of the next token that
// the engine sends on it.
type connection struct {
	nextOffset int64
	silent     bool
	broken     bool
}

// simulation drives a Stream with random events and checks its decisions.
type simulation struct {
	t             *rapid.T
	now           time.Duration
	answerTokens  int64
	stream        *Stream
	connections   []*connection // oldest first; the last one is the stream's current one
	delivered     [][]byte
	finalDecision *Decision
	sent          []Chunk
}

func (sim *simulation) apply(d Decision) {
	if sim.finalDecision != nil {
		must.EqOp(sim.t, sim.finalDecision.Next, d.Next, must.Sprint("the verdict is final"))
		must.SliceEmpty(sim.t, d.Deliver)
		return
	}
	sim.delivered = append(sim.delivered, d.Deliver...)
	current := sim.connections[len(sim.connections)-1]
	current.broken = current.broken || d.AbandonConnection
	switch d.Next {
	case Resume:
		must.EqOp(sim.t, int64(len(sim.delivered)), d.Offset)
		sim.connections = append(sim.connections, &connection{nextOffset: d.Offset})
		sim.stream.ResumeSent(sim.now)
	case Complete, Truncated:
		sim.finalDecision = &d
	}
}

func (sim *simulation) chunk(attempt string, from, n int64) Chunk {
	to := min(from+n, sim.answerTokens)
	return Chunk{Attempt: attempt, Offset: from, Tokens: engineTokens(attempt, from, to), End: to == sim.answerTokens}
}

// step simulates one event: progress, a chunk of another attempt, a late,
// duplicated or lost chunk, a broken or silent connection, or the passing of time.
func (sim *simulation) step() {
	c := sim.connections[rapid.IntRange(0, len(sim.connections)-1).Draw(sim.t, "conn")]
	n := rapid.Int64Range(1, 5).Draw(sim.t, "tokens")
	switch rapid.IntRange(0, 9).Draw(sim.t, "event") {
	case 0, 1, 2, 3:
		if c.silent || c.broken && c == sim.connections[len(sim.connections)-1] || c.nextOffset > sim.answerTokens {
			return
		}
		chunk := sim.chunk("own", c.nextOffset, n)
		c.nextOffset = max(c.nextOffset+n, c.nextOffset+1)
		sim.sent = append(sim.sent, chunk)
		sim.apply(sim.stream.Receive(sim.now, chunk))
	case 4:
		sim.apply(sim.stream.Receive(sim.now, sim.chunk("other", rapid.Int64Range(0, sim.answerTokens).Draw(sim.t, "from"), n)))
	case 5:
		if len(sim.sent) > 0 {
			sim.apply(sim.stream.Receive(sim.now, rapid.SampledFrom(sim.sent).Draw(sim.t, "again")))
		}
	case 6:
		c.nextOffset += n // a lost chunk
	case 7:
		c.broken = true
		if c == sim.connections[len(sim.connections)-1] {
			sim.apply(sim.stream.ConnectionLost(sim.now))
		}
	case 8:
		c.silent = true
	case 9:
		sim.now += time.Duration(rapid.IntRange(1, 3000).Draw(sim.t, "ms")) * time.Millisecond
		sim.apply(sim.stream.CheckStall(sim.now))
	}
}

// With chunks of other attempts, late, duplicated, lost and truncated chunks and
// silent connections, the caller must at all times have a prefix of its own answer,
// the whole answer once the stream is complete, and an error otherwise. A stream
// must never wait beyond its progress deadline.
func TestCallerGetsOnlyItsOwnWholeAnswer(t *testing.T) {
	verdicts := map[NextStep]int{}
	rapidtest.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, answerTokens: rapid.Int64Range(0, 30).Draw(t, "length"), connections: []*connection{{}}}
		sim.stream = NewStream(0, Options{Attempt: "own", Resumable: rapid.Bool().Draw(t, "resumable"), FirstTokenTimeout: 4 * time.Second})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			sim.step()
			whole := engineTokens("own", 0, sim.answerTokens)
			must.LessEq(t, len(whole), len(sim.delivered))
			must.True(t, slices.EqualFunc(whole[:len(sim.delivered)], sim.delivered, bytes.Equal), must.Sprint("a prefix of the own answer"))
		}
		sim.finish()
		verdicts[sim.finalDecision.Next]++
		switch sim.finalDecision.Next {
		case Complete:
			must.EqOp(t, int(sim.answerTokens), len(sim.delivered), must.Sprint("complete means whole"))
		case Truncated:
			must.Error(t, sim.finalDecision.Err)
		}
	})
	must.Positive(t, verdicts[Complete])
	must.Positive(t, verdicts[Truncated])
}

// finish advances the clock without other events until the stream ends. Each silent
// connection must be abandoned.
func (sim *simulation) finish() {
	for i := 0; sim.finalDecision == nil; i++ {
		must.Less(sim.t, 100, i, must.Sprint("the stream ends"))
		sim.now = sim.stream.NextDeadline()
		d := sim.stream.CheckStall(sim.now)
		must.True(sim.t, d.AbandonConnection, must.Sprint("a silent connection is abandoned"))
		sim.apply(d)
	}
}

// Chunks of other attempts must not count as progress: on a connection that carries
// only these, the stream must stall at the progress deadline.
func TestChunksOfOtherAttemptsAreNoProgress(t *testing.T) {
	s := NewStream(0, Options{Attempt: "own"})
	s.Receive(0, Chunk{Attempt: "own", Tokens: engineTokens("own", 0, 1)})
	d := s.Receive(DefaultTokenTimeout-1, Chunk{Attempt: "other", Tokens: engineTokens("other", 0, 1)})
	must.EqOp(t, Continue, d.Next)
	d = s.Receive(DefaultTokenTimeout, Chunk{Attempt: "other", Tokens: engineTokens("other", 1, 2)})
	must.EqOp(t, Truncated, d.Next)
	must.True(t, d.AbandonConnection)
	must.ErrorIs(t, d.Err, ErrStalled)
}

// Silence must not end a stream, and a new token must allow further resumes.
func TestSilenceEndsNoStream(t *testing.T) {
	s := NewStream(0, Options{Attempt: "own", Resumable: true})
	for token := range int64(3) {
		s.Receive(0, Chunk{Attempt: "own", Offset: token, Tokens: engineTokens("own", token, token+1)})
		for range DefaultMaxResumes {
			d := s.Silent()
			must.EqOp(t, Resume, d.Next)
			must.EqOp(t, token+1, d.Offset)
		}
		must.EqOp(t, Continue, s.Silent().Next)
	}
	must.EqOp(t, Resume, s.ConnectionLost(0).Next, must.Sprint("a broken connection is resumed nevertheless"))
	must.EqOp(t, Complete, s.Receive(0, Chunk{Attempt: "own", Offset: 3, End: true}).Next)
	must.EqOp(t, Complete, s.Silent().Next)
	must.EqOp(t, Continue, NewStream(0, Options{Attempt: "own"}).Silent().Next)
}

func TestCheckBody(t *testing.T) {
	must.NoError(t, CheckBody("a", Body{Attempt: "a", Declared: 3, Received: 3, EndReceived: true}))
	must.NoError(t, CheckBody("a", Body{Attempt: "a", Declared: -1, Received: 3, EndReceived: true}))
	must.ErrorIs(t, CheckBody("a", Body{Attempt: "b", Declared: 3, Received: 3, EndReceived: true}), ErrWrongAttempt)
	must.ErrorIs(t, CheckBody("a", Body{Declared: 3, Received: 3, EndReceived: true}), ErrWrongAttempt)
	must.ErrorIs(t, CheckBody("a", Body{Attempt: "a", Declared: 4, Received: 3, EndReceived: true}), ErrIncomplete)
	must.ErrorIs(t, CheckBody("a", Body{Attempt: "a", Declared: -1, Received: 3}), ErrIncomplete)
}
