package record

import (
	"cmp"
	"fmt"
	"slices"
)

// DefaultMaxHeads bounds the heads of one zone: at some 130 B each they stay
// below the largest value of the object API.
const DefaultMaxHeads = 4096

// Heads is the value of the object that holds the chain heads of one zone, in
// order of their first report. It is written by conditional update: after a
// conflict or a lost reply the stored value is merged in and written again.
type Heads struct {
	Heads []Head `json:"heads"`
	// Dropped counts heads of the oldest chains that found no room.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Report takes the head of a chain; an older head changes nothing. It fails
// with ErrForeign if the chain has another hash at the same number.
func (h *Heads) Report(head Head) error {
	i := slices.IndexFunc(h.Heads, func(x Head) bool { return x.Origin == head.Origin })
	switch {
	case i < 0:
		h.Heads = append(h.Heads, head)
		h.trim()
	case h.Heads[i].Seq < head.Seq:
		h.Heads[i] = head
	case h.Heads[i].Seq == head.Seq && h.Heads[i].Hash != head.Hash:
		return fmt.Errorf("%w: head %s.%s at %d", ErrForeign, head.Instance, head.Incarnation, head.Seq)
	}
	return nil
}

func (h *Heads) trim() {
	if over := len(h.Heads) - DefaultMaxHeads; over > 0 {
		h.Heads = slices.Delete(h.Heads, 0, over)
		h.Dropped += uint64(over)
	}
}

// Merge takes in a stored value and returns the heads that are in conflict
// with it. The stored order comes first.
func (h *Heads) Merge(stored Heads) []error {
	mine := h.Heads
	h.Heads, h.Dropped = slices.Clone(stored.Heads), max(h.Dropped, stored.Dropped)
	var errs []error
	for _, head := range mine {
		if err := h.Report(head); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Sorted returns the heads by instance and incarnation.
func (h *Heads) Sorted() []Head {
	list := slices.Clone(h.Heads)
	slices.SortFunc(list, func(a, b Head) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// headsPrefix begins the names of objects that hold heads.
const headsPrefix = "heads-"

// HeadsName returns the name of the object that holds the heads of a zone.
func HeadsName(zone string) string { return headsPrefix + zone }
