// Package catalog keeps an instance's copy of the configuration and of the
// list of upstreams up to date. Its input is the platform's object store,
// through reads and watches, or the copies of peers while the store is
// unreachable or other instances watch it. Its output is the configuration in
// force and the upstreams that may be used.
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
	// readTimeout is the timeout of one read of the store.
	readTimeout = 600 * time.Millisecond
	// minRetryBackoff is the pause after a failed read; it doubles with each
	// further failure up to maxRetryBackoff.
	minRetryBackoff = 150 * time.Millisecond
	maxRetryBackoff = time.Second
	// watchBatchDelay is the pause between two watches, so that one call
	// returns all changes made at about the same time.
	watchBatchDelay = 200 * time.Millisecond
	// roleCheckInterval is how often an instance that follows its peers checks
	// whether it has to follow the store itself.
	roleCheckInterval = 100 * time.Millisecond
	// reachableWindow is how long after its last answer the store counts as
	// reachable, in addition to Options.WatchWait.
	reachableWindow = 1500 * time.Millisecond
	// pollInterval is how often an instance that polls on behalf of all checks
	// whether the watches have missed anything.
	pollInterval = 700 * time.Millisecond
	// sourceStore is the source of data that was read from the store.
	sourceStore = "store"
	// tickPeriod is how often lapsed entries are checked for removal.
	tickPeriod = 100 * time.Millisecond
)

// Decoder decodes the store's objects.
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
	// WatchWait is how long the store holds a watch open without events.
	WatchWait time.Duration
	Now       func() time.Duration
	Log       *slog.Logger
	// Watches reports whether this instance watches the store itself rather
	// than following its peers.
	Watches func() bool
	// Polls reports whether this instance polls the store on behalf of all
	// instances.
	Polls func() bool
	// Changed is called after the configuration or the list of upstreams has
	// changed.
	Changed func()
}

// Duty keeps the copies of the configuration and the list of upstreams. Its
// methods are safe for concurrent use.
type Duty struct {
	opts   Options
	config atomic.Pointer[fleet.Config]

	mu                 sync.Mutex
	configObject       platform.Object
	roster             *roster.State
	lastAnswered       time.Duration // when the store last answered
	storeLost          bool          // as last logged; true before the first answer
	malformedRevisions map[string]uint64
}

// New returns a controller without a configuration or a list of upstreams.
func New(opts Options) *Duty {
	return &Duty{opts: opts, roster: roster.New(), storeLost: true, malformedRevisions: map[string]uint64{}}
}

// Config returns the configuration in force, nil before the first one.
func (d *Duty) Config() *fleet.Config { return d.config.Load() }

// Ready reports whether both the configuration and the list of upstreams have
// been received.
func (d *Duty) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Load() != nil && d.roster.Known()
}

// Usable returns the upstreams that may get new requests, sorted by ID.
func (d *Duty) Usable() []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Usable()
}

// Revisions returns the store's revisions of the configuration and the list of
// upstreams, 0 for one that was not received, and whether the store is
// reachable.
func (d *Duty) Revisions() (config, roster uint64, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configObject.Version, d.roster.Revision(), d.reachable()
}

func (d *Duty) reachable() bool {
	return !d.storeLost && d.opts.Now()-d.lastAnswered < reachableWindow+d.opts.WatchWait
}

// Leaving records that an incarnation of an upstream reported that it is
// draining.
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

// Run keeps the copies up to date until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { d.follow(ctx, d.readConfig, platform.KindConfig, d.applyConfigEvents) })
	wg.Go(func() { d.follow(ctx, d.readRoster, platform.KindUpstream, d.applyRosterEvents) })
	wg.Go(func() { d.poll(ctx) })
	wg.Go(func() { d.tick(ctx) })
	wg.Wait()
	return nil
}

// follow reads all objects of a kind, then watches them. It reads them again
// whenever the watch fails.
func (d *Duty) follow(ctx context.Context, read func(context.Context) (uint64, error), kind platform.Kind, events func(platform.List)) {
	pause := minRetryBackoff
	for ctx.Err() == nil {
		if d.Ready() && !d.opts.Watches() {
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		since, err := read(ctx)
		for err == nil && ctx.Err() == nil && (d.opts.Watches() || !d.Ready()) {
			if since, err = d.watch(ctx, kind, since, events); err == nil {
				pause = minRetryBackoff
				wait.Sleep(ctx, watchBatchDelay)
			}
		}
		if err == nil {
			continue
		}
		d.recordFailure(ctx, kind, err)
		if errors.Is(err, platform.ErrHistoryGone) && pause == minRetryBackoff {
			pause = 2 * minRetryBackoff // no pause for the first such failure since a successful watch
			continue
		}
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryBackoff)
	}
}

func (d *Duty) watch(ctx context.Context, kind platform.Kind, since uint64, events func(platform.List)) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.WatchWait+readTimeout)
	defer cancel()
	list, err := d.opts.Store.Watch(ctx, kind, since)
	if err != nil {
		return 0, err
	}
	d.recordAnswer()
	if len(list.Objects) > 0 {
		events(list)
	}
	return max(list.Revision, since), nil
}

func (d *Duty) recordFailure(ctx context.Context, kind platform.Kind, err error) {
	if ctx.Err() != nil || errors.Is(err, platform.ErrHistoryGone) {
		return // the store answered
	}
	d.mu.Lock()
	d.roster.Away()
	first := !d.storeLost
	d.storeLost = true
	d.mu.Unlock()
	if first {
		d.opts.Log.Warn("dependency lost", "dependency", "store", "kind", kind, "error", err)
	}
}

// recordAnswer records that the store answered.
func (d *Duty) recordAnswer() {
	now := d.opts.Now()
	d.mu.Lock()
	d.lastAnswered = now
	first := d.storeLost
	d.storeLost = false
	d.roster.Back(now)
	d.mu.Unlock()
	if first {
		d.opts.Log.Info("dependency reached", "dependency", "store")
	}
}

// readConfig lists the configuration instead of getting the single object: a
// watch must start at the store's revision, since the object's own revision may
// be older than the store's history.
func (d *Duty) readConfig(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := d.opts.Store.List(ctx, platform.KindConfig)
	if err != nil {
		return 0, err
	}
	d.recordAnswer()
	d.applyConfigEvents(list)
	return list.Revision, nil
}

func (d *Duty) applyConfigEvents(list platform.List) {
	for _, obj := range list.Objects {
		if obj.Name == d.opts.Decoder.ConfigName && !obj.Deleted {
			d.applyConfig(obj, sourceStore)
		}
	}
}

// applyConfig puts a configuration in force if its revision is newer than that
// of the one in force.
func (d *Duty) applyConfig(obj platform.Object, source string) {
	d.mu.Lock()
	if obj.Version <= d.configObject.Version {
		d.mu.Unlock()
		return
	}
	config, skipped, err := d.opts.Decoder.Config(obj)
	if err != nil {
		d.mu.Unlock()
		d.opts.Log.Error("configuration refused", "revision", obj.Version, "error", err)
		return
	}
	d.configObject = obj
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
	d.recordAnswer()
	entries := make([]fleet.Upstream, 0, len(list.Objects))
	for _, obj := range list.Objects {
		if u, ok := d.decodeEntry(obj); ok {
			entries = append(entries, u)
		}
	}
	d.replaceRoster(list.Revision, entries, sourceStore)
	return list.Revision, nil
}

// decodeEntry decodes an entry of the list of upstreams. A malformed entry is
// logged once for each of its revisions.
func (d *Duty) decodeEntry(obj platform.Object) (fleet.Upstream, bool) {
	u, err := d.opts.Decoder.Upstream(obj)
	if err == nil {
		return u, true
	}
	d.mu.Lock()
	first := d.malformedRevisions[obj.Name] != obj.Version
	d.malformedRevisions[obj.Name] = obj.Version
	d.mu.Unlock()
	if first {
		d.opts.Log.Warn("malformed upstream entry skipped", "upstream", obj.Name, "revision", obj.Version, "error", err)
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

func (d *Duty) applyRosterEvents(list platform.List) {
	for _, obj := range list.Objects {
		if obj.Deleted {
			d.removeUpstream(obj.Name, obj.Version, "entry removed")
			continue
		}
		u, ok := d.decodeEntry(obj)
		if !ok {
			d.removeUpstream(obj.Name, obj.Version, "entry malformed")
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

func (d *Duty) removeUpstream(id string, revision uint64, reason string) {
	d.mu.Lock()
	d.roster.Removed(d.opts.Now(), id, revision)
	d.mu.Unlock()
	d.opts.Log.Info("upstream gone", "upstream", id, "revision", revision, "reason", reason)
}

// poll reads the store every pollInterval while Polls reports true, since a
// watch may miss changes without an error.
func (d *Duty) poll(ctx context.Context) {
	for wait.Sleep(ctx, pollInterval) {
		if !d.opts.Polls() {
			continue
		}
		if _, err := d.readConfig(ctx); err != nil {
			d.recordFailure(ctx, platform.KindConfig, err)
			continue
		}
		if _, err := d.readRoster(ctx); err != nil {
			d.recordFailure(ctx, platform.KindUpstream, err)
		}
	}
}

func (d *Duty) tick(ctx context.Context) {
	for wait.Sleep(ctx, tickPeriod) {
		d.mu.Lock()
		dropped := d.roster.Tick(d.opts.Now())
		d.mu.Unlock()
		if dropped {
			d.opts.Log.Info("upstreams gone", "reason", "lapsed in an outage of the store and did not reappear")
			d.opts.Changed()
		}
	}
}

// Knowledge is the part of the store's content that instances send each other.
// A revision of 0 means that the part is absent.
type Knowledge struct {
	ConfigRevision uint64
	Config         []byte
	RosterRevision uint64
	Roster         []byte
}

// Knowledge returns the parts that are newer than the given revisions.
func (d *Duty) Knowledge(configRevision, rosterRevision uint64) (Knowledge, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var k Knowledge
	if d.configObject.Version > configRevision {
		k.ConfigRevision, k.Config = d.configObject.Version, d.configObject.Value
	}
	if d.roster.Known() && d.roster.Revision() > rosterRevision {
		raw, err := json.Marshal(d.roster.All())
		if err != nil {
			return Knowledge{}, fmt.Errorf("catalog: encoding the list of upstreams: %w", err)
		}
		k.RosterRevision, k.Roster = d.roster.Revision(), raw
	}
	return k, nil
}

// Take applies what a peer sent, as far as it is newer than this instance's
// copies.
func (d *Duty) Take(k Knowledge, peer string) error {
	if k.ConfigRevision > 0 {
		d.applyConfig(platform.Object{
			Kind: platform.KindConfig, Name: d.opts.Decoder.ConfigName, Version: k.ConfigRevision, Value: k.Config,
		}, peer)
	}
	if k.RosterRevision == 0 {
		return nil
	}
	var entries []fleet.Upstream
	if err := json.Unmarshal(k.Roster, &entries); err != nil {
		return fmt.Errorf("catalog: decoding the list of upstreams from %s: %w", peer, err)
	}
	d.replaceRoster(k.RosterRevision, entries, peer)
	return nil
}
