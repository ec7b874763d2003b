package record

import (
	"cmp"
	"errors"
	"slices"
)

// ErrChainMismatch means that a stored batch or a recorded head does not match
// the chain, which happens if another chain was written under its name.
var ErrChainMismatch = errors.New("record: batch or head does not match the chain")

// Resolve compares a batch with the stored object of the same name, which the
// caller read back after a conflict or a lost reply. Objects of batches are
// created but never updated. The instance itself and the peer that adopts its
// copies may both create a batch, and the two may end at different entries.
// Resolve returns the last sequence number that is stored; later entries go into
// a batch of their own. It fails with ErrChainMismatch if the batches differ.
func Resolve(mine, stored Batch) (uint64, error) {
	if mine.Origin != stored.Origin || mine.Prev != stored.Prev || len(stored.Entries) == 0 {
		return 0, ErrChainMismatch
	}
	n := min(len(mine.Entries), len(stored.Entries))
	if mine.Entries[n-1].Hash != stored.Entries[n-1].Hash {
		return 0, ErrChainMismatch
	}
	return mine.Entries[n-1].Seq, nil
}

// Copies holds the entries that an instance keeps for its zone peers until they
// are stored in the platform. It is not safe for concurrent use.
type Copies struct {
	maxEntries int
	chains     map[Origin][]Entry
	prevHash   map[Origin]Hash
	entryCount int
}

// NewCopies returns an empty set with room for at most limit entries.
func NewCopies(limit int) *Copies {
	return &Copies{maxEntries: limit, chains: map[Origin][]Entry{}, prevHash: map[Origin]Hash{}}
}

// Receive adds a copy and returns the sequence number up to which the chain is
// held, which is acknowledged to the sender. A batch that does not continue the
// held entries, or for which there is no room, changes nothing.
func (c *Copies) Receive(b Batch) uint64 {
	held := c.chains[b.Origin]
	var last uint64
	if len(held) > 0 {
		last = held[len(held)-1].Seq
	}
	rest, ok := b.entriesAfter(last)
	if !ok || c.entryCount+len(rest.Entries) > c.maxEntries {
		return last
	}
	if len(held) > 0 && rest.Prev != held[len(held)-1].Hash {
		return last
	}
	if len(held) == 0 {
		c.prevHash[b.Origin] = rest.Prev
	}
	c.chains[b.Origin] = append(held, rest.Entries...)
	c.entryCount += len(rest.Entries)
	return rest.LastSeq()
}

// MarkFlushed removes the copies of a chain up to seq, because they are stored.
func (c *Copies) MarkFlushed(origin Origin, seq uint64) {
	held := c.chains[origin]
	n := 0
	for n < len(held) && held[n].Seq <= seq {
		c.prevHash[origin] = held[n].Hash
		n++
	}
	c.entryCount -= n
	if n == len(held) {
		delete(c.chains, origin)
		delete(c.prevHash, origin)
		return
	}
	c.chains[origin] = held[n:]
}

// LastSeq returns the last sequence number held of a chain, or 0 if none is held.
func (c *Copies) LastSeq(origin Origin) uint64 {
	held := c.chains[origin]
	if len(held) == 0 {
		return 0
	}
	return held[len(held)-1].Seq
}

// Origins returns the origins of the chains of which entries are held, sorted by
// instance and incarnation.
func (c *Copies) Origins() []Origin {
	origins := make([]Origin, 0, len(c.chains))
	for o := range c.chains {
		origins = append(origins, o)
	}
	slices.SortFunc(origins, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return origins
}

// Adopt returns the oldest entries held of a chain, to be written on behalf of an
// instance that is gone, and false if none are held. It returns at most
// DefaultBatchLimit entries.
func (c *Copies) Adopt(origin Origin) (Batch, bool) {
	held := c.chains[origin]
	if len(held) == 0 {
		return Batch{}, false
	}
	return Batch{Origin: origin, Prev: c.prevHash[origin], Entries: held[:min(len(held), DefaultBatchLimit)]}, true
}
