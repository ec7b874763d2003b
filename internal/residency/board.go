package residency

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// Version orders what holders of the lease say: a newer holder's fence goes
// first, then the count of changes in its tenure.
type Version struct{ Fence, Count uint64 }

// Above reports whether v is newer than o.
func (v Version) Above(o Version) bool {
	return v.Fence > o.Fence || v.Fence == o.Fence && v.Count > o.Count
}

// Resident is what an engine holds, as instances should take it.
type Resident struct {
	ID      string
	Born    int64
	Models  []fleet.ResidentModel
	Closing []string      // about to be unloaded
	Coming  string        // being loaded
	ReadyAt time.Duration // when Coming should be ready, on this instance's clock
	Changed uint64        // count of the board at which this changed last
}

func (r *Resident) same(o *Resident) bool {
	return r.Born == o.Born && r.Coming == o.Coming && slices.Equal(r.Closing, o.Closing) &&
		slices.EqualFunc(r.Models, o.Models, func(a, b fleet.ResidentModel) bool {
			return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
		})
}

// Board is an instance's copy of what the holder of the lease says the engines
// hold. Copies are brought up to date by what has changed beyond a version. It
// is not safe for concurrent use.
type Board struct {
	version Version
	holder  string
	entries map[string]Resident
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{entries: map[string]Resident{}} }

// Version returns the version and the holder whose word it is.
func (b *Board) Version() (Version, string) { return b.version, b.holder }

// Publish takes in what the holder itself knows, and reports whether anything
// changed.
func (b *Board) Publish(fence uint64, holder string, list []Resident) bool {
	next := b.version.Count + 1
	if fence != b.version.Fence {
		next = 1
		b.entries = make(map[string]Resident, len(list))
	}
	changed := fence != b.version.Fence
	for _, r := range list {
		if old, ok := b.entries[r.ID]; ok && old.same(&r) {
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

// Since returns what is newer than a version.
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

// Merge takes in what another copy has beyond this one, and reports whether it
// was news.
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

// Entries returns what is known of all engines.
func (b *Board) Entries() []Resident {
	out := make([]Resident, 0, len(b.entries))
	for _, r := range b.entries {
		out = append(out, r)
	}
	return out
}
