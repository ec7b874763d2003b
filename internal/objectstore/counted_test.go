package objectstore

import (
	"context"
	"maps"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCountedMatchesMemory compares the counts, including that of a failed call,
// with those that Memory keeps itself.
func TestCountedMatchesMemory(t *testing.T) {
	ctx := context.Background()
	m := NewMemory(0)
	c := NewCallCounter(m)
	m.SetFaults(Faults{Outage: true})
	_, err := c.Get(ctx, KindLease, "a")
	must.ErrorIs(t, err, ErrUnavailable)
	m.SetFaults(Faults{})
	obj, err := c.Put(ctx, Object{Kind: KindLease, Name: "a", Value: []byte("1")})
	must.NoError(t, err)
	_, err = c.Delete(ctx, KindLease, "a", obj.Version)
	must.NoError(t, err)
	_, err = c.List(ctx, KindLease)
	must.NoError(t, err)
	_, err = c.Watch(ctx, KindLease, 0)
	must.NoError(t, err)
	must.NoError(t, c.Register(ctx, Instance{Name: "i"}))
	_, err = c.Instances(ctx)
	must.NoError(t, err)
	must.NoError(t, c.Deregister(ctx, "i"))
	counted := map[string]uint64{}
	c.Each(func(op Operation, calls int64) { counted[op.String()] = uint64(calls) })
	must.True(t, maps.Equal(m.Calls(), counted), must.Sprint(m.Calls(), counted))
}
