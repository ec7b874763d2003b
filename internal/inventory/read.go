package inventory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// due returns the engines of this zone that this instance reads now, and the
// time until the next read.
func (d *Duty) due(known *replica.Snapshot, targets []Target) ([]Target, time.Duration) {
	members := append(known.ZonePeers(d.opts.Self.Zone), d.opts.Self)
	var mine []Target
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
			mine = append(mine, t)
		}
	}
	return mine, basePeriod * time.Duration(1+engines/upstreamsPerPeriod)
}

// readAll reads reports at once and relays what is new.
func (d *Duty) readAll(ctx context.Context, known *replica.Snapshot, targets []Target) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var b batch
	for _, t := range targets {
		wg.Go(func() {
			e, ok := d.read(ctx, t)
			if !ok {
				return
			}
			news := d.observe(e)
			mu.Lock()
			defer mu.Unlock()
			b.add(e, news, e.ReadAt-d.relayed[t.Name] >= confirmEvery)
		})
	}
	wg.Wait()
	for _, e := range b.all() {
		d.relayed[e.Upstream] = e.ReadAt
	}
	d.relay(ctx, known.ZonePeers(d.opts.Self.Zone), b)
	d.relay(ctx, onePerZone(known, d.opts.Self.Zone), batch{residency: b.residency})
}

// batch holds reports to relay, by how much of them is new to the peers.
type batch struct {
	residency []Entry
	load      []Entry
	unchanged []Entry
}

// add sorts an entry in; one without news is relayed only if confirm is set.
func (b *batch) add(e Entry, news News, confirm bool) {
	switch {
	case news.Residency:
		b.residency = append(b.residency, e)
	case news.Load:
		b.load = append(b.load, e)
	case confirm:
		b.unchanged = append(b.unchanged, e)
	}
}

func (b *batch) all() []Entry { return slices.Concat(b.residency, b.load, b.unchanged) }

func (d *Duty) read(ctx context.Context, t Target) (Entry, bool) {
	readAt := d.opts.Now()
	report, err := d.opts.Engines.Report(ctx, t.Upstream.Address)
	if err != nil {
		d.opts.Log.Debug("read report", "upstream", t.Name, "error", err)
		return Entry{}, false
	}
	if report.Leaving {
		_ = d.opts.Replica.UpstreamLeaving(ctx, t.Upstream.Address)
	}
	return Entry{Upstream: t.Name, Report: report, ReadAt: readAt}, true
}

// observe steps the state and passes news on, in the order of the steps.
func (d *Duty) observe(e Entry) News {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.state.Observe(e)
	if news.Load {
		d.opts.Apply(e, news)
	}
	return news
}

// observeKnown observes a report of which the peer sent only what changed. It
// is dropped if this instance knows another residency; a pull mends that.
func (d *Duty) observeKnown(digest uint64, next func(Entry) Entry) {
	d.mu.Lock()
	e, ok := d.state.Known(digest)
	d.mu.Unlock()
	if ok {
		d.observe(next(e))
	}
}
