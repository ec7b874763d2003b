package inventory

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// Periods of the controller.
const (
	// baseReadPeriod is the time between two reads of a report in a zone with
	// fewer than enginesPerBasePeriod engines. The time grows with the number of
	// engines, so that the cost per instance does not.
	baseReadPeriod       = 250 * time.Millisecond
	enginesPerBasePeriod = 20
	pullPeriod           = 10 * time.Second
	// missingPullPeriod replaces pullPeriod while the report of a known engine
	// is missing: it may have been relayed before this instance was known to
	// its peers.
	missingPullPeriod = time.Second
	// staleAge is the age of an instance's copy of a report from which the
	// instance reads the engine itself, even if it is not the report's reader.
	staleAge = 3 * time.Second
	// unchangedRelayPeriod is the time after which an unchanged report is relayed
	// as a digest, so that no other instance considers it stale.
	unchangedRelayPeriod = time.Second
)

// Engines reads the reports of engines; engine.Client implements it.
type Engines interface {
	Report(ctx context.Context, address string) (engine.Report, error)
}

// Options configure a Controller.
type Options struct {
	Self    objectstore.Instance
	Replica *docsync.Controller
	Engines Engines
	Peers   peer.Caller
	// Apply is called for every entry that changed something, in the order of
	// observation.
	Apply func(Entry, Changes)
	Now   func() time.Duration // monotonic clock
	Log   *slog.Logger
}

// Controller reads and relays reports. A mutex guards the state, because updates
// are short and come both from Run and from peers' calls.
type Controller struct {
	opts            Options
	mu              sync.Mutex
	state           *State
	generation      uint64                   // Generation of the snapshot at the last UpdateTargets
	targetList      []Target                 // result of the last UpdateTargets
	targets         map[string]Target        // targetList by name
	removedAt       map[string]time.Duration // time of removal from the documents, by name
	initialReadDone atomic.Bool
	// relayedAt holds the time at which this instance last relayed a report
	// within its zone, by upstream. Only the goroutine of Run uses it.
	relayedAt map[string]time.Duration
}

// NewController returns a controller without reports; Run starts it.
func NewController(opts Options) *Controller {
	return &Controller{
		opts: opts, state: NewState(), targets: map[string]Target{},
		removedAt: map[string]time.Duration{}, relayedAt: map[string]time.Duration{},
	}
}

// Entries returns the latest report of each upstream, sorted by name.
func (c *Controller) Entries() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Entries()
}

// InitialReadDone reports whether this instance has completed a first read of the
// reports that are assigned to it.
func (c *Controller) InitialReadDone() bool { return c.initialReadDone.Load() }

// Entry returns the latest report of an upstream.
func (c *Controller) Entry(upstream string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Entry(upstream)
}

// Run periodically reads the reports that are assigned to this instance, relays
// changes and pulls missing reports from peers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	lastPull := -pullPeriod
	for ctx.Err() == nil {
		snapshot := c.opts.Replica.Snapshot()
		targets := c.UpdateTargets()
		c.pruneRelayed(targets)
		assigned, period := c.dueTargets(snapshot, targets)
		c.readReports(ctx, snapshot, assigned)
		if snapshot.HasDocuments && len(snapshot.Services) > 0 {
			c.initialReadDone.Store(true)
		}
		if now := c.opts.Now(); now-lastPull >= c.currentPullPeriod(targets) {
			lastPull = now
			c.pull(ctx, snapshot)
		}
		wait.Sleep(ctx, period*3/4+time.Duration(rand.Int63n(int64(period/2))))
	}
	return nil
}
