// Package answer checks that a caller receives the complete answer to its own
// request and nothing else. CheckBody checks an answer that is not streamed. A
// Stream checks the chunks of one attempt: it drops chunks of other attempts,
// skips tokens that were delivered before and asks to resume after an
// interruption. It reports an answer as complete only if the terminal marker came
// at the offset that was reached. The package does no I/O; all times are on the
// instance's monotonic clock.
package answer

import (
	"errors"
	"time"
)

// Defaults of Options.
const (
	DefaultFirstTokenTimeout = 30 * time.Second
	DefaultTokenTimeout      = 5 * time.Second
	DefaultMaxResumes        = 3
)

// Options configure a Stream. Zero durations and counts take the defaults.
type Options struct {
	// Attempt is the id that every chunk must carry.
	Attempt string
	// Resumable is true if the upstream can resume a stream at an offset.
	Resumable bool
	// MaxResumes bounds the number of consecutive resumes without progress.
	MaxResumes int
	// FirstTokenTimeout is the timeout for the first token.
	FirstTokenTimeout time.Duration
	// TokenTimeout is the timeout for every further token, and for the first one
	// after a resume.
	TokenTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxResumes == 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	if o.FirstTokenTimeout == 0 {
		o.FirstTokenTimeout = DefaultFirstTokenTimeout
	}
	if o.TokenTimeout == 0 {
		o.TokenTimeout = DefaultTokenTimeout
	}
	return o
}

// Chunk is a part of an answer as received from a connection.
type Chunk struct {
	Attempt string
	// Offset is the number of tokens of the attempt before this chunk.
	Offset int64
	// Tokens are the payloads, one per token.
	Tokens [][]byte
	// End is true for the terminal marker: the answer has Offset+len(Tokens)
	// tokens.
	End bool
}

// NextStep says how to proceed with a stream.
type NextStep string

// The values of NextStep. Complete and Truncated are final.
const (
	Continue  NextStep = "continue" // read on
	Complete  NextStep = "complete" // everything was delivered
	Resume    NextStep = "resume"   // ask the same engine to continue at Decision.Offset
	Truncated NextStep = "cut"      // the answer is truncated: report Decision.Err to the caller
)

// Errors with which a stream ends if its next step is Truncated.
var (
	ErrBroken    = errors.New("answer: connection ended before the answer did")
	ErrStalled   = errors.New("answer: no progress within the deadline")
	ErrGap       = errors.New("answer: part of the answer is missing")
	ErrEarlyEnd  = errors.New("answer: terminal marker before an offset already delivered")
	ErrCancelled = errors.New("answer: cancelled")
)

// Decision is the next step of a stream and the data to carry it out.
type Decision struct {
	Next NextStep
	// Deliver are the tokens to pass to the caller now, in order.
	Deliver [][]byte
	// Offset is the offset in tokens at which to resume.
	Offset int64
	// AbandonConnection asks to close the connection, not only to end the
	// request: it is silent or carries data of something else.
	AbandonConnection bool
	// Err is the reason for the next step Truncated.
	Err error
}

// Stats count the irregularities of a Stream.
type Stats struct {
	OtherAttempt uint64 // chunks of another attempt
	Late         uint64 // chunks after the end
	Duplicates   uint64 // tokens that were delivered before
	Gaps         uint64 // chunks that do not continue the answer
	Resumes      uint64 // resumes that were asked for
}

// Stream checks the answer to one attempt. It is not safe for concurrent use.
type Stream struct {
	opts                 Options
	delivered            int64
	lastProgress         time.Duration // time of the last new token, start or resume
	resumesSinceProgress int           // since the last new token, without those of Silent
	silentResumes        int           // resumes of Silent since the last new token
	resumed              bool          // a resume was asked for at any time
	resumePending        bool          // a resume was asked for and has not been started
	finalDecision        *Decision
	stats                Stats
}

// NewStream returns a Stream for an attempt sent at now.
func NewStream(now time.Duration, opts Options) *Stream {
	return &Stream{opts: opts.withDefaults(), lastProgress: now}
}

// Stats returns the counts so far.
func (s *Stream) Stats() Stats { return s.stats }

// Delivered returns the number of tokens delivered so far.
func (s *Stream) Delivered() int64 { return s.delivered }

// Receive checks a chunk and returns the tokens to deliver and how to proceed.
func (s *Stream) Receive(now time.Duration, c Chunk) Decision {
	if s.finalDecision != nil {
		s.stats.Late++
		return s.repeatFinal()
	}
	if c.Attempt != s.opts.Attempt {
		s.stats.OtherAttempt++
		return s.resumeIfStalled(now)
	}
	end := c.Offset + int64(len(c.Tokens))
	switch {
	case c.Offset > s.delivered || c.Offset < 0:
		s.stats.Gaps++
		return s.resumeOrTruncate(now, true, ErrGap)
	case c.End && end < s.delivered:
		return s.finish(Decision{Next: Truncated, AbandonConnection: true, Err: ErrEarlyEnd})
	}
	deliver := s.newTokens(now, c, end)
	if c.End {
		return s.finish(Decision{Next: Complete, Deliver: deliver})
	}
	d := s.resumeIfStalled(now)
	d.Deliver = deliver
	return d
}

// newTokens returns the tokens of a chunk that were not delivered before and marks
// them as delivered.
func (s *Stream) newTokens(now time.Duration, c Chunk, end int64) [][]byte {
	skip := min(s.delivered-c.Offset, int64(len(c.Tokens)))
	s.stats.Duplicates += uint64(skip)
	if end <= s.delivered {
		return nil
	}
	s.delivered = end
	s.lastProgress, s.resumePending = now, false
	s.resumesSinceProgress, s.silentResumes = 0, 0
	return c.Tokens[skip:]
}

// ConnectionLost reports that the current connection of the stream ended or
// failed. Do not report the end of a connection that was abandoned before.
func (s *Stream) ConnectionLost(now time.Duration) Decision {
	return s.resumeOrTruncate(now, false, ErrBroken)
}

// ResumeSent reports that the resume that was asked for has been sent.
func (s *Stream) ResumeSent(now time.Duration) {
	if s.finalDecision == nil {
		s.lastProgress, s.resumePending = now, false
	}
}

// CheckStall checks the progress deadline. Only tokens that were not delivered
// before count as progress, whatever else the connection carries.
func (s *Stream) CheckStall(now time.Duration) Decision {
	if s.finalDecision != nil {
		return s.repeatFinal()
	}
	return s.resumeIfStalled(now)
}

// Silent reports that connections which stay open have carried no new token for a
// while. It returns Resume if one more connection may be asked for the rest. Silence
// proves nothing, so it never ends the stream.
func (s *Stream) Silent() Decision {
	if s.finalDecision != nil {
		return s.repeatFinal()
	}
	if !s.opts.Resumable || s.silentResumes >= s.opts.MaxResumes {
		return Decision{Next: Continue}
	}
	s.silentResumes++
	s.stats.Resumes++
	return Decision{Next: Resume, Offset: s.delivered}
}

// Cancel ends the stream because the caller disconnected or the request's deadline
// passed.
func (s *Stream) Cancel() Decision {
	if s.finalDecision != nil {
		return s.repeatFinal()
	}
	return s.finish(Decision{Next: Truncated, Err: ErrCancelled})
}

// NextDeadline returns the progress deadline, at which CheckStall must be called.
func (s *Stream) NextDeadline() time.Duration {
	if s.delivered == 0 && !s.resumed {
		return s.lastProgress + s.opts.FirstTokenTimeout
	}
	return s.lastProgress + s.opts.TokenTimeout
}

// resumeIfStalled returns Continue before the progress deadline and otherwise
// resumes or truncates the stream.
func (s *Stream) resumeIfStalled(now time.Duration) Decision {
	if now < s.NextDeadline() {
		return Decision{Next: Continue}
	}
	return s.resumeOrTruncate(now, true, ErrStalled)
}

// resumeOrTruncate decides after an interruption whether to resume or to truncate
// the stream. A second interruption while a resume is pending has no effect,
// except that its connection may be abandoned too.
func (s *Stream) resumeOrTruncate(now time.Duration, abandon bool, cause error) Decision {
	if s.finalDecision != nil {
		return s.repeatFinal()
	}
	if s.resumePending && now < s.NextDeadline() {
		return Decision{Next: Continue, AbandonConnection: abandon}
	}
	if !s.opts.Resumable || s.resumesSinceProgress >= s.opts.MaxResumes {
		return s.finish(Decision{Next: Truncated, AbandonConnection: abandon, Err: cause})
	}
	s.resumesSinceProgress++
	s.stats.Resumes++
	s.resumed, s.resumePending, s.lastProgress = true, true, now
	return Decision{Next: Resume, Offset: s.delivered, AbandonConnection: abandon}
}

// finish ends the stream. Later decisions repeat the next step and the error
// without the tokens.
func (s *Stream) finish(d Decision) Decision {
	s.finalDecision = &Decision{Next: d.Next, Err: d.Err}
	return d
}

func (s *Stream) repeatFinal() Decision { return *s.finalDecision }
