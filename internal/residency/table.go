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
func (s *EngineState) equal(o *EngineState) bool {
	return s.StartedAtMS == o.StartedAtMS && s.Loading == o.Loading && slices.Equal(s.Unloading, o.Unloading) &&
		slices.EqualFunc(s.Models, o.Models, func(a, b fleet.ResidentModel) bool {
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
func (t *Table) Version() (Version, string) { return t.version, t.holder }

// Publish updates the holder's own table with the state of the engines under
// its fencing token, and reports whether anything changed.
func (t *Table) Publish(fencingToken uint64, holder string, list []EngineState) bool {
	next := t.version.Count + 1
	if fencingToken != t.version.Fence {
		next = 1
		t.entries = make(map[string]EngineState, len(list))
	}
	changed := fencingToken != t.version.Fence
	for _, s := range list {
		if old, ok := t.entries[s.ID]; ok && old.equal(&s) {
			continue
		}
		s.ChangedAt = next
		t.entries[s.ID] = s
		changed = true
	}
	if changed {
		t.version, t.holder = Version{fencingToken, next}, holder
	}
	return changed
}

// Since returns the entries that changed after a version.
func (t *Table) Since(v Version) []EngineState {
	if !t.version.NewerThan(v) {
		return nil
	}
	var out []EngineState
	for _, s := range t.entries {
		if v.Fence != t.version.Fence || s.ChangedAt > v.Count {
			out = append(out, s)
		}
	}
	return out
}

// Merge applies the changes from another copy at version v, and reports whether
// v is newer than this copy's version.
func (t *Table) Merge(v Version, holder string, changes []EngineState) bool {
	if !v.NewerThan(t.version) {
		return false
	}
	if v.Fence != t.version.Fence {
		t.entries = make(map[string]EngineState, len(changes))
	}
	for _, s := range changes {
		t.entries[s.ID] = s
	}
	t.version, t.holder = v, holder
	return true
}

// Entries returns the entries of all engines, in no particular order.
func (t *Table) Entries() []EngineState {
	out := make([]EngineState, 0, len(t.entries))
	for _, s := range t.entries {
		out = append(out, s)
	}
	return out
}
