package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/jsonitems"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

// The tests of this file run the background tasks of many instances in virtual time,
// joined by links of limited bandwidth.

const (
	// linkChunkBytes is the unit in which transfers share a link.
	linkChunkBytes = 4 << 10
	// linkDelay is the time that a message takes besides the transfer of its bytes.
	linkDelay = time.Millisecond
)

// testLink is the network link of one instance. Its zero value is unlimited.
type testLink struct {
	mu        sync.Mutex
	bytesPerS int
	busyUntil time.Time
}

// reserve takes the link for n bytes and returns when they are through.
func (l *testLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.bytesPerS == 0 {
		return now
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerS))
	return l.busyUntil
}

// testProcessor is the processor of one instance. Its zero value is unlimited.
type testProcessor struct {
	mu        sync.Mutex
	share     float64 // of a core
	busyUntil time.Time
}

// reserve takes the processor for work that takes d on a whole core and returns when it
// is done.
func (p *testProcessor) reserve(d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.share == 0 {
		return now
	}
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(time.Duration(float64(d) / p.share))
	return p.busyUntil
}

// Processor time of an instance on a whole core.
const (
	callWork        = 200 * time.Microsecond // of a call that is answered or made
	callWorkPerKB   = 20 * time.Microsecond
	decodeWorkPerKB = 15 * time.Microsecond // of a configuration, before compression
)

// handleCall waits until the processor has handled a message of a call.
func (p *testProcessor) handleCall(bytes int) {
	time.Sleep(time.Until(p.reserve(callWork + time.Duration(bytes>>10)*callWorkPerKB)))
}

// transfer sends n bytes over the links. It ends early if ctx ends.
func transfer(ctx context.Context, n int, links ...*testLink) error {
	time.Sleep(linkDelay)
	for ; n > 0; n -= linkChunkBytes {
		for _, l := range links {
			time.Sleep(time.Until(l.reserve(min(n, linkChunkBytes))))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// testFleet is a number of instances and their store.
type testFleet struct {
	t       *testing.T
	began   time.Time
	store   *objectstore.Memory
	decoder storesync.Decoder // of all instances
	// wrapStore changes the store as instances reach it; nil for no change.
	wrapStore func(objectstore.Store) objectstore.Store
	edit      func(*Settings) // changes the settings of instances
	// receive changes the messages that instances get.
	receive func(m any)
	// starved is whether decoding costs what decodingCost says, and each instance has a
	// decoder of its own for the configuration.
	starved bool
	// storeDelay is how long the store takes for an answer, in nanoseconds.
	storeDelay atomic.Int64
	mu         sync.Mutex
	nodes      map[string]*testNode // those that run, by address
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// testNode is one run of an instance.
type testNode struct {
	f       *testFleet
	g       *Gateway
	receive func(m any) // of the fleet when it was started
	link    *testLink
	cpu     *testProcessor
	logged  lockedBuffer
	lossy   atomic.Int64 // calls to it get no answer until this time in Unix nanoseconds, but each third one
	calls   atomic.Int64
	mute    atomic.Bool  // calls that fetch from it get no answer
	refuses atomic.Bool  // it puts no configuration in force
	side    atomic.Int32 // instances on different sides of a partition do not reach each other
	started time.Time
	cancel  context.CancelFunc
	ended   sync.WaitGroup

	decodedMu sync.Mutex
	decoded   []decodedConfig // in a starved fleet
	routes    jsonitems.Cache[struct{}]
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, began: time.Now().Add(-time.Hour), store: objectstore.NewMemory(time.Second), decoder: newDecoder(), edit: func(*Settings) {}, receive: func(any) {}, nodes: map[string]*testNode{}}
}

// start starts an instance. capacity is that of its machine, see MachineSettings.
func (f *testFleet) start(name, zone string, capacity uint32, bytesPerS int, seeds []string) *testNode {
	return f.startOn(testMachine{name: name, zone: zone, capacity: capacity, bytesPerS: bytesPerS}, seeds)
}

// testMachine describes what an instance runs on.
type testMachine struct {
	name, zone string
	capacity   uint32
	bytesPerS  int     // of the link, 0 for unlimited
	share      float64 // of a core, 0 for unlimited
}

// startOn starts an instance on a machine.
func (f *testFleet) startOn(m testMachine, seeds []string) *testNode {
	name, zone, capacity := m.name, m.zone, m.capacity
	s := DefaultSettings()
	s.Name, s.Zone, s.PeerListen, s.Peers = name, zone, name+":1", seeds
	f.edit(s)
	n := &testNode{f: f, receive: f.receive, link: &testLink{bytesPerS: m.bytesPerS}, cpu: &testProcessor{share: m.share}, started: time.Now()}
	decoder := f.decoder
	decoder.Config = func(o objectstore.Object) (*fleet.Config, []error, error) {
		if n.refuses.Load() {
			return nil, nil, errRefused
		}
		n.cpu.reserve(time.Duration(len(o.Value)>>10) * decodeWorkPerKB)
		return f.decoder.Config(o)
	}
	if f.starved {
		decoder.Config = n.decodeAtCost
	}
	var store objectstore.Store = linkedStore{f.store, n.link, &f.storeDelay}
	if f.wrapStore != nil {
		store = f.wrapStore(store)
	}
	n.g = &Gateway{
		opts: Options{Settings: s, Store: store, Decoder: decoder}, codec: struct{ Codec }{},
		now: func() time.Duration { return time.Since(f.began) }, log: slog.New(slog.NewTextHandler(&n.logged, nil)),
		self:    &meshpb.MemberInfo{Name: name, Incarnation: fmt.Sprint(name, time.Now()), PeerAddress: s.PeerListen, Zone: zone, Capacity: capacity},
		started: time.Since(f.began),
	}
	n.g.settings.Store(s)
	n.g.peers = n
	n.g.initComponents()
	must.NoError(f.t, n.g.metrics.Close())
	n.g.initBackgroundTasks()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	f.nodes[s.PeerListen] = n
	f.mu.Unlock()
	for _, run := range []func(context.Context) error{n.g.catalog.Run, n.g.mesh.Run, n.g.registerInstance, n.g.updateMembers, n.g.announceNews, n.g.streamVersions.tell, n.g.streamVersions.keepVersions, n.g.streamVersions.storeStreams, n.g.dispatcher.run, n.g.permits.run, n.g.evacuations.announce} {
		n.ended.Go(func() { _ = run(ctx) })
	}
	return n
}

// stop ends the run of an instance.
func (n *testNode) stop() {
	n.f.mu.Lock()
	delete(n.f.nodes, n.g.self.PeerAddress)
	n.f.mu.Unlock()
	n.cancel()
	n.ended.Wait()
}

func (f *testFleet) node(address string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// Call implements peer.Caller.
func (n *testNode) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- call(ctx, &testPeerConn{from: n, address: address}) }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testPeerConn is a connection between two instances.
type testPeerConn struct {
	drpc.Conn
	from    *testNode
	address string
}

var (
	errNoPeer  = errors.New("no instance at this address")
	errRefused = errors.New("configuration refused")
)

// Invoke implements drpc.Conn.
func (c *testPeerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	to := c.from.f.node(c.address)
	if to == nil {
		time.Sleep(linkDelay)
		return errNoPeer
	}
	if to.side.Load() != c.from.side.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := enc.Marshal(in)
	if err != nil {
		return err
	}
	if time.Now().UnixNano() < to.lossy.Load() && to.calls.Add(1)%3 != 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	if to.mute.Load() && (strings.HasSuffix(rpc, "/Knowledge") || strings.HasSuffix(rpc, "/Blocks")) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := transfer(ctx, len(raw), c.from.link, to.link); err != nil {
		return err
	}
	to.cpu.handleCall(len(raw))
	reply, err := to.handle(ctx, rpc, enc, raw)
	if err != nil {
		return err
	}
	if err := transfer(ctx, len(reply), to.link, c.from.link); err != nil {
		return err
	}
	c.from.cpu.handleCall(len(reply))
	err = enc.Unmarshal(reply, out)
	c.from.receive(out)
	return err
}

// handle answers a call of a peer.
func (n *testNode) handle(ctx context.Context, rpc string, enc drpc.Encoding, raw []byte) ([]byte, error) {
	var desc meshpb.DRPCMeshDescription
	for i := range desc.NumMethods() {
		name, _, receiver, _, _ := desc.Method(i)
		if name != rpc {
			continue
		}
		in := newRequest(rpc)
		if err := enc.Unmarshal(raw, in); err != nil {
			return nil, err
		}
		n.receive(in)
		out, err := receiver(meshServer{n.g}, ctx, in, nil)
		if err != nil {
			return nil, err
		}
		return enc.Marshal(out)
	}
	return nil, errors.New("unknown call " + rpc)
}

func newRequest(rpc string) any {
	switch rpc[strings.LastIndexByte(rpc, '/')+1:] {
	case "Exchange":
		return &meshpb.InstanceState{}
	case "Knowledge":
		return &meshpb.KnowledgeRequest{}
	case "Blocks":
		return &meshpb.BlocksRequest{}
	case "RecordStreams":
		return &meshpb.StreamRecords{}
	case "FindStream":
		return &meshpb.StreamQuery{}
	case "Announce":
		return &meshpb.News{}
	case "AcquirePermit":
		return &meshpb.PermitRequest{}
	case "ReleasePermits":
		return &meshpb.PermitRelease{}
	case "Changes":
		return &meshpb.BoardVersion{}
	}
	return &meshpb.AdapterRequest{}
}

// linkedStore is the store as an instance reaches it over its link.
type linkedStore struct {
	objectstore.Store
	link  *testLink
	delay *atomic.Int64
}

// List implements objectstore.Store.
func (s linkedStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	list, err := s.Store.List(ctx, kind)
	return s.receive(ctx, list, err)
}

// Watch implements objectstore.Store.
func (s linkedStore) Watch(ctx context.Context, kind objectstore.Kind, since uint64) (objectstore.List, error) {
	list, err := s.Store.Watch(ctx, kind, since)
	return s.receive(ctx, list, err)
}

func (s linkedStore) receive(ctx context.Context, list objectstore.List, err error) (objectstore.List, error) {
	size := 0
	for _, o := range list.Objects {
		size += len(o.Value)
	}
	time.Sleep(time.Duration(s.delay.Load()))
	return list, errors.Join(err, transfer(ctx, size, s.link))
}

// newDecoder returns a decoder of the JSON form of the store's objects. It decodes each
// revision of the configuration once for all instances.
func newDecoder() storesync.Decoder {
	var mu sync.Mutex
	configs := map[uint64]*fleet.Config{}
	return storesync.Decoder{
		ConfigName: "main",
		Config: func(o objectstore.Object) (*fleet.Config, []error, error) {
			mu.Lock()
			defer mu.Unlock()
			if c := configs[o.Version]; c != nil {
				return c, nil, nil
			}
			configs[o.Version] = &fleet.Config{}
			return configs[o.Version], nil, json.Unmarshal(o.Value, configs[o.Version])
		},
		Upstream: func(o objectstore.Object) (u fleet.Upstream, err error) {
			err = json.Unmarshal(o.Value, &u)
			u.ID, u.Revision = o.Name, o.Version
			return u, err
		},
	}
}

// putConfig writes a configuration with so many routes and returns its revision.
func (f *testFleet) putConfig(version int64, routes int) uint64 {
	old, err := f.store.Get(context.Background(), objectstore.KindConfig, "main")
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		must.NoError(f.t, err)
	}
	config := fleet.Config{Version: version, Routes: testRoutes(routes)}
	raw, err := json.Marshal(config)
	must.NoError(f.t, err)
	stored, err := f.store.Put(context.Background(), objectstore.Object{Kind: objectstore.KindConfig, Name: "main", Version: old.Version, Value: raw})
	must.NoError(f.t, err)
	return stored.Version
}

func testRoutes(n int) []*fleet.Route {
	rng := rand.New(rand.NewPCG(1, 1))
	var routes []*fleet.Route
	for i := range n {
		routes = append(routes, &fleet.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("%x.example", rng.Uint64()), PathPrefix: fmt.Sprintf("/%x/", rng.Uint64()),
			Timeout: 3 * time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 2, Targets: []fleet.Target{{Service: "app", Weight: 1}},
		})
	}
	return routes
}

// configChecker checks that each instance has a change in force within a bound.
type configChecker struct {
	applyWithin time.Duration // since the change was stored
	settleTime  time.Duration // of an instance after its start
	changes     []storedChange
	violations  []string
}

type storedChange struct {
	at       time.Time
	revision uint64
}

func (c *configChecker) stored(revision uint64) {
	c.changes = append(c.changes, storedChange{time.Now(), revision})
}

// check examines all running instances at the present moment.
func (c *configChecker) check(f *testFleet) {
	due := uint64(0)
	for _, change := range c.changes {
		if time.Since(change.at) > c.applyWithin {
			due = change.revision
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if revision, _, _ := n.g.catalog.Revisions(); revision < due && time.Since(n.started) > c.settleTime {
			c.violations = append(c.violations, fmt.Sprintf("%s at %v has revision %d, %d was due", n.g.self.Name, time.Since(f.began), revision, due))
		}
	}
}

// A configuration with 1,960 more routes is in force everywhere within 3 s, also on
// small machines, while instances restart in groups of three and other changes
// follow (incident CONFIG).
func TestLargeConfigurationWhileInstancesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			fleetSize  = 61
			zones      = 5
			bigLink    = 200_000_000 / 8
			smallLink  = 10_000_000 / 8
			groupPause = 1540 * time.Millisecond
			downTime   = 300 * time.Millisecond
		)
		f := newTestFleet(t)
		f.putConfig(14, 300)
		// As in the deployment, the last names of a zone belong to its large machines.
		start := func(i int) *testNode {
			zone, index := i%zones, i/zones
			capacity, rate := uint32(10), smallLink
			if index >= fleetSize/zones-2 && i < fleetSize-1 {
				capacity, rate = 200, bigLink
			}
			return f.start(fmt.Sprintf("z%d-%02d", zone, index), fmt.Sprintf("z%d", zone), capacity, rate, []string{"z0-00:1", "z1-00:1", "z2-00:1"})
		}
		nodes := make([]*testNode, fleetSize)
		for i := range nodes {
			nodes[i] = start(i)
		}
		time.Sleep(6 * time.Second)
		c := &configChecker{applyWithin: 3 * time.Second, settleTime: 4 * time.Second}
		c.stored(f.putConfig(16, 2260))
		rng := rand.New(rand.NewPCG(27, 1))
		order := rng.Perm(fleetSize)
		began, restarted, changes := time.Now(), 0, 0
		for time.Since(began) < 13*time.Second {
			time.Sleep(100 * time.Millisecond)
			elapsed := time.Since(began)
			if changes < 2 && elapsed > time.Duration(5800+2100*changes)*time.Millisecond {
				changes++
				c.stored(f.putConfig(int64(16+3*changes), 2260+changes))
			}
			if restarted < 36 && elapsed > 1700*time.Millisecond+time.Duration(restarted/3)*groupPause/2 {
				for _, i := range order[restarted : restarted+3] {
					nodes[i].stop()
					time.AfterFunc(downTime, func() { nodes[i] = start(i) })
				}
				restarted += 3
			}
			c.check(f)
		}
		for _, n := range nodes {
			n.stop()
		}
		time.Sleep(2 * peerCallTimeout) // calls that are still under way end
		if len(c.violations) > 0 {
			t.Errorf("%d times, first: %s", len(c.violations), strings.Join(c.violations[:min(3, len(c.violations))], "; "))
		}
	})
}
