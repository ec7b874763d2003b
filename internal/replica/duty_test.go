package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/shoenig/test/must"
)

const watchWait = 10 * time.Second

// zone is a few duties of one zone, of which "n0" reads for it.
type zone struct {
	store  *platform.Memory
	duties map[string]*Duty
	silent atomic.Bool // watches of the reader hang
	gone   atomic.Bool // the reader answers and calls nobody
}

func (z *zone) Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if z.gone.Load() && (address == "n0" || req.Self.Name == "n0") {
		return nil, errors.New("unreachable")
	}
	return z.duties[address].Exchange(ctx, req)
}

// readerStore is the platform as the reader sees it.
type readerStore struct {
	platform.Store
	zone *zone
}

func (s readerStore) Watch(ctx context.Context, kind platform.Kind, since uint64) (platform.List, error) {
	if s.zone.silent.Load() || s.zone.gone.Load() {
		<-ctx.Done()
		return platform.List{}, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, kind, since)
}

func startZone(t *testing.T, n int) *zone {
	z := &zone{store: platform.NewMemory(watchWait), duties: map[string]*Duty{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	began := time.Now()
	for i := range n {
		name := fmt.Sprint("n", i)
		self := platform.Instance{Name: name, Zone: "z", Role: platform.RoleEntry, PeerAddress: name, State: platform.InstanceLive}
		must.NoError(t, z.store.Register(ctx, self))
		opts := Options{
			Clock: noClock{},
			Self:  self, Store: z.store, Instances: z.store, Peers: z, WatchTimeout: watchWait + 5*time.Second,
			Reads: func() bool { return name == "n0" }, Reader: func() string { return "n0" },
			Now: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler), Seed: int64(i),
		}
		if name == "n0" {
			opts.Store = readerStore{z.store, z}
		}
		z.duties[name] = NewDuty(opts)
	}
	for _, d := range z.duties {
		go func() { _ = d.Run(ctx) }()
	}
	return z
}

// TestOnlyTheReaderAndItsDeputyWatch: the calls that the platform sees do not
// grow with the zone.
func TestOnlyTheReaderAndItsDeputyWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, 12)
		time.Sleep(2 * watchWait) // all have read once
		before := z.store.Calls()["watch"]
		const watches = 6
		time.Sleep(watches * watchWait)
		must.LessEq(t, 2*(watches+1), z.store.Calls()["watch"]-before)
	})
}

// TestChangeArrivesWhileTheReadersWatchIsSilent and while the reader is gone:
// within the bound of a change, in all other instances.
func TestChangeArrivesWhileTheReadersWatchIsSilent(t *testing.T) {
	for _, fault := range []func(*zone) *atomic.Bool{
		func(z *zone) *atomic.Bool { return &z.silent },
		func(z *zone) *atomic.Bool { return &z.gone },
	} {
		synctest.Test(t, func(t *testing.T) {
			z := startZone(t, 6)
			time.Sleep(3 * watchWait)
			fault(z).Store(true)
			time.Sleep(2 * watchWait) // the watch that was open ends
			obj, err := z.store.Put(context.Background(), platform.Object{
				Kind: platform.KindService, Name: "a", Value: fmt.Appendf(nil, document, "a", 1),
			})
			must.NoError(t, err)
			time.Sleep(5 * time.Second)
			for name, d := range z.duties {
				if name != "n0" || z.silent.Load() {
					must.Eq(t, obj.Version, d.Snapshot().Versions["a"], must.Sprint(name))
				}
			}
		})
	}
}

// noClock stamps nothing.
type noClock struct{}

func (noClock) Stamp() *peerpb.Stamp  { return nil }
func (noClock) Observe(*peerpb.Stamp) {}
