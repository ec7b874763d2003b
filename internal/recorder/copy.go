package recorder

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"storj.io/drpc"
)

// peerIncarnation identifies an incarnation of the peer that holds the copies.
type peerIncarnation struct{ name, incarnation string }

// copy sends a batch, which may be empty, to the zone peer that holds the
// copies, together with the sequence number up to which entries are stored in the
// platform.
func (r *Recorder) copy(b record.Batch) {
	p, ok := r.chooseCopyPeer()
	if !ok {
		return
	}
	msg, err := r.copyMessage(b)
	if err != nil {
		r.opts.Log.Error("service record", "error", err)
		return
	}
	var ack *peerpb.RecordAck
	err = r.opts.Peers.Call(context.Background(), p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		ack, err = peerpb.NewDRPCRecordClient(conn).Copy(ctx, msg)
		return err
	})
	if err != nil {
		r.opts.Log.Debug("copying service record failed", "peer", p.Name, "error", err)
		return
	}
	r.mu.Lock()
	r.journal.Observe(fromStamp(ack.Stamp))
	current := r.copyPeer == peerIncarnation{p.Name, p.Incarnation}
	r.mu.Unlock()
	if current { // a reply of a former peer does not apply to the current one
		r.step(record.CopyAck{Seq: ack.Held})
	}
}

// updateCopyPeer chooses the peer that holds the copies. When the peer or its
// incarnation changed, all entries that are not flushed are copied again.
func (r *Recorder) updateCopyPeer() {
	p, _ := r.chooseCopyPeer()
	r.mu.Lock()
	next := peerIncarnation{p.Name, p.Incarnation}
	changed := next != r.copyPeer
	r.copyPeer = next
	flushed := r.flushedSeq
	r.mu.Unlock()
	if changed {
		r.step(record.CopyAck{Seq: flushed})
	}
}

// chooseCopyPeer returns the zone peer that holds the copies, and false if there is
// none. The choice by rendezvous hashing stays the same while the members of the
// zone do not change.
func (r *Recorder) chooseCopyPeer() (objectstore.Instance, bool) {
	peers := r.opts.ZonePeers()
	name := inventory.ReaderOf(r.opts.Self.Name, peers)
	for _, p := range peers {
		if p.Name == name {
			return p, true
		}
	}
	return objectstore.Instance{}, false
}

func (r *Recorder) copyMessage(b record.Batch) (*peerpb.RecordCopy, error) {
	self := origin(r.opts.Self)
	msg := &peerpb.RecordCopy{Instance: self.Instance, Incarnation: self.Incarnation}
	if len(b.Entries) > 0 {
		value, err := json.Marshal(b)
		if err != nil {
			return nil, fmt.Errorf("recorder: encode batch: %w", err)
		}
		msg.Batch = value
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	msg.Flushed = r.flushedSeq
	msg.Stamp = toStamp(r.journal.Stamp(r.opts.WallMS()))
	return msg, nil
}

// Copy implements peerpb.DRPCRecordServer. It receives a copy of a peer's entries
// and returns the sequence number up to which they are held or stored.
func (r *Recorder) Copy(_ context.Context, msg *peerpb.RecordCopy) (*peerpb.RecordAck, error) {
	var batch record.Batch
	if len(msg.Batch) > 0 {
		if err := json.Unmarshal(msg.Batch, &batch); err != nil {
			return nil, fmt.Errorf("recorder: decode copy: %w", err)
		}
	}
	from := record.Origin{Instance: msg.Instance, Incarnation: msg.Incarnation}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCopyAt[from] = r.opts.Now()
	r.copies.MarkFlushed(from, msg.Flushed)
	held := max(msg.Flushed, r.copies.LastSeq(from))
	// A batch that does not continue the held entries is refused, so that no
	// acknowledgement covers missing entries.
	if len(batch.Entries) > 0 && batch.Origin == from && batch.FirstSeq() <= held+1 {
		held = max(held, r.copies.Receive(batch))
	}
	r.journal.Observe(fromStamp(msg.Stamp))
	return &peerpb.RecordAck{Held: held, Stamp: toStamp(r.journal.Stamp(r.opts.WallMS()))}, nil
}

func toStamp(h record.HLC) *peerpb.Stamp {
	return &peerpb.Stamp{WallMs: h.WallMS, Logical: h.Logical}
}

func fromStamp(s *peerpb.Stamp) record.HLC {
	return record.HLC{WallMS: s.GetWallMs(), Logical: s.GetLogical()}
}
