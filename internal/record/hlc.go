// Package record keeps the service record: who was served, when and in what
// order. Each incarnation of an instance keeps an append-only chain of
// entries, each hashed over its content and the hash before it, and stamped by
// a hybrid logical clock that orders entries across instances causally. The
// package is pure: it starts nothing and reads no clock.
package record

import "cmp"

// HLC is a stamp of a hybrid logical clock (Kulkarni et al., 2014): the
// greatest wall clock seen, in Unix milliseconds, and a counter within it.
type HLC struct {
	WallMS  int64  `json:"w"`
	Logical uint32 `json:"l,omitempty"`
}

// Compare orders stamps. A stamp that causally precedes another compares less.
func (h HLC) Compare(other HLC) int {
	return cmp.Or(cmp.Compare(h.WallMS, other.WallMS), cmp.Compare(h.Logical, other.Logical))
}

// Clock issues stamps. It is not safe for concurrent use.
type Clock struct{ last HLC }

// Now stamps a local event; the result is above every stamp issued or
// observed before, also if the wall clock stepped back.
func (c *Clock) Now(wallMS int64) HLC {
	if wallMS > c.last.WallMS {
		c.last = HLC{WallMS: wallMS}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe takes in a stamp that came with a peer's message or an answer.
func (c *Clock) Observe(remote HLC) {
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
}

// AheadMS returns how far the clock runs ahead of a wall clock.
func (c *Clock) AheadMS(wallMS int64) int64 { return max(0, c.last.WallMS-wallMS) }
