package objectstore

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Faults are the faults that a Memory injects. They may be changed while it is
// in use.
type Faults struct {
	// Outage makes every call fail with ErrUnavailable.
	Outage bool
	// LoseReplies is the number of next writes that take effect but fail with
	// ErrOutcomeUnknown; each one decrements it.
	LoseReplies int
	// Latency is the delay of every call.
	Latency time.Duration
}

// Memory is an in-memory Store and InstanceList. Stand-ins serve it over HTTP
// and tests use it as a fake. It can come back from an older copy, see Restore. It
// is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	revision  uint64 // with the era, see VersionOf
	objects   map[Kind]map[string]Object
	instances map[string]Instance
	changed   chan struct{} // closed and replaced on every write
	faults    Faults
	calls     map[string]uint64
	// WatchWait is the longest time that a Watch waits for a change.
	WatchWait time.Duration
}

var _ EraStore = (*Memory)(nil)

// NewMemory returns an empty Memory whose Watch calls wait at most wait.
func NewMemory(wait time.Duration) *Memory {
	return &Memory{
		objects:   map[Kind]map[string]Object{},
		instances: map[string]Instance{},
		changed:   make(chan struct{}),
		calls:     map[string]uint64{},
		WatchWait: wait,
	}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Copy is the content of a Memory at some time.
type Copy struct {
	revision uint64
	objects  map[Kind]map[string]Object
}

// Objects returns the objects of a kind that are not deleted, in order of version.
func (c Copy) Objects(kind Kind) []Object {
	var out []Object
	for _, obj := range c.objects[kind] {
		if !obj.Deleted {
			out = append(out, obj)
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// Copy returns a copy of the objects, to which Restore goes back.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Copy{revision: m.revision, objects: map[Kind]map[string]Object{}}
	for kind, objects := range m.objects {
		out.objects[kind] = maps.Clone(objects)
	}
	return out
}

// Restore goes back to a copy and begins an era: all that was written since is lost, and
// revisions are given out again.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := EraOf(m.revision) + 1
	inEra := func(version uint64) uint64 { return era<<revisionBits | RevisionOf(version) }
	m.revision = inEra(c.revision)
	m.objects = map[Kind]map[string]Object{}
	for kind, objects := range c.objects {
		m.objects[kind] = map[string]Object{}
		for name, obj := range objects {
			obj.Version = inEra(obj.Version)
			m.objects[kind][name] = obj
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Era implements EraStore.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return EraOf(m.revision)
}

// ObserveEra implements EraStore. A Memory knows its era.
func (m *Memory) ObserveEra(uint64) {}

// Faults returns the injected faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Calls returns the number of calls by operation, failed calls included.
func (m *Memory) Calls() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.calls)
}

// beginCall counts a call, waits for the injected latency and fails during an
// injected outage.
func (m *Memory) beginCall(ctx context.Context, op string) error {
	m.mu.Lock()
	m.calls[op]++
	f := m.faults
	m.mu.Unlock()
	if f.Latency > 0 {
		select {
		case <-time.After(f.Latency):
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
	if f.Outage {
		return ErrUnavailable
	}
	return nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	if err := m.beginCall(ctx, "get"); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	obj, ok := m.objects[kind][name]
	if !ok {
		return Object{}, ErrNotFound
	}
	return obj, nil
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, obj Object) (Object, error) {
	if err := m.beginCall(ctx, "put"); err != nil {
		return Object{}, err
	}
	if len(obj.Value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	obj.Deleted = false
	return m.write(obj)
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, kind Kind, name string, version uint64) (Object, error) {
	if err := m.beginCall(ctx, "delete"); err != nil {
		return Object{}, err
	}
	return m.write(Object{Kind: kind, Name: name, Version: version, Deleted: true})
}

func (m *Memory) write(obj Object) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[obj.Kind][obj.Name].Version != obj.Version {
		return Object{}, ErrConflict
	}
	if m.objects[obj.Kind] == nil {
		m.objects[obj.Kind] = map[string]Object{}
	}
	m.revision++
	obj.Version = m.revision
	obj.Value = slices.Clone(obj.Value)
	m.objects[obj.Kind][obj.Name] = obj
	close(m.changed)
	m.changed = make(chan struct{})
	if m.faults.LoseReplies > 0 {
		m.faults.LoseReplies--
		return Object{}, ErrOutcomeUnknown
	}
	return obj, nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, kind Kind) (List, error) {
	if err := m.beginCall(ctx, "list"); err != nil {
		return List{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changedSince(kind, 0), nil
}

// changedSince returns the objects of a kind with a version above the given one,
// in order of version. m.mu must be held.
func (m *Memory) changedSince(kind Kind, version uint64) List {
	list := List{Revision: m.revision}
	for _, obj := range m.objects[kind] {
		if obj.Version > version {
			list.Objects = append(list.Objects, obj)
		}
	}
	slices.SortFunc(list.Objects, func(a, b Object) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return list
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, kind Kind, since uint64) (List, error) {
	if err := m.beginCall(ctx, "watch"); err != nil {
		return List{}, err
	}
	deadline := time.NewTimer(m.WatchWait)
	defer deadline.Stop()
	for {
		m.mu.Lock()
		list, changed, outage := m.changedSince(kind, since), m.changed, m.faults.Outage
		gone := since != 0 && (EraOf(since) != EraOf(m.revision) || since > m.revision)
		m.mu.Unlock()
		if gone {
			return List{}, ErrHistoryGone
		}
		if outage {
			return List{}, ErrUnavailable
		}
		if len(list.Objects) > 0 {
			return list, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return list, nil
		case <-ctx.Done():
			return List{}, ErrUnavailable
		}
	}
}

// Instances implements InstanceList.
func (m *Memory) Instances(ctx context.Context) ([]Instance, error) {
	if err := m.beginCall(ctx, "instances"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.Sorted(maps.Keys(m.instances))
	list := make([]Instance, 0, len(names))
	for _, n := range names {
		list = append(list, m.instances[n])
	}
	return list, nil
}

// Register implements InstanceList.
func (m *Memory) Register(ctx context.Context, inst Instance) error {
	if err := m.beginCall(ctx, "register"); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[inst.Name] = inst
	return nil
}

// Deregister implements InstanceList.
func (m *Memory) Deregister(ctx context.Context, name string) error {
	if err := m.beginCall(ctx, "deregister"); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.instances, name)
	return nil
}
