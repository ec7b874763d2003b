package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// eraStore is the store as instances with eras reach it.
type eraStore struct {
	objectstore.Store
	latest *atomic.Uint64
}

// Era implements objectstore.EraStore.
func (s eraStore) Era() uint64 { return s.latest.Load() }

// ObserveEra implements objectstore.EraStore.
func (s eraStore) ObserveEra(era uint64) { s.latest.Store(max(era, s.latest.Load())) }

// List implements objectstore.Store.
func (s eraStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	list, err := s.Store.List(ctx, kind)
	s.ObserveEra(objectstore.EraOf(list.Revision))
	return list, err
}

// revisionStore is the store as instances of a build without eras reach it.
type revisionStore struct {
	objectstore.Store
	memory *objectstore.Memory
}

// List implements objectstore.Store.
func (s revisionStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	list, err := s.Store.List(ctx, kind)
	return withoutEras(list), err
}

// Watch implements objectstore.Store.
func (s revisionStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	version, err := objectstore.VersionOf(s.memory.Era(), since)
	if err != nil {
		return objectstore.List{}, err
	}
	list, err := s.Store.Watch(ctx, kind, version)
	return withoutEras(list), err
}

func withoutEras(list objectstore.List) objectstore.List {
	list.Revision = objectstore.RevisionOf(list.Revision)
	for i := range list.Objects {
		list.Objects[i].Version = objectstore.RevisionOf(list.Objects[i].Version)
	}
	return list
}

// clearEras removes the fields of a message that a build without eras does not know.
func clearEras(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case strings.HasSuffix(string(field.Name()), "era"):
			m.Clear(field)
		case field.Message() != nil && !field.IsList() && !field.IsMap():
			clearEras(v.Message())
		}
		return true
	})
}

// An instance that is the first of its fleet with a build that knows eras has each change in
// force, although those that read the store for others drop what comes after an older copy. It lacked
// them until one of the readers was replaced, too.
func TestFirstInstanceOfABuildWithErasHasChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replaced = 3
		f := &readerFleet{testFleet: newTestFleet(t)}
		f.store.WatchWait = 4 * time.Second
		f.wrapStore = func(s objectstore.Store) objectstore.Store { return revisionStore{s, f.store} }
		f.receive = func(m any) { clearEras(m.(proto.Message).ProtoReflect()) }
		f.putConfig(1, 5)
		copied := f.store.Copy()
		for version := range 20 {
			f.putConfig(int64(2+version), 5)
		}
		seeds := []string{"a-0:1", "a-1:1", "b-0:1", "b-1:1", "c-0:1", "d-0:1"}
		for _, name := range readerNames {
			f.nodes = append(f.nodes, f.start(name, name[:1], 10, 0, seeds))
		}
		time.Sleep(6 * time.Second)
		f.store.Restore(copied)
		f.nodes[replaced].stop()
		f.wrapStore = func(s objectstore.Store) objectstore.Store { return eraStore{s, &atomic.Uint64{}} }
		f.receive = func(any) {}
		f.nodes[replaced] = f.start("b-1", "b", 10, 0, seeds)
		time.Sleep(5 * time.Second)
		late := time.Duration(0)
		for version := range int64(4) {
			late = max(late, f.latest(f.putConfig(30+version, 6), []int{replaced}))
			time.Sleep(3 * time.Second)
		}
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
		must.LessEq(t, 2*time.Second, late)
		t.Log("latest after", late)
	})
}

var _ objectstore.EraStore = eraStore{}
