package placer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

const (
	modelLoadTime   = 2 * time.Second
	adapterLoadTime = 6 * time.Millisecond
)

var errUnreachable = errors.New("down")

// fakeEngine runs an emulated engine on the test's clock.
type fakeEngine struct {
	mu           sync.Mutex
	settings     emulator.Settings
	emulated     *emulator.Engine
	boot         int
	began        time.Time
	unreachable  bool
	previousRuns emulator.Counters
	orders       map[string]int // deliveries by order ID
}

func newFakeEngine(memoryMB int64, fencing bool) *fakeEngine {
	settings := emulator.Settings{
		MemoryMB: memoryMB, KVTokens: 1000, MaxBatch: 8, MaxQueue: 8, PrefillChunkTokens: 100, DecodeBase: time.Millisecond,
		UnloadTime: 100 * time.Millisecond, Fencing: fencing,
	}
	return &fakeEngine{settings: settings, emulated: emulator.New(settings), began: time.Now(), orders: map[string]int{}}
}

func (e *fakeEngine) step(ev emulator.Event) (reply engine.OrderReply) {
	for _, a := range e.emulated.Step(time.Since(e.began), ev) {
		switch a := a.(type) {
		case emulator.OrderReplied:
			reply = a.Reply
		case emulator.FetchWeights:
			took, run := modelLoadTime, e.emulated
			if a.Adapter != "" {
				took = adapterLoadTime
			}
			time.AfterFunc(took, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.emulated == run {
					e.step(emulator.WeightsFetched{ID: a.ID, OK: true})
				}
			})
		}
	}
	return reply
}

func (e *fakeEngine) report() (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable {
		return engine.Report{}, errUnreachable
	}
	e.step(emulator.Tick{})
	r := e.emulated.Residency()
	r.Boot = fmt.Sprint("boot-", e.boot)
	return r, nil
}

func (e *fakeEngine) order(o engine.Order) (engine.OrderReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable {
		return engine.OrderReply{}, errUnreachable
	}
	e.orders[o.ID]++
	return e.step(emulator.OrderArrived{Order: o}), nil
}

// restart starts a new run with nothing resident.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.previousRuns.Overcommit += e.emulated.Counters().Overcommit
	e.previousRuns.ModelLoads += e.emulated.Counters().ModelLoads
	e.emulated = emulator.New(e.settings)
	e.boot++
}

func (e *fakeEngine) counters() emulator.Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.emulated.Counters()
	c.Overcommit += e.previousRuns.Overcommit
	c.ModelLoads += e.previousRuns.ModelLoads
	return c
}

// countLoadingModels returns the number of models that are loading.
func (e *fakeEngine) countLoadingModels() (n int) {
	r, _ := e.report()
	for _, res := range r.Resident {
		if res.Adapter == "" && res.State == engine.ResidencyLoading {
			n++
		}
	}
	return n
}

// hasReady reports whether a model, or an adapter if named, is ready.
func (e *fakeEngine) hasReady(model, adapter string) bool {
	r, _ := e.report()
	for _, res := range r.Resident {
		if res.Model == model && res.Adapter == adapter && res.State == engine.ResidencyReady {
			return true
		}
	}
	return false
}

// testFleet holds instances in zones, their platform and their engines.
type testFleet struct {
	t              *testing.T
	began          time.Time
	store          *objectstore.Memory
	engines        map[string]*fakeEngine // by address
	instances      map[string]*testInstance
	mu             sync.Mutex
	doc            *config.Service
	holders        map[string]string // by zone
	fence          uint64
	leaving        map[string]bool // addresses of upstreams
	deleted        bool            // the document is deleted
	documentsStale bool            // known documents may be older than the platform's
	callDelay      [2]atomic.Int64 // added to each call to a peer (0) and to an engine (1), in ns
	withoutLease   []string        // writes and orders that were made without the lease
	log            io.Writer
}

type testInstance struct {
	fleet      *testFleet
	self       objectstore.Instance
	controller *Controller
	stop       context.CancelFunc
	done       chan struct{}
}

func newTestFleet(t *testing.T, doc *config.Service) *testFleet {
	s := &testFleet{
		t: t, began: time.Now(), store: objectstore.NewMemory(5 * time.Second), engines: map[string]*fakeEngine{},
		instances: map[string]*testInstance{}, holders: map[string]string{}, leaving: map[string]bool{}, doc: doc, log: io.Discard,
	}
	if os.Getenv("PLACER_LOG") != "" {
		s.log = os.Stderr
	}
	for _, u := range doc.Upstreams {
		s.engines[u.Address] = newFakeEngine(u.MemoryMB, u.SupportsFencing)
	}
	return s
}

// addInstance starts an instance in a zone. Its name serves as its address.
func (s *testFleet) addInstance(zone, name string) *testInstance {
	n := &testInstance{fleet: s, self: objectstore.Instance{
		Name: name, Incarnation: name, Zone: zone, Role: objectstore.RoleEntry, PeerAddress: name, State: objectstore.InstanceLive,
	}, done: make(chan struct{})}
	opt := placement.DefaultDemandOptions()
	n.controller = New(Options{
		Self: n.self, Store: leaseRecorder{s.store, n}, Peers: s, Engines: leaseRecorder{s.store, n}, Snapshot: func() *docsync.Snapshot { return s.known(name) },
		LeaseHeld: func() (uint64, bool) { return s.held(n) }, ZoneLeader: func() string { return s.holder(zone) },
		OnDrainsChanged: func([]string) {}, IncrementCounter: func(string) {}, Planner: placement.Demand{Options: opt},
		Now: func() time.Duration { return time.Since(s.began) }, Log: slog.New(slog.NewTextHandler(s.log, nil)).With("instance", name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	s.mu.Lock()
	s.instances[name] = n
	s.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.controller.Run(ctx)
	}()
	return n
}

// grantLease gives an instance the lease of its zone with a new fencing token.
func (s *testFleet) grantLease(n *testInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence++
	s.holders[n.self.Zone] = fmt.Sprintf("%s %d", n.self.Name, s.fence)
}

func (s *testFleet) holder(zone string) (name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fence uint64
	_, _ = fmt.Sscanf(s.holders[zone], "%s %d", &name, &fence)
	return name
}

func (s *testFleet) held(n *testInstance) (fence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var name string
	_, _ = fmt.Sscanf(s.holders[n.self.Zone], "%s %d", &name, &fence)
	return fence, name == n.self.Name && !s.store.Faults().Outage
}

func (s *testFleet) known(self string) *docsync.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := &docsync.Snapshot{
		Services: map[string]*config.Service{s.doc.Service: s.doc}, Versions: map[string]uint64{s.doc.Service: 1},
		LeavingUpstreams: maps.Clone(s.leaving), CompleteRevision: math.MaxUint64,
	}
	if s.deleted {
		clear(snap.Services)
	}
	if s.documentsStale {
		snap.CompleteRevision = 0
	}
	for name, n := range s.instances {
		if name != self {
			snap.Peers = append(snap.Peers, n.self)
		}
	}
	return snap
}

// updateDoc replaces the document with a changed copy.
func (s *testFleet) updateDoc(change func(doc *config.Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.doc
	change(&next)
	s.doc = &next
}

// leaseRecorder is the store and the engines as one instance calls them. It
// records writes and orders that the instance makes without holding the lease.
type leaseRecorder struct {
	objectstore.Store
	instance *testInstance
}

func (l leaseRecorder) recordIfUnheld(what string) {
	if _, ok := l.instance.fleet.held(l.instance); !ok {
		l.instance.fleet.mu.Lock()
		defer l.instance.fleet.mu.Unlock()
		l.instance.fleet.withoutLease = append(l.instance.fleet.withoutLease, what)
	}
}

func (l leaseRecorder) Put(ctx context.Context, obj objectstore.Object) (objectstore.Object, error) {
	l.recordIfUnheld("write " + string(obj.Kind))
	return l.Store.Put(ctx, obj)
}

func (l leaseRecorder) Report(_ context.Context, address string) (engine.Report, error) {
	time.Sleep(time.Duration(l.instance.fleet.callDelay[1].Load()))
	return l.instance.fleet.engines[address].report()
}

func (l leaseRecorder) Order(_ context.Context, address string, o engine.Order) (engine.OrderReply, error) {
	l.recordIfUnheld("order")
	time.Sleep(time.Duration(l.instance.fleet.callDelay[1].Load()))
	return l.instance.fleet.engines[address].order(o)
}

// directConn passes RPC calls directly to the server of one Controller.
type directConn struct {
	drpc.Conn
	to peerpb.DRPCPlacementServer
}

func (s *testFleet) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	time.Sleep(time.Duration(s.callDelay[0].Load()))
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	s.mu.Lock()
	n := s.instances[address]
	s.mu.Unlock()
	if n == nil {
		return errUnreachable
	}
	select {
	case <-n.done:
		return errUnreachable
	default:
	}
	return call(ctx, directConn{to: n.controller.Server()})
}

func (c directConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	switch in := in.(type) {
	case *peerpb.DemandReport:
		reply, err := c.to.Report(ctx, in)
		if err != nil {
			return err
		}
		out.(*peerpb.DemandReply).Held, out.(*peerpb.DemandReply).Drains = reply.Held, reply.Drains
	case *peerpb.ZoneDrains:
		_, err := c.to.ShareDrains(ctx, in)
		return err
	case *peerpb.AdapterRequest:
		reply, err := c.to.EnsureAdapter(ctx, in)
		if err != nil {
			return err
		}
		out.(*peerpb.AdapterReply).Ready, out.(*peerpb.AdapterReply).Reason = reply.Ready, reply.Reason
	}
	return nil
}

func (s *testFleet) close() {
	for _, n := range s.instances {
		n.stop()
	}
	for _, n := range s.instances {
		<-n.done
	}
	synctest.Wait()
}

// waitFor waits, on the test's clock, until a condition holds. It fails the test
// after bound.
func (s *testFleet) waitFor(bound time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within %v: %s", bound, what)
		}
	}
}

// checkEngines checks by every engine's own counters that it was never
// overcommitted and received no order twice.
func (s *testFleet) checkEngines() {
	s.t.Helper()
	for address, e := range s.engines {
		must.Eq(s.t, 0, e.counters().Overcommit, must.Sprint(address, " was overcommitted"))
		for id, n := range e.orders {
			must.Eq(s.t, 1, n, must.Sprint("order sent more than once: ", id))
		}
	}
}
