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
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

const (
	modelLoad   = 2 * time.Second
	adapterLoad = 6 * time.Millisecond
)

var errDown = errors.New("down")

// fakeEngine runs an emulated engine on the test's clock.
type fakeEngine struct {
	mu     sync.Mutex
	set    emulator.Settings
	run    *emulator.Engine
	boot   int
	began  time.Time
	down   bool
	former emulator.Counters
	orders map[string]int // deliveries by order id
}

func newFakeEngine(memoryMB int64, fencing bool) *fakeEngine {
	set := emulator.Settings{
		MemoryMB: memoryMB, KVTokens: 1000, MaxBatch: 8, MaxQueue: 8, PrefillChunk: 100, DecodeBase: time.Millisecond,
		UnloadTime: 100 * time.Millisecond, Fencing: fencing,
	}
	return &fakeEngine{set: set, run: emulator.New(set), began: time.Now(), orders: map[string]int{}}
}

func (e *fakeEngine) step(ev emulator.Event) (reply engine.OrderReply) {
	for _, a := range e.run.Step(time.Since(e.began), ev) {
		switch a := a.(type) {
		case emulator.Replied:
			reply = a.Reply
		case emulator.Fetch:
			took, run := modelLoad, e.run
			if a.Adapter != "" {
				took = adapterLoad
			}
			time.AfterFunc(took, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.run == run {
					e.step(emulator.Fetched{Load: a.Load, OK: true})
				}
			})
		}
	}
	return reply
}

func (e *fakeEngine) report() (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.Report{}, errDown
	}
	e.step(emulator.Tick{})
	r := e.run.Residency()
	r.Boot = fmt.Sprint("boot-", e.boot)
	return r, nil
}

func (e *fakeEngine) order(o engine.Order) (engine.OrderReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.OrderReply{}, errDown
	}
	e.orders[o.ID]++
	return e.step(emulator.OrderArrived{Order: o}), nil
}

// restart begins a run with nothing resident.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.former.Overcommit += e.run.Counters().Overcommit
	e.former.ModelLoads += e.run.Counters().ModelLoads
	e.run = emulator.New(e.set)
	e.boot++
}

func (e *fakeEngine) counters() emulator.Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.run.Counters()
	c.Overcommit += e.former.Overcommit
	c.ModelLoads += e.former.ModelLoads
	return c
}

// loading counts the models that load.
func (e *fakeEngine) loading() (n int) {
	r, _ := e.report()
	for _, res := range r.Resident {
		if res.Adapter == "" && res.State == engine.ResidencyLoading {
			n++
		}
	}
	return n
}

// holds says whether a model, or an adapter if named, is ready.
func (e *fakeEngine) holds(model, adapter string) bool {
	r, _ := e.report()
	for _, res := range r.Resident {
		if res.Model == model && res.Adapter == adapter && res.State == engine.ResidencyReady {
			return true
		}
	}
	return false
}

// site is a few instances in zones, their platform and their engines.
type site struct {
	t       *testing.T
	began   time.Time
	store   *platform.Memory
	engines map[string]*fakeEngine // by address
	nodes   map[string]*node
	mu      sync.Mutex
	doc     *config.Service
	leaders map[string]string // by zone
	fence   uint64
	leaving map[string]bool // addresses of upstreams
	deleted bool            // the document
	behind  bool            // documents are not known to be complete
	slow    [2]atomic.Int64 // what a call to a peer, or to an engine, takes, in ns
	unheld  []string        // writes and orders without the lease
	log     io.Writer
}

type node struct {
	site *site
	self platform.Instance
	duty *Duty
	stop context.CancelFunc
	done chan struct{}
}

func newSite(t *testing.T, doc *config.Service) *site {
	s := &site{
		t: t, began: time.Now(), store: platform.NewMemory(5 * time.Second), engines: map[string]*fakeEngine{},
		nodes: map[string]*node{}, leaders: map[string]string{}, leaving: map[string]bool{}, doc: doc, log: io.Discard,
	}
	if os.Getenv("PLACER_LOG") != "" {
		s.log = os.Stderr
	}
	for _, u := range doc.Upstreams {
		s.engines[u.Address] = newFakeEngine(u.MemoryMB, u.Fencing)
	}
	return s
}

// add starts an instance; its name begins with its zone.
func (s *site) add(zone, name string) *node {
	n := &node{site: s, self: platform.Instance{
		Name: name, Incarnation: name, Zone: zone, Role: platform.RoleEntry, PeerAddress: name, State: platform.InstanceLive,
	}, done: make(chan struct{})}
	opt := placement.DefaultDemandOptions()
	n.duty = New(Options{
		Self: n.self, Store: leased{s.store, n}, Peers: s, Engines: leased{s.store, n}, Known: func() *replica.Snapshot { return s.known(name) },
		Held: func() (uint64, bool) { return s.held(n) }, Holder: func() string { return s.leader(zone) },
		DrainsChanged: func([]string) {}, Count: func(string) {}, Planner: placement.Demand{Options: opt},
		Now: func() time.Duration { return time.Since(s.began) }, Log: slog.New(slog.NewTextHandler(s.log, nil)).With("instance", name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.duty.Run(ctx)
	}()
	return n
}

// lead gives a zone's lease to an instance, with a new fencing number.
func (s *site) lead(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence++
	s.leaders[n.self.Zone] = fmt.Sprintf("%s %d", n.self.Name, s.fence)
}

func (s *site) leader(zone string) (name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fence uint64
	_, _ = fmt.Sscanf(s.leaders[zone], "%s %d", &name, &fence)
	return name
}

func (s *site) held(n *node) (fence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var name string
	_, _ = fmt.Sscanf(s.leaders[n.self.Zone], "%s %d", &name, &fence)
	return fence, name == n.self.Name && !s.store.Faults().Outage
}

func (s *site) known(self string) *replica.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := &replica.Snapshot{
		Services: map[string]*config.Service{s.doc.Service: s.doc}, Versions: map[string]uint64{s.doc.Service: 1},
		Leaving: maps.Clone(s.leaving), Complete: math.MaxUint64,
	}
	if s.deleted {
		clear(snap.Services)
	}
	if s.behind {
		snap.Complete = 0
	}
	for name, n := range s.nodes {
		if name != self {
			snap.Peers = append(snap.Peers, n.self)
		}
	}
	return snap
}

// edit replaces the document.
func (s *site) edit(change func(doc *config.Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.doc
	change(&next)
	s.doc = &next
}

// leased is the store and the engines as one instance calls them. It notes
// what the instance does without the lease.
type leased struct {
	platform.Store
	n *node
}

func (l leased) note(what string) {
	if _, ok := l.n.site.held(l.n); !ok {
		l.n.site.mu.Lock()
		defer l.n.site.mu.Unlock()
		l.n.site.unheld = append(l.n.site.unheld, what)
	}
}

func (l leased) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	l.note("write " + string(obj.Kind))
	return l.Store.Put(ctx, obj)
}

func (l leased) Report(_ context.Context, address string) (engine.Report, error) {
	time.Sleep(time.Duration(l.n.site.slow[1].Load()))
	return l.n.site.engines[address].report()
}

func (l leased) Order(_ context.Context, address string, o engine.Order) (engine.OrderReply, error) {
	l.note("order")
	time.Sleep(time.Duration(l.n.site.slow[1].Load()))
	return l.n.site.engines[address].order(o)
}

// conn carries calls to one duty.
type conn struct {
	drpc.Conn
	to peerpb.DRPCPlacementServer
}

func (s *site) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	time.Sleep(time.Duration(s.slow[0].Load()))
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	s.mu.Lock()
	n := s.nodes[address]
	s.mu.Unlock()
	if n == nil {
		return errDown
	}
	select {
	case <-n.done:
		return errDown
	default:
	}
	return call(ctx, conn{to: n.duty.Server()})
}

func (c conn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
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

func (s *site) close() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, n := range s.nodes {
		<-n.done
	}
	synctest.Wait()
}

// until waits in the test's time until a condition holds.
func (s *site) until(bound time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

// safe checks every engine's own account.
func (s *site) safe() {
	s.t.Helper()
	for address, e := range s.engines {
		must.Eq(s.t, 0, e.counters().Overcommit, must.Sprint(address, " was overcommitted"))
		for id, n := range e.orders {
			must.Eq(s.t, 1, n, must.Sprint("order sent more than once: ", id))
		}
	}
}
