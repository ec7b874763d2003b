package streamversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// segmentStore is the store of a zone's segments, in which each write is conditional.
type segmentStore struct {
	revision  uint64
	revisions map[int]uint64
	values    map[int][]byte
}

// write carries out the write that is due at a writer. loseReply lets it take effect without
// the writer learning that.
func (s *segmentStore) write(t *rapid.T, w *Segments, now, horizon time.Duration, loseReply bool) {
	if _, unread := w.Waiting(); unread {
		w.SetRevisions(s.revisions)
	}
	next, due := w.Next(now, horizon)
	if !due {
		return
	}
	if s.revisions[next.Slot] != next.Revision {
		w.Failed(next)
		return
	}
	value, err := EncodeSegment(next.Records)
	must.NoError(t, err)
	s.revision++
	s.revisions[next.Slot], s.values[next.Slot] = s.revision, value
	if loseReply {
		w.Failed(next)
		return
	}
	w.Written(next, s.revision)
}

// Two writers of a zone store records while replies get lost and the writer changes, every ten
// seconds at most. Each record of the last half horizon is in the store and names its version:
// no segment that is still needed is overwritten. An unknown stream is not found.
func TestStoredRecordsAreComplete(t *testing.T) {
	const (
		horizon      = time.Minute
		betweenFault = 10
	)
	rapidtest.Check(t, func(t *rapid.T) {
		s := &segmentStore{revisions: map[int]uint64{}, values: map[int][]byte{}}
		writers := []*Segments{NewSegments(), NewSegments()}
		var records []Record
		steps, current, lastFault := rapid.IntRange(1, 200).Draw(t, "steps"), 0, 0
		for i := range steps {
			now := time.Duration(i) * time.Second
			fault := 0
			if i-lastFault >= betweenFault {
				fault = rapid.IntRange(0, 9).Draw(t, "fault")
			}
			if fault == 1 || fault == 2 {
				lastFault = i
			}
			if fault == 1 {
				moved := writers[current].Take()
				current = 1 - current
				writers[current].Add(moved)
			}
			r := Record{Key: KeyOf("", fmt.Sprint(i)), Service: "app", Version: fmt.Sprint("v", i%3), Until: now + horizon}
			records = append(records, r)
			writers[current].Add([]Record{r})
			s.write(t, writers[current], now, horizon, fault == 2)
		}
		for range 2 { // a conflict is resolved by the next write
			s.write(t, writers[current], time.Duration(steps)*time.Second, horizon, false)
		}
		restored := NewRestored(0)
		for _, value := range s.values {
			must.NoError(t, restored.Add(value))
		}
		for _, r := range records[max(len(records)-int(horizon.Seconds())/2, 0):] {
			version, ok := restored.version(r.Key, "app")
			must.True(t, ok)
			must.Eq(t, r.Version, version)
		}
		_, ok := restored.version(KeyOf("", "unknown"), "app")
		must.False(t, ok)
	})
}

// Of two records for one stream that name different versions neither counts, as a stream must
// not go on at the wrong one.
func TestStreamWithTwoStoredVersionsIsUnknown(t *testing.T) {
	key := KeyOf("", "a")
	for _, split := range []bool{false, true} {
		restored := NewRestored(0)
		records := []Record{{Key: key, Service: "app", Version: "v1"}, {Key: key, Service: "app", Version: "v2"}}
		parts := [][]Record{records}
		if split {
			parts = [][]Record{records[:1], records[1:]}
		}
		for _, part := range parts {
			value, err := EncodeSegment(part)
			must.NoError(t, err)
			must.NoError(t, restored.Add(value))
		}
		_, ok := restored.version(key, "app")
		must.False(t, ok)
	}
}

// An object that cannot be decoded adds nothing.
func TestMalformedSegmentIsLeftOut(t *testing.T) {
	for _, value := range []string{`{`, `{"streams":1}`, `{"streams":[{"service":"app","version":"v1","keys":"AAECAwQFBgcICQ=="}]}`} {
		restored := NewRestored(0)
		must.ErrorIs(t, restored.Add([]byte(value)), errMalformedSegment)
		must.Eq(t, 0, restored.Len())
	}
}

// Records that were stored and lost since, because the store came back from an older copy, are
// stored once more (review/3).
func TestLostRecordsAreStoredOnceMore(t *testing.T) {
	s := NewSegments()
	horizon := time.Minute
	for i := range 3 {
		now := time.Duration(i) * horizon / segmentsPerHorizon
		s.Add([]Record{{Key: KeyOf("", fmt.Sprint(i)), Service: "app", Version: "v1", Until: time.Hour}})
		if i == 0 {
			s.SetRevisions(nil)
		}
		w, due := s.Next(now, horizon)
		must.True(t, due)
		must.SliceLen(t, 1, w.Records)
		s.Written(w, uint64(10+i))
	}
	s.Lost()
	waiting, unread := s.Waiting()
	must.True(t, waiting)
	must.True(t, unread)
	s.SetRevisions(nil)
	w, due := s.Next(time.Minute, horizon)
	must.True(t, due)
	must.SliceLen(t, 2, w.Records) // of the last two segments
}

// Records of a rate beyond the planned one, at which the store takes no writes, stay bounded.
func TestSegmentsAreBounded(t *testing.T) {
	s := NewSegments()
	for i := range 2*maxSegmentRecords + 10 {
		s.Add([]Record{{Key: KeyOf("", fmt.Sprint(i)), Service: "app", Version: "v1", Until: time.Minute}})
	}
	must.SliceLen(t, maxSegmentRecords, s.pending)
	must.MapLen(t, maxSegmentRecords, s.seen)
	s.SetRevisions(nil)
	w, due := s.Next(0, time.Minute)
	must.True(t, due)
	value, err := EncodeSegment(w.Records)
	must.NoError(t, err)
	must.Less(t, 1<<20, len(value)) // the store's largest value
	s.Add([]Record{{Key: KeyOf("", "one more"), Service: "app", Version: "v1", Until: time.Minute}})
	s.Failed(w)
	must.SliceLen(t, maxSegmentRecords, s.pending)
}
