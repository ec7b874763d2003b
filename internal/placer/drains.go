package placer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// drain names a model that leaves an upstream.
type drain struct {
	upstream string // service/upstream
	model    string
}

// zoneDrains are those of another zone, as last told.
type zoneDrains struct {
	at     time.Duration
	drains []drain
}

// drainSet is what the router of one instance heeds.
type drainSet struct {
	mu  sync.Mutex // serialises replace
	now atomic.Pointer[map[drain]bool]
}

func newDrainSet() *drainSet {
	s := &drainSet{}
	s.now.Store(&map[drain]bool{})
	return s
}

// replace puts another set in force and returns the upstreams that it changes.
func (s *drainSet) replace(list []drain) []string {
	next := make(map[drain]bool, len(list))
	for _, d := range list {
		next[d] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former := *s.now.Load()
	s.now.Store(&next)
	changed := map[string]bool{}
	for d := range next {
		if !former[d] {
			changed[d.upstream] = true
		}
	}
	for d := range former {
		if !next[d] {
			changed[d.upstream] = true
		}
	}
	return slices.Sorted(maps.Keys(changed))
}

// Draining says whether a model leaves an upstream, service/upstream.
func (d *Duty) Draining(upstream, model string) bool {
	return (*d.drains.now.Load())[drain{upstream, model}]
}

// heed puts drains in force in this instance.
func (d *Duty) heed(list []drain) {
	if changed := d.drains.replace(list); len(changed) > 0 {
		d.opts.DrainsChanged(changed)
	}
}
