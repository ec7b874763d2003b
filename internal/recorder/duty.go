// Package recorder keeps the service record of one instance: it appends what
// the handlers decide, copies it to a peer of the zone until the platform
// holds it, and writes what it holds for a peer that is gone.
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
	// adoptAfter is the silence of a peer after which its copies are written
	// in its place. Doing so for a live peer is harmless.
	adoptAfter  = 15 * time.Second
	adoptPeriod = 5 * time.Second
	// stopSilence is the silence of a peer after which a stopping instance
	// writes its copies; a live peer is heard with every flush.
	stopSilence = 3 * time.Second
	// maxCopies bounds the entries held for peers.
	maxCopies = 4 * record.DefaultRing
)

// Options configure a Duty.
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
	// Leader tells who stores the zone's heads.
	Leader Leader
	// Line, if set, takes the entries in order in place of the platform, which
	// then holds the heads of chains only.
	Line func(record.Placed)
}

// Leader tells who holds the zone's duty; leader.Duty implements it.
type Leader interface {
	Held() (fence uint64, ok bool)
	Holder() string
}

// Duty owns the journal, its flusher and the copies held for peers; a mutex
// guards them.
type Duty struct {
	opts    Options
	mu      sync.Mutex
	journal *record.Journal
	flusher *record.Flusher
	copies  *record.Copies
	heard   map[record.Origin]time.Duration // last copy of a peer
	flushed uint64                          // the platform holds all up to it
	peer    holder                          // of the copies
	zone    zoneHeads
	stored  uint64 // the platform has a head at it or later
}

// New returns a duty whose chain has begun.
func New(opts Options) *Duty {
	journal := record.NewJournal(origin(opts.Self), opts.WallMS(), opts.Journal)
	d := &Duty{
		opts:    opts,
		journal: journal,
		flusher: record.NewFlusher(journal, opts.Flusher),
		copies:  record.NewCopies(maxCopies),
		heard:   map[record.Origin]time.Duration{},
	}
	d.writeLines()
	return d
}

func origin(self platform.Instance) record.Origin {
	return record.Origin{Instance: self.Name, Incarnation: self.Incarnation}
}

// Append adds an entry. An entry that finds no room only counts in a gap
// entry; Full then reports true.
func (d *Duty) Append(e record.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.journal.Append(d.opts.WallMS(), e)
	d.writeLines()
}

// Stamp returns a stamp of the record's clock, to go with a message to a peer.
func (d *Duty) Stamp() *peerpb.Stamp {
	d.mu.Lock()
	defer d.mu.Unlock()
	return toStamp(d.journal.Stamp(d.opts.WallMS()))
}

// Observe takes in a stamp that came with a peer's message.
func (d *Duty) Observe(s *peerpb.Stamp) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal.Observe(fromStamp(s))
}

// Full reports whether the record has no room, after a long outage of the
// platform.
func (d *Duty) Full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal.Full()
}

// Waiting returns how many entries the platform does not hold yet.
func (d *Duty) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal.Waiting()
}

// Run copies, flushes and adopts until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	go d.keepHeads(ctx)
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
			d.followPeer()
			d.step(record.Tick{})
		}
		if now := d.opts.Now(); now-lastAdopt >= adoptPeriod {
			lastAdopt = now
			d.adopt(ctx, adoptAfter)
		}
	}
}

// Stop closes the chain, waits until the platform holds it or ctx ends, and
// writes what is held for peers that seem gone. Run goes on meanwhile.
func (d *Duty) Stop(ctx context.Context) {
	d.mu.Lock()
	d.journal.Stop(d.opts.WallMS())
	d.writeLines()
	d.mu.Unlock()
	for ctx.Err() == nil && (d.Waiting() > 0 || d.headWaits()) {
		time.Sleep(tickPeriod)
	}
	d.adopt(ctx, stopSilence)
}
