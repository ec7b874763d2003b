// Package recorder runs the service record of one instance. It appends the
// decisions of the request handlers to the record, writes them to the platform
// or to the log, and copies them to a peer in the zone until they are stored in
// the platform. It holds copies for peers and writes them on behalf of a peer
// that is gone. The zone leader also stores the chain heads of its zone.
package recorder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

const (
	tickPeriod  = 100 * time.Millisecond
	callTimeout = time.Second
	// adoptAfter is the time since the last message of a peer after which its
	// copies are written on its behalf. This is harmless for a live peer.
	adoptAfter  = 15 * time.Second
	adoptPeriod = 5 * time.Second
	// stopAdoptAfter is the time since the last message of a peer after which
	// a stopping instance writes its copies. A live peer sends a message with
	// every flush.
	stopAdoptAfter = 3 * time.Second
	// maxCopies is the maximum number of entries held for peers.
	maxCopies = 4 * record.DefaultCapacity
)

// Options configures a Duty.
type Options struct {
	Self      platform.Instance
	Store     platform.Store
	Peers     peer.Caller
	ZonePeers func() []platform.Instance
	Journal   record.JournalOptions
	Flusher   record.FlusherOptions
	Now       func() time.Duration
	WallMS    func() int64
	Log       *slog.Logger
	// Leader reports the zone leader, which stores the zone's heads. If it is
	// nil, heads are neither reported nor stored.
	Leader Leader
	// Line, if set, receives the entries in order to be written to the log.
	// The platform then stores only the heads of chains.
	Line func(record.Placed)
}

// Leader reports the zone leader. leader.Elector implements it.
type Leader interface {
	Held() (fencingToken uint64, ok bool)
	Holder() string
}

// Duty is the controller of the service record. It owns the journal, its flusher
// and the copies held for peers, which a mutex guards.
type Duty struct {
	opts          Options
	mu            sync.Mutex
	journal       *record.Journal
	flusher       *record.Flusher
	copies        *record.Copies
	lastCopyAt    map[record.Origin]time.Duration // time of the last Copy call of each peer
	flushedSeq    uint64                          // the platform holds all entries up to this one
	copyPeer      peerIncarnation                 // the peer that holds the copies
	reportedHeads zoneHeads
	storedHeadSeq uint64 // the platform holds a head with at least this sequence number
}

// New returns a Duty with a new chain that contains its started entry.
func New(opts Options) *Duty {
	journal := record.NewJournal(origin(opts.Self), opts.WallMS(), opts.Journal)
	d := &Duty{
		opts:       opts,
		journal:    journal,
		flusher:    record.NewFlusher(journal, opts.Flusher),
		copies:     record.NewCopies(maxCopies),
		lastCopyAt: map[record.Origin]time.Duration{},
	}
	d.writeLogLines()
	return d
}

func origin(self platform.Instance) record.Origin {
	return record.Origin{Instance: self.Name, Incarnation: self.Incarnation}
}

// Append adds an entry. If the journal is full, the entry is only counted and
// hashed in a gap entry, and Full reports true.
func (d *Duty) Append(e record.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.journal.Append(d.opts.WallMS(), e)
	d.writeLogLines()
}

// Stamp returns a timestamp of the record's clock for a message to a peer.
func (d *Duty) Stamp() *peerpb.Stamp {
	d.mu.Lock()
	defer d.mu.Unlock()
	return toStamp(d.journal.Stamp(d.opts.WallMS()))
}

// Observe advances the record's clock to a timestamp received with a message of a
// peer.
func (d *Duty) Observe(s *peerpb.Stamp) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal.Observe(fromStamp(s))
}

// Full reports whether the journal has no room for another entry, which happens
// after a long outage of the platform.
func (d *Duty) Full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal.Full()
}

// Waiting returns the number of entries that are not flushed yet.
func (d *Duty) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal.PendingCount()
}

// Run copies and flushes entries, adopts copies of silent peers and maintains the
// heads until ctx ends. It returns nil.
func (d *Duty) Run(ctx context.Context) error {
	go d.maintainHeads(ctx)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	lastAdopt := d.opts.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if d.opts.Line == nil {
			d.updateCopyPeer()
			d.step(record.Tick{})
		}
		if now := d.opts.Now(); now-lastAdopt >= adoptPeriod {
			lastAdopt = now
			d.adopt(ctx, adoptAfter)
		}
	}
}

// Stop appends the stopped entry, waits until the chain is stored or ctx ends, and
// writes the copies of peers that have been silent for stopAdoptAfter. Run must
// still be running.
func (d *Duty) Stop(ctx context.Context) {
	d.mu.Lock()
	d.journal.Stop(d.opts.WallMS())
	d.writeLogLines()
	d.mu.Unlock()
	for ctx.Err() == nil && (d.Waiting() > 0 || d.headPending()) {
		time.Sleep(tickPeriod)
	}
	d.adopt(ctx, stopAdoptAfter)
}
