package evaluate

import (
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
)

const (
	planInterval = time.Second
	unloadTime   = time.Second
	// deadLag is how long a dead server counts as live.
	deadLag = 3 * time.Second
	// modelMB is the size of a model; a server holds models_per_server of them.
	modelMB = 20_000
	// decodeTime is what an output token is taken to cost beside others.
	decodeTime = 700 * time.Microsecond
)

// zonePlanner plans the placement of each zone as the zone's duty holder does:
// the planner of package placement, the record of homes, and the zone's shares
// of the weight store.
type zonePlanner struct {
	x       *world
	planner placement.Planner
	zones   []*zonePlan
	homes   placement.Homes
	version uint64
	// asked is the demand since the last plan, by model, in seconds of an
	// accelerator.
	asked []float64
}

// zonePlan is one zone's part.
type zonePlan struct {
	name     string
	view     *placement.HomesView
	averages []placement.Averages
	served   []float64       // since the last plan, by model, in seconds of an accelerator
	last     []time.Duration // last request of each model
	seen     []int           // of the record of homes, since changed
	changed  []time.Duration
	rate     escrow.Rate
	inFlight escrow.InFlight
}

func newDemandPlanner(x *world) planner {
	return newZonePlanner(x, placement.Demand{Options: placement.DefaultDemandOptions()})
}

func newZonePlanner(x *world, p placement.Planner) *zonePlanner {
	z := &zonePlanner{x: x, planner: p, asked: make([]float64, x.load.Models)}
	var names []string
	for i := range x.load.Zones {
		names = append(names, zoneName(i))
	}
	rate := escrow.Equal(int64(1000*x.load.StoreLoadsPerS), names)
	atOnce := escrow.Equal(int64(x.load.StoreLoadsAtOnce), names)
	for i, name := range names {
		n := x.load.Models
		plan := &zonePlan{
			name: name, view: placement.NewHomesView(name, 1), averages: make([]placement.Averages, n),
			served: make([]float64, n), last: make([]time.Duration, n), seen: make([]int, n), changed: make([]time.Duration, n),
		}
		plan.rate.SetShare(0, rate.Zones[name])
		plan.inFlight.SetShare(atOnce.Zones[name])
		z.zones = append(z.zones, plan)
		x.every(planInterval, planInterval*time.Duration(i)/time.Duration(len(names)), func() { z.plan(i) })
	}
	x.every(planInterval, planInterval, z.count)
	return z
}

func (*zonePlanner) wanted(int) {}

// cost is the accelerator time that a request is taken to cost, in seconds.
func cost(j *job) float64 {
	return float64(j.prompt)/describedRate + float64(j.output)*decodeTime.Seconds()
}

func (z *zonePlanner) sent(j *job, e *engine) {
	plan := z.zones[e.zone]
	plan.served[j.model] += cost(j)
	plan.last[j.model] = z.x.now
	z.asked[j.model] += cost(j)
}

func (z *zonePlanner) refused(j *job) {
	z.zones[j.instance%z.x.load.Zones].served[j.model] += cost(j)
	z.asked[j.model] += cost(j)
}

// count adds the last interval's demand to the averages. Zones without a
// model count an equal part of its demand: what they would take off others.
func (z *zonePlanner) count() {
	for m := range z.asked {
		for i, plan := range z.zones {
			demand := plan.served[m]
			if !z.holds(i, m) {
				demand = z.asked[m] / float64(len(z.zones))
			}
			plan.averages[m].Add(z.x.now, demand/planInterval.Seconds())
			plan.served[m] = 0
		}
		z.asked[m] = 0
	}
}

func (z *zonePlanner) holds(zone, model int) bool {
	for _, e := range z.x.engines {
		if h := e.home(model); e.zone == zone && !e.dead && h != nil && h.state == placement.Ready {
			return true
		}
	}
	return false
}

func alive(string) bool { return true }

func (z *zonePlanner) plan(zone int) {
	plan := z.zones[zone]
	plan.view.Take(z.version, z.homes)
	moves := z.planner.Plan(z.input(zone))
	for _, m := range moves {
		z.apply(plan, m)
	}
	if next, changed, err := plan.view.Edit(moves, alive); err == nil && changed {
		z.version++
		z.homes = next
	}
}

func (z *zonePlanner) input(zone int) placement.Input {
	plan := z.zones[zone]
	in := placement.Input{Zone: plan.name}
	if !plan.view.Claimed() {
		return in
	}
	for _, other := range z.zones {
		in.Zones = append(in.Zones, other.name)
	}
	for m := range z.x.load.Models {
		in.Models = append(in.Models, z.model(plan, m))
	}
	for _, e := range z.x.engines {
		if e.zone == zone {
			in.Upstreams = append(in.Upstreams, z.upstream(e))
		}
	}
	for plan.inFlight.Free() > int64(in.Loads) && plan.rate.Start(z.x.now) {
		in.Loads++
	}
	return in
}

func (z *zonePlanner) model(plan *zonePlan, m int) placement.Model {
	name := modelName(m)
	elsewhere, designated := z.homes.Elsewhere(name, plan.name, alive), plan.view.Designated(name)
	seen := 2 * elsewhere
	if designated {
		seen++
	}
	if seen != plan.seen[m] {
		plan.seen[m], plan.changed[m] = seen, z.x.now
	}
	return placement.Model{
		Name: name, MemoryMB: modelMB, Fast: plan.averages[m].Fast, Slow: plan.averages[m].Slow,
		Designated: designated, Elsewhere: elsewhere, Since: z.x.now - plan.changed[m], Idle: z.x.now - plan.last[m],
	}
}

func (z *zonePlanner) upstream(e *engine) placement.Upstream {
	u := placement.Upstream{
		Name: serverName(e.id), MemoryMB: int64(z.x.load.ModelsPerServer) * modelMB, Live: !e.dead || z.x.now-e.diedAt < deadLag,
	}
	for _, h := range e.homes {
		u.CommittedMB += modelMB
		u.Replicas = append(u.Replicas, placement.Replica{
			Model: h.model, State: h.state, Draining: h.draining, InFlight: e.inFlight(h.model), Age: z.x.now - h.ordered,
		})
	}
	return u
}

// inFlight counts the requests of a model on their way to or in the server.
func (e *engine) inFlight(model int) int {
	n := e.coming[model]
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, j := range list {
			if j.model == model {
				n++
			}
		}
	}
	return n
}

func (z *zonePlanner) apply(plan *zonePlan, m placement.Move) {
	e, ok := z.x.byName[m.Upstream]
	if !ok {
		return
	}
	var model int
	if _, err := fmt.Sscanf(m.Model, modelFormat, &model); err != nil {
		panic(err)
	}
	h := e.home(model)
	switch m.Kind {
	case placement.Load:
		if plan.inFlight.Start() {
			e.load(model, z.x.loadTime(), plan.inFlight.End)
		}
	case placement.Drain, placement.Resume:
		h.draining = m.Kind == placement.Drain
		e.announce()
	case placement.Unload:
		h.state = placement.Unloading
		e.announce()
		z.x.after(unloadTime, func() { e.unload(model) })
	}
}
