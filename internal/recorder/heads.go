package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// headPeriod is the time between two reports of a head, and between two writes
// of a zone's heads.
const headPeriod = time.Second

// zoneHeads are the heads that this instance was told of, which it stores
// while it holds the zone's duty. The goroutine of keepHeads alone writes.
type zoneHeads struct {
	mu      sync.Mutex
	heads   record.Heads
	changed bool
	stored  map[record.Origin]uint64 // as last read or written
	object  platform.Object          // as last read or written
	known   bool                     // object is to be trusted
}

// writeLines hands waiting entries to the log stream. The caller holds mu, so
// that lines are in order.
func (d *Duty) writeLines() {
	if d.opts.Line == nil {
		return
	}
	for {
		batch, ok := d.journal.Next(0)
		if !ok {
			return
		}
		for _, e := range batch.Entries {
			d.opts.Line(record.Placed{Origin: batch.Origin, Entry: e})
		}
		d.journal.Flushed(batch.Last())
	}
}

// headWaits reports whether the platform lacks the latest head, where entries
// are lines.
func (d *Duty) headWaits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opts.Line != nil && d.stored < d.journal.Head().Seq
}

// keepHeads reports this instance's head to the zone's duty holder and, while
// this instance is the holder, stores what was reported.
func (d *Duty) keepHeads(ctx context.Context) {
	if d.opts.Leader == nil {
		return
	}
	for wait.Sleep(ctx, headPeriod) {
		if d.headWaits() {
			if err := d.reportHead(ctx); err != nil {
				d.opts.Log.Debug("report head of the service record", "error", err)
			}
		}
		if _, held := d.opts.Leader.Held(); !held {
			d.zone.known = false
			continue
		}
		if err := d.storeHeads(ctx); err != nil {
			d.opts.Log.Warn("store heads of the service record", "error", err)
		}
	}
}

// errNoHolder means that no duty holder of the zone is known.
var errNoHolder = errors.New("recorder: no duty holder is known")

func (d *Duty) reportHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.mu.Lock()
	head := d.journal.Head()
	msg := &peerpb.RecordHead{
		Instance: head.Instance, Incarnation: head.Incarnation, Seq: head.Seq, Hash: head.Hash[:],
		Stamp: toStamp(d.journal.Stamp(d.opts.WallMS())),
	}
	d.mu.Unlock()
	reply, err := d.askHolder(ctx, msg)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal.Observe(fromStamp(reply.Stamp))
	d.stored = max(d.stored, reply.Stored)
	return nil
}

func (d *Duty) askHolder(ctx context.Context, msg *peerpb.RecordHead) (reply *peerpb.RecordHeadReply, err error) {
	name := d.opts.Leader.Holder()
	if name == d.opts.Self.Name {
		return d.Head(ctx, msg)
	}
	for _, p := range d.opts.ZonePeers() {
		if p.Name != name {
			continue
		}
		err = d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = peerpb.NewDRPCRecordClient(conn).Head(ctx, msg)
			return err
		})
		return reply, err
	}
	return nil, errNoHolder
}

// Head implements peerpb.DRPCRecordServer. A head is kept also while this
// instance does not hold the duty; the reply says what is stored.
func (d *Duty) Head(_ context.Context, msg *peerpb.RecordHead) (*peerpb.RecordHeadReply, error) {
	head := record.Head{Origin: record.Origin{Instance: msg.Instance, Incarnation: msg.Incarnation}, Seq: msg.Seq}
	if copy(head.Hash[:], msg.Hash) != len(head.Hash) {
		return nil, fmt.Errorf("recorder: head of %s: hash has %d bytes", msg.Instance, len(msg.Hash))
	}
	stored, err := d.zone.report(head)
	if err != nil {
		d.opts.Log.Error("service record", "error", err)
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal.Observe(fromStamp(msg.Stamp))
	return &peerpb.RecordHeadReply{Stored: stored, Stamp: toStamp(d.journal.Stamp(d.opts.WallMS()))}, nil
}

func (z *zoneHeads) report(head record.Head) (stored uint64, err error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if err := z.heads.Report(head); err != nil {
		return 0, err
	}
	z.changed = z.changed || z.stored[head.Origin] < head.Seq
	return z.stored[head.Origin], nil
}

// storeHeads writes the zone's object if a head changed. After a conflict or a
// lost reply it is read again before the next write.
func (d *Duty) storeHeads(ctx context.Context) error {
	z := &d.zone
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	z.mu.Lock()
	changed := z.changed
	z.mu.Unlock()
	if !changed {
		return nil
	}
	if !z.known {
		if err := d.readHeads(ctx); err != nil {
			return err
		}
	}
	z.mu.Lock()
	value, err := json.Marshal(z.heads)
	written := append([]record.Head(nil), z.heads.Heads...)
	z.mu.Unlock()
	if err != nil {
		return fmt.Errorf("recorder: encode heads: %w", err)
	}
	next := z.object
	next.Value = value
	obj, err := d.opts.Store.Put(ctx, next)
	if err != nil {
		z.known = false
		return fmt.Errorf("recorder: %s: %w", next.Name, err)
	}
	z.object = obj
	z.note(written)
	return nil
}

// note takes in what the platform holds.
func (z *zoneHeads) note(stored []record.Head) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.stored = make(map[record.Origin]uint64, len(stored))
	for _, h := range stored {
		z.stored[h.Origin] = h.Seq
	}
	z.changed = false
	for _, h := range z.heads.Heads {
		z.changed = z.changed || z.stored[h.Origin] < h.Seq
	}
}

// readHeads merges the stored object in.
func (d *Duty) readHeads(ctx context.Context) error {
	z := &d.zone
	name := record.HeadsName(d.opts.Self.Zone)
	obj, err := d.opts.Store.Get(ctx, platform.KindRecord, name)
	if errors.Is(err, platform.ErrNotFound) {
		obj, err = platform.Object{Kind: platform.KindRecord, Name: name}, nil
	}
	if err != nil {
		return fmt.Errorf("recorder: %s: %w", name, err)
	}
	var stored record.Heads
	if len(obj.Value) > 0 {
		if err := json.Unmarshal(obj.Value, &stored); err != nil {
			return fmt.Errorf("recorder: %s: %w", name, err)
		}
	}
	z.mu.Lock()
	conflicts := z.heads.Merge(stored)
	z.mu.Unlock()
	for _, err := range conflicts {
		d.opts.Log.Error("service record", "error", err)
	}
	z.object, z.known = obj, true
	z.note(stored.Heads)
	return nil
}
