package placer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// term is one tenure of the zone's lease. It is stepped by the duty's owning
// goroutine only.
type term struct {
	d         *Duty
	fence     uint64
	writer    string
	ctx       context.Context
	cancel    context.CancelFunc
	began     time.Duration
	planned   time.Duration // when the last round of planning was
	nextPlan  time.Duration
	nextFull  time.Duration
	greeted   bool                 // other zones were asked whether they are alive
	upstreams map[string]*upstream // by service/upstream
	homes     *homes
	models    map[string]*model  // by service/model
	budgets   map[string]*budget // by service
	instances map[string]instanceUse
	waiters   []*waiter
	strays    []stray // that may have left the document, until it is known
}

// instanceUse is what one instance of the zone reported last.
type instanceUse struct {
	at      time.Duration
	flights map[flight]int64
}

func newTerm(ctx context.Context, d *Duty, fence uint64) *term {
	t := &term{
		d: d, fence: fence, writer: fmt.Sprintf("%s/%d", d.opts.Self.Incarnation, fence), began: d.opts.Now(), planned: d.opts.Now(),
		upstreams: map[string]*upstream{}, models: map[string]*model{}, budgets: map[string]*budget{}, instances: map[string]instanceUse{},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.homes = newHomes(t)
	go t.homes.watch(t.ctx)
	go t.findStrays()
	return t
}

func (t *term) end() {
	t.cancel()
	for _, w := range t.waiters {
		w.answer(ErrNotHolder)
	}
}

// holds says whether the lease is held under this tenure's number now. It is
// asked before each write and order.
func (t *term) holds() bool {
	fence, held := t.d.opts.Held()
	return held && fence == t.fence && t.ctx.Err() == nil
}

// start makes calls in a goroutine of their own; what they return is stepped
// by the owner, unless the term has ended.
func (t *term) start(call func(ctx context.Context) (step func())) {
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		step := call(ctx)
		cancel()
		_ = t.d.post(t.ctx, func() { t.step(step) })
	}()
}

func (t *term) step(step func()) {
	if t.d.term != t {
		return
	}
	step()
	t.pumpAdapters()
}

func (t *term) tick(now time.Duration) {
	if now >= t.nextPlan {
		t.nextPlan = now + planPeriod
		t.syncUpstreams(now, t.d.opts.Known())
		t.plan(now)
	}
	t.stepUpstreams(now)
	t.pumpAdapters()
}

// stepUpstreams lets time pass at all upstreams, and more often at those whose
// adapters are waited for.
func (t *term) stepUpstreams(now time.Duration) {
	if now >= t.nextFull {
		t.nextFull = now + tickPeriod
		for _, u := range t.sorted() {
			u.step(ledger.Tick{})
		}
		return
	}
	awaited := map[string]bool{}
	for _, w := range t.waiters {
		if u := t.upstreams[w.upstream]; u != nil && !awaited[w.upstream] {
			awaited[w.upstream] = true
			u.step(ledger.Tick{})
		}
	}
}

// hasten plans again at the next tick.
func (t *term) hasten() { t.nextPlan = 0 }

// sorted returns the upstreams by name.
func (t *term) sorted() []*upstream {
	list := make([]*upstream, 0, len(t.upstreams))
	for _, name := range slices.Sorted(maps.Keys(t.upstreams)) {
		list = append(list, t.upstreams[name])
	}
	return list
}

// syncUpstreams brings the upstreams in step with the documents.
func (t *term) syncUpstreams(now time.Duration, known *replica.Snapshot) {
	named, addresses := map[string]bool{}, map[string]bool{}
	engines := 0
	targets := inventory.Targets(known)
	for _, target := range targets {
		addresses[target.Upstream.Address] = true
		if t.mine(target) {
			engines++
		}
	}
	for _, target := range targets {
		if !t.mine(target) {
			continue
		}
		named[target.Name] = true
		u := t.upstreams[target.Name]
		if u == nil || u.retired || u.target.Upstream != target.Upstream {
			u.stop()
			u = newUpstream(t, target, engines)
			t.upstreams[target.Name] = u
		}
		u.list(known.Leaving[target.Upstream.Address])
	}
	t.adoptStrays(now, known, named, addresses)
	for _, u := range t.sorted() {
		switch {
		case named[u.target.Name]:
		case u.foreign || addresses[u.target.Upstream.Address]:
			u.stop()
			delete(t.upstreams, u.target.Name)
		default:
			t.retire(now, u, known)
		}
	}
}

func (t *term) mine(target inventory.Target) bool {
	return target.Upstream.Kind == config.UpstreamEngine && target.Upstream.Zone == t.d.opts.Self.Zone
}

// retiredKept bounds how long an upstream that no document names any more is
// kept for models that have no other home.
const retiredKept = 10 * time.Minute

// retire lets go of an upstream that no document names any more: its models
// stay until they are ready elsewhere or deleted.
func (t *term) retire(now time.Duration, u *upstream, known *replica.Snapshot) {
	if !u.retired {
		u.retired = true
		u.retiredAt = now
		t.d.opts.Log.Info("upstream retired", "upstream", u.target.Name)
	}
	for _, k := range u.wantedModels() {
		scoped := u.service + "/" + k.Model
		switch {
		case t.deleted(known, u.service, k.Model), t.readyBeside(u, k.Model), t.homes.elsewhere(scoped, t.alive(now)) > 0:
			t.letGo(now, u, k.Model)
		default:
			delete(u.draining, k.Model)
		}
	}
	l := u.c.Ledger()
	empty := u.adopted && len(u.want) == 0 && len(l.Resident) == 0
	if empty || now-u.retiredAt > retiredKept {
		u.stop()
		delete(t.upstreams, u.target.Name)
	}
}

// readyBeside says whether another upstream of the zone holds a model ready.
func (t *term) readyBeside(u *upstream, model string) bool {
	for _, other := range t.upstreams {
		if other != u && other.service == u.service && other.serves() && other.ready(model) {
			return true
		}
	}
	return false
}

// alive returns which zones can be reached.
func (t *term) alive(now time.Duration) func(zone string) bool {
	return func(zone string) bool {
		at, seen := t.d.seen[zone]
		return zone == t.d.opts.Self.Zone || seen && now-at <= zoneKept
	}
}

// zones returns the zones alive, in order.
func (t *term) zones(now time.Duration) []string {
	alive := t.alive(now)
	zones := []string{t.d.opts.Self.Zone}
	for zone := range t.d.seen {
		if zone != t.d.opts.Self.Zone && alive(zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// drains returns what drains in this zone, and in others as they told.
func (t *term) drains(now time.Duration, others bool) []drain {
	var list []drain
	for _, u := range t.sorted() {
		for _, model := range slices.Sorted(maps.Keys(u.draining)) {
			list = append(list, drain{u.target.Name, model})
		}
	}
	if !others {
		return list
	}
	for _, zone := range slices.Sorted(maps.Keys(t.d.remote)) {
		if z := t.d.remote[zone]; now-z.at <= reportKept {
			list = append(list, z.drains...)
		}
	}
	return list
}

// inFlight sums what the instances of the zone reported for a model and, if
// the adapter is not empty, for that adapter only.
func (t *term) inFlight(now time.Duration, upstream, model, adapter string) int {
	var n int64
	for _, use := range t.instances {
		if now-use.at > reportKept {
			continue
		}
		for f, running := range use.flights {
			if f.upstream == upstream && f.model == model && (adapter == "" || f.adapter == adapter) {
				n += running
			}
		}
	}
	return int(n)
}
