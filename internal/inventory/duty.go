package inventory

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
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
