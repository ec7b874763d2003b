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

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
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

// Options configures a Recorder.
type Options struct {
	Self      objectstore.Instance
	Store     objectstore.Store
	Peers     peer.Caller
	ZonePeers func() []objectstore.Instance
	Journal   record.JournalOptions
	Flusher   record.FlusherOptions
	Now       func() time.Duration
	WallMS    func() int64
	Log       *slog.Logger
	// Leader reports the zone leader, which stores the zone's heads. If it is
	// nil, heads are neither reported nor stored.
	Leader Leader
	// WriteLogLine, if set, writes an entry to the log; it gets the entries in
	// the order of the chain. The platform then stores only the heads of chains.
	WriteLogLine func(record.Placed)
}

// Leader reports the zone leader. leader.Elector implements it.
type Leader interface {
	Held() (fencingToken uint64, ok bool)
	Holder() string
}

// Recorder is the controller of the service record. It owns the journal, its
// flusher and the copies held for peers, which a mutex guards.
type Recorder struct {
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

// New returns a Recorder with a new chain that contains its started entry.
func New(opts Options) *Recorder {
	journal := record.NewJournal(origin(opts.Self), opts.WallMS(), opts.Journal)
	r := &Recorder{
		opts:       opts,
		journal:    journal,
		flusher:    record.NewFlusher(journal, opts.Flusher),
		copies:     record.NewCopies(maxCopies),
		lastCopyAt: map[record.Origin]time.Duration{},
	}
	r.writeLogLines()
	return r
}

func origin(self objectstore.Instance) record.Origin {
	return record.Origin{Instance: self.Name, Incarnation: self.Incarnation}
}

// Append adds an entry. If the journal is full, the entry is only counted and
// hashed in a gap entry, and Full reports true.
func (r *Recorder) Append(e record.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.journal.Append(r.opts.WallMS(), e)
	r.writeLogLines()
}

// Stamp returns a timestamp of the record's clock for a message to a peer.
func (r *Recorder) Stamp() *peerpb.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toStamp(r.journal.Stamp(r.opts.WallMS()))
}

// Observe advances the record's clock to a timestamp received with a message of a
// peer.
func (r *Recorder) Observe(s *peerpb.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal.Observe(fromStamp(s))
}

// Full reports whether the journal has no room for another entry, which happens
// after a long outage of the platform.
func (r *Recorder) Full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.Full()
}

// PendingCount returns the number of entries that are not flushed yet.
func (r *Recorder) PendingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.PendingCount()
}

// Run copies and flushes entries, adopts copies of silent peers and maintains the
// heads until ctx ends. It returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	go r.maintainHeads(ctx)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	lastAdopt := r.opts.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.opts.WriteLogLine == nil {
			r.updateCopyPeer()
			r.step(record.Tick{})
		}
		if now := r.opts.Now(); now-lastAdopt >= adoptPeriod {
			lastAdopt = now
			r.adopt(ctx, adoptAfter)
		}
	}
}

// Stop appends the stopped entry, waits until the chain is stored or ctx ends, and
// writes the copies of peers that have been silent for stopAdoptAfter. Run must
// still be running.
func (r *Recorder) Stop(ctx context.Context) {
	r.mu.Lock()
	r.journal.Stop(r.opts.WallMS())
	r.writeLogLines()
	r.mu.Unlock()
	for ctx.Err() == nil && (r.PendingCount() > 0 || r.headPending()) {
		time.Sleep(tickPeriod)
	}
	r.adopt(ctx, stopAdoptAfter)
}
