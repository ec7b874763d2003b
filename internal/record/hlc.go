// Package record implements the service record, which states who was served,
// when and in what order. Each incarnation of an instance keeps an append-only
// hash chain of entries: each entry is hashed over its content and the previous
// hash, and has a timestamp of a hybrid logical clock that orders entries
// causally across instances. The package also copies entries to a peer, writes
// them to the object store and verifies a stored record. It does no I/O, starts
// no goroutines and reads no clock: callers pass the time and perform the
// returned actions.
package record

import "cmp"

// HLC is a timestamp of a hybrid logical clock (Kulkarni et al., 2014): the
// greatest wall-clock time seen, in Unix milliseconds, and a counter that orders
// events within it.
type HLC struct {
	WallMS  int64  `json:"w"`
	Logical uint32 `json:"l,omitempty"`
}

// Compare returns a negative number, zero or a positive number if h is less
// than, equal to or greater than other. A timestamp that causally precedes
// another compares less.
func (h HLC) Compare(other HLC) int {
	return cmp.Or(cmp.Compare(h.WallMS, other.WallMS), cmp.Compare(h.Logical, other.Logical))
}

// Clock is a hybrid logical clock. It is not safe for concurrent use.
type Clock struct{ last HLC }

// Now returns the timestamp of a local event. It is greater than every timestamp
// issued or observed before, even if the wall clock stepped back. wallMS is the
// wall clock in Unix milliseconds.
func (c *Clock) Now(wallMS int64) HLC {
	if wallMS > c.last.WallMS {
		c.last = HLC{WallMS: wallMS}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock to a timestamp received with a request or reply of
// a peer.
func (c *Clock) Observe(remote HLC) {
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
}

// AheadMS returns how far the clock is ahead of a wall clock, in milliseconds.
func (c *Clock) AheadMS(wallMS int64) int64 { return max(0, c.last.WallMS-wallMS) }
