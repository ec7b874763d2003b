package inventory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// dueTargets returns the engines of this zone whose report this instance reads now,
// and the time until the next read.
func (d *Duty) dueTargets(snapshot *replica.Snapshot, targets []Target) ([]Target, time.Duration) {
	members := append(snapshot.ZonePeers(d.opts.Self.Zone), d.opts.Self)
	var assigned []Target
	engines := 0
	now := d.opts.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if t.Upstream.Kind != config.UpstreamEngine || t.Upstream.Zone != d.opts.Self.Zone {
			continue
		}
		engines++
		e, ok := d.state.Entry(t.Name)
		if Reader(t.Name, members) == d.opts.Self.Name || !ok || now-e.ReadAt > staleAge {
			assigned = append(assigned, t)
		}
	}
	return assigned, baseReadPeriod * time.Duration(1+engines/enginesPerBasePeriod)
}

// readReports reads the reports of the targets concurrently. It relays all changes
// to the instances of this zone, and changes of residency also to one instance of
// each other zone.
func (d *Duty) readReports(ctx context.Context, snapshot *replica.Snapshot, targets []Target) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var b batch
	for _, t := range targets {
		wg.Go(func() {
			e, ok := d.readReport(ctx, t)
			if !ok {
				return
			}
			news := d.observe(e)
			mu.Lock()
			defer mu.Unlock()
			b.add(e, news, e.ReadAt-d.relayedAt[t.Name] >= unchangedRelayPeriod)
		})
	}
	wg.Wait()
	for _, e := range b.all() {
		d.relayedAt[e.Upstream] = e.ReadAt
	}
	d.relay(ctx, snapshot.ZonePeers(d.opts.Self.Zone), b)
	d.relay(ctx, onePerZone(snapshot, d.opts.Self.Zone), batch{residency: b.residency})
}

// batch holds reports to relay, grouped by which part of them has changed.
type batch struct {
	residency []Entry
	load      []Entry
	unchanged []Entry
}

// add adds an entry to its group; an unchanged one is added only if
// relayUnchanged is set.
func (b *batch) add(e Entry, news News, relayUnchanged bool) {
	switch {
	case news.Residency:
		b.residency = append(b.residency, e)
	case news.Load:
		b.load = append(b.load, e)
	case relayUnchanged:
		b.unchanged = append(b.unchanged, e)
	}
}

func (b *batch) all() []Entry { return slices.Concat(b.residency, b.load, b.unchanged) }

// readReport reads the report of one engine and returns false if that failed. It
// reports a leaving engine to the replica.
func (d *Duty) readReport(ctx context.Context, t Target) (Entry, bool) {
	readAt := d.opts.Now()
	report, err := d.opts.Engines.Report(ctx, t.Upstream.Address)
	if err != nil {
		d.opts.Log.Debug("cannot read report", "upstream", t.Name, "error", err)
		return Entry{}, false
	}
	if report.Leaving {
		_ = d.opts.Replica.UpstreamLeaving(ctx, t.Upstream.Address)
	}
	return Entry{Upstream: t.Name, Report: report, ReadAt: readAt}, true
}

// observe updates the state by an entry and calls Options.Apply if it changed
// something. The mutex keeps these calls in the order of the updates.
func (d *Duty) observe(e Entry) News {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.state.Observe(e)
	if news.Load {
		d.opts.Apply(e, news)
	}
	return news
}

// observeUpdate applies a partial update from a peer to the entry with the given
// digest. The update is dropped if this instance knows another residency of the
// upstream; the next pull resolves the difference.
func (d *Duty) observeUpdate(digest uint64, update func(Entry) Entry) {
	d.mu.Lock()
	e, ok := d.state.Known(digest)
	d.mu.Unlock()
	if ok {
		d.observe(update(e))
	}
}
