package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// source is a peer that has said which revision of a document it has.
type source struct {
	name, address string
	sameZone      bool
	revision      uint64
}

const (
	// maxSources bounds the number of peers that a sources value keeps.
	maxSources = 32
	// failedFor is how long others are preferred to a peer after a call to it failed.
	failedFor = 2 * time.Second
)

// sources are the peers from which a document may be fetched. It is safe for concurrent
// use.
type sources struct {
	mu       sync.Mutex
	byName   map[string]source
	failedAt map[string]time.Duration // last failure, of peers in byName or not
}

// told records what a peer says of itself.
func (s *sources) told(p source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.byName[p.name]; !known && len(s.byName) >= maxSources {
		s.dropOldest()
	}
	if s.byName == nil {
		s.byName = map[string]source{}
	}
	s.byName[p.name] = p
}

func (s *sources) dropOldest() {
	oldest := source{}
	for _, p := range s.byName {
		if oldest.name == "" || p.revision < oldest.revision || p.revision == oldest.revision && p.name < oldest.name {
			oldest = p
		}
	}
	delete(s.byName, oldest.name)
}

// failed records that a call to a peer failed. The peer is a source again when it says
// what it has.
func (s *sources) failed(now time.Duration, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
	if s.failedAt == nil || len(s.failedAt) >= maxSources {
		s.failedAt = map[string]time.Duration{}
	}
	s.failedAt[name] = now
}

// suspect reports whether a call to a peer failed within failedFor.
func (s *sources) suspect(now time.Duration, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasFailed(now, name)
}

func (s *sources) hasFailed(now time.Duration, name string) bool {
	at, ok := s.failedAt[name]
	return ok && now-at < failedFor
}

// dropUpTo removes the peers whose revision is not newer than a given one.
func (s *sources) dropUpTo(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.byName {
		if p.revision <= revision {
			delete(s.byName, name)
		}
	}
}

// has reports whether a peer is known to have a revision, or a newer one.
func (s *sources) has(name string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.byName[name]
	return ok && p.revision >= revision
}

// pick returns one of the peers with a newer revision than own: one that has not failed
// lately if there is any, then one of the own zone. Among equals it draws, so that the
// instances that lack a revision ask different ones.
func (s *sources) pick(now time.Duration, own uint64) (source, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best []source
	bestRank := 0
	for _, p := range s.byName {
		if p.revision <= own {
			continue
		}
		rank := 0
		if s.hasFailed(now, p.name) {
			rank += 2
		}
		if !p.sameZone {
			rank++
		}
		if len(best) == 0 || rank < bestRank {
			best, bestRank = best[:0], rank
		}
		if rank == bestRank {
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return source{}, false
	}
	slices.SortFunc(best, func(a, b source) int { return cmp.Compare(a.name, b.name) })
	return best[rand.IntN(len(best))], true
}
