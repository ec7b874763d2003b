package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// mutedStore is a store that gives no answer while it is cut off.
type mutedStore struct {
	objectstore.Store
	cut *atomic.Bool
}

// List implements objectstore.Store.
func (s mutedStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return objectstore.List{}, ctx.Err()
	}
	return s.Store.List(ctx, kind)
}

// Watch implements objectstore.Store.
func (s mutedStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	list, err := s.Store.Watch(ctx, kind, since)
	if s.cut.Load() {
		<-ctx.Done()
		return objectstore.List{}, ctx.Err()
	}
	return list, err
}

// Two instances that were cut off together confirmed each other's list, and one that was cut off for
// long asked nobody, so that a stream went on at the one version that they knew.
func TestInstancesCutOffForLongDoNotResumeUnknownStreams(t *testing.T) {
	for name, cutOff := range map[string][]int{"one": {3}, "two": {3, 5}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				f.putConfig(1, 1)
				var cut atomic.Bool
				var nodes []*testNode
				for i := range 6 {
					f.wrapStore = nil
					if slices.Contains(cutOff, i) {
						f.wrapStore = func(s objectstore.Store) objectstore.Store { return mutedStore{s, &cut} }
					}
					nodes = append(nodes, f.start(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2), 1, 0, []string{"n0:1", "n1:1"}))
				}
				f.putUpstream("u0", fleet.Upstream{Version: "v1", Slots: 4})
				time.Sleep(5 * time.Second)
				cut.Store(true)
				for _, i := range cutOff {
					nodes[i].side.Store(1)
				}
				time.Sleep(f.watchWait() + 5*time.Second)
				f.putUpstream("u0", fleet.Upstream{Version: "v2", Slots: 4})
				time.Sleep(time.Second)
				nodes[0].g.streamVersions.began("", "first", "app", "v2")
				var got []fleet.Reason
				for range 3 { // also when those out of reach are forgotten
					for _, i := range cutOff {
						got = append(got, resumed(nodes[i], "first").resolveVersion(context.Background()).Reason)
					}
					time.Sleep(30 * time.Second)
				}
				stopAll(nodes)
				for _, reason := range got {
					must.Eq(t, fleet.ReasonVersionUnknown, reason)
				}
			})
		})
	}
}

// The only instance of a fleet resumes streams while the store is down.
func TestSingleInstanceResumesUnknownStreamsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newVersionedFleet(t, 1, "v1", "v1")
		f.store.SetFaults(objectstore.Faults{Outage: true})
		time.Sleep(20 * time.Second)
		got := resumed(nodes[0], "nobody knows").resolveVersion(context.Background()).Reason
		stopAll(nodes)
		must.Eq(t, fleet.ReasonNone, got)
	})
}

func (f *testFleet) watchWait() time.Duration { return DefaultSettings().Store.WatchWait.Std() }

// Instances that are left of a fleet of which most ended at once resume streams: they reach the store.
func TestInstancesThatAreLeftResumeUnknownStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := newVersionedFleet(t, 6, "v1", "v1")
		for _, n := range nodes[2:] {
			n.stop()
		}
		for range 30 {
			for _, n := range nodes[:2] {
				must.Eq(t, fleet.ReasonNone, resumed(n, "nobody knows").resolveVersion(context.Background()).Reason)
			}
			time.Sleep(time.Second)
		}
		stopAll(nodes[:2])
	})
}
