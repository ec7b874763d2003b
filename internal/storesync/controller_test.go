package storesync

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// fakeStore is a store that can be unreachable and whose watches can stop
// returning events.
type fakeStore struct {
	objectstore.Store
	mu             sync.Mutex
	unreachable    bool
	watchesSilent  bool                      // watches return no events
	historyGone    map[objectstore.Kind]bool // the next watch of the kind fails with ErrHistoryGone
	config         objectstore.Object
	entries        map[string]objectstore.Object
	removed        []objectstore.Object
	revision       uint64
	oldestRevision uint64 // watches from an older revision fail with ErrHistoryGone
	calls          int
}

func (s *fakeStore) beginCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unreachable {
		return objectstore.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) List(_ context.Context, kind objectstore.Kind) (objectstore.List, error) {
	if err := s.beginCall(); err != nil {
		return objectstore.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := objectstore.List{Revision: s.revision}
	if kind == objectstore.KindConfig {
		if s.config.Version > 0 {
			list.Objects = append(list.Objects, s.config)
		}
		return list, nil
	}
	for _, e := range s.entries {
		list.Objects = append(list.Objects, e)
	}
	return list, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	if err := s.beginCall(); err != nil {
		return objectstore.List{}, err
	}
	deadline := time.Now().Add(4 * time.Second)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if list, err := s.events(kind, since); err != nil || len(list.Objects) > 0 {
			return list, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return objectstore.List{Revision: since}, ctx.Err()
}

func (s *fakeStore) events(kind objectstore.Kind, since uint64) (objectstore.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.historyGone[kind] {
		delete(s.historyGone, kind)
		return objectstore.List{}, objectstore.ErrHistoryGone
	}
	if since < s.oldestRevision {
		return objectstore.List{}, objectstore.ErrHistoryGone
	}
	list := objectstore.List{Revision: s.revision}
	if s.watchesSilent || s.unreachable {
		return objectstore.List{}, nil
	}
	if kind == objectstore.KindConfig && s.config.Version > since {
		list.Objects = append(list.Objects, s.config)
	}
	if kind == objectstore.KindUpstream {
		for _, e := range s.entries {
			if e.Version > since {
				list.Objects = append(list.Objects, e)
			}
		}
		for _, e := range s.removed {
			if e.Version > since {
				list.Objects = append(list.Objects, e)
			}
		}
	}
	return list, nil
}

func (s *fakeStore) putConfig(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	value, err := json.Marshal(fleet.Config{Version: version})
	if err != nil {
		panic(err)
	}
	s.config = objectstore.Object{Kind: objectstore.KindConfig, Name: "main", Version: s.revision, Value: value}
}

func (s *fakeStore) putUpstream(id, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[id] = objectstore.Object{Kind: objectstore.KindUpstream, Name: id, Version: s.revision, Value: []byte(value)}
}

func (s *fakeStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func decodeConfig(obj objectstore.Object) (*fleet.Config, []error, error) {
	c := &fleet.Config{}
	err := json.Unmarshal(obj.Value, c)
	return c, nil, err
}

func decodeUpstream(obj objectstore.Object) (fleet.Upstream, error) {
	u := fleet.Upstream{ID: obj.Name, Revision: obj.Version}
	err := json.Unmarshal(obj.Value, &u)
	u.ID, u.Revision = obj.Name, obj.Version
	return u, err
}

type fixture struct {
	store      *fakeStore
	controller *Controller
	watches    bool
	polls      bool
}

// runController runs a controller in virtual time while scenario runs.
func runController(t *testing.T, scenario func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{store: &fakeStore{entries: map[string]objectstore.Object{}}, watches: true}
		began := time.Now()
		f.controller = New(Options{
			Store: f.store, Decoder: Decoder{ConfigName: "main", Config: decodeConfig, Upstream: decodeUpstream},
			WatchWait: 4 * time.Second, Now: func() time.Duration { return time.Since(began) + time.Second },
			Log:     slog.New(slog.NewJSONHandler(io.Discard, nil)),
			Watches: func() bool { return f.watches }, Polls: func() bool { return f.polls }, OnChange: func() {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = f.controller.Run(ctx) // ends without an error when ctx does
			close(done)
		}()
		scenario(f)
		cancel()
		<-done
	})
}

func (f *fixture) configVersion() int64 {
	if c := f.controller.Config(); c != nil {
		return c.Version
	}
	return 0
}

func TestConfigurationChangesTakeEffect(t *testing.T) {
	runController(t, func(f *fixture) {
		time.Sleep(time.Second)
		must.False(t, f.controller.Ready())
		f.store.putConfig(3)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 3, f.configVersion())
		f.store.putConfig(7)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 7, f.configVersion())
	})
}

// A watch that returns no events before the store drops its history must not
// delay a configuration beyond its bound of 2 s. Found by scale-2 --seed
// 273237900082 of laufzeit-wien.
func TestPollFindsWhatASilentWatchMisses(t *testing.T) {
	runController(t, func(f *fixture) {
		f.polls = true
		f.store.putConfig(3)
		time.Sleep(time.Second)
		f.store.withLock(func() { f.store.watchesSilent = true })
		f.store.putConfig(7)
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 7, f.configVersion())
	})
}

func TestHistoryGoneIsReadAgainAtOnce(t *testing.T) {
	runController(t, func(f *fixture) {
		f.store.putConfig(3)
		time.Sleep(time.Second)
		f.store.withLock(func() { f.store.watchesSilent = true })
		f.store.putConfig(7)
		f.store.withLock(func() {
			f.store.historyGone = map[objectstore.Kind]bool{objectstore.KindConfig: true, objectstore.KindUpstream: true}
		})
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 7, f.configVersion())
	})
}

func TestFailedPollEndsTheClaimToReachTheStore(t *testing.T) {
	runController(t, func(f *fixture) {
		f.polls = true
		f.store.putConfig(3)
		time.Sleep(time.Second)
		_, _, reachable := f.controller.Revisions()
		must.True(t, reachable)
		f.store.withLock(func() { f.store.unreachable = true })
		time.Sleep(time.Second)
		_, _, reachable = f.controller.Revisions()
		must.False(t, reachable)
	})
}

func TestVersionsNeverGoBack(t *testing.T) {
	runController(t, func(f *fixture) {
		f.store.putConfig(3)
		f.store.putConfig(7)
		time.Sleep(time.Second)
		must.NoError(t, f.controller.Apply(Update{ConfigRevision: 1, Config: []byte(`{"Version":3}`)}, "peer"))
		must.Eq(t, 7, f.configVersion())
	})
}

func TestPeersReplaceAnUnreachableStore(t *testing.T) {
	runController(t, func(f *fixture) {
		f.store.withLock(func() { f.store.unreachable = true })
		time.Sleep(time.Second)
		raw, err := json.Marshal([]fleet.Upstream{{ID: "u1", Revision: 4}})
		must.NoError(t, err)
		must.NoError(t, f.controller.Apply(Update{ConfigRevision: 5, Config: []byte(`{"Version":9}`), RosterRevision: 6, Roster: raw}, "peer"))
		must.True(t, f.controller.Ready())
		must.Eq(t, 9, f.configVersion())
		must.Len(t, 1, f.controller.Usable())
		k, err := f.controller.UpdateSince(0, 0)
		must.NoError(t, err)
		must.Eq(t, 5, k.ConfigRevision)
		must.Eq(t, 6, k.RosterRevision)
		must.Error(t, f.controller.Apply(Update{RosterRevision: 9, Roster: []byte("{")}, "peer"))
	})
}

func TestMalformedEntryIsNotUsable(t *testing.T) {
	runController(t, func(f *fixture) {
		f.store.putConfig(1)
		f.store.putUpstream("u1", `{"Service":"a"}`)
		f.store.putUpstream("u2", `{"Service":7}`)
		time.Sleep(time.Second)
		must.Len(t, 1, f.controller.Usable())
	})
}

func TestInstanceThatFollowsItsPeersDoesNotCallTheStore(t *testing.T) {
	runController(t, func(f *fixture) {
		f.store.putConfig(1)
		f.store.putUpstream("u1", `{"Service":"a"}`)
		time.Sleep(time.Second)
		f.watches = false
		time.Sleep(10 * time.Second)
		calls := f.store.calls
		time.Sleep(20 * time.Second)
		must.Eq(t, calls, f.store.calls)
		f.watches = true
		f.store.putConfig(2)
		time.Sleep(time.Second)
		must.Eq(t, 2, f.configVersion())
	})
}

// A configuration that is older than the store's history must not make the
// watch fail repeatedly. Found by one of the scenarios in deploy/days of this
// repository, where each instance called the store 30 times a second after an
// outage.
func TestConfigurationOlderThanTheHistory(t *testing.T) {
	runController(t, func(f *fixture) {
		f.store.putConfig(3)
		for range 30 {
			f.store.putUpstream("u1", `{"Service":"a"}`)
		}
		time.Sleep(time.Second)
		f.store.withLock(func() {
			f.store.oldestRevision = f.store.revision
			f.store.historyGone = map[objectstore.Kind]bool{objectstore.KindConfig: true, objectstore.KindUpstream: true}
			f.store.calls = 0
		})
		time.Sleep(20 * time.Second)
		must.Less(t, 30, f.store.calls)
		f.store.putConfig(4)
		time.Sleep(time.Second)
		must.Eq(t, 4, f.configVersion())
	})
}
