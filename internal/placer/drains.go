package placer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// drain names a model that is being drained from an upstream.
type drain struct {
	upstream string // service/upstream
	model    string
}

// zoneDrains is the last report of another zone's drains.
type zoneDrains struct {
	receivedAt time.Duration
	drains     []drain
}

// drainSet holds the drains that the router of this instance applies.
type drainSet struct {
	mu      sync.Mutex // serialises replace
	current atomic.Pointer[map[drain]bool]
}

func newDrainSet() *drainSet {
	s := &drainSet{}
	s.current.Store(&map[drain]bool{})
	return s
}

// replace sets the current drains and returns the upstreams whose drains
// changed, sorted.
func (s *drainSet) replace(list []drain) []string {
	next := make(map[drain]bool, len(list))
	for _, d := range list {
		next[d] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := *s.current.Load()
	s.current.Store(&next)
	changed := map[string]bool{}
	for d := range next {
		if !previous[d] {
			changed[d.upstream] = true
		}
	}
	for d := range previous {
		if !next[d] {
			changed[d.upstream] = true
		}
	}
	return slices.Sorted(maps.Keys(changed))
}

// Draining reports whether a model is being drained from an upstream, named
// service/upstream.
func (c *Controller) Draining(upstream, model string) bool {
	return (*c.drains.current.Load())[drain{upstream, model}]
}

// applyDrains sets the drains that this instance applies and calls
// Options.OnDrainsChanged for the upstreams whose drains changed.
func (c *Controller) applyDrains(list []drain) {
	if changed := c.drains.replace(list); len(changed) > 0 {
		c.opts.OnDrainsChanged(changed)
	}
}
