package record

import (
	"cmp"
	"errors"
	"slices"
)

// ErrForeign means that the stored object holds another chain under the name
// of a batch: the record was written over.
var ErrForeign = errors.New("record: stored batch is not of this chain")

// Resolve compares a batch with the object that is stored under its name,
// read back after a conflict or a lost reply. Batches are only ever created,
// by the instance itself or by the peer that adopted its copies, and may end
// at different entries. It returns the last sequence number that is safe in
// the platform; what is above it goes into a batch of its own.
func Resolve(mine, stored Batch) (uint64, error) {
	if mine.Origin != stored.Origin || mine.Prev != stored.Prev || len(stored.Entries) == 0 {
		return 0, ErrForeign
	}
	n := min(len(mine.Entries), len(stored.Entries))
	if mine.Entries[n-1].Hash != stored.Entries[n-1].Hash {
		return 0, ErrForeign
	}
	return mine.Entries[n-1].Seq, nil
}

// Copies are the entries that an instance keeps for its zone peers until the
// peers flushed them. It is not safe for concurrent use.
type Copies struct {
	limit  int
	chains map[Origin][]Entry
	prev   map[Origin]Hash
	held   int
}

// NewCopies returns an empty set that holds at most limit entries.
func NewCopies(limit int) *Copies {
	return &Copies{limit: limit, chains: map[Origin][]Entry{}, prev: map[Origin]Hash{}}
}

// Receive takes a copy and returns the sequence number up to which the chain
// is held, which the sender learns as acknowledged. A batch that does not
// join what is held, or finds no room, changes nothing.
func (c *Copies) Receive(b Batch) uint64 {
	held := c.chains[b.Origin]
	var last uint64
	if len(held) > 0 {
		last = held[len(held)-1].Seq
	}
	rest, ok := b.after(last)
	if !ok || c.held+len(rest.Entries) > c.limit {
		return last
	}
	if len(held) > 0 && rest.Prev != held[len(held)-1].Hash {
		return last
	}
	if len(held) == 0 {
		c.prev[b.Origin] = rest.Prev
	}
	c.chains[b.Origin] = append(held, rest.Entries...)
	c.held += len(rest.Entries)
	return rest.Last()
}

// Flushed forgets the copies of a chain up to seq.
func (c *Copies) Flushed(origin Origin, seq uint64) {
	held := c.chains[origin]
	n := 0
	for n < len(held) && held[n].Seq <= seq {
		c.prev[origin] = held[n].Hash
		n++
	}
	c.held -= n
	if n == len(held) {
		delete(c.chains, origin)
		delete(c.prev, origin)
		return
	}
	c.chains[origin] = held[n:]
}

// Through returns the last sequence number held of a chain, 0 for none.
func (c *Copies) Through(origin Origin) uint64 {
	held := c.chains[origin]
	if len(held) == 0 {
		return 0
	}
	return held[len(held)-1].Seq
}

// Held returns the chains of which entries are held.
func (c *Copies) Held() []Origin {
	origins := make([]Origin, 0, len(c.chains))
	for o := range c.chains {
		origins = append(origins, o)
	}
	slices.SortFunc(origins, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return origins
}

// Adopt returns the oldest entries held of a chain whose instance is gone, at
// most a batch, to be written in its place, and false if nothing is held.
func (c *Copies) Adopt(origin Origin) (Batch, bool) {
	held := c.chains[origin]
	if len(held) == 0 {
		return Batch{}, false
	}
	return Batch{Origin: origin, Prev: c.prev[origin], Entries: held[:min(len(held), DefaultBatchLimit)]}, true
}
