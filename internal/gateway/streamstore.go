package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

const (
	// streamStoreInterval is the interval at which an instance passes the records of streams on
	// to the writer of its zone.
	streamStoreInterval = 500 * time.Millisecond
	// ticksPerWrite is the number of these intervals between two writes to the store: a call to
	// the store each second while streams begin at a service with several versions.
	ticksPerWrite = 2
	// maxRecordsPerCall is the number of records in a message to the writer.
	maxRecordsPerCall = 512
)

// segmentPrefix begins the names of the objects with records of streams. They are of the same
// kind as the versions of services, which every instance reads once at its start, so that
// reading them takes no further call.
const segmentPrefix = "streams-"

func segmentName(zone string, slot int) string {
	return fmt.Sprintf("%s%s-%d", segmentPrefix, zone, slot)
}

// parseSegmentName returns the zone and the slot of an object with records. ok is false for
// other objects.
func parseSegmentName(name string) (zone string, slot int, ok bool) {
	rest, found := strings.CutPrefix(name, segmentPrefix)
	i := strings.LastIndexByte(rest, '-')
	if !found || i < 0 {
		return "", 0, false
	}
	slot, err := strconv.Atoi(rest[i+1:])
	return rest[:i], slot, err == nil && slot >= 0 && slot < streamversion.SegmentSlots
}

// segmentsOf returns the objects with records, the one that was written last first.
func segmentsOf(objects []objectstore.Object) []objectstore.Object {
	var out []objectstore.Object
	for _, obj := range objects {
		if _, _, ok := parseSegmentName(obj.Name); ok && !obj.Deleted && len(obj.Value) > 0 {
			out = append(out, obj)
		}
	}
	slices.SortFunc(out, func(a, b objectstore.Object) int { return cmp.Compare(b.Version, a.Version) })
	return out
}

// restore records the stored records of streams. The caller holds the lock.
func (v *streamVersions) restore(now time.Duration, t *streamversion.Tracker, segments []objectstore.Object) {
	if len(segments) == 0 {
		return
	}
	restored := streamversion.NewRestored(now)
	for _, obj := range segments {
		if err := restored.Add(obj.Value); err != nil {
			v.g.log.Warn("stored streams skipped", "object", obj.Name, "error", err)
		}
	}
	restored.Observe(now, t.History())
	t.Restore(restored)
	v.mayHaveSegments = true
	v.g.log.Info("versions of streams read from the store", "objects", len(segments), "streams", restored.Len())
}

// isWriter reports whether this instance stores the records of streams of its zone.
func (v *streamVersions) isWriter() bool {
	_, _, reachable := v.g.catalog.Revisions()
	return reachable && v.g.mesh.StoreWriter(reachable) == v.g.self.Name
}

// storeStreams passes the records of streams that begin here on to the writer, and writes them
// if this instance is the writer, until ctx ends.
func (v *streamVersions) storeStreams(ctx context.Context) error {
	for tick := 1; wait.Sleep(ctx, streamStoreInterval); tick++ {
		v.passOn(ctx)
		if tick%ticksPerWrite != 0 || !v.isRead() {
			continue
		}
		err := v.writeSegment(ctx)
		if err == nil {
			err = v.removeSegments(ctx)
		}
		if err != nil && ctx.Err() == nil {
			v.g.metrics.Count("stream_store_failures")
			v.g.log.Warn("failed to store the versions of streams", "error", err)
			wait.Sleep(ctx, versionStoreBackoff)
		}
	}
	return nil
}

func (v *streamVersions) isRead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeRead
}

// passOn gives the records that are to be stored to the writer. Without one they wait.
func (v *streamVersions) passOn(ctx context.Context) {
	_, _, reachable := v.g.catalog.Revisions()
	writer := v.g.mesh.StoreWriter(reachable)
	var records []streamversion.Record
	v.withLock(func(_ time.Duration, t *streamversion.Tracker) {
		records = t.TakeUnstored()
		if writer == v.g.self.Name {
			v.segments.Add(records)
			records = nil
			return
		}
		records = append(v.segments.Take(), records...)
	})
	for len(records) > 0 {
		batch := records[:min(len(records), maxRecordsPerCall)]
		if err := v.callWriter(ctx, writer, batch); err != nil {
			v.g.log.Debug("failed to pass the versions of streams on", "writer", writer, "records", len(records), "error", err)
			v.withLock(func(_ time.Duration, t *streamversion.Tracker) { t.ReturnUnstored(records) })
			return
		}
		records = records[len(batch):]
	}
}

// errNoWriter means that no instance is known that could store something.
var errNoWriter = errors.New("gateway: no instance known that reaches the store")

func (v *streamVersions) callWriter(ctx context.Context, writer string, records []streamversion.Record) error {
	address := v.g.mesh.Address(writer)
	if address == "" {
		return errNoWriter
	}
	request := v.recordsToWire(records)
	return v.g.peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		_, err := meshpb.NewDRPCMeshClient(conn).RecordStreams(ctx, request)
		return err
	})
}

// writeSegment stores the records that wait, if there are any and this instance is the writer.
func (v *streamVersions) writeSegment(ctx context.Context) error {
	var waiting, unread bool
	v.withLock(func(time.Duration, *streamversion.Tracker) { waiting, unread = v.segments.Waiting() })
	if !waiting || !v.isWriter() {
		return nil
	}
	if unread {
		if err := v.readRevisions(ctx); err != nil {
			return err
		}
	}
	var w streamversion.SegmentWrite
	var due bool
	v.withLock(func(now time.Duration, _ *streamversion.Tracker) { w, due = v.segments.Next(now, v.horizon) })
	if !due {
		return nil
	}
	stored, err := v.putSegment(ctx, w)
	v.withLock(func(time.Duration, *streamversion.Tracker) {
		v.mayHaveSegments = true
		if err != nil {
			v.segments.Failed(w)
			return
		}
		v.segments.Written(w, stored.Version)
	})
	return err
}

func (v *streamVersions) putSegment(ctx context.Context, w streamversion.SegmentWrite) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := streamversion.EncodeSegment(w.Records)
	if err != nil {
		return objectstore.Object{}, fmt.Errorf("gateway: encoding the versions of streams: %w", err)
	}
	v.g.metrics.Count("stream_store_writes")
	return v.g.opts.Store.Put(ctx, objectstore.Object{
		Kind: objectstore.KindSoftware, Name: segmentName(v.g.self.Zone, w.Slot), Version: w.Revision, Value: value,
	})
}

// listSoftware reads the objects with versions and records, those of all zones.
func (v *streamVersions) listSoftware(ctx context.Context) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	list, err := v.g.opts.Store.List(ctx, objectstore.KindSoftware)
	return list.Objects, err
}

// readRevisions reads which objects the zone has.
func (v *streamVersions) readRevisions(ctx context.Context) error {
	objects, err := v.listSoftware(ctx)
	if err != nil {
		return err
	}
	bySlot := map[int]uint64{}
	for _, obj := range objects { // tombstones have a revision, too
		if zone, slot, ok := parseSegmentName(obj.Name); ok && zone == v.g.self.Zone {
			bySlot[slot] = obj.Version
		}
	}
	v.withLock(func(time.Duration, *streamversion.Tracker) { v.segments.SetRevisions(bySlot) })
	return nil
}

// removeSegments removes all objects with records once no service has several versions, so
// that instances that start do not read them. One instance of the fleet does that.
func (v *streamVersions) removeSegments(ctx context.Context) error {
	useless := false
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		several := len(t.History().Spans(now)) > 0
		v.mayHaveSegments = v.mayHaveSegments || several
		useless = v.mayHaveSegments && !several
	})
	if !useless || !v.g.pollsStore() || v.g.mesh.StoreReaderRank() > 0 {
		return nil
	}
	objects, err := v.listSoftware(ctx)
	if err != nil {
		return err
	}
	for _, obj := range segmentsOf(objects) {
		if err := v.deleteSegment(ctx, obj); err != nil {
			return err
		}
	}
	v.withLock(func(time.Duration, *streamversion.Tracker) {
		v.mayHaveSegments, v.segments = false, streamversion.NewSegments()
	})
	return nil
}

func (v *streamVersions) deleteSegment(ctx context.Context, obj objectstore.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := v.g.opts.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	return err
}
