package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
)

// removedTargetTTL is the time for which an engine remains known after its removal
// from the documents, so that it serves models that have no other replica yet.
const removedTargetTTL = 5 * time.Minute

// Target is one upstream as described by the documents.
type Target struct {
	Name     string // service/upstream
	Upstream config.Upstream
	Removed  bool // no longer named by any document
}

// UpdateTargets updates the targets from the current documents and returns them:
// the upstreams of the documents in force and the engines removed from them
// within removedTargetTTL. It drops the reports of all other upstreams.
func (c *Controller) UpdateTargets() []Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	snapshot := c.opts.Replica.Snapshot()
	if snapshot.Generation == c.generation && len(c.removedAt) == 0 {
		return c.targetList
	}
	targets := Targets(snapshot)
	next := make(map[string]Target, len(targets))
	for _, t := range targets {
		next[t.Name] = t
		delete(c.removedAt, t.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[name]
		if _, named := next[name]; named || t.Upstream.Kind != config.UpstreamEngine {
			continue
		}
		if !t.Removed {
			t.Removed = true
			c.removedAt[name] = now
		}
		if now-c.removedAt[name] > removedTargetTTL {
			delete(c.removedAt, name)
			continue
		}
		next[name] = t
		targets = append(targets, t)
	}
	c.targets, c.targetList, c.generation = next, targets, snapshot.Generation
	c.retainTargets(next)
	return targets
}

// Address returns the address of an upstream, named service/upstream, and false if
// it is not a target.
func (c *Controller) Address(upstream string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.targets[upstream]
	return t.Upstream.Address, ok
}

// Targets returns the upstreams of all documents in force.
func Targets(snapshot *docsync.Snapshot) []Target {
	var targets []Target
	for _, doc := range snapshot.Services {
		for _, u := range doc.Upstreams {
			targets = append(targets, Target{Name: doc.Service + "/" + u.Name, Upstream: u})
		}
	}
	return targets
}

// retainTargets drops the reports of upstreams that are not targets.
func (c *Controller) retainTargets(targets map[string]Target) {
	names := make(map[string]bool, len(targets))
	for name := range targets {
		names[name] = true
	}
	c.state.RemoveExcept(names)
}
