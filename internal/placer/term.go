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

// term is one tenure of the zone's lease. Only the goroutine of Duty.runLoop
// accesses it.
type term struct {
	d              *Duty
	fence          uint64
	writer         string
	ctx            context.Context
	cancel         context.CancelFunc
	began          time.Duration
	lastPlan       time.Duration // when the last planning round ran
	nextPlan       time.Duration
	nextFullStep   time.Duration
	zonesContacted bool                 // other zones were called, so it is known which are alive
	upstreams      map[string]*upstream // by service/upstream
	homes          *homes
	models         map[string]*modelState // by service/model
	budgets        map[string]*zoneBudget // by service
	instances      map[string]instanceUsage
	waiters        []*adapterWaiter
	orphans        []orphan // candidates, until the documents are new enough to decide
}

// instanceUsage is the last report of one instance of the zone.
type instanceUsage struct {
	at      time.Duration
	flights map[flightKey]int64
}

func newTerm(ctx context.Context, d *Duty, fence uint64) *term {
	t := &term{
		d: d, fence: fence, writer: fmt.Sprintf("%s/%d", d.opts.Self.Incarnation, fence), began: d.opts.Now(), lastPlan: d.opts.Now(),
		upstreams: map[string]*upstream{}, models: map[string]*modelState{}, budgets: map[string]*zoneBudget{}, instances: map[string]instanceUsage{},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.homes = newHomes(t)
	go t.homes.watch(t.ctx)
	go t.findOrphans()
	return t
}

func (t *term) end() {
	t.cancel()
	for _, w := range t.waiters {
		w.reply(ErrNotHolder)
	}
}

// holdsLease reports whether the lease is held now under this term's fencing
// number. It is called before each write and order.
func (t *term) holdsLease() bool {
	fence, held := t.d.opts.Held()
	return held && fence == t.fence && t.ctx.Err() == nil
}

// startCall runs call in a new goroutine. The function that call returns runs in
// the goroutine of runLoop, unless the term has ended by then.
func (t *term) startCall(call func(ctx context.Context) (step func())) {
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		step := call(ctx)
		cancel()
		_ = t.d.post(t.ctx, func() { t.runStep(step) })
	}()
}

// runStep runs step, unless this term has ended, and then processes the waiters.
func (t *term) runStep(step func()) {
	if t.d.term != t {
		return
	}
	step()
	t.processWaiters()
}

func (t *term) tick(now time.Duration) {
	if now >= t.nextPlan {
		t.nextPlan = now + planPeriod
		t.syncUpstreams(now, t.d.opts.Known())
		t.plan(now)
	}
	t.stepUpstreams(now)
	t.processWaiters()
}

// stepUpstreams sends a tick to all upstreams every tickPeriod, and on each call
// to those that a request waits for an adapter on.
func (t *term) stepUpstreams(now time.Duration) {
	if now >= t.nextFullStep {
		t.nextFullStep = now + tickPeriod
		for _, u := range t.sortedUpstreams() {
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

// planAtNextTick makes the next tick run a planning round.
func (t *term) planAtNextTick() { t.nextPlan = 0 }

// sortedUpstreams returns the upstreams sorted by name.
func (t *term) sortedUpstreams() []*upstream {
	list := make([]*upstream, 0, len(t.upstreams))
	for _, name := range slices.Sorted(maps.Keys(t.upstreams)) {
		list = append(list, t.upstreams[name])
	}
	return list
}

// syncUpstreams adds, replaces, retires and removes upstreams to match the
// documents.
func (t *term) syncUpstreams(now time.Duration, known *replica.Snapshot) {
	named, addresses := map[string]bool{}, map[string]bool{}
	engines := 0
	targets := inventory.Targets(known)
	for _, target := range targets {
		addresses[target.Upstream.Address] = true
		if t.manages(target) {
			engines++
		}
	}
	for _, target := range targets {
		if !t.manages(target) {
			continue
		}
		named[target.Name] = true
		u := t.upstreams[target.Name]
		if u == nil || u.retired || u.target.Upstream != target.Upstream {
			u.stop()
			u = newUpstream(t, target, engines)
			t.upstreams[target.Name] = u
		}
		u.setLeaving(known.Leaving[target.Upstream.Address])
	}
	t.adoptOrphans(now, known, named, addresses)
	for _, u := range t.sortedUpstreams() {
		switch {
		case named[u.target.Name]:
		case u.replaced || addresses[u.target.Upstream.Address]:
			u.stop()
			delete(t.upstreams, u.target.Name)
		default:
			t.retireUpstream(now, u, known)
		}
	}
}

// manages reports whether a target is an engine of this zone.
func (t *term) manages(target inventory.Target) bool {
	return target.Upstream.Kind == config.UpstreamEngine && target.Upstream.Zone == t.d.opts.Self.Zone
}

// retiredTimeout is the longest time that an upstream that no document names is
// kept for models that have no other home.
const retiredTimeout = 10 * time.Minute

// retireUpstream drains and removes an upstream that no document names any more.
// Its models stay until they are ready elsewhere or deleted.
func (t *term) retireUpstream(now time.Duration, u *upstream, known *replica.Snapshot) {
	if !u.retired {
		u.retired = true
		u.retiredAt = now
		t.d.opts.Log.Info("upstream retired", "upstream", u.target.Name)
	}
	for _, k := range u.wantedModels() {
		scoped := u.service + "/" + k.Model
		switch {
		case t.modelDeleted(known, u.service, k.Model), t.readyOnOther(u, k.Model), t.homes.countElsewhere(scoped, t.zoneAlive(now)) > 0:
			t.drainAndUnload(now, u, k.Model)
		default:
			delete(u.draining, k.Model)
		}
	}
	l := u.controller.Ledger()
	empty := u.adopted && len(u.want) == 0 && len(l.Resident) == 0
	if empty || now-u.retiredAt > retiredTimeout {
		u.stop()
		delete(t.upstreams, u.target.Name)
	}
}

// readyOnOther reports whether a model is ready on another upstream of the zone.
func (t *term) readyOnOther(u *upstream, model string) bool {
	for _, other := range t.upstreams {
		if other != u && other.service == u.service && other.serves() && other.hasReady(model) {
			return true
		}
	}
	return false
}

// zoneAlive returns a function that reports whether a zone counts as alive at
// now.
func (t *term) zoneAlive(now time.Duration) func(zone string) bool {
	return func(zone string) bool {
		at, seen := t.d.zoneSeenAt[zone]
		return zone == t.d.opts.Self.Zone || seen && now-at <= zoneTimeout
	}
}

// aliveZones returns the zones that are alive, sorted.
func (t *term) aliveZones(now time.Duration) []string {
	alive := t.zoneAlive(now)
	zones := []string{t.d.opts.Self.Zone}
	for zone := range t.d.zoneSeenAt {
		if zone != t.d.opts.Self.Zone && alive(zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// drains returns the drains of this zone and, if others is set, those that other
// zones reported.
func (t *term) drains(now time.Duration, others bool) []drain {
	var list []drain
	for _, u := range t.sortedUpstreams() {
		for _, model := range slices.Sorted(maps.Keys(u.draining)) {
			list = append(list, drain{u.target.Name, model})
		}
	}
	if !others {
		return list
	}
	for _, zone := range slices.Sorted(maps.Keys(t.d.remoteDrains)) {
		if z := t.d.remoteDrains[zone]; now-z.at <= reportTTL {
			list = append(list, z.drains...)
		}
	}
	return list
}

// inFlight returns the number of requests in flight for a model that the
// instances of the zone reported. If adapter is not empty, it counts only the
// requests for that adapter.
func (t *term) inFlight(now time.Duration, upstream, model, adapter string) int {
	var n int64
	for _, use := range t.instances {
		if now-use.at > reportTTL {
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
