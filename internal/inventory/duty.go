package inventory

import (
	"context"
	"log/slog"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// Periods of the duty.
const (
	// basePeriod is the time between two reads of a report in a zone of up to
	// upstreamsPerPeriod engines; it grows with their number, so that the
	// cost of an instance does not.
	basePeriod         = 250 * time.Millisecond
	upstreamsPerPeriod = 20
	pullPeriod         = 10 * time.Second
	// missingPullPeriod applies while an engine is known of which no report
	// has come: a relay may have gone out before this instance was known.
	missingPullPeriod = time.Second
	// staleAge is the age of a report from which an instance reads it itself,
	// whoever should have.
	staleAge = 3 * time.Second
	// confirmEvery is the time after which a report without news is relayed,
	// as a digest, so that no other instance takes it for stale.
	confirmEvery = time.Second
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

// Engines reads reports; engine.Client implements it.
type Engines interface {
	Report(ctx context.Context, address string) (engine.Report, error)
}

// Options configure a Duty.
type Options struct {
	Self    platform.Instance
	Replica *replica.Duty
	Engines Engines
	Peers   peer.Caller
	// Apply takes every entry that brought news, in order.
	Apply func(Entry, News)
	Now   func() time.Duration
	Log   *slog.Logger
}

// Duty reads and relays reports. A mutex guards the state: steps are short and
// come from the loop and from peers' calls.
type Duty struct {
	opts    Options
	mu      sync.Mutex
	state   *State
	edition uint64                   // of the documents at the last Sync
	list    []Target                 // its result
	targets map[string]Target        // the same by name
	retired map[string]time.Duration // since when, for those that are
	swept   atomic.Bool
	// relayed says when this instance last relayed an upstream's report in
	// its zone; the loop alone uses it.
	relayed map[string]time.Duration
}

// NewDuty returns a duty without reports.
func NewDuty(opts Options) *Duty {
	return &Duty{
		opts: opts, state: NewState(), targets: map[string]Target{},
		retired: map[string]time.Duration{}, relayed: map[string]time.Duration{},
	}
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

// Entries returns all reports known now.
func (d *Duty) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Entries()
}

// Swept reports whether the reports that fall to this instance have been read
// once.
func (d *Duty) Swept() bool { return d.swept.Load() }

// Entry returns the latest report of an upstream.
func (d *Duty) Entry(upstream string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Entry(upstream)
}

// Run reads the reports that fall to this instance until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	lastPull := -pullPeriod
	for ctx.Err() == nil {
		known := d.opts.Replica.Snapshot()
		targets := d.Sync()
		d.forgetRelayed(targets)
		mine, period := d.due(known, targets)
		d.readAll(ctx, known, mine)
		if known.Ready && len(known.Services) > 0 {
			d.swept.Store(true)
		}
		if now := d.opts.Now(); now-lastPull >= d.pullEvery(targets) {
			lastPull = now
			d.pull(ctx, known)
		}
		wait.Sleep(ctx, period*3/4+time.Duration(rand.Int63n(int64(period/2))))
	}
	return nil
}

func (d *Duty) pullEvery(targets []Target) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if _, ok := d.state.Entry(t.Name); !ok && t.Upstream.Kind == config.UpstreamEngine {
			return missingPullPeriod
		}
	}
	return pullPeriod
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

// forgetRelayed drops upstreams that are no targets any more.
func (d *Duty) forgetRelayed(targets []Target) {
	maps.DeleteFunc(d.relayed, func(name string, _ time.Duration) bool {
		return !slices.ContainsFunc(targets, func(t Target) bool { return t.Name == name })
	})
}

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

// onePerZone returns one random instance of each other zone.
func onePerZone(known *replica.Snapshot, own string) []platform.Instance {
	byZone := map[string][]platform.Instance{}
	for _, p := range known.Peers {
		if p.Zone != own {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var chosen []platform.Instance
	for _, peers := range byZone {
		chosen = append(chosen, peers[rand.Intn(len(peers))])
	}
	return chosen
}

func (d *Duty) relay(ctx context.Context, to []platform.Instance, b batch) {
	if len(b.all()) == 0 || len(to) == 0 {
		return
	}
	msg := d.message(b)
	var wg sync.WaitGroup
	for _, p := range to {
		wg.Go(func() {
			err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
				_, err := peerpb.NewDRPCInventoryClient(conn).Relay(ctx, msg)
				return err
			})
			if err != nil {
				d.opts.Log.Debug("relay reports", "peer", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

func (d *Duty) message(b batch) *peerpb.Reports {
	msg := &peerpb.Reports{Zone: d.opts.Self.Zone}
	now := d.opts.Now()
	for _, e := range b.residency {
		msg.Reports = append(msg.Reports, toWire(now, e))
	}
	for _, e := range b.load {
		msg.Loads = append(msg.Loads, loadToWire(now, e))
	}
	for _, e := range b.unchanged {
		msg.Unchanged = append(msg.Unchanged, e.digest())
	}
	return msg
}

// pull compares residency with one peer of the zone, or of any zone if there
// is none, and takes what differs.
func (d *Duty) pull(ctx context.Context, known *replica.Snapshot) {
	peers := known.ZonePeers(d.opts.Self.Zone)
	if len(peers) == 0 {
		peers = known.Peers
	}
	if len(peers) == 0 {
		return
	}
	p := peers[rand.Intn(len(peers))]
	d.mu.Lock()
	buckets := d.state.Buckets()
	d.mu.Unlock()
	var reply *peerpb.Reports
	err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCInventoryClient(conn).Pull(ctx, &peerpb.PullRequest{Buckets: buckets[:]})
		return err
	})
	if err != nil {
		d.opts.Log.Debug("pull reports", "peer", p.Name, "error", err)
		return
	}
	for _, w := range reply.Reports {
		d.observe(fromWire(d.opts.Now(), w))
	}
}

// passOnTimeout bounds what a peer's call causes.
const passOnTimeout = 2 * time.Second

// Relay implements peerpb.DRPCInventoryServer. Residency from another zone is
// passed on within this one.
func (d *Duty) Relay(_ context.Context, msg *peerpb.Reports) (*peerpb.RelayReply, error) {
	now := d.opts.Now()
	var residency []Entry
	for _, w := range msg.Reports {
		e := fromWire(now, w)
		if d.observe(e).Residency {
			residency = append(residency, e)
		}
	}
	for _, w := range msg.Loads {
		d.observeKnown(w.Digest, func(e Entry) Entry { return e.withLoad(now, w) })
	}
	for _, digest := range msg.Unchanged {
		d.observeKnown(digest, func(e Entry) Entry { e.ReadAt = now; return e })
	}
	if msg.Zone != d.opts.Self.Zone && len(residency) > 0 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), passOnTimeout)
			defer cancel()
			d.relay(ctx, d.opts.Replica.Snapshot().ZonePeers(d.opts.Self.Zone), batch{residency: residency})
		}()
	}
	return &peerpb.RelayReply{}, nil
}

// Pull implements peerpb.DRPCInventoryServer.
func (d *Duty) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.Reports, error) {
	d.mu.Lock()
	entries := d.state.Differing(req.Buckets)
	d.mu.Unlock()
	return d.message(batch{residency: entries}), nil
}
