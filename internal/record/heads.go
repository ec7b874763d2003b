package record

import (
	"cmp"
	"fmt"
	"slices"
)

// MaxHeads is the maximum number of heads of one zone. At about 130 B each they
// stay below the maximum object size of the object store.
const MaxHeads = 4096

// Heads is the value of the object that holds the chain heads of one zone, in
// order of their first report. It is written conditionally: after a conflict or
// a lost reply the stored value is merged into it and it is written again.
type Heads struct {
	Heads []Head `json:"heads"`
	// Dropped is the number of heads removed, oldest chains first, to stay
	// within MaxHeads.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Report records the head of a chain; an older head changes nothing. It fails
// with ErrChainMismatch if the recorded head has the same sequence number but
// another hash.
func (h *Heads) Report(head Head) error {
	i := slices.IndexFunc(h.Heads, func(x Head) bool { return x.Origin == head.Origin })
	switch {
	case i < 0:
		h.Heads = append(h.Heads, head)
		h.trim()
	case h.Heads[i].Seq < head.Seq:
		h.Heads[i] = head
	case h.Heads[i].Seq == head.Seq && h.Heads[i].Hash != head.Hash:
		return fmt.Errorf("%w: head %s.%s at %d", ErrChainMismatch, head.Instance, head.Incarnation, head.Seq)
	}
	return nil
}

func (h *Heads) trim() {
	if over := len(h.Heads) - MaxHeads; over > 0 {
		h.Heads = slices.Delete(h.Heads, 0, over)
		h.Dropped += uint64(over)
	}
}

// Merge merges a stored value into h and returns an error for each head that
// conflicts with it. Stored heads keep their order and precede the others.
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

// Sorted returns the heads sorted by instance and incarnation.
func (h *Heads) Sorted() []Head {
	list := slices.Clone(h.Heads)
	slices.SortFunc(list, func(a, b Head) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// headsPrefix is the prefix of the names of objects that hold heads.
const headsPrefix = "heads-"

// HeadsName returns the name of the object that holds the heads of a zone.
func HeadsName(zone string) string { return headsPrefix + zone }
