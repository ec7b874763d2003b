package residency

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// Version orders the boards that lease holders publish: by the fencing token of
// the holder, then by the number of changes in its leadership.
type Version struct{ Fence, Count uint64 }

// Above reports whether v is newer than o.
func (v Version) Above(o Version) bool {
	return v.Fence > o.Fence || v.Fence == o.Fence && v.Count > o.Count
}

// Resident describes what one engine holds, as published to the instances.
type Resident struct {
	ID      string
	Born    int64 // fleet.Upstream.StartedAtMS
	Models  []fleet.ResidentModel
	Closing []string      // about to be unloaded
	Coming  string        // being loaded
	ReadyAt time.Duration // when Coming should be ready, on this instance's clock
	Changed uint64        // Version.Count of the board at the last change of this entry
}

// equal reports whether two entries are equal apart from ReadyAt and Changed.
func (r *Resident) equal(o *Resident) bool {
	return r.Born == o.Born && r.Coming == o.Coming && slices.Equal(r.Closing, o.Closing) &&
		slices.EqualFunc(r.Models, o.Models, func(a, b fleet.ResidentModel) bool {
			return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
		})
}

// Board is an instance's copy of what the engines hold according to the lease
// holder. A copy is updated with the changes that are newer than its version.
// It is not safe for concurrent use.
type Board struct {
	version Version
	holder  string
	entries map[string]Resident
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{entries: map[string]Resident{}} }

// Version returns the version of the board and the name of the holder that
// published it.
func (b *Board) Version() (Version, string) { return b.version, b.holder }

// Publish updates the holder's own board with the state of the engines under
// its fencing token, and reports whether anything changed.
func (b *Board) Publish(fence uint64, holder string, list []Resident) bool {
	next := b.version.Count + 1
	if fence != b.version.Fence {
		next = 1
		b.entries = make(map[string]Resident, len(list))
	}
	changed := fence != b.version.Fence
	for _, r := range list {
		if old, ok := b.entries[r.ID]; ok && old.equal(&r) {
			continue
		}
		r.Changed = next
		b.entries[r.ID] = r
		changed = true
	}
	if changed {
		b.version, b.holder = Version{fence, next}, holder
	}
	return changed
}

// Since returns the entries that changed after a version.
func (b *Board) Since(v Version) []Resident {
	if !b.version.Above(v) {
		return nil
	}
	var out []Resident
	for _, r := range b.entries {
		if v.Fence != b.version.Fence || r.Changed > v.Count {
			out = append(out, r)
		}
	}
	return out
}

// Merge applies the changes from another copy at version v, and reports whether
// v is newer than this copy's version.
func (b *Board) Merge(v Version, holder string, changes []Resident) bool {
	if !v.Above(b.version) {
		return false
	}
	if v.Fence != b.version.Fence {
		b.entries = make(map[string]Resident, len(changes))
	}
	for _, r := range changes {
		b.entries[r.ID] = r
	}
	b.version, b.holder = v, holder
	return true
}

// Entries returns the entries of all engines, in no particular order.
func (b *Board) Entries() []Resident {
	out := make([]Resident, 0, len(b.entries))
	for _, r := range b.entries {
		out = append(out, r)
	}
	return out
}
