package objectstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestMemoryConditionalWrites(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(time.Second)
	a, err := m.Put(ctx, Object{Kind: KindService, Name: "a", Value: []byte(`1`)})
	must.NoError(t, err)
	_, err = m.Put(ctx, Object{Kind: KindService, Name: "a", Value: []byte(`2`)})
	must.ErrorIs(t, err, ErrConflict)
	tombstone, err := m.Delete(ctx, KindService, "a", a.Version)
	must.NoError(t, err)
	must.True(t, tombstone.Deleted)
	must.Greater(t, a.Version, tombstone.Version)
}

func TestMemoryLostReplyTakesEffect(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(time.Second)
	m.SetFaults(Faults{LoseReplies: 1})
	_, err := m.Put(ctx, Object{Kind: KindLease, Name: "l", Value: []byte(`1`)})
	must.ErrorIs(t, err, ErrOutcomeUnknown)
	obj, err := m.Get(ctx, KindLease, "l")
	must.NoError(t, err)
	must.Eq(t, "1", string(obj.Value))
}

func TestMemoryWatchReturnsOnWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m := NewMemory(time.Minute)
		go func() {
			time.Sleep(time.Second)
			_, _ = m.Put(ctx, Object{Kind: KindService, Name: "a", Value: []byte(`1`)})
		}()
		list, err := m.Watch(ctx, KindService, 0)
		must.NoError(t, err)
		must.Len(t, 1, list.Objects)
		list, err = m.Watch(ctx, KindService, list.Revision)
		must.NoError(t, err)
		must.Len(t, 0, list.Objects)
	})
}
