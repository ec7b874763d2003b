package storesync

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/evacuation"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// evacuationStore is a store whose reads of evacuations are counted and can be replaced.
type evacuationStore struct {
	*objectstore.Memory
	mu    sync.Mutex
	calls int               // reads and watches of evacuations
	reply *objectstore.List // of a read, nil for that of the store
	quiet bool              // watches miss all changes
}

func (s *evacuationStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	s.mu.Lock()
	reply := s.reply
	if kind == objectstore.KindEvacuation {
		s.calls++
	}
	s.mu.Unlock()
	if kind == objectstore.KindEvacuation && reply != nil {
		return *reply, nil
	}
	return s.Memory.List(ctx, kind)
}

func (s *evacuationStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	s.mu.Lock()
	quiet := s.quiet
	if kind == objectstore.KindEvacuation {
		s.calls++
	}
	s.mu.Unlock()
	if quiet && kind == objectstore.KindEvacuation {
		time.Sleep(s.WatchWait)
		return objectstore.List{Revision: since}, nil
	}
	return s.Memory.Watch(ctx, kind, since)
}

// evacuationFixture is a Controller with what it has read of evacuations.
type evacuationFixture struct {
	store   *evacuationStore
	watches bool
	polls   bool

	mu        sync.Mutex
	set       evacuation.Set
	malformed int
}

func (f *evacuationFixture) zones() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Snapshot().Zones
}

var errBody = errors.New("unreadable body")

// run runs a controller while test is called. inUse is whether evacuations are in use.
func (f *evacuationFixture) run(t *testing.T, inUse bool, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		f.store = &evacuationStore{Memory: objectstore.NewMemory(4 * time.Second)}
		began := time.Now()
		opts := Options{
			Store: f.store, WatchWait: 4 * time.Second, Now: func() time.Duration { return time.Since(began) },
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnChange: func() {},
			Watches: func() bool { return f.watches }, Polls: func() bool { return f.polls },
			Decoder: Decoder{ConfigName: "main", Config: decodeConfig, Upstream: decodeUpstream, Evacuation: func(o objectstore.Object) (string, error) {
				if string(o.Value) != "{}" {
					return o.Name, errBody
				}
				return o.Name, nil
			}},
		}
		if inUse {
			opts.Evacuations = EvacuationOptions{
				Known: func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.set.Known() },
				OnSnapshot: func(s evacuation.Snapshot) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.set.Merge(0, s)
				},
				OnMalformed: func() { f.malformed++ },
			}
		}
		f.put(t, objectstore.KindConfig, "main", `{"Version":1}`)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		c := New(opts)
		go func() { done <- c.Run(ctx) }()
		time.Sleep(time.Second)
		test(t)
		cancel()
		must.NoError(t, <-done)
	})
}

func (f *evacuationFixture) put(t *testing.T, kind objectstore.Kind, name, value string) {
	_, err := f.store.Put(context.Background(), objectstore.Object{Kind: kind, Name: name, Value: []byte(value)})
	must.NoError(t, err)
}

// A deployment without evacuations must not pay a call to the store for them.
func TestEvacuationsThatAreNotInUseAreNotRead(t *testing.T) {
	f := &evacuationFixture{watches: true, polls: true}
	f.run(t, false, func(t *testing.T) {
		time.Sleep(20 * time.Second)
		must.Eq(t, 0, f.store.calls)
	})
}

// An instance that does not read the store reads the evacuations once, at its start, and then
// only a watcher and a poller do: calls to the store have a cost.
func TestFewInstancesReadEvacuations(t *testing.T) {
	f := &evacuationFixture{}
	f.run(t, true, func(t *testing.T) {
		time.Sleep(20 * time.Second)
		must.Eq(t, 1, f.store.calls)
	})
	f = &evacuationFixture{watches: true}
	f.run(t, true, func(t *testing.T) {
		time.Sleep(20 * time.Second)
		must.LessEq(t, 2+21/4, f.store.calls) // a read, and a watch each 4.2 s from the start on
		f.put(t, objectstore.KindEvacuation, "z", `{}`)
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, []string{"z"}, f.zones())
	})
}

// A watch that is silent without an error must not hide an entry: a poller reads it.
func TestSilentWatchDoesNotHideAnEvacuation(t *testing.T) {
	f := &evacuationFixture{watches: true, polls: true}
	f.run(t, true, func(t *testing.T) {
		f.store.mu.Lock()
		f.store.quiet = true
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.put(t, objectstore.KindEvacuation, "z", `{}`)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, []string{"z"}, f.zones())
	})
}

// An older copy of the store must not undo an evacuation, nor an outage; an entry with an
// unreadable body counts, and one without a name affects only itself.
func TestEvacuationsSurviveOldCopiesAndOddEntries(t *testing.T) {
	f := &evacuationFixture{watches: true, polls: true}
	f.run(t, true, func(t *testing.T) {
		f.put(t, objectstore.KindEvacuation, "z", `{}`)
		f.put(t, objectstore.KindEvacuation, "odd", `[1]`)
		time.Sleep(2 * time.Second)
		must.Eq(t, []string{"odd", "z"}, f.zones())
		must.Eq(t, 1, f.malformed)
		f.store.mu.Lock()
		f.store.reply = &objectstore.List{Revision: 1}
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"odd", "z"}, f.zones())
		f.store.SetFaults(objectstore.Faults{Outage: true})
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"odd", "z"}, f.zones())
		f.store.SetFaults(objectstore.Faults{})
		f.store.mu.Lock()
		f.store.reply = &objectstore.List{Revision: 50, Malformed: []objectstore.Malformed{{Err: errBody}, {Name: "y", Err: errBody}}}
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"y"}, f.zones())
		must.Eq(t, 3, f.malformed)
	})
}
