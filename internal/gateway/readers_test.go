package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// storeTrouble is what becomes of an instance's calls to the store.
type storeTrouble int32

const (
	noTrouble     storeTrouble = iota
	refusesCalls               // each call fails at once
	leavesSilent               // calls get no answer
	silentWatches              // watches get no answer
	cutsWatches                // watches fail after half a second
	losesHistory               // watches fail at once as their history is gone
)

// troubledStore is the store as an instance reaches it.
type troubledStore struct {
	objectstore.Store
	trouble  *atomic.Int32
	silences *atomic.Int32 // number of times that calls were left silent
}

// List implements objectstore.Store.
func (s troubledStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	switch storeTrouble(s.trouble.Load()) {
	case refusesCalls:
		return objectstore.List{}, objectstore.ErrUnavailable
	case leavesSilent:
		<-ctx.Done()
		return objectstore.List{}, ctx.Err()
	}
	return s.Store.List(ctx, kind)
}

// Watch implements objectstore.Store.
func (s troubledStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	switch storeTrouble(s.trouble.Load()) {
	case refusesCalls:
		return objectstore.List{}, objectstore.ErrUnavailable
	case losesHistory:
		return objectstore.List{}, objectstore.ErrHistoryGone
	case cutsWatches:
		cut, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		list, err := s.Store.Watch(cut, kind, since)
		if err != nil && ctx.Err() == nil {
			err = objectstore.ErrUnavailable
		}
		return list, err
	}
	silences := s.silences.Load()
	list, err := s.Store.Watch(ctx, kind, since)
	trouble := storeTrouble(s.trouble.Load())
	if trouble == refusesCalls {
		return objectstore.List{}, objectstore.ErrUnavailable
	}
	if trouble == leavesSilent || trouble == silentWatches || s.silences.Load() != silences { // its connection is dead
		<-ctx.Done()
		return objectstore.List{}, ctx.Err()
	}
	return list, err
}

// readerFleet is a small fleet of which two zones have two instances and two have one. The
// first of each zone watch the store, and the first two poll it.
type readerFleet struct {
	*testFleet
	troubles []troubledStore
	nodes    []*testNode
}

var readerNames = []string{"a-0", "a-1", "b-0", "b-1", "c-0", "d-0"}

func newReaderFleet(t *testing.T, names ...string) *readerFleet {
	f := &readerFleet{testFleet: newTestFleet(t)}
	f.edit = func(s *Settings) { f.store.WatchWait = s.Store.WatchWait.Std() }
	f.wrapStore = func(s objectstore.Store) objectstore.Store {
		f.troubles = append(f.troubles, troubledStore{s, &atomic.Int32{}, &atomic.Int32{}})
		return f.troubles[len(f.troubles)-1]
	}
	f.putConfig(1, 5)
	for _, name := range names {
		f.nodes = append(f.nodes, f.start(name, name[:1], 10, 0, []string{"a-0:1", "a-1:1", "b-0:1", "b-1:1", "c-0:1", "d-0:1"}))
	}
	time.Sleep(6 * time.Second)
	return f
}

func (f *readerFleet) troubleAt(trouble storeTrouble, instances ...int) {
	for _, i := range instances {
		f.troubles[i].trouble.Store(int32(trouble))
		if trouble == leavesSilent {
			f.troubles[i].silences.Add(1)
		}
	}
}

// freeze lets instances do nothing that others see.
func (f *readerFleet) freeze(instances ...int) {
	f.troubleAt(leavesSilent, instances...)
	for _, i := range instances {
		f.nodes[i].side.Store(1)
	}
}

func (f *readerFleet) kill(instances ...int) {
	for _, i := range instances {
		f.nodes[i].stop()
	}
}

// latest returns how long after now the given instances have a revision, at most 10 s.
func (f *readerFleet) latest(revision uint64, instances []int) time.Duration {
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		behind := false
		for _, i := range instances {
			behind = behind || f.nodes[i].revisionInForce() < revision
		}
		if !behind {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// A change is in force within 2 s at all instances in touch, whatever becomes of the calls of
// those that read the store for others. With a peer that tells of a change and does not hand it
// over, all that are refused by the store for 0.6 s stayed behind for as long as it did so.
func TestFleetIsNotLeftBehindByItsReaders(t *testing.T) {
	all, others := []int{0, 1, 2, 3, 4, 5}, []int{0, 1, 2, 4, 5}
	const bound = 2 * time.Second
	for _, c := range []struct {
		name    string
		trouble func(f *readerFleet)
		lead    time.Duration // from the trouble to the change
		inTouch []int
	}{
		{"watches fail", func(f *readerFleet) { f.troubleAt(losesHistory, all...) }, 5 * time.Second, all},
		{"watches cut", func(f *readerFleet) { f.troubleAt(cutsWatches, all...) }, 5 * time.Second, all},
		{"watches silent", func(f *readerFleet) { f.troubleAt(silentWatches, all...) }, 5 * time.Second, all},
		{"readers refused", func(f *readerFleet) { f.troubleAt(refusesCalls, others...) }, 0, all},
		{"readers silent", func(f *readerFleet) { f.troubleAt(leavesSilent, others...) }, 0, all},
		{"readers killed", func(f *readerFleet) { f.kill(others...) }, 0, []int{3}},
		{"readers frozen", func(f *readerFleet) { f.freeze(others...) }, 0, []int{3}},
		{"peer keeps the change", func(f *readerFleet) {
			f.storeDelay.Store(int64(300 * time.Millisecond))
			f.nodes[0].mute.Store(true)
			f.troubleAt(refusesCalls, all[1:]...)
			time.AfterFunc(5600*time.Millisecond, func() { f.troubleAt(noTrouble, all[1:]...) })
		}, 5 * time.Second, all},
	} {
		t.Run(c.name, func(t *testing.T) {
			for phase := range 4 {
				synctest.Test(t, func(t *testing.T) {
					f := newReaderFleet(t, readerNames...)
					time.Sleep(time.Duration(phase) * 370 * time.Millisecond)
					c.trouble(f)
					time.Sleep(c.lead)
					late := f.latest(f.putConfig(2, 6), c.inTouch)
					for _, n := range f.nodes {
						n.stop()
					}
					time.Sleep(time.Minute)
					must.LessEq(t, bound, late)
				})
			}
		})
	}
}

// After an outage of the store in which connections went silent, a change is in force at the end of
// the 3 s after which the store counts as stable. Nobody polled the store once each poll had
// failed, so that a fleet of one instance a zone waited for its watches to end.
func TestStoreIsPolledWhileNobodyReachesIt(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
		late := time.Duration(0)
		for phase := range 8 {
			synctest.Test(t, func(t *testing.T) {
				f := newReaderFleet(t, "a-0", "b-0")
				time.Sleep(time.Duration(phase) * 530 * time.Millisecond)
				f.troubleAt(leavesSilent, 0, 1)
				time.Sleep(outage)
				f.troubleAt(noTrouble, 0, 1)
				late = max(late, f.latest(f.putConfig(2, 6), []int{0, 1}))
				for _, n := range f.nodes {
					n.stop()
				}
				time.Sleep(time.Minute)
			})
		}
		test.LessEq(t, 3*time.Second, late)
		t.Log("outage", outage, "change in force after", late)
	}
}

// A configuration from a peer that was not put in force at first is fetched again. An instance
// that does not reach the store went without it for good.
func TestConfigurationThatWasRefusedIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReaderFleet(t, readerNames...)
		const behind = 3
		f.troubleAt(leavesSilent, behind)
		f.nodes[behind].refuses.Store(true)
		revision := f.putConfig(2, 6)
		time.Sleep(time.Second)
		f.nodes[behind].refuses.Store(false)
		late := f.latest(revision, []int{behind})
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
		must.LessEq(t, refusedFor, late)
		t.Log("in force after", late)
	})
}
