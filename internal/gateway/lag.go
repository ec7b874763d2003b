package gateway

import (
	"sync"
	"time"
)

const (
	// selfHelpAfter is how long an instance lacks a revision that a peer has before
	// it reads the store itself.
	selfHelpAfter = time.Second
	// selfHelpFor is how long it then does so at most, in case the store does not
	// have the revision either.
	selfHelpFor = 4 * time.Second
)

// lag tells for how long an instance has known of a revision of one document that it
// lacks. It is safe for concurrent use.
type lag struct {
	mu     sync.Mutex
	newest uint64        // revision that some peer has
	since  time.Duration // when own fell behind newest, 0 if it is not behind
}

// observe records the revisions that this instance and a peer have.
func (l *lag) observe(now time.Duration, own, peer uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, peer)
	switch {
	case own >= l.newest:
		l.since = 0
	case l.since == 0:
		l.since = max(now, 1)
	case now-l.since > selfHelpAfter+selfHelpFor:
		l.newest, l.since = max(own, peer), max(now, 1)
	}
}

// needsHelp reports whether the instance should read the store itself. own is the
// revision that it has now.
func (l *lag) needsHelp(now time.Duration, own uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since != 0 && own < l.newest && now-l.since >= selfHelpAfter && now-l.since <= selfHelpAfter+selfHelpFor
}
