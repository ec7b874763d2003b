// Package storesync keeps an instance's copy of the configuration and of the
// list of upstreams up to date. Its input is the platform's object store,
// through reads and watches, or the copies of peers while the store is
// unreachable or other instances watch it. Its output is the configuration in
// force and the upstreams that may be used.
package storesync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlist"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// minReadTimeout is the timeout of one read of the store. It doubles with each
	// read that it ends, up to maxReadTimeout, so that a large configuration comes
	// through a slow link. The bound limits how long a silent store is waited for.
	minReadTimeout = 600 * time.Millisecond
	maxReadTimeout = 1800 * time.Millisecond
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
	Config     func(objectstore.Object) (*fleet.Config, []error, error)
	Upstream   func(objectstore.Object) (fleet.Upstream, error)
	// Evacuation returns the zone that an entry names. The zone counts if it is not empty,
	// also with an error. Evacuations are not read if it is nil.
	Evacuation func(objectstore.Object) (zone string, err error)
}

// Options configure a Controller.
type Options struct {
	Store   objectstore.Store
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
	// ConfigArrives reports whether the configuration is just arriving from a peer. The
	// store is then not read for it, since both would share the link. It may be nil.
	ConfigArrives func() bool
	// OnChange is called after the configuration or the list of upstreams has
	// changed.
	OnChange func()
	// OnMalformed is called for each malformed entry of the list, once for each of its
	// errors. It may be nil.
	OnMalformed func()
	// OnMalformedConfig is called with the number of items of a configuration that cannot be
	// decoded, 1 for one that cannot be decoded as a whole, once for each version. It may be nil.
	OnMalformedConfig func(items int)
	// Evacuations are read if it is set.
	Evacuations EvacuationOptions
}

// Controller keeps the copies of the configuration and the list of upstreams. Its
// methods are safe for concurrent use.
type Controller struct {
	opts   Options
	config atomic.Pointer[fleet.Config]

	applyMu  sync.Mutex // held while a configuration is decoded, so that one is at a time
	restored heldConfig // under applyMu
	sight    eraSight   // under applyMu

	mu              sync.Mutex
	configObject    objectstore.Object
	notes           configNotes
	history         configHistory
	roster          *upstreamlist.View
	lastAnswered    time.Duration     // when the store last answered
	storeLost       bool              // as last logged; true before the first answer
	malformed       map[string]string // errors of malformed entries as last logged, by name
	wholeRosterNext bool              // a peer's changes of the list did not fit
	configTimeout   readTimeout
	rosterTimeout   readTimeout

	evacuationTimeout readTimeout
}

// New returns a controller without a configuration or a list of upstreams.
func New(opts Options) *Controller {
	return &Controller{opts: opts, roster: upstreamlist.New(), storeLost: true, malformed: map[string]string{}}
}

// Config returns the configuration in force, nil before the first one.
func (c *Controller) Config() *fleet.Config { return c.config.Load() }

// Ready reports whether both the configuration and the list of upstreams have
// been received.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Load() != nil && c.roster.Known()
}

// Usable returns the upstreams that may get new requests, sorted by ID.
func (c *Controller) Usable() []fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Usable()
}

// UsableByID returns the upstream with an ID if it may get new requests. It copies only that
// one.
func (c *Controller) UsableByID(id string) (fleet.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.UsableByID(id)
}

// Replaced reports whether a later process is listed at the address of an upstream.
func (c *Controller) Replaced(u *fleet.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Replaced(u)
}

// Revisions returns the store's revisions of the configuration and the list of
// upstreams, 0 for one that was not received, and whether the store is
// reachable.
func (c *Controller) Revisions() (config, roster uint64, reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configObject.Version, c.roster.Revision(), c.reachable()
}

// LastAnswered returns when the store last answered this instance, 0 if it never did.
func (c *Controller) LastAnswered() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswered
}

func (c *Controller) reachable() bool {
	return !c.storeLost && c.opts.Now()-c.lastAnswered < reachableWindow+c.opts.WatchWait
}

// MarkDraining records that an incarnation of an upstream reported that it is
// draining.
func (c *Controller) MarkDraining(id string, born int64) {
	c.mu.Lock()
	before := c.roster.Version()
	c.roster.MarkDraining(c.opts.Now(), id, born)
	changed := c.roster.Version() != before
	c.mu.Unlock()
	if changed {
		c.opts.Log.Info("upstream leaves", "upstream", id, "born", born, "source", "its own answer")
		c.opts.OnChange()
	}
}

// Leaving returns the incarnations of upstreams that said themselves that they leave, as
// far as the list does not say so; see upstreamlist.View.
func (c *Controller) Leaving() []fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Leaving(c.opts.Now())
}

// Run keeps the copies up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.follow(ctx, c.readConfig, objectstore.KindConfig, &c.configTimeout, c.applyConfigEvents) })
	wg.Go(func() { c.follow(ctx, c.readRoster, objectstore.KindUpstream, &c.rosterTimeout, c.applyRosterEvents) })
	wg.Go(func() { c.followEvacuations(ctx) })
	wg.Go(func() { c.poll(ctx) })
	wg.Go(func() { c.tick(ctx) })
	wg.Wait()
	return nil
}

// follow reads all objects of a kind, then watches them. It reads them again
// whenever the watch fails.
func (c *Controller) follow(ctx context.Context, read func(context.Context) (uint64, error), kind objectstore.Kind, timeout *readTimeout, events func(objectstore.List)) {
	pause := minRetryBackoff
	for ctx.Err() == nil {
		if c.Ready() && !c.opts.Watches() || kind == objectstore.KindConfig && c.configArrives() {
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		since, err := read(ctx)
		for err == nil && ctx.Err() == nil && (c.opts.Watches() || !c.Ready()) {
			if since, err = c.watch(ctx, kind, since, timeout, events); err == nil {
				pause = minRetryBackoff
				wait.Sleep(ctx, watchBatchDelay)
			}
		}
		if err == nil || errors.Is(err, errConfigArrives) {
			continue
		}
		c.recordFailure(ctx, kind, err)
		if errors.Is(err, objectstore.ErrHistoryGone) && pause == minRetryBackoff {
			pause = 2 * minRetryBackoff // no pause for the first such failure since a successful watch
			continue
		}
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryBackoff)
	}
}

func (c *Controller) watch(ctx context.Context, kind objectstore.Kind, since uint64, timeout *readTimeout, events func(objectstore.List)) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.WatchWait+timeout.get())
	defer cancel()
	list, err := c.opts.Store.Watch(ctx, kind, since)
	if err != nil {
		return 0, err
	}
	c.recordAnswer()
	if len(list.Objects)+len(list.Malformed) > 0 {
		events(list)
	}
	return max(list.Revision, since), nil
}

func (c *Controller) recordFailure(ctx context.Context, kind objectstore.Kind, err error) {
	if ctx.Err() != nil || errors.Is(err, objectstore.ErrHistoryGone) || errors.Is(err, objectstore.ErrNotFound) {
		return // the store answered
	}
	since := c.opts.Now()
	c.mu.Lock()
	if errors.Is(err, context.DeadlineExceeded) {
		since = c.lastAnswered // the store was silent since an unknown time after that
	}
	c.roster.StoreUnreachable(since)
	first := !c.storeLost
	c.storeLost = true
	c.mu.Unlock()
	if first {
		c.opts.Log.Warn("dependency lost", "dependency", "store", "kind", kind, "error", err)
	}
}

// recordAnswer records that the store answered.
func (c *Controller) recordAnswer() {
	now := c.opts.Now()
	c.mu.Lock()
	c.lastAnswered = now
	first := c.storeLost
	c.storeLost = false
	c.roster.StoreReachable(now)
	c.mu.Unlock()
	if first {
		c.opts.Log.Info("dependency reached", "dependency", "store")
	}
}

// list reads all objects of a kind within the timeout and adapts it.
func (c *Controller) list(ctx context.Context, kind objectstore.Kind, timeout *readTimeout) (objectstore.List, error) {
	limit := timeout.get()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	list, err := c.opts.Store.List(callCtx, kind)
	switch {
	case err == nil:
		timeout.succeeded()
		c.mu.Lock()
		c.history.observe(list.Revision)
		c.mu.Unlock()
	case ctx.Err() == nil && callCtx.Err() != nil:
		timeout.expired(limit)
	}
	return list, err
}

// arrivalCheckInterval is how often a read of the configuration checks whether a peer
// has begun to send it.
const arrivalCheckInterval = 50 * time.Millisecond

// errConfigArrives means that a read of the configuration was given up because it is
// arriving from a peer.
var errConfigArrives = errors.New("storesync: the configuration is arriving from a peer")

func (c *Controller) configArrives() bool {
	return c.opts.ConfigArrives != nil && c.opts.ConfigArrives()
}

// untilConfigArrives returns a context that ends when the configuration begins to arrive
// from a peer.
func (c *Controller) untilConfigArrives(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for wait.Sleep(ctx, arrivalCheckInterval) {
			if c.configArrives() {
				cancel(errConfigArrives)
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// readConfig lists the configuration instead of getting the single object: a
// watch must start at the store's revision, since the object's own revision may
// be older than the store's history.
func (c *Controller) readConfig(ctx context.Context) (uint64, error) {
	readCtx, cancel := c.untilConfigArrives(ctx)
	defer cancel()
	list, err := c.list(readCtx, objectstore.KindConfig, &c.configTimeout)
	if err != nil && context.Cause(readCtx) == errConfigArrives {
		return 0, errConfigArrives
	}
	if err != nil {
		return 0, err
	}
	c.recordAnswer()
	c.applyConfigEvents(list)
	return list.Revision, nil
}

func (c *Controller) applyConfigEvents(list objectstore.List) {
	c.logMalformedConfig(list.Malformed)
	for _, obj := range list.Objects {
		if obj.Name == c.opts.Decoder.ConfigName && !obj.Deleted {
			c.applyConfig(obj, sourceStore)
		}
	}
}

// applyConfig puts a configuration in force if its revision is newer than that
// of the one in force.
func (c *Controller) applyConfig(obj objectstore.Object, source string) {
	asked := c.opts.Now()
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.noteSeen(obj.Version)
	if own, _, _ := c.Revisions(); obj.Version <= own || c.restored.holds(c.opts.Now(), obj) {
		return
	}
	began := c.opts.Now()
	config, skipped, err := c.opts.Decoder.Config(obj)
	took := c.opts.Now() - began
	if err != nil {
		c.refuseConfig(obj, source, err)
		return
	}
	if c.holdBack(obj, config, source) {
		return
	}
	c.mu.Lock()
	c.configObject = obj
	c.config.Store(config)
	c.history.putInForce(obj)
	c.notes.source, c.notes.since, c.notes.skipped, c.notes.held = source, c.opts.Now(), len(skipped), 0
	c.mu.Unlock()
	c.restored = heldConfig{}
	c.skipItems(obj, skipped)
	c.opts.Log.Info("configuration in force", "version", config.Version, "revision", obj.Version,
		"era", objectstore.EraOf(obj.Version), "source", source, "skipped", len(skipped),
		"routes", len(config.Routes), "organisations", len(config.Organisations), "bytes", len(obj.Value), "decode_ms", took.Milliseconds(),
		"waited_ms", (began - asked).Milliseconds(), "decoded_items", config.DecodedItems)
	decoded := c.opts.Now()
	c.opts.OnChange()
	c.opts.Log.Debug("configuration handed over", "revision", obj.Version, "took_ms", (c.opts.Now() - decoded).Milliseconds())
}

func (c *Controller) readRoster(ctx context.Context) (uint64, error) {
	list, err := c.list(ctx, objectstore.KindUpstream, &c.rosterTimeout)
	if err != nil {
		return 0, err
	}
	c.recordAnswer()
	c.logMalformed(list.Malformed)
	entries := make([]fleet.Upstream, 0, len(list.Objects))
	for _, obj := range list.Objects {
		if u, ok := c.decodeEntry(obj); ok {
			entries = append(entries, u)
		}
	}
	c.replaceRoster(list.Revision, entries, nil, sourceStore)
	return list.Revision, nil
}

// replaceRoster replaces the list of upstreams by that of the store or of a peer, with the
// entries that lapsed in the peer's view.
func (c *Controller) replaceRoster(revision uint64, entries []fleet.Upstream, lapsed []upstreamlist.Lapsed, source string) {
	entries = slices.DeleteFunc(entries, c.isOutOfBounds)
	lapsed = slices.DeleteFunc(lapsed, func(l upstreamlist.Lapsed) bool { return c.isOutOfBounds(l.Upstream) })
	c.mu.Lock()
	changed := false
	if source == sourceStore {
		changed = c.roster.Replace(c.opts.Now(), revision, entries)
	} else {
		changed = c.roster.ReplaceFromPeer(c.opts.Now(), revision, entries, lapsed)
	}
	c.mu.Unlock()
	if changed {
		c.opts.Log.Debug("list of upstreams read", "revision", revision, "upstreams", len(entries), "source", source)
		c.opts.OnChange()
	}
}

// isOutOfBounds reports, and logs, whether the figures of an entry cannot be meant. A peer of
// another build may have taken it.
func (c *Controller) isOutOfBounds(u fleet.Upstream) bool {
	err := u.CheckBounds()
	if err != nil {
		c.logMalformed([]objectstore.Malformed{{Name: u.ID, Err: err}})
	}
	return err != nil
}

func (c *Controller) applyRosterEvents(list objectstore.List) {
	c.logMalformed(list.Malformed)
	for _, m := range list.Malformed {
		if m.Name != "" {
			c.removeUpstream(m.Name, list.Revision, "entry malformed")
		}
	}
	for _, obj := range list.Objects {
		if obj.Deleted {
			c.removeUpstream(obj.Name, obj.Version, "entry removed")
			continue
		}
		u, ok := c.decodeEntry(obj)
		if !ok {
			c.removeUpstream(obj.Name, obj.Version, "entry malformed")
			continue
		}
		c.mu.Lock()
		c.roster.Upsert(u)
		c.mu.Unlock()
		c.opts.Log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "draining", u.State == fleet.UpstreamDraining,
			"revision", u.Revision, "models", len(u.Models))
	}
	c.opts.OnChange()
}

func (c *Controller) removeUpstream(id string, revision uint64, reason string) {
	c.mu.Lock()
	c.roster.Remove(c.opts.Now(), id, revision)
	c.mu.Unlock()
	c.opts.Log.Info("upstream gone", "upstream", id, "revision", revision, "reason", reason)
}

// poll reads the store every pollInterval while Polls reports true, since a
// watch may miss changes without an error.
func (c *Controller) poll(ctx context.Context) {
	for round := 0; wait.Sleep(ctx, pollInterval); {
		if !c.opts.Polls() {
			continue
		}
		round++
		c.pollEvacuations(ctx, round)
		if _, err := c.readConfig(ctx); err != nil && !errors.Is(err, errConfigArrives) {
			c.recordFailure(ctx, objectstore.KindConfig, err)
			continue
		}
		if _, err := c.readRoster(ctx); err != nil {
			c.recordFailure(ctx, objectstore.KindUpstream, err)
		}
	}
}

func (c *Controller) tick(ctx context.Context) {
	for wait.Sleep(ctx, tickPeriod) {
		c.mu.Lock()
		dropped := c.roster.RemoveLapsed(c.opts.Now())
		c.mu.Unlock()
		if dropped {
			c.opts.Log.Info("upstreams gone", "reason", "lapsed in an outage of the store and did not reappear")
			c.opts.OnChange()
		}
		c.releaseHeldConfig()
	}
}

// Update is the part of the store's content that instances send each other.
// A revision of 0 means that the part is absent.
type Update struct {
	ConfigRevision uint64
	Config         []byte
	RosterRevision uint64
	Roster         []byte
}

// UpdateSince returns the parts that are newer than the given revisions.
func (c *Controller) UpdateSince(configRevision, rosterRevision uint64) (Update, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var k Update
	if c.configObject.Version > configRevision {
		k.ConfigRevision, k.Config = c.configObject.Version, c.configObject.Value
	}
	if c.roster.Known() && c.roster.Revision() > rosterRevision {
		raw, err := json.Marshal(toWireEntries(c.roster.Listed()))
		if err != nil {
			return Update{}, fmt.Errorf("catalog: encoding the list of upstreams: %w", err)
		}
		k.RosterRevision, k.Roster = c.roster.Revision(), raw
	}
	return k, nil
}

// Apply applies what a peer sent, as far as it is newer than this instance's
// copies.
func (c *Controller) Apply(k Update, peer string) error {
	if k.ConfigRevision > 0 {
		c.applyConfig(objectstore.Object{
			Kind: objectstore.KindConfig, Name: c.opts.Decoder.ConfigName, Version: k.ConfigRevision, Value: k.Config,
		}, peer)
	}
	if k.RosterRevision == 0 {
		return nil
	}
	var entries []wireEntry
	if err := json.Unmarshal(k.Roster, &entries); err != nil {
		return fmt.Errorf("storesync: decoding the list of upstreams from %s: %w", peer, err)
	}
	list, err := fromWireEntries(entries)
	if err != nil {
		return fmt.Errorf("storesync: decoding the list of upstreams from %s: %w", peer, err)
	}
	c.replaceRoster(k.RosterRevision, list, nil, peer)
	return nil
}
