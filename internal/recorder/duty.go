// Package recorder keeps the service record of one instance: it appends what
// the handlers decide, copies it to a peer of the zone until the platform
// holds it, and writes what it holds for a peer that is gone.
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"storj.io/drpc"
)

const (
	copyPeriod  = 250 * time.Millisecond
	callTimeout = 2 * time.Second
	// adoptAfter is the silence of a peer after which its copies are written
	// in its place. Doing so for a live peer is harmless.
	adoptAfter = 15 * time.Second
	// maxCopies bounds the entries held for peers.
	maxCopies = 4 * record.DefaultRing
)

// DefaultFlushPeriod is how often entries are written to the platform.
const DefaultFlushPeriod = 2 * time.Second

// Caller calls peers; peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error
}

// Options configure a Duty.
type Options struct {
	Self        platform.Instance
	Store       platform.Store
	Peers       Caller
	ZonePeers   func() []platform.Instance
	FlushPeriod time.Duration // 0 for DefaultFlushPeriod
	Now         func() time.Duration
	WallMS      func() int64
	Log         *slog.Logger
}

// Duty owns the journal and the copies held for peers; a mutex guards both.
type Duty struct {
	opts    Options
	mu      sync.Mutex
	journal *record.Journal
	copies  *record.Copies
	heard   map[record.Origin]time.Duration // last copy of a peer
	flushed uint64
	peer    string // that holds the copies
	held    uint64 // by it
	told    uint64 // flushed number that it knows
	full    bool   // the last entry found no room
	flushMu sync.Mutex
}

// New returns a duty whose chain has begun.
func New(opts Options) *Duty {
	if opts.FlushPeriod == 0 {
		opts.FlushPeriod = DefaultFlushPeriod
	}
	return &Duty{
		opts:    opts,
		journal: record.NewJournal(origin(opts.Self), opts.WallMS(), record.JournalOptions{}),
		copies:  record.NewCopies(maxCopies),
		heard:   map[record.Origin]time.Duration{},
	}
}

func origin(self platform.Instance) record.Origin {
	return record.Origin{Instance: self.Name, Incarnation: self.Incarnation}
}

// Append adds an entry. An entry that finds no room only counts in a gap
// entry; Full then reports true.
func (d *Duty) Append(e record.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.journal.Append(d.opts.WallMS(), e)
	d.full = err != nil
}

// Full reports whether the record has no room, after a long outage of the
// platform.
func (d *Duty) Full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full
}

// Waiting returns how many entries the platform does not hold yet.
func (d *Duty) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.journal.Waiting()
}

// Run copies, flushes and adopts until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(copyPeriod)
	defer ticker.Stop()
	lastFlush := d.opts.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.copy(ctx)
		if now := d.opts.Now(); now-lastFlush >= d.opts.FlushPeriod {
			lastFlush = now
			d.flush(ctx)
			d.adopt(ctx)
		}
	}
}

// Stop closes the chain and writes what is left until ctx ends.
func (d *Duty) Stop(ctx context.Context) {
	d.mu.Lock()
	d.journal.Stop(d.opts.WallMS())
	d.mu.Unlock()
	for ctx.Err() == nil && d.Waiting() > 0 {
		if !d.flush(ctx) {
			time.Sleep(copyPeriod)
		}
	}
	d.copy(ctx) // tells the peer that nothing of its copies is needed
}

// flush writes all entries that wait; it reports whether all were written.
func (d *Duty) flush(ctx context.Context) bool {
	d.flushMu.Lock()
	defer d.flushMu.Unlock()
	for {
		d.mu.Lock()
		batch, ok := d.journal.Next(0)
		d.mu.Unlock()
		if !ok {
			return true
		}
		seq, err := d.write(ctx, batch)
		if err != nil {
			d.report(err, batch)
			return false
		}
		d.mu.Lock()
		d.journal.Flushed(seq)
		d.flushed = seq
		d.mu.Unlock()
	}
}

func (d *Duty) report(err error, b record.Batch) {
	level := slog.LevelDebug
	if errors.Is(err, record.ErrForeign) {
		level = slog.LevelError
	}
	d.opts.Log.Log(context.Background(), level, "write service record", "batch", b.Name(), "error", err)
}

// write stores a batch under its name and returns the last number that is
// safe. A batch that is there already, by an adopting peer or a write whose
// reply was lost, is read back and compared.
func (d *Duty) write(ctx context.Context, b record.Batch) (uint64, error) {
	value, err := json.Marshal(b)
	if err != nil {
		return 0, fmt.Errorf("recorder: encode batch: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = d.opts.Store.Put(ctx, platform.Object{Kind: platform.KindRecord, Name: b.Name(), Value: value})
	switch {
	case err == nil:
		return b.Last(), nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
		return d.readBack(ctx, b)
	}
	return 0, fmt.Errorf("recorder: batch %s: %w", b.Name(), err)
}

func (d *Duty) readBack(ctx context.Context, mine record.Batch) (uint64, error) {
	obj, err := d.opts.Store.Get(ctx, platform.KindRecord, mine.Name())
	if err != nil {
		return 0, fmt.Errorf("recorder: batch %s: %w", mine.Name(), err)
	}
	var stored record.Batch
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return 0, fmt.Errorf("recorder: batch %s: %w: %w", mine.Name(), record.ErrForeign, err)
	}
	return record.Resolve(mine, stored)
}

// copy hands what is new to the zone peer that holds the copies.
func (d *Duty) copy(ctx context.Context) {
	p, ok := d.choosePeer()
	if !ok {
		return
	}
	msg, needed, err := d.copyMessage(p.Name)
	if err != nil || !needed {
		return
	}
	var ack *peerpb.RecordAck
	err = d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		ack, err = peerpb.NewDRPCRecordClient(conn).Copy(ctx, msg)
		return err
	})
	if err != nil {
		d.opts.Log.Debug("copy service record", "peer", p.Name, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held, d.told = ack.Held, msg.Flushed
	d.journal.Observe(fromStamp(ack.Stamp))
}

// choosePeer returns the zone peer that holds the copies: the same one while
// the members stay.
func (d *Duty) choosePeer() (platform.Instance, bool) {
	peers := d.opts.ZonePeers()
	name := inventory.Reader(d.opts.Self.Name, peers)
	for _, p := range peers {
		if p.Name == name {
			return p, true
		}
	}
	return platform.Instance{}, false
}

func (d *Duty) copyMessage(peer string) (msg *peerpb.RecordCopy, needed bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer != d.peer {
		d.peer, d.held, d.told = peer, 0, 0
	}
	self := origin(d.opts.Self)
	msg = &peerpb.RecordCopy{Instance: self.Instance, Incarnation: self.Incarnation, Flushed: d.flushed}
	batch, ok := d.journal.Next(max(d.held, d.flushed))
	if ok {
		if msg.Batch, err = json.Marshal(batch); err != nil {
			return nil, false, err
		}
	}
	msg.Stamp = toStamp(d.journal.Stamp(d.opts.WallMS()))
	return msg, ok || d.told < d.flushed, nil
}

// Copy implements peerpb.DRPCRecordServer.
func (d *Duty) Copy(_ context.Context, msg *peerpb.RecordCopy) (*peerpb.RecordAck, error) {
	var batch record.Batch
	if len(msg.Batch) > 0 {
		if err := json.Unmarshal(msg.Batch, &batch); err != nil {
			return nil, fmt.Errorf("recorder: copy: %w", err)
		}
	}
	from := record.Origin{Instance: msg.Instance, Incarnation: msg.Incarnation}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[from] = d.opts.Now()
	d.copies.Flushed(from, msg.Flushed)
	held := msg.Flushed
	if len(batch.Entries) > 0 && batch.Origin == from {
		held = max(held, d.copies.Receive(batch))
	}
	d.journal.Observe(fromStamp(msg.Stamp))
	return &peerpb.RecordAck{Held: held, Stamp: toStamp(d.journal.Stamp(d.opts.WallMS()))}, nil
}

// adopt writes the copies of peers that have been silent for long.
func (d *Duty) adopt(ctx context.Context) {
	for _, from := range d.silent() {
		d.mu.Lock()
		batch, ok := d.copies.Adopt(from)
		d.mu.Unlock()
		if !ok {
			continue
		}
		seq, err := d.write(ctx, batch)
		if err != nil {
			d.report(err, batch)
			continue
		}
		d.opts.Log.Info("service record of a silent peer written", "instance", from.Instance, "through", seq)
		d.mu.Lock()
		d.copies.Flushed(from, seq)
		d.mu.Unlock()
	}
}

func (d *Duty) silent() []record.Origin {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []record.Origin
	held := map[record.Origin]bool{}
	for _, from := range d.copies.Held() {
		held[from] = true
		if d.opts.Now()-d.heard[from] >= adoptAfter {
			list = append(list, from)
		}
	}
	for from := range d.heard {
		if !held[from] {
			delete(d.heard, from)
		}
	}
	return list
}

func toStamp(h record.HLC) *peerpb.Stamp {
	return &peerpb.Stamp{WallMs: h.WallMS, Logical: h.Logical}
}

func fromStamp(s *peerpb.Stamp) record.HLC {
	return record.HLC{WallMS: s.GetWallMs(), Logical: s.GetLogical()}
}
