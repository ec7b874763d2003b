package placer

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"storj.io/drpc"
)

// adapterLoadTimeout is the time after which an adapter load that failed and
// that no request waits for is abandoned. Callers have shorter deadlines; one
// that still waits starts the load again.
const adapterLoadTimeout = 10 * time.Second

// EnsureAdapter loads an adapter on an upstream, named service/upstream, and
// returns when the engine reports it ready. The leader of the upstream's zone
// orders the load. EnsureAdapter fails with ErrAdapter, ErrNoZoneLeader,
// ErrStopped or the context's error; the adapter may still become ready later.
func (c *Controller) EnsureAdapter(ctx context.Context, upstream, model, adapter string) error {
	req := &peerpb.AdapterRequest{Upstream: upstream, Model: model, Adapter: adapter}
	zone, ok := c.upstreamZone(upstream)
	if !ok {
		return fmt.Errorf("%w: no upstream %s", ErrAdapter, upstream)
	}
	if zone == c.opts.Self.Zone {
		return c.ensureInZone(ctx, req)
	}
	peers := c.opts.Snapshot().ZonePeers(zone)
	if len(peers) == 0 {
		return fmt.Errorf("%w: zone %s", ErrNoZoneLeader, zone)
	}
	return c.requestAdapter(ctx, peers[rand.Intn(len(peers))].PeerAddress, req)
}

// upstreamZone returns the zone of an upstream, named service/upstream.
func (c *Controller) upstreamZone(upstream string) (string, bool) {
	service, shortName := inventory.SplitName(upstream)
	doc := c.opts.Snapshot().Services[service]
	if doc == nil {
		return "", false
	}
	for _, u := range doc.Upstreams {
		if u.Name == shortName {
			return u.Zone, true
		}
	}
	return "", false
}

// ensureInZone loads an adapter in this zone: directly if this instance is
// the zone leader, otherwise by forwarding the request to the zone leader.
func (c *Controller) ensureInZone(ctx context.Context, req *peerpb.AdapterRequest) error {
	if _, held := c.opts.LeaseHeld(); held {
		return c.awaitAdapter(ctx, req)
	}
	address, ok := c.zoneLeaderAddress()
	if !ok || req.Forwarded {
		return ErrNoZoneLeader
	}
	forwarded := &peerpb.AdapterRequest{Upstream: req.Upstream, Model: req.Model, Adapter: req.Adapter, Forwarded: true}
	return c.requestAdapter(ctx, address, forwarded)
}

func (c *Controller) requestAdapter(ctx context.Context, address string, req *peerpb.AdapterRequest) error {
	var reply *peerpb.AdapterReply
	err := c.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCPlacementClient(conn).EnsureAdapter(ctx, req)
		return err
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAdapter, err)
	}
	if !reply.Ready {
		return fmt.Errorf("%w: %s", ErrAdapter, reply.Reason)
	}
	return nil
}

// EnsureAdapter implements peerpb.DRPCPlacementServer.
func (s server) EnsureAdapter(ctx context.Context, req *peerpb.AdapterRequest) (*peerpb.AdapterReply, error) {
	if err := s.controller.ensureInZone(ctx, req); err != nil {
		return &peerpb.AdapterReply{Reason: err.Error()}, nil
	}
	return &peerpb.AdapterReply{Ready: true}, nil
}

// adapterWaiter is a request that waits for an adapter to be ready.
type adapterWaiter struct {
	ctx      context.Context
	upstream string
	key      ledger.Key
	result   chan error // buffered, capacity 1
}

func (w *adapterWaiter) reply(err error) {
	select {
	case w.result <- err:
	default:
	}
}

// awaitAdapter adds a waiter to the current leadership and waits for its result.
func (c *Controller) awaitAdapter(ctx context.Context, req *peerpb.AdapterRequest) error {
	w := &adapterWaiter{
		ctx: ctx, upstream: req.Upstream, key: ledger.Key{Model: req.Model, Adapter: req.Adapter}, result: make(chan error, 1),
	}
	err := c.post(ctx, func() {
		if c.leadership == nil {
			w.reply(ErrNoZoneLeader)
			return
		}
		c.leadership.waiters = append(c.leadership.waiters, w)
		c.leadership.processWaiters()
	})
	if err != nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return ErrStopped
	}
}

// processWaiters answers the waiters whose adapter is ready and starts the
// loads that memory and budget allow.
func (l *leadership) processWaiters() {
	if len(l.waiters) == 0 {
		return
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(w *adapterWaiter) bool {
		if w.ctx.Err() != nil {
			w.reply(w.ctx.Err())
			l.controller.opts.IncrementCounter(CounterAdapterFailures)
			return true
		}
		done, err := l.processWaiter(w)
		if done {
			w.reply(err)
		}
		return done
	})
}

// processWaiter reports whether a waiter can be answered, and with which error,
// nil if the adapter is ready. It starts the load if none is in flight.
func (l *leadership) processWaiter(w *adapterWaiter) (bool, error) {
	u := l.upstreams[w.upstream]
	if u == nil || !u.serves() || !u.adopted {
		return true, fmt.Errorf("%w: upstream %s takes no orders", ErrAdapter, w.upstream)
	}
	now := l.controller.opts.Now()
	if u.controller.Ledger().Ready(w.key) && u.want[w.key] != nil {
		u.want[w.key].lastUsed = now
		return true, nil
	}
	if !u.wantsModel(w.key.Model) {
		return true, fmt.Errorf("%w: model %s is not on %s", ErrAdapter, w.key.Model, w.upstream)
	}
	if u.want[w.key] != nil {
		return false, nil
	}
	return l.startAdapterLoad(now, u, w.key)
}

// startAdapterLoad starts an adapter load if the zone's budget allows one more in
// flight, and otherwise leaves the request waiting. It fails if the adapters in
// use leave too little memory.
func (l *leadership) startAdapterLoad(now time.Duration, u *upstream, key ledger.Key) (bool, error) {
	doc := l.controller.opts.Snapshot().Services[u.service]
	if doc == nil {
		return true, fmt.Errorf("%w: no service %s", ErrAdapter, u.service)
	}
	model, _ := doc.Model(key.Model)
	adapterConfig, ok := model.Adapter(key.Adapter)
	if !ok {
		return true, fmt.Errorf("%w: no adapter %s:%s", ErrAdapter, key.Model, key.Adapter)
	}
	if l.countLoadingAdapters(u.service) >= l.budget(doc).enforced.adapters {
		return false, nil
	}
	victims, ok := l.adapterVictims(now, doc, u, adapterConfig)
	if !ok {
		return true, fmt.Errorf("%w: adapters in use leave no memory on %s", ErrAdapter, u.target.Name)
	}
	for _, k := range victims {
		delete(u.want, k)
	}
	u.want[key] = &wanted{memoryMB: adapterConfig.MemoryMB, since: now, lastUsed: now}
	u.sendWanted()
	l.controller.opts.IncrementCounter(CounterAdapterLoads)
	return false, nil
}

// adapterVictims returns the adapters to evict to free memory for a, and whether
// a fits after that.
func (l *leadership) adapterVictims(now time.Duration, doc *config.Service, u *upstream, a config.Adapter) ([]ledger.Key, bool) {
	var resident []placement.Adapter
	byName := map[string]ledger.Key{}
	used := int64(0)
	for k, w := range u.want {
		if k.Adapter == "" {
			continue
		}
		name := k.Model + ":" + k.Adapter + ":" + k.Version
		byName[name] = k
		used += w.memoryMB
		resident = append(resident, placement.Adapter{
			Name: name, MemoryMB: w.memoryMB, Idle: now - w.lastUsed,
			InFlight: l.inFlight(now, u.target.Name, k.Model, k.Adapter) + l.countWaiters(u.target.Name, k),
		})
	}
	allowed := adapterReserves(doc)[u.target.Upstream.Name]
	if allowed == 0 {
		upstreamLedger := u.controller.Ledger()
		allowed = upstreamLedger.MemoryMB - upstreamLedger.Committed() + upstreamLedger.CommittedAdapters()
	}
	names, ok := placement.AdapterVictims(resident, allowed-used, a.MemoryMB)
	var keys []ledger.Key
	for _, name := range names {
		keys = append(keys, byName[name])
	}
	return keys, ok
}

// countWaiters returns the number of requests that wait for an adapter on an
// upstream.
func (l *leadership) countWaiters(upstream string, k ledger.Key) int {
	n := 0
	for _, w := range l.waiters {
		if w.upstream == upstream && w.key == k {
			n++
		}
	}
	return n
}

// countLoadingAdapters returns the number of adapter loads of a service in
// flight in the zone.
func (l *leadership) countLoadingAdapters(service string) int64 {
	var n int64
	for _, u := range l.upstreams {
		if u.service != service {
			continue
		}
		for k := range u.want {
			if k.Adapter != "" && !u.controller.Ledger().Ready(k) {
				n++
			}
		}
	}
	return n
}

// countNeededAdapterLoads returns the number of adapter loads of a service that
// are in flight or that a request waits for.
func (l *leadership) countNeededAdapterLoads(service string) int64 {
	n := l.countLoadingAdapters(service)
	for _, w := range l.waiters {
		u := l.upstreams[w.upstream]
		if u != nil && u.service == service && u.want[w.key] == nil {
			n++
		}
	}
	return n
}

// abandonAdapterLoads removes from the wanted sets the adapters whose load has
// not completed within adapterLoadTimeout.
func (l *leadership) abandonAdapterLoads(now time.Duration) {
	for _, u := range l.upstreams {
		before := len(u.want)
		for k, w := range u.want {
			if k.Adapter != "" && !u.controller.Ledger().Ready(k) && now-w.since > adapterLoadTimeout {
				delete(u.want, k)
			}
		}
		if len(u.want) != before {
			u.sendWanted()
		}
	}
}
