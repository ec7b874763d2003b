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

// lag tells for how long an instance has known of one revision of a document that it
// lacks. Newer revisions that come up meanwhile count from when it has that one. It is
// safe for concurrent use.
type lag struct {
	mu     sync.Mutex
	newest uint64        // revision that some peer has
	target uint64        // revision that the instance lacks, 0 if none is known
	since  time.Duration // when it learned of target
	logged uint64        // last target for which firstHelp reported true
}

// observe records the revisions that this instance and a peer have.
func (l *lag) observe(now time.Duration, own, peer uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, peer)
	if l.target != 0 && own < l.target && now-l.since <= selfHelpAfter+selfHelpFor {
		return
	}
	if l.target > own {
		l.newest = peer // nobody could tell the former one
	}
	l.target, l.since = 0, now
	if l.newest > own {
		l.target = l.newest
	}
}

// needsHelp reports whether the instance should read the store itself. own is the
// revision that it has now.
func (l *lag) needsHelp(now time.Duration, own uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := now - l.since
	return own < l.target && late >= selfHelpAfter && late <= selfHelpAfter+selfHelpFor
}

// firstHelp reports whether needsHelp has become true for a revision for which
// firstHelp was not called before. It returns that revision.
func (l *lag) firstHelp() (target uint64, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = l.logged != l.target
	l.logged = l.target
	return l.target, first
}

// behind returns for how long the instance has known of a revision that it lacked at
// the last observation, 0 if it lacked none.
func (l *lag) behind(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == 0 {
		return 0
	}
	return now - l.since
}

// told returns the latest revision that a peer said it has.
func (l *lag) told() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// lacks returns the revision that an instance with the revision own lacks and for how long
// it has known of it, 0 for none.
func (l *lag) lacks(now time.Duration, own uint64) (target uint64, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own >= l.target {
		return 0, 0
	}
	return l.target, now - l.since
}
