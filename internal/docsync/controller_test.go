package docsync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/shoenig/test/must"
)

const storeWatchTimeout = 10 * time.Second

// zone runs the controllers of several instances of one zone; "n0" is the leader.
type zone struct {
	store            *objectstore.Memory
	controllers      map[string]*Controller
	leaderWatchHangs atomic.Bool // watch calls of the leader hang
	leaderIsolated   atomic.Bool // calls from and to the leader fail
}

func (z *zone) Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if z.leaderIsolated.Load() && (address == "n0" || req.Self.Name == "n0") {
		return nil, errors.New("unreachable")
	}
	return z.controllers[address].Exchange(ctx, req)
}

// leaderStore is the store as used by the leader; it injects the zone's faults.
type leaderStore struct {
	objectstore.Store
	zone *zone
}

func (s leaderStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	if s.zone.leaderWatchHangs.Load() || s.zone.leaderIsolated.Load() {
		<-ctx.Done()
		return objectstore.List{}, objectstore.ErrUnavailable
	}
	return s.Store.Watch(ctx, kind, since)
}

func startZone(t *testing.T, n int) *zone {
	z := &zone{store: objectstore.NewMemory(storeWatchTimeout), controllers: map[string]*Controller{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	began := time.Now()
	for i := range n {
		name := fmt.Sprint("n", i)
		self := objectstore.Instance{Name: name, Zone: "z", Role: objectstore.RoleEntry, PeerAddress: name, State: objectstore.InstanceLive}
		must.NoError(t, z.store.Register(ctx, self))
		opts := Options{
			Clock: nopClock{},
			Self:  self, Store: z.store, Instances: z.store, Peers: z, WatchTimeout: storeWatchTimeout + 5*time.Second,
			IsZoneLeader: func() bool { return name == "n0" }, ZoneLeader: func() string { return "n0" },
			Now: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler), Seed: int64(i),
		}
		if name == "n0" {
			opts.Store = leaderStore{z.store, z}
		}
		z.controllers[name] = NewController(opts)
	}
	for _, d := range z.controllers {
		go func() { _ = d.Run(ctx) }()
	}
	return z
}

// TestOnlyLeaderAndBackupReaderWatch checks that the number of watch calls to the
// platform does not grow with the number of instances in the zone.
func TestOnlyLeaderAndBackupReaderWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, 12)
		time.Sleep(2 * storeWatchTimeout) // all have read once
		before := z.store.Calls()["watch"]
		const watches = 6
		time.Sleep(watches * storeWatchTimeout)
		must.LessEq(t, 2*(watches+1), z.store.Calls()["watch"]-before)
	})
}

// TestChangeArrivesDespiteLeaderFault checks that a changed document reaches all
// instances within 5 s while the leader's watch hangs, and all instances but the
// leader while the leader is isolated.
func TestChangeArrivesDespiteLeaderFault(t *testing.T) {
	for _, fault := range []func(*zone) *atomic.Bool{
		func(z *zone) *atomic.Bool { return &z.leaderWatchHangs },
		func(z *zone) *atomic.Bool { return &z.leaderIsolated },
	} {
		synctest.Test(t, func(t *testing.T) {
			z := startZone(t, 6)
			time.Sleep(3 * storeWatchTimeout)
			fault(z).Store(true)
			time.Sleep(2 * storeWatchTimeout) // the open watch ends
			obj, err := z.store.Put(context.Background(), objectstore.Object{
				Kind: objectstore.KindService, Name: "a", Value: fmt.Appendf(nil, document, "a", 1),
			})
			must.NoError(t, err)
			time.Sleep(5 * time.Second)
			for name, d := range z.controllers {
				if name != "n0" || z.leaderWatchHangs.Load() {
					must.Eq(t, obj.Version, d.Snapshot().Versions["a"], must.Sprint(name))
				}
			}
		})
	}
}

// nopClock is a Clock without stamps.
type nopClock struct{}

func (nopClock) Stamp() *peerpb.Stamp  { return nil }
func (nopClock) Observe(*peerpb.Stamp) {}
