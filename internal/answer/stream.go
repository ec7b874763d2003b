// Package answer checks that what reaches a caller is the whole answer to its
// own request. A Stream follows one attempt: it drops chunks of other
// attempts, skips what was delivered before, asks to resume after a break and
// calls an answer complete only when its terminal marker came at the offset
// that was reached. It is pure; time is the caller's monotonic clock.
package answer

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultFirstProgress = 30 * time.Second
	DefaultProgress      = 5 * time.Second
	DefaultMaxResumes    = 3
)

// Options set a Stream. Zero durations and counts take the defaults.
type Options struct {
	// Attempt is the id that every chunk must carry.
	Attempt string
	// Resumable is true if the upstream resumes a stream at an offset.
	Resumable bool
	// MaxResumes bounds the resumes without progress between them.
	MaxResumes int
	// FirstProgress is how long the first token is awaited.
	FirstProgress time.Duration
	// Progress is how long every further token is awaited, and the first one
	// after a resume.
	Progress time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxResumes == 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	if o.FirstProgress == 0 {
		o.FirstProgress = DefaultFirstProgress
	}
	if o.Progress == 0 {
		o.Progress = DefaultProgress
	}
	return o
}

// Chunk is a part of an answer as it came from a connection.
type Chunk struct {
	Attempt string
	// Offset is the number of tokens of the attempt before this chunk.
	Offset int64
	// Tokens are the payloads, one a token.
	Tokens [][]byte
	// End is the terminal marker; the answer has Offset+len(Tokens) tokens.
	End bool
}

// Verdict is what to do with a stream next.
type Verdict string

// The verdicts on a stream. Complete and Cut are final.
const (
	Continue Verdict = "continue" // go on reading
	Complete Verdict = "complete" // everything was delivered
	Resume   Verdict = "resume"   // ask the same engine to go on at Decision.Offset
	Cut      Verdict = "cut"      // report Decision.Err to the caller
)

// Errors that end a stream as cut.
var (
	ErrBroken    = errors.New("answer: connection ended before the answer did")
	ErrStalled   = errors.New("answer: no progress within the deadline")
	ErrGap       = errors.New("answer: part of the answer is missing")
	ErrEndBefore = errors.New("answer: terminal marker before an offset already delivered")
	ErrCancelled = errors.New("answer: cancelled")
)

// Decision is the verdict on a stream with what it needs.
type Decision struct {
	Verdict Verdict
	// Deliver are the tokens that the caller gets now, in order.
	Deliver [][]byte
	// Offset is where to resume, in tokens.
	Offset int64
	// AbandonConnection tells to close the connection, not just the request:
	// it went silent or carries something else.
	AbandonConnection bool
	// Err says why a stream was cut.
	Err error
}

// Stats count what a Stream dropped.
type Stats struct {
	Crossed    uint64 // chunks of another attempt
	Late       uint64 // chunks after the end
	Duplicates uint64 // tokens delivered before
	Gaps       uint64
	Resumes    uint64
}

// Stream checks the answer to one attempt. It is not safe for concurrent use.
type Stream struct {
	opts      Options
	delivered int64
	progress  time.Duration // last progress or (re)start
	stalls    int           // resumes since the last progress
	resumed   bool
	waiting   bool // a resume was asked for and not yet started
	final     *Decision
	stats     Stats
}

// NewStream returns the check of an attempt sent at now.
func NewStream(now time.Duration, opts Options) *Stream {
	return &Stream{opts: opts.withDefaults(), progress: now}
}

// Stats returns the counts so far.
func (s *Stream) Stats() Stats { return s.stats }

// Delivered returns how many tokens the caller has got.
func (s *Stream) Delivered() int64 { return s.delivered }

// Receive checks a chunk.
func (s *Stream) Receive(now time.Duration, c Chunk) Decision {
	if s.final != nil {
		s.stats.Late++
		return s.ended()
	}
	if c.Attempt != s.opts.Attempt {
		s.stats.Crossed++
		return s.stalledOr(now)
	}
	end := c.Offset + int64(len(c.Tokens))
	switch {
	case c.Offset > s.delivered || c.Offset < 0:
		s.stats.Gaps++
		return s.interrupted(now, true, ErrGap)
	case c.End && end < s.delivered:
		return s.finish(Decision{Verdict: Cut, AbandonConnection: true, Err: ErrEndBefore})
	}
	deliver := s.fresh(now, c, end)
	if c.End {
		return s.finish(Decision{Verdict: Complete, Deliver: deliver})
	}
	d := s.stalledOr(now)
	d.Deliver = deliver
	return d
}

// fresh returns the tokens of a chunk that were not delivered before.
func (s *Stream) fresh(now time.Duration, c Chunk, end int64) [][]byte {
	skip := min(s.delivered-c.Offset, int64(len(c.Tokens)))
	s.stats.Duplicates += uint64(skip)
	if end <= s.delivered {
		return nil
	}
	s.delivered = end
	s.progress, s.stalls, s.waiting = now, 0, false
	return c.Tokens[skip:]
}

// Broken notes that the current connection of the stream ended or failed. The
// end of a connection that was abandoned before is not reported.
func (s *Stream) Broken(now time.Duration) Decision {
	return s.interrupted(now, false, ErrBroken)
}

// Started notes that the resume asked for was sent.
func (s *Stream) Started(now time.Duration) {
	if s.final == nil {
		s.progress, s.waiting = now, false
	}
}

// Stalled checks the progress deadline. Only tokens that the caller had not
// got before count as progress, whatever else the connection carries.
func (s *Stream) Stalled(now time.Duration) Decision {
	if s.final != nil {
		return s.ended()
	}
	return s.stalledOr(now)
}

// Cancel ends the stream: the caller left or the request's deadline passed.
func (s *Stream) Cancel() Decision {
	if s.final != nil {
		return s.ended()
	}
	return s.finish(Decision{Verdict: Cut, Err: ErrCancelled})
}

// NextDeadline returns when Stalled is due.
func (s *Stream) NextDeadline() time.Duration {
	if s.delivered == 0 && !s.resumed {
		return s.progress + s.opts.FirstProgress
	}
	return s.progress + s.opts.Progress
}

func (s *Stream) stalledOr(now time.Duration) Decision {
	if now < s.NextDeadline() {
		return Decision{Verdict: Continue}
	}
	return s.interrupted(now, true, ErrStalled)
}

// interrupted decides between resuming and cutting. A second interruption
// while a resume is due changes nothing but to abandon that connection too.
func (s *Stream) interrupted(now time.Duration, abandon bool, cause error) Decision {
	if s.final != nil {
		return s.ended()
	}
	if s.waiting && now < s.NextDeadline() {
		return Decision{Verdict: Continue, AbandonConnection: abandon}
	}
	if !s.opts.Resumable || s.stalls >= s.opts.MaxResumes {
		return s.finish(Decision{Verdict: Cut, AbandonConnection: abandon, Err: cause})
	}
	s.stalls++
	s.stats.Resumes++
	s.resumed, s.waiting, s.progress = true, true, now
	return Decision{Verdict: Resume, Offset: s.delivered, AbandonConnection: abandon}
}

// finish ends the stream; later calls repeat the verdict without its tokens.
func (s *Stream) finish(d Decision) Decision {
	s.final = &Decision{Verdict: d.Verdict, Err: d.Err}
	return d
}

func (s *Stream) ended() Decision { return *s.final }
