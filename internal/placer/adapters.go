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

// adapterPatience is how long a load that nobody waits for any more may take
// before it is given up.
const adapterPatience = 10 * time.Second

// EnsureAdapter has an adapter loaded on an upstream, service/upstream, and
// returns once the engine reports it ready. The holder of the upstream's zone
// orders the load. It fails with ErrAdapter, ErrNotHolder, ErrStopped or the
// context's error; the adapter may become ready all the same.
func (d *Duty) EnsureAdapter(ctx context.Context, upstream, model, adapter string) error {
	req := &peerpb.AdapterRequest{Upstream: upstream, Model: model, Adapter: adapter}
	zone, ok := d.zoneOf(upstream)
	if !ok {
		return fmt.Errorf("%w: no upstream %s", ErrAdapter, upstream)
	}
	if zone == d.opts.Self.Zone {
		return d.ensureHere(ctx, req)
	}
	peers := d.opts.Known().ZonePeers(zone)
	if len(peers) == 0 {
		return fmt.Errorf("%w: zone %s", ErrNotHolder, zone)
	}
	return d.askAdapter(ctx, peers[rand.Intn(len(peers))].PeerAddress, req)
}

func (d *Duty) zoneOf(upstream string) (string, bool) {
	service, short := inventory.SplitName(upstream)
	doc := d.opts.Known().Services[service]
	if doc == nil {
		return "", false
	}
	for _, u := range doc.Upstreams {
		if u.Name == short {
			return u.Zone, true
		}
	}
	return "", false
}

// ensureHere has an adapter of this zone loaded, by this instance if it holds
// the lease, else by the one that does.
func (d *Duty) ensureHere(ctx context.Context, req *peerpb.AdapterRequest) error {
	if _, held := d.opts.Held(); held {
		return d.await(ctx, req)
	}
	address, ok := d.holderAddress()
	if !ok || req.Forwarded {
		return ErrNotHolder
	}
	forwarded := &peerpb.AdapterRequest{Upstream: req.Upstream, Model: req.Model, Adapter: req.Adapter, Forwarded: true}
	return d.askAdapter(ctx, address, forwarded)
}

func (d *Duty) askAdapter(ctx context.Context, address string, req *peerpb.AdapterRequest) error {
	var reply *peerpb.AdapterReply
	err := d.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
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
	if err := s.d.ensureHere(ctx, req); err != nil {
		return &peerpb.AdapterReply{Reason: err.Error()}, nil
	}
	return &peerpb.AdapterReply{Ready: true}, nil
}

// waiter is a request that waits for an adapter.
type waiter struct {
	ctx      context.Context
	upstream string
	key      ledger.Key
	result   chan error // of capacity 1
}

func (w *waiter) answer(err error) {
	select {
	case w.result <- err:
	default:
	}
}

// await waits in this instance's term.
func (d *Duty) await(ctx context.Context, req *peerpb.AdapterRequest) error {
	w := &waiter{
		ctx: ctx, upstream: req.Upstream, key: ledger.Key{Model: req.Model, Adapter: req.Adapter}, result: make(chan error, 1),
	}
	err := d.post(ctx, func() {
		if d.term == nil {
			w.answer(ErrNotHolder)
			return
		}
		d.term.waiters = append(d.term.waiters, w)
		d.term.pumpAdapters()
	})
	if err != nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return ErrStopped
	}
}

// pumpAdapters answers the waiters whose adapter is ready and starts the loads
// that memory and budget allow.
func (t *term) pumpAdapters() {
	if len(t.waiters) == 0 {
		return
	}
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		if w.ctx.Err() != nil {
			w.answer(w.ctx.Err())
			t.d.opts.Count(CountAdapterFails)
			return true
		}
		done, err := t.serveAdapter(w)
		if done {
			w.answer(err)
		}
		return done
	})
}

// serveAdapter says whether a waiter can be answered.
func (t *term) serveAdapter(w *waiter) (bool, error) {
	u := t.upstreams[w.upstream]
	if u == nil || !u.serves() || !u.adopted {
		return true, fmt.Errorf("%w: upstream %s takes no orders", ErrAdapter, w.upstream)
	}
	now := t.d.opts.Now()
	if u.c.Ledger().Ready(w.key) && u.want[w.key] != nil {
		u.want[w.key].used = now
		return true, nil
	}
	if !u.wants(w.key.Model) {
		return true, fmt.Errorf("%w: model %s is not on %s", ErrAdapter, w.key.Model, w.upstream)
	}
	if u.want[w.key] != nil {
		return false, nil
	}
	return t.loadAdapter(now, u, w.key)
}

// loadAdapter starts a load. It waits for a slot of the budget, and fails
// where the adapters in use leave no room.
func (t *term) loadAdapter(now time.Duration, u *upstream, key ledger.Key) (bool, error) {
	doc := t.d.opts.Known().Services[u.service]
	if doc == nil {
		return true, fmt.Errorf("%w: no service %s", ErrAdapter, u.service)
	}
	model, _ := doc.Model(key.Model)
	described, ok := model.Adapter(key.Adapter)
	if !ok {
		return true, fmt.Errorf("%w: no adapter %s:%s", ErrAdapter, key.Model, key.Adapter)
	}
	if t.adaptersLoading(u.service) >= t.budget(doc).inForce.adapters {
		return false, nil
	}
	victims, ok := t.adapterVictims(now, doc, u, described)
	if !ok {
		return true, fmt.Errorf("%w: adapters in use leave no memory on %s", ErrAdapter, u.target.Name)
	}
	for _, k := range victims {
		delete(u.want, k)
	}
	u.want[key] = &wanted{memoryMB: described.MemoryMB, since: now, used: now}
	u.sendWanted()
	t.d.opts.Count(CountAdapterLoads)
	return false, nil
}

func (t *term) adapterVictims(now time.Duration, doc *config.Service, u *upstream, a config.Adapter) ([]ledger.Key, bool) {
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
			Name: name, MemoryMB: w.memoryMB, Idle: now - w.used,
			InFlight: t.inFlight(now, u.target.Name, k.Model, k.Adapter) + t.waitingFor(u.target.Name, k),
		})
	}
	allowed := adapterReserves(doc)[u.target.Upstream.Name]
	if allowed == 0 {
		l := u.c.Ledger()
		allowed = l.MemoryMB - l.Committed() + l.CommittedAdapters()
	}
	names, ok := placement.AdapterVictims(resident, allowed-used, a.MemoryMB)
	var keys []ledger.Key
	for _, name := range names {
		keys = append(keys, byName[name])
	}
	return keys, ok
}

// waitingFor counts the requests that wait for an adapter.
func (t *term) waitingFor(upstream string, k ledger.Key) int {
	n := 0
	for _, w := range t.waiters {
		if w.upstream == upstream && w.key == k {
			n++
		}
	}
	return n
}

// adaptersLoading counts the adapter loads of a service in flight in the zone.
func (t *term) adaptersLoading(service string) int64 {
	var n int64
	for _, u := range t.upstreams {
		if u.service != service {
			continue
		}
		for k := range u.want {
			if k.Adapter != "" && !u.c.Ledger().Ready(k) {
				n++
			}
		}
	}
	return n
}

// adapterNeed counts the adapter loads of a service in flight or waited for.
func (t *term) adapterNeed(service string) int64 {
	n := t.adaptersLoading(service)
	for _, w := range t.waiters {
		u := t.upstreams[w.upstream]
		if u != nil && u.service == service && u.want[w.key] == nil {
			n++
		}
	}
	return n
}

// forgetAdapters gives up loads that failed and that nobody waits for.
func (t *term) forgetAdapters(now time.Duration) {
	for _, u := range t.upstreams {
		before := len(u.want)
		for k, w := range u.want {
			if k.Adapter != "" && !u.c.Ledger().Ready(k) && now-w.since > adapterPatience {
				delete(u.want, k)
			}
		}
		if len(u.want) != before {
			u.sendWanted()
		}
	}
}
