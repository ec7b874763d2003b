package streamversion

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// SegmentSlots is the number of objects in which the writers of a zone store records, one
	// after the other. It is above segmentsPerHorizon, so that a writer that takes over and
	// begins a new segment overwrites no record within the horizon.
	SegmentSlots = 8
	// segmentsPerHorizon is the number of segments that one writer begins within the horizon.
	segmentsPerHorizon = 6
	// maxSegmentRecords bounds the records of a segment: 8 bytes each, in base64 a third of the
	// store's largest value.
	maxSegmentRecords = 1 << 15
)

// Segments is what the writer of a zone has stored of records and what it has yet to store. A
// segment is one object, written again with each batch until the next one is begun. It is not
// safe for concurrent use.
type Segments struct {
	revisions []uint64 // of the objects by slot, 0 for none; nil if they have to be read
	current   int      // slot that is written, -1 for none
	begun     time.Duration
	stored    []Record // in the current segment
	previous  []Record // in the one before
	pending   []Record
	seen      map[storedID]bool // of stored and pending ones
}

type storedID struct {
	key              Key
	service, version string
}

func idOf(r Record) storedID { return storedID{r.Key, r.Service, r.Version} }

// NewSegments returns the segments of an instance that has stored nothing.
func NewSegments() *Segments { return &Segments{current: -1, seen: map[storedID]bool{}} }

// Add adds records to store. Beyond maxSegmentRecords, those added first are dropped.
func (s *Segments) Add(records []Record) {
	for _, r := range records {
		if id := idOf(r); !s.seen[id] {
			s.seen[id] = true
			s.pending = append(s.pending, r)
		}
	}
	s.trim()
}

func (s *Segments) trim() {
	excess := max(len(s.pending)-maxSegmentRecords, 0)
	for _, r := range s.pending[:excess] {
		delete(s.seen, idOf(r))
	}
	s.pending = s.pending[excess:]
}

// Take removes the records that are not stored yet and returns them, for another writer.
func (s *Segments) Take() []Record {
	out := s.pending
	s.pending = nil
	s.forgetCurrent()
	return out
}

// forgetCurrent lets the next write begin a segment.
func (s *Segments) forgetCurrent() {
	s.current, s.stored = -1, nil
	clear(s.seen)
	for _, r := range s.pending {
		s.seen[idOf(r)] = true
	}
}

// Waiting reports whether there are records to store, and whether the revisions of the
// objects have to be read first.
func (s *Segments) Waiting() (waiting, unread bool) { return len(s.pending) > 0, s.revisions == nil }

// SetRevisions records the revisions of the zone's objects by slot.
func (s *Segments) SetRevisions(bySlot map[int]uint64) {
	s.revisions = make([]uint64, SegmentSlots)
	for slot, revision := range bySlot {
		if slot >= 0 && slot < SegmentSlots {
			s.revisions[slot] = revision
		}
	}
}

// SegmentWrite is a conditional write of one object.
type SegmentWrite struct {
	Slot     int
	Revision uint64 // of the object that it replaces, 0 for none
	Records  []Record
}

// Next returns the write that is due. Its result is to be given to Written or Failed. The slot
// of a new segment is the one that was written least recently, by the store's revision.
func (s *Segments) Next(now, horizon time.Duration) (SegmentWrite, bool) {
	s.pending = slices.DeleteFunc(s.pending, func(r Record) bool { return now >= r.Until })
	if waiting, unread := s.Waiting(); !waiting || unread {
		return SegmentWrite{}, false
	}
	if s.current < 0 || now-s.begun >= horizon/segmentsPerHorizon || len(s.stored)+len(s.pending) > maxSegmentRecords {
		if len(s.stored) > 0 {
			s.previous = s.stored
		}
		s.forgetCurrent()
		s.begun = now
		s.current = slices.Index(s.revisions, slices.Min(s.revisions))
	}
	w := SegmentWrite{Slot: s.current, Revision: s.revisions[s.current], Records: slices.Concat(s.stored, s.pending)}
	s.pending = nil
	return w, true
}

// Written records that a write took effect and the revision that it got.
func (s *Segments) Written(w SegmentWrite, revision uint64) {
	if s.revisions == nil || s.current != w.Slot {
		return
	}
	s.revisions[w.Slot], s.stored = revision, w.Records
}

// Failed records that a write failed or that its outcome is unknown. The revisions have to be
// read again. All records of the segment are stored once more, as another instance may have
// overwritten it.
func (s *Segments) Failed(w SegmentWrite) {
	s.revisions = nil
	s.pending = slices.Concat(w.Records, s.pending)
	s.forgetCurrent()
	s.trim()
}

// Lost records that the store lost what was written lately. The records of the last two
// segments, which take longer to fill than the writes that a store may lose, are stored once
// more.
func (s *Segments) Lost() {
	s.revisions = nil
	s.pending = slices.Concat(s.previous, s.stored, s.pending)
	s.previous = nil
	s.forgetCurrent()
	s.trim()
}

// storedKey is the part of a key that is stored. With 2^17 records the chance that an unknown
// stream has the one of another is below 10^-14.
type storedKey [8]byte

// storedSegment is the JSON value of a segment. It has no times, since clocks are not compared:
// whoever reads it counts from then.
type storedSegment struct {
	Streams []storedStreams `json:"streams"`
}

// storedStreams are the streams that began at one version.
type storedStreams struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Keys    []byte `json:"keys"` // one storedKey after the other
}

// EncodeSegment returns the value of an object with records.
func EncodeSegment(records []Record) ([]byte, error) {
	var out storedSegment
	index := map[[2]string]int{}
	for _, r := range records {
		group := [2]string{r.Service, r.Version}
		i, ok := index[group]
		if !ok {
			i = len(out.Streams)
			index[group] = i
			out.Streams = append(out.Streams, storedStreams{Service: r.Service, Version: r.Version})
		}
		out.Streams[i].Keys = append(out.Streams[i].Keys, r.Key[:len(storedKey{})]...)
	}
	slices.SortFunc(out.Streams, func(a, b storedStreams) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return json.Marshal(out)
}

// errMalformedSegment means that an object with records cannot be decoded.
var errMalformedSegment = errors.New("streamversion: malformed segment")

// maxRestored bounds the records of a Restored: those of 1,600 streams a second with a horizon
// of 80 s.
const maxRestored = 1 << 17

// ambiguous is the index of streams of which two records name different versions.
const ambiguous = -1

// Restored is what an instance has read of records that outlasted the processes. It is not
// safe for concurrent use.
type Restored struct {
	readAt time.Duration
	began  [][2]string // service and version
	byKey  map[storedKey]int32
}

// NewRestored returns a Restored without records. It counts for the horizon of a Tracker from
// readAt on.
func NewRestored(readAt time.Duration) *Restored {
	return &Restored{readAt: readAt, byKey: map[storedKey]int32{}}
}

// Add adds the records of an object. Beyond maxRestored, records are left out; so the object
// that was written last comes first.
func (r *Restored) Add(value []byte) error {
	var in storedSegment
	if err := json.Unmarshal(value, &in); err != nil {
		return fmt.Errorf("%w: %w", errMalformedSegment, err)
	}
	for _, group := range in.Streams {
		if len(group.Keys)%len(storedKey{}) != 0 {
			return fmt.Errorf("%w: service %q: %d bytes of keys", errMalformedSegment, group.Service, len(group.Keys))
		}
	}
	for _, group := range in.Streams {
		r.addGroup(group)
	}
	return nil
}

func (r *Restored) addGroup(group storedStreams) {
	began := [2]string{group.Service, group.Version}
	i := slices.Index(r.began, began)
	if i < 0 {
		i = len(r.began)
		r.began = append(r.began, began)
	}
	for key := range slices.Chunk(group.Keys, len(storedKey{})) {
		known, ok := r.byKey[storedKey(key)]
		switch {
		case ok && known != int32(i):
			r.byKey[storedKey(key)] = ambiguous
		case !ok && len(r.byKey) < maxRestored:
			r.byKey[storedKey(key)] = int32(i)
		}
	}
}

// Observe records in a history that the versions of the records were listed, at now, since when
// they were is not known.
func (r *Restored) Observe(now time.Duration, h *History) {
	for _, began := range r.began {
		h.Observe(now, began[0], began[1])
	}
}

// Len returns the number of records.
func (r *Restored) Len() int { return len(r.byKey) }

// version returns the version at which a stream of a service began, if that is known.
func (r *Restored) version(key Key, service string) (string, bool) {
	i, ok := r.byKey[storedKey(key[:len(storedKey{})])]
	if !ok || i == ambiguous || r.began[i][0] != service {
		return "", false
	}
	return r.began[i][1], true
}
