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
	// deadDetectionDelay is the time for which a dead server still counts as live.
	deadDetectionDelay = 3 * time.Second
	// modelMB is the size of a model in MB; the memory of a server holds
	// models_per_server of them.
	modelMB = 20_000
	// decodeTokenTime is the assumed accelerator time of one output token that is
	// decoded in a batch.
	decodeTokenTime = 700 * time.Microsecond
)

// zonePlanner plans the placement of each zone as the zone leader does: with the
// planner of package placement, the record of home zones, and the zone's shares
// of the weight store.
type zonePlanner struct {
	sim       *simulation
	planner   placement.Planner
	zones     []*zoneState
	homeZones placement.HomeZones
	version   uint64
	// totalDemand is the demand of all zones since the averages were last
	// updated, by model, in accelerator seconds.
	totalDemand []float64
}

// zoneState is the planning state of one zone.
type zoneState struct {
	name               string
	view               *placement.HomeZonesView
	averages           []placement.Averages
	demand             []float64       // since the averages were last updated, by model, in accelerator seconds
	lastRequest        []time.Duration // time of the last request, by model
	lastHomeZones      []int           // encodes the model's home zones in the record, to detect a change
	homeZonesChangedAt []time.Duration
	rate               escrow.Rate
	inFlight           escrow.InFlight
}

func newDemandPlanner(sim *simulation) planner {
	return newZonePlanner(sim, placement.Demand{Options: placement.DefaultDemandOptions()})
}

func newZonePlanner(sim *simulation, p placement.Planner) *zonePlanner {
	z := &zonePlanner{sim: sim, planner: p, totalDemand: make([]float64, sim.workload.Models)}
	var names []string
	for i := range sim.workload.Zones {
		names = append(names, zoneName(i))
	}
	rate := escrow.EqualShares(int64(1000*sim.workload.StoreLoadsPerS), names)
	atOnce := escrow.EqualShares(int64(sim.workload.StoreLoadsAtOnce), names)
	for i, name := range names {
		n := sim.workload.Models
		state := &zoneState{
			name: name, view: placement.NewHomeZonesView(name, 1), averages: make([]placement.Averages, n),
			demand: make([]float64, n), lastRequest: make([]time.Duration, n), lastHomeZones: make([]int, n), homeZonesChangedAt: make([]time.Duration, n),
		}
		state.rate.SetShare(0, rate.Zones[name])
		state.inFlight.SetShare(atOnce.Zones[name])
		z.zones = append(z.zones, state)
		sim.every(planInterval, planInterval*time.Duration(i)/time.Duration(len(names)), func() { z.planZone(i) })
	}
	sim.every(planInterval, planInterval, z.updateAverages)
	return z
}

func (*zonePlanner) modelWanted(int) {}

// acceleratorSeconds returns the assumed accelerator time of a request, in
// seconds.
func acceleratorSeconds(j *job) float64 {
	return float64(j.promptTokens)/nominalPrefillRate + float64(j.outputTokens)*decodeTokenTime.Seconds()
}

func (z *zonePlanner) requestSent(j *job, e *engine) {
	state := z.zones[e.zone]
	state.demand[j.model] += acceleratorSeconds(j)
	state.lastRequest[j.model] = z.sim.now
	z.totalDemand[j.model] += acceleratorSeconds(j)
}

func (z *zonePlanner) requestRefused(j *job) {
	z.zones[j.instance%z.sim.workload.Zones].demand[j.model] += acceleratorSeconds(j)
	z.totalDemand[j.model] += acceleratorSeconds(j)
}

// updateAverages adds the last interval's demand to the averages. A zone without
// a ready replica of a model counts an equal part of the model's demand in all
// zones: the part that it would take over from the others.
func (z *zonePlanner) updateAverages() {
	for m := range z.totalDemand {
		for i, state := range z.zones {
			demand := state.demand[m]
			if !z.hasReadyReplica(i, m) {
				demand = z.totalDemand[m] / float64(len(z.zones))
			}
			state.averages[m].Update(z.sim.now, demand/planInterval.Seconds())
			state.demand[m] = 0
		}
		z.totalDemand[m] = 0
	}
}

func (z *zonePlanner) hasReadyReplica(zone, model int) bool {
	for _, e := range z.sim.engines {
		if r := e.replica(model); e.zone == zone && !e.dead && r != nil && r.state == placement.Ready {
			return true
		}
	}
	return false
}

// allLive reports that a zone is live, as no zone fails in the simulation.
func allLive(string) bool { return true }

// planZone plans one zone, executes the moves and updates the record of home
// zones.
func (z *zonePlanner) planZone(zone int) {
	state := z.zones[zone]
	state.view.Update(z.version, z.homeZones)
	moves := z.planner.Plan(z.planInput(zone))
	for _, m := range moves {
		z.execute(state, m)
	}
	if next, changed, err := state.view.Edit(moves, allLive); err == nil && changed {
		z.version++
		z.homeZones = next
	}
}

func (z *zonePlanner) planInput(zone int) placement.Input {
	state := z.zones[zone]
	in := placement.Input{Zone: state.name}
	if !state.view.Claimed() {
		return in
	}
	for _, other := range z.zones {
		in.LiveZones = append(in.LiveZones, other.name)
	}
	for m := range z.sim.workload.Models {
		in.Models = append(in.Models, z.modelInput(state, m))
	}
	for _, e := range z.sim.engines {
		if e.zone == zone {
			in.Upstreams = append(in.Upstreams, z.upstreamInput(e))
		}
	}
	for state.inFlight.Free() > int64(in.LoadBudget) && state.rate.Start(z.sim.now) {
		in.LoadBudget++
	}
	return in
}

func (z *zonePlanner) modelInput(state *zoneState, m int) placement.Model {
	name := modelName(m)
	elsewhere, designated := z.homeZones.CountElsewhere(name, state.name, allLive), state.view.Designated(name)
	homeZones := 2 * elsewhere
	if designated {
		homeZones++
	}
	if homeZones != state.lastHomeZones[m] {
		state.lastHomeZones[m], state.homeZonesChangedAt[m] = homeZones, z.sim.now
	}
	return placement.Model{
		Name: name, MemoryMB: modelMB, Fast: state.averages[m].Fast, Slow: state.averages[m].Slow,
		IsHome: designated, HomesElsewhere: elsewhere, UnchangedFor: z.sim.now - state.homeZonesChangedAt[m], Idle: z.sim.now - state.lastRequest[m],
	}
}

func (z *zonePlanner) upstreamInput(e *engine) placement.Upstream {
	u := placement.Upstream{
		Name: serverName(e.id), MemoryMB: int64(z.sim.workload.ModelsPerServer) * modelMB, Live: !e.dead || z.sim.now-e.killedAt < deadDetectionDelay,
	}
	for _, r := range e.replicas {
		u.CommittedMB += modelMB
		u.Replicas = append(u.Replicas, placement.Replica{
			Model: r.model, State: r.state, Draining: r.draining, InFlight: e.inFlight(r.model), Age: z.sim.now - r.orderedAt,
		})
	}
	return u
}

// inFlight returns the number of requests of a model in transit to or in the
// server.
func (e *engine) inFlight(model int) int {
	n := e.inTransit[model]
	for _, list := range [][]*job{e.running, e.queued} {
		for _, j := range list {
			if j.model == model {
				n++
			}
		}
	}
	return n
}

func (z *zonePlanner) execute(state *zoneState, m placement.Move) {
	e, ok := z.sim.byName[m.Upstream]
	if !ok {
		return
	}
	var model int
	if _, err := fmt.Sscanf(m.Model, modelFormat, &model); err != nil {
		panic(err)
	}
	r := e.replica(model)
	switch m.Kind {
	case placement.Load:
		if state.inFlight.Start() {
			e.loadModel(model, z.sim.modelLoadTime(), state.inFlight.Finish)
		}
	case placement.Drain, placement.Resume:
		r.draining = m.Kind == placement.Drain
		e.publishResidents()
	case placement.Unload:
		r.state = placement.Unloading
		e.publishResidents()
		z.sim.after(unloadTime, func() { e.unloadModel(model) })
	}
}
