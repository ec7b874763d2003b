package recorder

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"storj.io/drpc"
)

// holder names one run of the peer that holds the copies.
type holder struct{ name, incarnation string }

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

func toStamp(h record.HLC) *peerpb.Stamp {
	return &peerpb.Stamp{WallMs: h.WallMS, Logical: h.Logical}
}

func fromStamp(s *peerpb.Stamp) record.HLC {
	return record.HLC{WallMS: s.GetWallMs(), Logical: s.GetLogical()}
}
