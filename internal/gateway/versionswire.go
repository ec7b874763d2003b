package gateway

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
)

// toWire returns the versions of services that have several, to be told to peers.
func (v *streamVersions) toWire() (out []*meshpb.VersionSpan) {
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		for _, s := range t.History().Spans(now) {
			out = append(out, &meshpb.VersionSpan{
				Service: s.Service, Version: s.Version,
				FirstAgoMs: uint32(max(now-s.First, 0).Milliseconds()), LastAgoMs: uint32(max(now-s.Last, 0).Milliseconds()),
			})
		}
	})
	return out
}

// merge records the versions that a peer has told as of at.
func (v *streamVersions) merge(at time.Duration, in []*meshpb.VersionSpan) {
	if len(in) == 0 {
		return
	}
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		for _, s := range in {
			t.History().Merge(now, streamversion.Span{
				Service: s.Service, Version: s.Version,
				First: at - time.Duration(s.FirstAgoMs)*time.Millisecond, Last: at - time.Duration(s.LastAgoMs)*time.Millisecond,
			})
		}
	})
}

// recordsToWire returns the message that tells another instance of records.
func (v *streamVersions) recordsToWire(records []streamversion.Record) *meshpb.StreamRecords {
	out := &meshpb.StreamRecords{}
	now := v.g.now()
	for _, r := range records {
		out.Records = append(out.Records, &meshpb.StreamRecord{
			Key: r.Key[:], Service: r.Service, Version: r.Version, KeepMs: uint32(max(r.Until-now, 0).Milliseconds()),
		})
	}
	return out
}

// RecordStreams implements meshpb.DRPCMeshServer.
func (s meshServer) RecordStreams(_ context.Context, in *meshpb.StreamRecords) (*meshpb.StreamRecordsReply, error) {
	v := s.g.streamVersions
	isWriter := len(in.Records) > 0 && v.isWriter()
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		records := make([]streamversion.Record, 0, len(in.Records))
		for _, r := range in.Records {
			if key, ok := keyFromWire(r.Key); ok {
				keep := min(time.Duration(r.KeepMs)*time.Millisecond, v.horizon)
				records = append(records, streamversion.Record{Key: key, Service: r.Service, Version: r.Version, Until: now + keep})
			}
		}
		t.Receive(now, records)
		if isWriter {
			v.segments.Add(records)
		}
	})
	return &meshpb.StreamRecordsReply{}, nil
}

// FindStream implements meshpb.DRPCMeshServer.
func (s meshServer) FindStream(_ context.Context, in *meshpb.StreamQuery) (*meshpb.StreamReply, error) {
	out := &meshpb.StreamReply{}
	if key, ok := keyFromWire(in.Key); ok {
		s.g.streamVersions.withLock(func(now time.Duration, t *streamversion.Tracker) {
			if out.Version, out.Known = t.Version(now, key, in.Service); !out.Known {
				out.Version, out.Known = t.RestoredVersion(now, key, in.Service)
			}
		})
	}
	return out, nil
}

func keyFromWire(raw []byte) (streamversion.Key, bool) {
	if len(raw) != len(streamversion.Key{}) {
		return streamversion.Key{}, false
	}
	return streamversion.Key(raw), true
}
