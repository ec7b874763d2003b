package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// retiredKept is how long an engine that no document names any more is still
// known, so that it serves the models that have no other home yet.
const retiredKept = 5 * time.Minute

// Target is one upstream as the documents describe it.
type Target struct {
	Name     string // service/upstream
	Upstream config.Upstream
	Retired  bool // no document names it any more
}

// Sync returns the upstreams of the documents in force and, for a while, the
// engines that they named before.
func (d *Duty) Sync() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	known := d.opts.Replica.Snapshot()
	if known.Edition == d.edition && len(d.retired) == 0 {
		return d.list
	}
	targets := Targets(known)
	next := make(map[string]Target, len(targets))
	for _, t := range targets {
		next[t.Name] = t
		delete(d.retired, t.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.targets)) {
		t := d.targets[name]
		if _, named := next[name]; named || t.Upstream.Kind != config.UpstreamEngine {
			continue
		}
		if !t.Retired {
			t.Retired = true
			d.retired[name] = now
		}
		if now-d.retired[name] > retiredKept {
			delete(d.retired, name)
			continue
		}
		next[name] = t
		targets = append(targets, t)
	}
	d.targets, d.list, d.edition = next, targets, known.Edition
	d.retain(next)
	return targets
}

// Address returns where an upstream, service/upstream, listens.
func (d *Duty) Address(upstream string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.targets[upstream]
	return t.Upstream.Address, ok
}

// Targets returns the upstreams of all documents in force.
func Targets(known *replica.Snapshot) []Target {
	var targets []Target
	for _, doc := range known.Services {
		for _, u := range doc.Upstreams {
			targets = append(targets, Target{Name: doc.Service + "/" + u.Name, Upstream: u})
		}
	}
	return targets
}

func (d *Duty) retain(targets map[string]Target) {
	names := make(map[string]bool, len(targets))
	for name := range targets {
		names[name] = true
	}
	d.state.Retain(names)
}
