package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// headPeriod is the minimum time between two reports of a head, and between two
// writes of a zone's heads.
const headPeriod = time.Second

// zoneHeads holds the heads that were reported to this instance, which it stores
// while it is the zone leader. Only the goroutine of maintainHeads writes the
// stored object and uses object and objectCurrent.
type zoneHeads struct {
	mu            sync.Mutex
	heads         record.Heads
	changed       bool
	stored        map[record.Origin]uint64 // sequence numbers as last read or written
	object        objectstore.Object       // as last read or written
	objectCurrent bool                     // object is assumed to be the stored version
}

// writeLogLines passes the entries that are not flushed yet to
// Options.WriteLogLine, if it is set, and marks them flushed. The caller holds
// mu, so that lines are in order.
func (r *Recorder) writeLogLines() {
	if r.opts.WriteLogLine == nil {
		return
	}
	for {
		batch, ok := r.journal.NextBatch(0)
		if !ok {
			return
		}
		for _, e := range batch.Entries {
			r.opts.WriteLogLine(record.Placed{Origin: batch.Origin, Entry: e})
		}
		r.journal.MarkFlushed(batch.LastSeq())
	}
}

// headPending reports whether entries are written to the log and the platform does
// not hold the latest head yet.
func (r *Recorder) headPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.WriteLogLine != nil && r.storedHeadSeq < r.journal.Head().Seq
}

// maintainHeads reports this instance's head to the zone leader and, while this
// instance is the zone leader, stores the reported heads.
func (r *Recorder) maintainHeads(ctx context.Context) {
	if r.opts.Leader == nil {
		return
	}
	for wait.Sleep(ctx, headPeriod) {
		if r.headPending() {
			if err := r.reportHead(ctx); err != nil {
				r.opts.Log.Debug("reporting head of the service record failed", "error", err)
			}
		}
		if _, held := r.opts.Leader.Held(); !held {
			r.reportedHeads.objectCurrent = false
			continue
		}
		if err := r.storeHeads(ctx); err != nil {
			r.opts.Log.Warn("storing heads of the service record failed", "error", err)
		}
	}
}

// errNoZoneLeader means that the zone leader is not known or not a zone peer.
var errNoZoneLeader = errors.New("recorder: zone leader is not known")

func (r *Recorder) reportHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	head := r.journal.Head()
	msg := &peerpb.RecordHead{
		Instance: head.Instance, Incarnation: head.Incarnation, Seq: head.Seq, Hash: head.Hash[:],
		Stamp: toStamp(r.journal.Stamp(r.opts.WallMS())),
	}
	r.mu.Unlock()
	reply, err := r.sendHead(ctx, msg)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal.Observe(fromStamp(reply.Stamp))
	r.storedHeadSeq = max(r.storedHeadSeq, reply.Stored)
	return nil
}

func (r *Recorder) sendHead(ctx context.Context, msg *peerpb.RecordHead) (reply *peerpb.RecordHeadReply, err error) {
	name := r.opts.Leader.Holder()
	if name == r.opts.Self.Name {
		return r.Head(ctx, msg)
	}
	for _, p := range r.opts.ZonePeers() {
		if p.Name != name {
			continue
		}
		err = r.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = peerpb.NewDRPCRecordClient(conn).Head(ctx, msg)
			return err
		})
		return reply, err
	}
	return nil, errNoZoneLeader
}

// Head implements peerpb.DRPCRecordServer. It records a reported head, even while
// this instance is not the zone leader, and returns the sequence number of the
// stored head.
func (r *Recorder) Head(_ context.Context, msg *peerpb.RecordHead) (*peerpb.RecordHeadReply, error) {
	head := record.Head{Origin: record.Origin{Instance: msg.Instance, Incarnation: msg.Incarnation}, Seq: msg.Seq}
	if copy(head.Hash[:], msg.Hash) != len(head.Hash) {
		return nil, fmt.Errorf("recorder: head of %s: hash has %d bytes", msg.Instance, len(msg.Hash))
	}
	stored, err := r.reportedHeads.report(head)
	if err != nil {
		r.opts.Log.Error("service record", "error", err)
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal.Observe(fromStamp(msg.Stamp))
	return &peerpb.RecordHeadReply{Stored: stored, Stamp: toStamp(r.journal.Stamp(r.opts.WallMS()))}, nil
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

// storeHeads writes the zone's object if a head changed. After a failed write the
// object is read again before the next write, because the write may have
// conflicted or its reply may have been lost.
func (r *Recorder) storeHeads(ctx context.Context) error {
	z := &r.reportedHeads
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	z.mu.Lock()
	changed := z.changed
	z.mu.Unlock()
	if !changed {
		return nil
	}
	if !z.objectCurrent {
		if err := r.readHeads(ctx); err != nil {
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
	obj, err := r.opts.Store.Put(ctx, next)
	if err != nil {
		z.objectCurrent = false
		return fmt.Errorf("recorder: write %s: %w", next.Name, err)
	}
	z.object = obj
	z.setStored(written)
	return nil
}

// setStored records the heads that the platform holds.
func (z *zoneHeads) setStored(stored []record.Head) {
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

// readHeads reads the stored object and merges it into the reported heads.
func (r *Recorder) readHeads(ctx context.Context) error {
	z := &r.reportedHeads
	name := record.HeadsName(r.opts.Self.Zone)
	obj, err := r.opts.Store.Get(ctx, objectstore.KindRecord, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		obj, err = objectstore.Object{Kind: objectstore.KindRecord, Name: name}, nil
	}
	if err != nil {
		return fmt.Errorf("recorder: read %s: %w", name, err)
	}
	var stored record.Heads
	if len(obj.Value) > 0 {
		if err := json.Unmarshal(obj.Value, &stored); err != nil {
			return fmt.Errorf("recorder: decode %s: %w", name, err)
		}
	}
	z.mu.Lock()
	conflicts := z.heads.Merge(stored)
	z.mu.Unlock()
	for _, err := range conflicts {
		r.opts.Log.Error("service record", "error", err)
	}
	z.object, z.objectCurrent = obj, true
	z.setStored(stored.Heads)
	return nil
}
