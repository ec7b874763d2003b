package record

import (
	"crypto/sha256"
	"errors"
	"math"
)

// Defaults of JournalOptions.
const (
	DefaultRing       = 8192
	DefaultBatchLimit = 1024
)

// ErrFull means that an entry found no room. It is counted and hashed into the
// next gap entry.
var ErrFull = errors.New("record: journal full")

// JournalOptions set a Journal. Zero fields take the defaults.
type JournalOptions struct {
	// Ring bounds the entries that wait to be flushed.
	Ring int
	// BatchLimit bounds the entries of one batch; at 1 KB an entry, the
	// default stays below the largest value of the object API.
	BatchLimit int
}

// Journal is the chain of one incarnation. When the platform is away for so
// long that the ring is full, the newest entries are left out: they are
// counted and hashed, and a gap entry takes their place once there is room.
// It is not safe for concurrent use.
type Journal struct {
	origin   Origin
	opts     JournalOptions
	clock    Clock
	waiting  []Entry // oldest first, not flushed
	prev     Hash    // of the entry before waiting[0]
	last     Hash
	seq      uint64
	lost     uint64
	lostHash Hash
	buf      []byte
}

// NewJournal returns a chain that holds its started entry.
func NewJournal(origin Origin, wallMS int64, opts JournalOptions) *Journal {
	if opts.Ring == 0 {
		opts.Ring = DefaultRing
	}
	if opts.BatchLimit == 0 {
		opts.BatchLimit = DefaultBatchLimit
	}
	j := &Journal{origin: origin, opts: opts, prev: origin.first()}
	j.last = j.prev
	j.waiting = make([]Entry, 0, opts.Ring)
	j.push(Entry{Kind: KindStarted, At: j.clock.Now(wallMS)})
	return j
}

// Observe takes in a stamp that came with a message.
func (j *Journal) Observe(at HLC) { j.clock.Observe(at) }

// Append adds an entry and returns its stamp, which goes with every message
// that follows from the decision. It fails with ErrFull; the entry then only
// counts in the next gap entry.
func (j *Journal) Append(wallMS int64, e Entry) (HLC, error) {
	e.At = j.clock.Now(wallMS)
	if j.Full() {
		j.lose(e)
		return e.At, ErrFull
	}
	if j.lost > 0 {
		j.closeGap(e.At)
		e.At = j.clock.Now(wallMS)
	}
	j.push(e)
	return e.At, nil
}

// Full reports whether the next entry would find no room. The last place is
// kept for a gap entry, and a gap stays open until there is room for it and
// for the entry after it.
func (j *Journal) Full() bool {
	if j.lost > 0 {
		return j.room() < 3
	}
	return j.room() < 2
}

// Stop closes an open gap and the chain.
func (j *Journal) Stop(wallMS int64) {
	if j.lost > 0 {
		j.closeGap(j.clock.Now(wallMS))
	}
	j.push(Entry{Kind: KindStopped, At: j.clock.Now(wallMS)})
}

func (j *Journal) room() int { return j.opts.Ring - len(j.waiting) }

func (j *Journal) lose(e Entry) {
	j.lost++
	j.lostHash = j.sum(j.lostHash, &e)
}

func (j *Journal) closeGap(at HLC) {
	sum := j.lostHash
	j.push(Entry{Kind: KindGap, At: at, Lost: j.lost, LostHash: &sum})
	j.lost, j.lostHash = 0, Hash{}
}

func (j *Journal) push(e Entry) {
	j.seq++
	e.Seq = j.seq
	e.Hash = j.sum(j.last, &e)
	j.last = e.Hash
	j.waiting = append(j.waiting, e)
}

// sum hashes an entry after the one before it.
func (j *Journal) sum(prev Hash, e *Entry) Hash {
	j.buf = append(j.buf[:0], prev[:]...)
	j.buf = e.appendCanonical(j.buf)
	return sha256.Sum256(j.buf)
}

func chained(prev Hash, e *Entry) Hash {
	return sha256.Sum256(e.appendCanonical(prev[:]))
}

// Head returns the end of the chain.
func (j *Journal) Head() Head { return Head{Origin: j.origin, Seq: j.seq, Hash: j.last} }

// Stamp returns a stamp above all entries so far, to go with a message.
func (j *Journal) Stamp(wallMS int64) HLC { return j.clock.Now(wallMS) }

// Waiting returns how many entries are not flushed.
func (j *Journal) Waiting() int { return len(j.waiting) }

// Next returns the oldest entries above seq that are not flushed, to be
// written or copied, and false if there are none.
func (j *Journal) Next(seq uint64) (Batch, bool) {
	b, ok := Batch{Origin: j.origin, Prev: j.prev, Entries: j.waiting}.after(seq)
	if !ok {
		return Batch{}, false
	}
	n := min(len(b.Entries), j.opts.BatchLimit)
	b.Entries = append([]Entry(nil), b.Entries[:n]...)
	return b, true
}

// Flushed forgets the entries up to seq: the platform holds them.
func (j *Journal) Flushed(seq uint64) {
	n := 0
	for n < len(j.waiting) && j.waiting[n].Seq <= seq {
		j.prev = j.waiting[n].Hash
		n++
	}
	j.waiting = append(j.waiting[:0], j.waiting[n:]...)
}

func floatBits(f float64) uint64 { return math.Float64bits(f) }
