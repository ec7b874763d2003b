package residency

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// Version orders the tables that lease holders publish: by the fencing token of
// the holder, then by the number of changes in its leadership.
type Version struct{ Fence, Count uint64 }

// NewerThan reports whether v is newer than o.
func (v Version) NewerThan(o Version) bool {
	return v.Fence > o.Fence || v.Fence == o.Fence && v.Count > o.Count
}

// EngineState describes what one engine holds, as published to the instances.
type EngineState struct {
	ID          string
	StartedAtMS int64 // fleet.Upstream.StartedAtMS
	Models      []fleet.ResidentModel
	Unloading   []string      // about to be unloaded
	Loading     string        // being loaded
	ReadyAt     time.Duration // when Loading should be ready, on this instance's clock
	ChangedAt   uint64        // Version.Count of the table at the last change of this entry
}

// equal reports whether two entries are equal apart from ReadyAt and ChangedAt.
func (r *EngineState) equal(o *EngineState) bool {
	return r.StartedAtMS == o.StartedAtMS && r.Loading == o.Loading && slices.Equal(r.Unloading, o.Unloading) &&
		slices.EqualFunc(r.Models, o.Models, func(a, b fleet.ResidentModel) bool {
			return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
		})
}

// Table is an instance's copy of what the engines hold according to the lease
// holder. A copy is updated with the changes that are newer than its version.
// It is not safe for concurrent use.
type Table struct {
	version Version
	holder  string
	entries map[string]EngineState
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]EngineState{}} }

// Version returns the version of the table and the name of the holder that
// published it.
func (b *Table) Version() (Version, string) { return b.version, b.holder }

// Publish updates the holder's own table with the state of the engines under
// its fencing token, and reports whether anything changed.
func (b *Table) Publish(fence uint64, holder string, list []EngineState) bool {
	next := b.version.Count + 1
	if fence != b.version.Fence {
		next = 1
		b.entries = make(map[string]EngineState, len(list))
	}
	changed := fence != b.version.Fence
	for _, r := range list {
		if old, ok := b.entries[r.ID]; ok && old.equal(&r) {
			continue
		}
		r.ChangedAt = next
		b.entries[r.ID] = r
		changed = true
	}
	if changed {
		b.version, b.holder = Version{fence, next}, holder
	}
	return changed
}

// Since returns the entries that changed after a version.
func (b *Table) Since(v Version) []EngineState {
	if !b.version.NewerThan(v) {
		return nil
	}
	var out []EngineState
	for _, r := range b.entries {
		if v.Fence != b.version.Fence || r.ChangedAt > v.Count {
			out = append(out, r)
		}
	}
	return out
}

// Merge applies the changes from another copy at version v, and reports whether
// v is newer than this copy's version.
func (b *Table) Merge(v Version, holder string, changes []EngineState) bool {
	if !v.NewerThan(b.version) {
		return false
	}
	if v.Fence != b.version.Fence {
		b.entries = make(map[string]EngineState, len(changes))
	}
	for _, r := range changes {
		b.entries[r.ID] = r
	}
	b.version, b.holder = v, holder
	return true
}

// Entries returns the entries of all engines, in no particular order.
func (b *Table) Entries() []EngineState {
	out := make([]EngineState, 0, len(b.entries))
	for _, r := range b.entries {
		out = append(out, r)
	}
	return out
}
