package modelengine

import (
	"context"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
)

// defaultMaxEndedAttempts is the number of ended attempts that can still be resumed
// if the settings give none.
const defaultMaxEndedAttempts = 1024

// progress is how far an attempt has come, and how it ended.
type progress struct {
	tokens    int // generated so far
	ended     bool
	stopped   bool // ended before max_tokens
	cancelled bool
	refused   emulator.RefusalReason // empty if not refused
}

// attempt is one attempt of a request, as the HTTP handlers see it.
type attempt struct {
	id           string
	tokens       tokenGenerator
	promptTokens int
	progress     progress
	changed      chan struct{} // closed and replaced on every change of progress
}

// attempts holds the queued and running attempts, and the latest of those that
// ended.
type attempts struct {
	byID     map[string]*attempt
	ended    []string // ids, oldest first
	maxEnded int      // length of ended at most
}

func newAttempts(maxEnded int) attempts {
	if maxEnded <= 0 {
		maxEnded = defaultMaxEndedAttempts
	}
	return attempts{byID: map[string]*attempt{}, maxEnded: maxEnded}
}

// apply records the effect of an engine's action on an attempt.
func (t *attempts) apply(action emulator.Action) {
	switch a := action.(type) {
	case emulator.Token:
		t.update(a.Attempt, func(p *progress) { p.tokens = a.Index + 1 })
	case emulator.Finished:
		t.update(a.Attempt, func(p *progress) {
			p.ended, p.stopped, p.cancelled = true, a.StoppedEarly, a.Cancelled
		})
		t.recordEnd(a.Attempt)
	case emulator.Refused:
		t.update(a.Attempt, func(p *progress) { p.ended, p.refused = true, a.Reason })
		delete(t.byID, a.Attempt)
	}
}

// update edits the progress of an attempt, if the attempt is known, and wakes the
// goroutines that wait for a change of it.
func (t *attempts) update(id string, edit func(*progress)) {
	a := t.byID[id]
	if a == nil {
		return
	}
	edit(&a.progress)
	close(a.changed)
	a.changed = make(chan struct{})
}

// recordEnd adds an attempt to those that ended. If they are then more than
// maxEnded, it removes the oldest.
func (t *attempts) recordEnd(id string) {
	t.ended = append(t.ended, id)
	if len(t.ended) <= t.maxEnded {
		return
	}
	delete(t.byID, t.ended[0])
	t.ended = t.ended[1:]
}

// awaitProgress waits until an attempt has more tokens than after or has ended,
// and returns its progress. It returns an error if ctx is done first.
func (s *Server) awaitProgress(ctx context.Context, a *attempt, after int) (progress, error) {
	for {
		s.mu.Lock()
		p, changed := a.progress, a.changed
		s.mu.Unlock()
		if p.tokens > after || p.ended {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}
