package inventory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
)

// dueTargets returns the engines of this zone whose report this instance reads now,
// and the time until the next read.
func (c *Controller) dueTargets(snapshot *docsync.Snapshot, targets []Target) ([]Target, time.Duration) {
	members := append(snapshot.ZonePeers(c.opts.Self.Zone), c.opts.Self)
	var assigned []Target
	engines := 0
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		if t.Upstream.Kind != config.UpstreamEngine || t.Upstream.Zone != c.opts.Self.Zone {
			continue
		}
		engines++
		e, ok := c.state.Entry(t.Name)
		if ReaderOf(t.Name, members) == c.opts.Self.Name || !ok || now-e.ReadAt > staleAge {
			assigned = append(assigned, t)
		}
	}
	return assigned, baseReadPeriod * time.Duration(1+engines/enginesPerBasePeriod)
}

// readReports reads the reports of the targets concurrently. It relays all changes
// to the instances of this zone, and changes of residency also to one instance of
// each other zone.
func (c *Controller) readReports(ctx context.Context, snapshot *docsync.Snapshot, targets []Target) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var b batch
	for _, t := range targets {
		wg.Go(func() {
			e, ok := c.readReport(ctx, t)
			if !ok {
				return
			}
			changes := c.observe(e)
			mu.Lock()
			defer mu.Unlock()
			b.add(e, changes, e.ReadAt-c.relayedAt[t.Name] >= unchangedRelayPeriod)
		})
	}
	wg.Wait()
	for _, e := range b.all() {
		c.relayedAt[e.Upstream] = e.ReadAt
	}
	c.relay(ctx, snapshot.ZonePeers(c.opts.Self.Zone), b)
	c.relay(ctx, onePerZone(snapshot, c.opts.Self.Zone), batch{residency: b.residency})
}

// batch holds reports to relay, grouped by which part of them has changed.
type batch struct {
	residency []Entry
	load      []Entry
	unchanged []Entry
}

// add adds an entry to its group; an unchanged one is added only if
// relayUnchanged is set.
func (b *batch) add(e Entry, changes Changes, relayUnchanged bool) {
	switch {
	case changes.Residency:
		b.residency = append(b.residency, e)
	case changes.Any:
		b.load = append(b.load, e)
	case relayUnchanged:
		b.unchanged = append(b.unchanged, e)
	}
}

func (b *batch) all() []Entry { return slices.Concat(b.residency, b.load, b.unchanged) }

// readReport reads the report of one engine and returns false if that failed. It
// reports a leaving engine to the replica.
func (c *Controller) readReport(ctx context.Context, t Target) (Entry, bool) {
	readAt := c.opts.Now()
	report, err := c.opts.Engines.Report(ctx, t.Upstream.Address)
	if err != nil {
		c.opts.Log.Debug("cannot read report", "upstream", t.Name, "error", err)
		return Entry{}, false
	}
	if report.Leaving {
		_ = c.opts.Replica.RecordUpstreamLeaving(ctx, t.Upstream.Address)
	}
	return Entry{Upstream: t.Name, Report: report, ReadAt: readAt}, true
}

// observe updates the state by an entry and calls Options.Apply if it changed
// something. The mutex keeps these calls in the order of the updates.
func (c *Controller) observe(e Entry) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.state.Observe(e)
	if changes.Any {
		c.opts.Apply(e, changes)
	}
	return changes
}

// observeUpdate applies a partial update from a peer to the entry with the given
// digest. The update is dropped if this instance knows another residency of the
// upstream; the next pull resolves the difference.
func (c *Controller) observeUpdate(digest uint64, update func(Entry) Entry) {
	c.mu.Lock()
	e, ok := c.state.EntryByDigest(digest)
	c.mu.Unlock()
	if ok {
		c.observe(update(e))
	}
}
