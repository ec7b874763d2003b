package main

import (
	"fmt"
	"slices"
	"sync"
)

// maxLost is how often an instance may close a kept connection without an answer to a request that
// it passed on (RULES.md, LOST).
const maxLost = 3

// lostRequests counts requests that a server ran and that have no complete answer.
type lostRequests struct {
	mu        sync.Mutex
	kept, all int
}

func (l *lostRequests) add(o outcome, servers []*server) {
	ran := slices.ContainsFunc(servers, func(s *server) bool { return s.hasRun(o.id) })
	if o.status != 0 && o.whole || o.timedOut || !ran {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	if o.status == 0 && o.reused {
		l.kept++
	}
}

func (l *lostRequests) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kept > maxLost
}

func (l *lostRequests) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d requests that a server ran had no whole answer, %d of them came on kept connections that were closed without any", l.all, l.kept)
}
