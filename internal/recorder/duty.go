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
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"storj.io/drpc"
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

// holder names one run of the peer that holds the copies.
type holder struct{ name, incarnation string }

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

// step steps the flusher and carries out what it asks for.
func (d *Duty) step(msg record.Message) {
	d.mu.Lock()
	actions := d.flusher.Step(d.opts.Now(), msg)
	d.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case record.Put:
			go d.put(a)
		case record.Get:
			go d.get(a)
		case record.Copy:
			go d.copy(a.Batch)
		case record.Notice:
			d.mu.Lock()
			d.flushed = a.Seq
			d.mu.Unlock()
			go d.copy(record.Batch{})
		case record.Alarm:
			d.opts.Log.Error("service record", "batch", a.Name, "error", a.Err)
		}
	}
}

func (d *Duty) put(a record.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := d.opts.Store.Put(ctx, platform.Object{Kind: platform.KindRecord, Name: a.Name, Value: a.Value})
	switch {
	case err == nil:
		d.step(record.Written{Op: a.Op})
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
		d.step(record.Doubtful{Op: a.Op})
	default:
		d.step(record.Unavailable{Op: a.Op})
	}
}

func (d *Duty) get(a record.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := d.opts.Store.Get(ctx, platform.KindRecord, a.Name)
	switch {
	case err == nil:
		d.step(record.Read{Op: a.Op, Found: !obj.Deleted, Value: obj.Value})
	case errors.Is(err, platform.ErrNotFound):
		d.step(record.Read{Op: a.Op})
	default:
		d.step(record.Unavailable{Op: a.Op})
	}
}

// write stores the batch of a silent peer and returns the last number that is
// safe. A batch that is there already is read back and compared.
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

// copy hands a batch, which may be empty, to the zone peer that holds the
// copies, and tells it what the platform holds.
func (d *Duty) copy(b record.Batch) {
	p, ok := d.choosePeer()
	if !ok {
		return
	}
	msg, err := d.copyMessage(b)
	if err != nil {
		d.opts.Log.Error("service record", "error", err)
		return
	}
	var ack *peerpb.RecordAck
	err = d.opts.Peers.Call(context.Background(), p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		ack, err = peerpb.NewDRPCRecordClient(conn).Copy(ctx, msg)
		return err
	})
	if err != nil {
		d.opts.Log.Debug("copy service record", "peer", p.Name, "error", err)
		return
	}
	d.mu.Lock()
	d.journal.Observe(fromStamp(ack.Stamp))
	holds := d.peer == holder{p.Name, p.Incarnation}
	d.mu.Unlock()
	if holds { // the answer of a former holder says nothing of the present one
		d.step(record.CopyAck{Seq: ack.Held})
	}
}

// followPeer copies everything that waits again when another peer holds the
// copies from now on.
func (d *Duty) followPeer() {
	p, _ := d.choosePeer()
	d.mu.Lock()
	next := holder{p.Name, p.Incarnation}
	changed := next != d.peer
	d.peer = next
	flushed := d.flushed
	d.mu.Unlock()
	if changed {
		d.step(record.CopyAck{Seq: flushed})
	}
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

func (d *Duty) copyMessage(b record.Batch) (*peerpb.RecordCopy, error) {
	self := origin(d.opts.Self)
	msg := &peerpb.RecordCopy{Instance: self.Instance, Incarnation: self.Incarnation}
	if len(b.Entries) > 0 {
		value, err := json.Marshal(b)
		if err != nil {
			return nil, fmt.Errorf("recorder: encode batch: %w", err)
		}
		msg.Batch = value
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	msg.Flushed = d.flushed
	msg.Stamp = toStamp(d.journal.Stamp(d.opts.WallMS()))
	return msg, nil
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
	held := max(msg.Flushed, d.copies.Through(from))
	// What does not join is refused, so that no acknowledgement covers a hole.
	if len(batch.Entries) > 0 && batch.Origin == from && batch.First() <= held+1 {
		held = max(held, d.copies.Receive(batch))
	}
	d.journal.Observe(fromStamp(msg.Stamp))
	return &peerpb.RecordAck{Held: held, Stamp: toStamp(d.journal.Stamp(d.opts.WallMS()))}, nil
}

// adopt writes the copies of peers that have been silent for so long.
func (d *Duty) adopt(ctx context.Context, silence time.Duration) {
	for _, from := range d.silent(silence) {
		if err := d.adoptChain(ctx, from); err != nil {
			d.opts.Log.Warn("write service record of a silent peer", "instance", from.Instance, "error", err)
		}
	}
}

// adoptChain writes all that is held of a chain, batch by batch.
func (d *Duty) adoptChain(ctx context.Context, from record.Origin) error {
	for {
		d.mu.Lock()
		batch, ok := d.copies.Adopt(from)
		d.mu.Unlock()
		if !ok {
			return nil
		}
		seq, err := d.write(ctx, batch)
		if err != nil {
			return err
		}
		d.opts.Log.Info("service record of a silent peer written", "instance", from.Instance, "through", seq)
		d.mu.Lock()
		d.copies.Flushed(from, seq)
		d.mu.Unlock()
	}
}

func (d *Duty) silent(silence time.Duration) []record.Origin {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []record.Origin
	held := map[record.Origin]bool{}
	for _, from := range d.copies.Held() {
		held[from] = true
		if d.opts.Now()-d.heard[from] >= silence {
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
