package placer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
)

// leadership is the state of the zone leader from taking to losing the lease.
// Only the goroutine of Controller.runLoop accesses it.
type leadership struct {
	controller     *Controller
	fence          uint64
	writer         string
	ctx            context.Context
	cancel         context.CancelFunc
	startedAt      time.Duration
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
	orphans        []orphan // possible orphans, until the documents are new enough to decide
}

// instanceUsage is the last report of one instance of the zone.
type instanceUsage struct {
	receivedAt time.Duration
	inFlight   map[inFlightKey]int64
}

func newLeadership(ctx context.Context, c *Controller, fence uint64) *leadership {
	l := &leadership{
		controller: c, fence: fence, writer: fmt.Sprintf("%s/%d", c.opts.Self.Incarnation, fence), startedAt: c.opts.Now(), lastPlan: c.opts.Now(),
		upstreams: map[string]*upstream{}, models: map[string]*modelState{}, budgets: map[string]*zoneBudget{}, instances: map[string]instanceUsage{},
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.homes = newHomes(l)
	go l.homes.watch(l.ctx)
	go l.findOrphans()
	return l
}

func (l *leadership) end() {
	l.cancel()
	for _, w := range l.waiters {
		w.reply(ErrNoZoneLeader)
	}
}

// holdsLease reports whether the lease is held now under this leadership's
// fencing token. It is called before each write and order.
func (l *leadership) holdsLease() bool {
	fence, held := l.controller.opts.LeaseHeld()
	return held && fence == l.fence && l.ctx.Err() == nil
}

// startCall runs call in a new goroutine. The function that call returns runs in
// the goroutine of runLoop, unless the leadership has ended by then.
func (l *leadership) startCall(call func(ctx context.Context) (step func())) {
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		step := call(ctx)
		cancel()
		_ = l.controller.post(l.ctx, func() { l.runStep(step) })
	}()
}

// runStep runs step and processes the waiters, unless this leadership has ended.
func (l *leadership) runStep(step func()) {
	if l.controller.leadership != l {
		return
	}
	step()
	l.processWaiters()
}

func (l *leadership) tick(now time.Duration) {
	if now >= l.nextPlan {
		l.nextPlan = now + planPeriod
		l.syncUpstreams(now, l.controller.opts.Snapshot())
		l.plan(now)
	}
	l.stepUpstreams(now)
	l.processWaiters()
}

// stepUpstreams sends a tick to all upstreams every tickPeriod. Between these it
// sends one, on each call, to the upstreams on which a request waits for an
// adapter.
func (l *leadership) stepUpstreams(now time.Duration) {
	if now >= l.nextFullStep {
		l.nextFullStep = now + tickPeriod
		for _, u := range l.sortedUpstreams() {
			u.step(ledger.Tick{})
		}
		return
	}
	awaited := map[string]bool{}
	for _, w := range l.waiters {
		if u := l.upstreams[w.upstream]; u != nil && !awaited[w.upstream] {
			awaited[w.upstream] = true
			u.step(ledger.Tick{})
		}
	}
}

// planAtNextTick makes the next tick run a planning round.
func (l *leadership) planAtNextTick() { l.nextPlan = 0 }

// sortedUpstreams returns the upstreams sorted by name.
func (l *leadership) sortedUpstreams() []*upstream {
	list := make([]*upstream, 0, len(l.upstreams))
	for _, name := range slices.Sorted(maps.Keys(l.upstreams)) {
		list = append(list, l.upstreams[name])
	}
	return list
}

// syncUpstreams adds, replaces, retires and removes upstreams to match the
// documents.
func (l *leadership) syncUpstreams(now time.Duration, known *docsync.Snapshot) {
	named, addresses := map[string]bool{}, map[string]bool{}
	engines := 0
	targets := inventory.Targets(known)
	for _, target := range targets {
		addresses[target.Upstream.Address] = true
		if l.manages(target) {
			engines++
		}
	}
	for _, target := range targets {
		if !l.manages(target) {
			continue
		}
		named[target.Name] = true
		u := l.upstreams[target.Name]
		if u == nil || u.retired || u.target.Upstream != target.Upstream {
			u.stop()
			u = newUpstream(l, target, engines)
			l.upstreams[target.Name] = u
		}
		u.setLeaving(known.LeavingUpstreams[target.Upstream.Address])
	}
	l.adoptOrphans(now, known, named, addresses)
	for _, u := range l.sortedUpstreams() {
		switch {
		case named[u.target.Name]:
		case u.replaced || addresses[u.target.Upstream.Address]:
			u.stop()
			delete(l.upstreams, u.target.Name)
		default:
			l.retireUpstream(now, u, known)
		}
	}
}

// manages reports whether a target is an engine of this zone.
func (l *leadership) manages(target inventory.Target) bool {
	return target.Upstream.Kind == config.UpstreamEngine && target.Upstream.Zone == l.controller.opts.Self.Zone
}

// retiredTimeout is the time after which an upstream that no document names is
// removed, even if a model on it has no other home zone.
const retiredTimeout = 10 * time.Minute

// retireUpstream drains and removes an upstream that no document names any more.
// Its models stay until they are ready elsewhere or deleted.
func (l *leadership) retireUpstream(now time.Duration, u *upstream, known *docsync.Snapshot) {
	if !u.retired {
		u.retired = true
		u.retiredAt = now
		l.controller.opts.Log.Info("upstream retired", "upstream", u.target.Name)
	}
	for _, k := range u.wantedModels() {
		scoped := u.service + "/" + k.Model
		switch {
		case l.modelDeleted(known, u.service, k.Model), l.readyOnOther(u, k.Model), l.homes.countElsewhere(scoped, l.zoneAlive(now)) > 0:
			l.drainAndUnload(now, u, k.Model)
		default:
			delete(u.draining, k.Model)
		}
	}
	upstreamLedger := u.controller.Ledger()
	empty := u.adopted && len(u.want) == 0 && len(upstreamLedger.Resident) == 0
	if empty || now-u.retiredAt > retiredTimeout {
		u.stop()
		delete(l.upstreams, u.target.Name)
	}
}

// readyOnOther reports whether a model is ready on another upstream of the zone.
func (l *leadership) readyOnOther(u *upstream, model string) bool {
	for _, other := range l.upstreams {
		if other != u && other.service == u.service && other.serves() && other.hasReady(model) {
			return true
		}
	}
	return false
}

// zoneAlive returns a function that reports whether a zone counts as alive at
// now.
func (l *leadership) zoneAlive(now time.Duration) func(zone string) bool {
	return func(zone string) bool {
		at, seen := l.controller.zoneSeenAt[zone]
		return zone == l.controller.opts.Self.Zone || seen && now-at <= zoneTimeout
	}
}

// aliveZones returns the zones that are alive, sorted.
func (l *leadership) aliveZones(now time.Duration) []string {
	alive := l.zoneAlive(now)
	zones := []string{l.controller.opts.Self.Zone}
	for zone := range l.controller.zoneSeenAt {
		if zone != l.controller.opts.Self.Zone && alive(zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// drains returns the drains of this zone and, if others is set, those that other
// zones reported.
func (l *leadership) drains(now time.Duration, others bool) []drain {
	var list []drain
	for _, u := range l.sortedUpstreams() {
		for _, model := range slices.Sorted(maps.Keys(u.draining)) {
			list = append(list, drain{u.target.Name, model})
		}
	}
	if !others {
		return list
	}
	for _, zone := range slices.Sorted(maps.Keys(l.controller.remoteDrains)) {
		if z := l.controller.remoteDrains[zone]; now-z.receivedAt <= reportTTL {
			list = append(list, z.drains...)
		}
	}
	return list
}

// inFlight returns the number of requests in flight for a model that the
// instances of the zone reported. If adapter is not empty, it counts only the
// requests for that adapter.
func (l *leadership) inFlight(now time.Duration, upstream, model, adapter string) int {
	var n int64
	for _, usage := range l.instances {
		if now-usage.receivedAt > reportTTL {
			continue
		}
		for f, running := range usage.inFlight {
			if f.upstream == upstream && f.model == model && (adapter == "" || f.adapter == adapter) {
				n += running
			}
		}
	}
	return int(n)
}
