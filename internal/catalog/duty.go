// Package catalog keeps an instance's copy of the configuration and of the
// list of upstreams in step with the platform's store, and with its peers
// while the store is out of reach.
package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/roster"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// readTimeout bounds one read of the store.
	readTimeout = 600 * time.Millisecond
	// retryPause is the pause after a read that failed; it doubles up to
	// maxRetryPause.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = time.Second
	// watchPause lets changes that come together be answered by one call.
	watchPause = 200 * time.Millisecond
	// idlePause is how often an instance that follows its peers looks whether
	// it has to follow the store itself.
	idlePause = 100 * time.Millisecond
	// reachableFor is how long after its last answer the store counts as
	// reachable.
	reachableFor = 1500 * time.Millisecond
	// pollEvery is how often the instance that polls for all looks whether
	// the watches have missed anything.
	pollEvery = 700 * time.Millisecond
	// sourceStore is the source of what the store itself said.
	sourceStore = "store"
	// tickPeriod is how often lapsed entries are looked at.
	tickPeriod = 100 * time.Millisecond
)

// Decoder reads the store's objects.
type Decoder struct {
	// ConfigName is the name of the object that holds the configuration.
	ConfigName string
	Config     func(platform.Object) (*fleet.Config, []error, error)
	Upstream   func(platform.Object) (fleet.Upstream, error)
}

// Options configure a Duty.
type Options struct {
	Store   platform.Store
	Decoder Decoder
	// WatchWait is how long the store holds a watch without events.
	WatchWait time.Duration
	Now       func() time.Duration
	Log       *slog.Logger
	// Watches reports whether this instance follows the store itself rather
	// than its peers.
	Watches func() bool
	// Polls reports whether this instance polls the store for all.
	Polls func() bool
	// Changed is called after the configuration or the list has changed.
	Changed func()
}

// Duty follows the store. Its methods are safe for concurrent use.
type Duty struct {
	opts   Options
	config atomic.Pointer[fleet.Config]

	mu        sync.Mutex
	rawConfig platform.Object
	roster    *roster.State
	answered  time.Duration // when a read that the store answered was sent last
	lost      bool          // as last logged
	malformed map[string]uint64
}

// New returns a duty that knows nothing.
func New(opts Options) *Duty {
	return &Duty{opts: opts, roster: roster.New(), lost: true, malformed: map[string]uint64{}}
}

// Config returns the configuration in force, nil before the first.
func (d *Duty) Config() *fleet.Config { return d.config.Load() }

// Ready reports whether configuration and upstreams are known.
func (d *Duty) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Load() != nil && d.roster.Known()
}

// Usable returns the upstreams that may get new requests.
func (d *Duty) Usable() []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Usable()
}

// Revisions returns the store's revisions of what is known, 0 for nothing, and
// whether the store is reachable.
func (d *Duty) Revisions() (config, roster uint64, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rawConfig.Version, d.roster.Revision(), d.reachable()
}

func (d *Duty) reachable() bool {
	return !d.lost && d.opts.Now()-d.answered < reachableFor+d.opts.WatchWait
}

// Leaving takes in an upstream's own word that it leaves.
func (d *Duty) Leaving(id string, born int64) {
	d.mu.Lock()
	before := d.roster.Version()
	d.roster.Leaving(id, born)
	changed := d.roster.Version() != before
	d.mu.Unlock()
	if changed {
		d.opts.Log.Info("upstream leaves", "upstream", id, "source", "its own answer")
		d.opts.Changed()
	}
}

// Run follows the store until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { d.follow(ctx, d.readConfig, platform.KindConfig, d.configEvents) })
	wg.Go(func() { d.follow(ctx, d.readRoster, platform.KindUpstream, d.rosterEvents) })
	wg.Go(func() { d.poll(ctx) })
	wg.Go(func() { d.tick(ctx) })
	wg.Wait()
	return nil
}

// follow reads everything of a kind, then watches it; it reads again whenever
// the watch cannot go on.
func (d *Duty) follow(ctx context.Context, read func(context.Context) (uint64, error), kind platform.Kind, events func(platform.List)) {
	pause := retryPause
	for ctx.Err() == nil {
		if d.Ready() && !d.opts.Watches() {
			wait.Sleep(ctx, idlePause)
			continue
		}
		since, err := read(ctx)
		for err == nil && ctx.Err() == nil && (d.opts.Watches() || !d.Ready()) {
			if since, err = d.watch(ctx, kind, since, events); err == nil {
				pause = retryPause
				wait.Sleep(ctx, watchPause)
			}
		}
		if err == nil {
			continue
		}
		d.failed(ctx, kind, err)
		if errors.Is(err, platform.ErrHistoryGone) && pause == retryPause {
			pause = 2 * retryPause // the first time it is read again at once
			continue
		}
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

func (d *Duty) watch(ctx context.Context, kind platform.Kind, since uint64, events func(platform.List)) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.WatchWait+readTimeout)
	defer cancel()
	list, err := d.opts.Store.Watch(ctx, kind, since)
	if err != nil {
		return 0, err
	}
	d.reached()
	if len(list.Objects) > 0 {
		events(list)
	}
	return max(list.Revision, since), nil
}

func (d *Duty) failed(ctx context.Context, kind platform.Kind, err error) {
	if ctx.Err() != nil || errors.Is(err, platform.ErrHistoryGone) {
		return // the store answered
	}
	d.mu.Lock()
	d.roster.Away()
	first := !d.lost
	d.lost = true
	d.mu.Unlock()
	if first {
		d.opts.Log.Warn("dependency lost", "dependency", "store", "kind", kind, "error", err)
	}
}

// reached notes that the store answered.
func (d *Duty) reached() {
	now := d.opts.Now()
	d.mu.Lock()
	d.answered = now
	first := d.lost
	d.lost = false
	d.roster.Back(now)
	d.mu.Unlock()
	if first {
		d.opts.Log.Info("dependency reached", "dependency", "store")
	}
}

// readConfig lists the configuration rather than getting it: a watch must go
// on from the store's revision, as the object's own may be older than the
// store's history.
func (d *Duty) readConfig(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := d.opts.Store.List(ctx, platform.KindConfig)
	if err != nil {
		return 0, err
	}
	d.reached()
	d.configEvents(list)
	return list.Revision, nil
}

func (d *Duty) configEvents(list platform.List) {
	for _, obj := range list.Objects {
		if obj.Name == d.opts.Decoder.ConfigName && !obj.Deleted {
			d.takeConfig(obj, sourceStore)
		}
	}
}

// takeConfig puts a configuration in force if it is newer than the one that
// is.
func (d *Duty) takeConfig(obj platform.Object, source string) {
	d.mu.Lock()
	if obj.Version <= d.rawConfig.Version {
		d.mu.Unlock()
		return
	}
	config, skipped, err := d.opts.Decoder.Config(obj)
	if err != nil {
		d.mu.Unlock()
		d.opts.Log.Error("configuration refused", "revision", obj.Version, "error", err)
		return
	}
	d.rawConfig = obj
	d.config.Store(config)
	d.mu.Unlock()
	for _, e := range skipped {
		d.opts.Log.Error("part of the configuration skipped", "revision", obj.Version, "error", e)
	}
	d.opts.Log.Info("configuration in force", "version", config.Version, "revision", obj.Version, "source", source,
		"routes", len(config.Routes), "organisations", len(config.Organisations))
	d.opts.Changed()
}

func (d *Duty) readRoster(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := d.opts.Store.List(ctx, platform.KindUpstream)
	if err != nil {
		return 0, err
	}
	d.reached()
	entries := make([]fleet.Upstream, 0, len(list.Objects))
	for _, obj := range list.Objects {
		if u, ok := d.decode(obj); ok {
			entries = append(entries, u)
		}
	}
	d.replaceRoster(list.Revision, entries, sourceStore)
	return list.Revision, nil
}

// decode reads an entry; one that cannot be read is logged once a revision.
func (d *Duty) decode(obj platform.Object) (fleet.Upstream, bool) {
	u, err := d.opts.Decoder.Upstream(obj)
	if err == nil {
		return u, true
	}
	d.mu.Lock()
	news := d.malformed[obj.Name] != obj.Version
	d.malformed[obj.Name] = obj.Version
	d.mu.Unlock()
	if news {
		d.opts.Log.Warn("entry of an upstream skipped", "upstream", obj.Name, "revision", obj.Version, "error", err)
	}
	return fleet.Upstream{}, false
}

func (d *Duty) replaceRoster(revision uint64, entries []fleet.Upstream, source string) {
	d.mu.Lock()
	changed := false
	if source == sourceStore {
		changed = d.roster.Replace(d.opts.Now(), revision, entries)
	} else {
		changed = d.roster.Adopt(revision, entries)
	}
	d.mu.Unlock()
	if changed {
		d.opts.Log.Debug("list of upstreams read", "revision", revision, "upstreams", len(entries), "source", source)
		d.opts.Changed()
	}
}

func (d *Duty) rosterEvents(list platform.List) {
	for _, obj := range list.Objects {
		if obj.Deleted {
			d.removed(obj.Name, obj.Version, "entry removed")
			continue
		}
		u, ok := d.decode(obj)
		if !ok {
			d.removed(obj.Name, obj.Version, "entry malformed")
			continue
		}
		d.mu.Lock()
		d.roster.Changed(u)
		d.mu.Unlock()
		d.opts.Log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "draining", u.State == fleet.UpstreamDraining,
			"revision", u.Revision, "models", len(u.Models))
	}
	d.opts.Changed()
}

func (d *Duty) removed(id string, revision uint64, why string) {
	d.mu.Lock()
	d.roster.Removed(d.opts.Now(), id, revision)
	d.mu.Unlock()
	d.opts.Log.Info("upstream gone", "upstream", id, "revision", revision, "reason", why)
}

// poll reads the store now and then on behalf of all instances: a watch may
// stay silent without any sign.
func (d *Duty) poll(ctx context.Context) {
	for wait.Sleep(ctx, pollEvery) {
		if !d.opts.Polls() {
			continue
		}
		if _, err := d.readConfig(ctx); err != nil {
			d.failed(ctx, platform.KindConfig, err)
			continue
		}
		if _, err := d.readRoster(ctx); err != nil {
			d.failed(ctx, platform.KindUpstream, err)
		}
	}
}

func (d *Duty) tick(ctx context.Context) {
	for wait.Sleep(ctx, tickPeriod) {
		d.mu.Lock()
		dropped := d.roster.Tick(d.opts.Now())
		d.mu.Unlock()
		if dropped {
			d.opts.Log.Info("upstreams gone", "reason", "lapsed in an outage of the store and did not return")
			d.opts.Changed()
		}
	}
}

// Knowledge is what instances tell each other of the store's content. A zero
// revision stands for nothing.
type Knowledge struct {
	ConfigRevision uint64
	Config         []byte
	RosterRevision uint64
	Roster         []byte
}

// Knowledge returns what is newer than the given revisions.
func (d *Duty) Knowledge(configRevision, rosterRevision uint64) (Knowledge, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var k Knowledge
	if d.rawConfig.Version > configRevision {
		k.ConfigRevision, k.Config = d.rawConfig.Version, d.rawConfig.Value
	}
	if d.roster.Known() && d.roster.Revision() > rosterRevision {
		raw, err := json.Marshal(d.roster.All())
		if err != nil {
			return Knowledge{}, fmt.Errorf("catalog: %w", err)
		}
		k.RosterRevision, k.Roster = d.roster.Revision(), raw
	}
	return k, nil
}

// Take takes in what a peer knows.
func (d *Duty) Take(k Knowledge, peer string) error {
	if k.ConfigRevision > 0 {
		d.takeConfig(platform.Object{
			Kind: platform.KindConfig, Name: d.opts.Decoder.ConfigName, Version: k.ConfigRevision, Value: k.Config,
		}, peer)
	}
	if k.RosterRevision == 0 {
		return nil
	}
	var entries []fleet.Upstream
	if err := json.Unmarshal(k.Roster, &entries); err != nil {
		return fmt.Errorf("catalog: list of upstreams from %s: %w", peer, err)
	}
	d.replaceRoster(k.RosterRevision, entries, peer)
	return nil
}
