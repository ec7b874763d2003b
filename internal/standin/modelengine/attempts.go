package modelengine

import (
	"context"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
)

const defaultRetainAttempts = 1024

// progress is how far an attempt has come.
type progress struct {
	tokens  int
	ended   bool
	stopped bool // ended before max_tokens
	cut     bool // cancelled
	refused emulator.Refusal
}

// attempt is one request as its handlers see it.
type attempt struct {
	id           string
	text         textSource
	promptTokens int
	progress     progress
	changed      chan struct{} // closed and replaced at every change
}

// attempts keeps the attempts that run, and the latest of those that ended.
type attempts struct {
	byID   map[string]*attempt
	ended  []string // oldest first
	retain int
}

func newAttempts(retain int) attempts {
	if retain <= 0 {
		retain = defaultRetainAttempts
	}
	return attempts{byID: map[string]*attempt{}, retain: retain}
}

// apply notes an action of the engine that concerns an attempt.
func (t *attempts) apply(action emulator.Action) {
	switch a := action.(type) {
	case emulator.Token:
		t.change(a.Attempt, func(p *progress) { p.tokens = a.Index + 1 })
	case emulator.Finished:
		t.change(a.Attempt, func(p *progress) {
			p.ended, p.stopped, p.cut = true, a.Stopped, a.Cut
		})
		t.end(a.Attempt)
	case emulator.Refused:
		t.change(a.Attempt, func(p *progress) { p.ended, p.refused = true, a.Reason })
		delete(t.byID, a.Attempt)
	}
}

func (t *attempts) change(id string, edit func(*progress)) {
	a := t.byID[id]
	if a == nil {
		return
	}
	edit(&a.progress)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (t *attempts) end(id string) {
	t.ended = append(t.ended, id)
	if len(t.ended) <= t.retain {
		return
	}
	delete(t.byID, t.ended[0])
	t.ended = t.ended[1:]
}

// await returns the progress of an attempt once it is beyond a number of
// tokens or has ended. It fails if ctx ends first.
func (s *Server) await(ctx context.Context, a *attempt, beyond int) (progress, error) {
	for {
		s.mu.Lock()
		p, changed := a.progress, a.changed
		s.mu.Unlock()
		if p.tokens > beyond || p.ended {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}
