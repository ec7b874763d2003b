package storesync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// cuttingStore is a store that cuts watches off after a time.
type cuttingStore struct {
	*objectstore.Memory
	after time.Duration
}

func (s cuttingStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	cut, cancel := context.WithTimeout(ctx, s.after)
	defer cancel()
	list, err := s.Memory.Watch(cut, kind, since)
	if err != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: connection reset", objectstore.ErrUnavailable)
	}
	return list, err
}

// A store that cuts off watches answers all the same: what it removes is gone at once, not after
// the grace period of an outage (review/REPORT.md, "a watch that is cut off").
func TestRemovalCountsWhileWatchesAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := objectstore.NewMemory(4 * time.Second)
		f := &restoredFixture{t: t, memory: memory}
		f.put(objectstore.KindConfig, "main", `{"Version":1}`)
		for i := range 8 {
			f.put(objectstore.KindUpstream, fmt.Sprint("u", i), `{"Slots":1}`)
		}
		c, stop := runInstance(t, cuttingStore{memory, 500 * time.Millisecond}, true)
		defer stop()
		for i := range 8 {
			time.Sleep(3*time.Second + time.Duration(i)*70*time.Millisecond)
			name := fmt.Sprint("u", i)
			obj, err := memory.Get(context.Background(), objectstore.KindUpstream, name)
			must.NoError(t, err)
			_, err = memory.Delete(context.Background(), objectstore.KindUpstream, name, obj.Version)
			must.NoError(t, err)
			time.Sleep(700 * time.Millisecond)
			_, usable := c.UsableByID(name)
			must.False(t, usable)
		}
	})
}
