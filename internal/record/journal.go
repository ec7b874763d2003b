package record

import (
	"crypto/sha256"
	"errors"
	"math"
)

// Defaults of JournalOptions.
const (
	DefaultCapacity   = 8192
	DefaultBatchLimit = 1024
)

// ErrFull means that the journal has no room for an entry. The entry is counted
// and hashed into the next gap entry.
var ErrFull = errors.New("record: journal full")

// JournalOptions configures a Journal. Zero fields take the defaults.
type JournalOptions struct {
	// Capacity is the maximum number of entries that are not flushed.
	Capacity int
	// BatchLimit is the maximum number of entries in one batch. At 1 KB per
	// entry, a batch of the default limit stays below the maximum object size
	// of the object store.
	BatchLimit int
}

// Journal is the hash chain of one incarnation. If the platform is unavailable
// for so long that the journal is full, new entries are left out: they are
// counted and hashed, and a gap entry replaces them once there is room. It is
// not safe for concurrent use.
type Journal struct {
	origin    Origin
	opts      JournalOptions
	clock     Clock
	pending   []Entry // entries not flushed, oldest first
	prevHash  Hash    // hash of the entry before pending[0]
	lastHash  Hash
	seq       uint64
	lostCount uint64
	lostHash  Hash
	buf       []byte
}

// NewJournal returns a journal that contains its started entry. wallMS is the wall
// clock in Unix milliseconds, here and in the methods of Journal.
func NewJournal(origin Origin, wallMS int64, opts JournalOptions) *Journal {
	if opts.Capacity == 0 {
		opts.Capacity = DefaultCapacity
	}
	if opts.BatchLimit == 0 {
		opts.BatchLimit = DefaultBatchLimit
	}
	j := &Journal{origin: origin, opts: opts, prevHash: origin.initialHash()}
	j.lastHash = j.prevHash
	j.pending = make([]Entry, 0, opts.Capacity)
	j.push(Entry{Kind: KindStarted, At: j.clock.Now(wallMS)})
	return j
}

// Observe advances the clock to a timestamp received with a message.
func (j *Journal) Observe(at HLC) { j.clock.Observe(at) }

// Append adds an entry and returns its timestamp, which must accompany every
// message that results from the recorded event. It fails with ErrFull if there
// is no room; the entry is then only counted and hashed in the next gap entry.
func (j *Journal) Append(wallMS int64, e Entry) (HLC, error) {
	e.At = j.clock.Now(wallMS)
	if j.Full() {
		j.recordLost(e)
		return e.At, ErrFull
	}
	if j.lostCount > 0 {
		j.closeGap(e.At)
		e.At = j.clock.Now(wallMS)
	}
	j.push(e)
	return e.At, nil
}

// Full reports whether there is no room for the next entry. The last place is
// reserved for a gap entry, and a gap stays open until there is room for the gap
// entry and the entry after it.
func (j *Journal) Full() bool {
	if j.lostCount > 0 {
		return j.available() < 3
	}
	return j.available() < 2
}

// Stop appends the gap entry of an open gap, if any, and the stopped entry.
func (j *Journal) Stop(wallMS int64) {
	if j.lostCount > 0 {
		j.closeGap(j.clock.Now(wallMS))
	}
	j.push(Entry{Kind: KindStopped, At: j.clock.Now(wallMS)})
}

func (j *Journal) available() int { return j.opts.Capacity - len(j.pending) }

func (j *Journal) recordLost(e Entry) {
	j.lostCount++
	j.lostHash = j.hashEntry(j.lostHash, &e)
}

func (j *Journal) closeGap(at HLC) {
	hash := j.lostHash
	j.push(Entry{Kind: KindGap, At: at, Lost: j.lostCount, LostHash: &hash})
	j.lostCount, j.lostHash = 0, Hash{}
}

func (j *Journal) push(e Entry) {
	j.seq++
	e.Seq = j.seq
	e.Hash = j.hashEntry(j.lastHash, &e)
	j.lastHash = e.Hash
	j.pending = append(j.pending, e)
}

// hashEntry returns the hash over the previous hash and the entry.
func (j *Journal) hashEntry(prev Hash, e *Entry) Hash {
	j.buf = append(j.buf[:0], prev[:]...)
	j.buf = e.appendCanonical(j.buf)
	return sha256.Sum256(j.buf)
}

func chainHash(prev Hash, e *Entry) Hash {
	return sha256.Sum256(e.appendCanonical(prev[:]))
}

// Head returns the head of the chain.
func (j *Journal) Head() Head { return Head{Origin: j.origin, Seq: j.seq, Hash: j.lastHash} }

// Stamp returns a timestamp for a message. It is greater than those of all
// entries so far.
func (j *Journal) Stamp(wallMS int64) HLC { return j.clock.Now(wallMS) }

// PendingCount returns the number of entries that are not flushed.
func (j *Journal) PendingCount() int { return len(j.pending) }

// NextBatch returns a batch of the oldest entries above seq that are not flushed,
// to be written or copied, and false if there are none.
func (j *Journal) NextBatch(seq uint64) (Batch, bool) {
	b, ok := Batch{Origin: j.origin, Prev: j.prevHash, Entries: j.pending}.entriesAfter(seq)
	if !ok {
		return Batch{}, false
	}
	n := min(len(b.Entries), j.opts.BatchLimit)
	b.Entries = append([]Entry(nil), b.Entries[:n]...)
	return b, true
}

// MarkFlushed removes the entries up to seq, because they are stored in the
// platform.
func (j *Journal) MarkFlushed(seq uint64) {
	n := 0
	for n < len(j.pending) && j.pending[n].Seq <= seq {
		j.prevHash = j.pending[n].Hash
		n++
	}
	j.pending = append(j.pending[:0], j.pending[n:]...)
}

func floatBits(f float64) uint64 { return math.Float64bits(f) }
