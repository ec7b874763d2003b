package placer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
)

// drainPropagationTime is how long after the start of a drain a replica still
// counts as in use. All instances of all zones learn of the drain in this time.
const drainPropagationTime = 6 * time.Second

// adapterMemoryDivisor sets the part of an engine's memory that adapters may
// take: one part in adapterMemoryDivisor.
const adapterMemoryDivisor = 10

// Names of the instance's placement counters.
const (
	CounterLoads           = "placement_loads"
	CounterUnloads         = "placement_unloads"
	CounterAdapterLoads    = "placement_adapter_loads"
	CounterAdapterFailures = "placement_adapter_failures"
)

// modelState is the history of one model during the leadership.
type modelState struct {
	averages       placement.Averages
	demand         time.Duration // accelerator time asked for since the last plan
	lastUsed       time.Duration // time of the last demand
	encodedHomes   int           // at the last plan: 2 times the number of other home zones, plus 1 if this zone is or may be one
	homesChangedAt time.Duration // when encodedHomes last changed
}

// updateAverages adds the demand since the last round to the averages.
func (m *modelState) updateAverages(now, passed time.Duration) {
	m.averages.Update(now, m.demand.Seconds()/max(passed, tickPeriod).Seconds())
	m.demand = 0
}

// modelState returns the state of a model, named service/model. It creates it at
// first use.
func (l *leadership) modelState(name string) *modelState {
	m := l.models[name]
	if m == nil {
		m = &modelState{homesChangedAt: l.controller.opts.Now(), lastUsed: l.startedAt}
		l.models[name] = m
	}
	return m
}

// plan runs one planning round for each service. It returns early until it is
// known which other zones are alive and this leadership owns the ledgers of all
// upstreams that are not retired. Ledgers are thus claimed before the record of
// home zones; a model is planned only once its shard of the record is claimed.
func (l *leadership) plan(now time.Duration) {
	if !l.zonesContacted {
		l.planAtNextTick()
		return
	}
	for _, u := range l.upstreams {
		if !u.retired && !u.owned() {
			return
		}
	}
	passed := now - l.lastPlan
	l.lastPlan = now
	known := l.controller.opts.Snapshot()
	alive := l.zoneAlive(now)
	for _, m := range l.models {
		m.updateAverages(now, passed)
	}
	var moves []placement.Move
	for _, name := range slices.Sorted(maps.Keys(known.Services)) {
		doc := known.Services[name]
		l.removeDeletedModels(now, doc, known)
		moves = append(moves, l.planService(now, doc, alive)...)
	}
	moves = append(moves, l.homes.deletedModelMoves(known)...)
	l.homes.writeMoves(moves, alive)
	l.abandonAdapterLoads(now)
	l.controller.applyDrains(l.drains(now, true))
}

// planService plans one service, applies the moves that the budget allows, and
// returns them.
func (l *leadership) planService(now time.Duration, doc *config.Service, alive func(string) bool) []placement.Move {
	b := l.budget(doc)
	free := b.allowedStarts(now, l.countLoadingModels(doc.Service))
	in, upstreams := l.plannerInput(now, doc, alive)
	// Planning one load more than the budget allows shows whether the zone needs
	// a larger share.
	in.LoadBudget = free + 1
	moves := l.controller.opts.Planner.Plan(in)
	var allowed []placement.Move
	denied := 0
	for _, m := range moves {
		if m.Kind == placement.Load {
			if free == 0 {
				denied++
				continue
			}
			free--
			b.recordStart()
		}
		allowed = append(allowed, m)
	}
	l.applyMoves(now, doc, upstreams, allowed)
	loading := l.countLoadingModels(doc.Service)
	b.update(now, doc, int64(loading), int64(loading+denied), l.countNeededAdapterLoads(doc.Service))
	return allowed
}

// plannerInput returns the planner's input and the upstreams in it by name.
func (l *leadership) plannerInput(now time.Duration, doc *config.Service, alive func(string) bool) (placement.Input, map[string]*upstream) {
	all := engineZones(doc)
	in := placement.Input{Zone: l.controller.opts.Self.Zone, LiveZones: intersect(l.aliveZones(now), all), AllZones: all}
	index := map[string]int{}
	for _, m := range doc.Models {
		name := doc.Service + "/" + m.Name
		s := l.homes.shardOf(name)
		if !l.homes.loaded || !s.view.Claimed() {
			continue
		}
		index[m.Name] = len(in.Models)
		in.Models = append(in.Models, l.plannerModel(now, m, name, s, alive))
	}
	byName := map[string]*upstream{}
	reserve := adapterReserves(doc)
	for _, u := range l.sortedUpstreams() {
		if u.service != doc.Service || u.retired || !u.controller.Claimed() {
			continue
		}
		byName[u.target.Name] = u
		in.Upstreams = append(in.Upstreams, l.plannerUpstream(now, u, reserve[u.target.Upstream.Name], index))
	}
	return in, byName
}

// intersect returns the zones that are in both lists, in the order of the first,
// which it modifies.
func intersect(zones, all []string) []string {
	return slices.DeleteFunc(zones, func(z string) bool { return !slices.Contains(all, z) })
}

// plannerModel returns the planner's input for one model.
func (l *leadership) plannerModel(now time.Duration, m config.Model, name string, s *shard, alive func(string) bool) placement.Model {
	state := l.modelState(name)
	record, _ := s.view.Homes()
	zone := l.controller.opts.Self.Zone
	elsewhere := record.CountElsewhere(name, zone, alive)
	designated := s.view.Designated(name)
	encoded := 2 * elsewhere
	if designated {
		encoded++
	}
	if encoded != state.encodedHomes {
		state.encodedHomes, state.homesChangedAt = encoded, now
	}
	return placement.Model{
		Name: name, MemoryMB: m.MemoryMB, MinReplicas: m.MinReplicas, MaxReplicas: m.MaxReplicas, Fast: state.averages.Fast, Slow: state.averages.Slow,
		IsHome: designated, Lost: slices.Contains(record.Models[name], placement.HomeZone{Zone: zone, Lost: true}),
		HomesElsewhere: elsewhere, UnchangedFor: now - state.homesChangedAt, Idle: now - state.lastUsed,
	}
}

// plannerUpstream returns the planner's input for one upstream. reserve is the
// memory in MB reserved for adapters; index maps the name of a model to its index
// in the planner's input.
func (l *leadership) plannerUpstream(now time.Duration, u *upstream, reserve int64, index map[string]int) placement.Upstream {
	upstreamLedger := u.controller.Ledger()
	up := placement.Upstream{
		Name: u.target.Name, MemoryMB: u.target.Upstream.MemoryMB - reserve, Live: u.serves(),
		CommittedMB: upstreamLedger.Committed() - min(upstreamLedger.CommittedAdapters(), reserve),
	}
	seen := map[string]bool{}
	add := func(name string, r placement.Replica) {
		i, ok := index[name]
		if !ok || seen[name] {
			return
		}
		seen[name] = true
		r.Model = i
		up.Replicas = append(up.Replicas, r)
	}
	for _, k := range u.wantedModels() {
		r := placement.Replica{State: placement.Loading, Age: now - u.want[k].since}
		if upstreamLedger.Ready(k) {
			r.State = placement.Ready
		}
		if since, ok := u.draining[k.Model]; ok {
			r.Draining = true
			r.InFlight = l.inFlight(now, u.target.Name, k.Model, "")
			if now-since < drainPropagationTime {
				r.InFlight++
			}
		}
		add(k.Model, r)
	}
	for _, res := range upstreamLedger.Resident {
		if res.Adapter == "" {
			add(res.Model, placement.Replica{State: placement.Unloading})
		}
	}
	return up
}

// wantedModels returns the keys of models in the wanted set, sorted by model and
// version.
func (u *upstream) wantedModels() []ledger.Key {
	var keys []ledger.Key
	for k := range u.want {
		if k.Adapter == "" {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b ledger.Key) int {
		if a.Model != b.Model {
			return strings.Compare(a.Model, b.Model)
		}
		return strings.Compare(a.Version, b.Version)
	})
	return keys
}

// countLoadingModels returns the number of models of a service that are loading
// in this zone.
func (l *leadership) countLoadingModels(service string) int {
	n := 0
	for _, u := range l.upstreams {
		if u.service != service {
			continue
		}
		for k := range u.want {
			if k.Adapter == "" && !u.controller.Ledger().Ready(k) {
				n++
			}
		}
	}
	return n
}

// adapterReserves returns the memory in MB that is reserved for adapters, by
// upstream. Nothing is reserved if the models need all memory.
func adapterReserves(doc *config.Service) map[string]int64 {
	var adapters, largest, models, memory int64
	for _, m := range doc.Models {
		models += m.MemoryMB
		for _, a := range m.Adapters {
			adapters += a.MemoryMB
			largest = max(largest, a.MemoryMB)
		}
	}
	reserves := map[string]int64{}
	var reserved int64
	for _, u := range doc.Upstreams {
		if u.Kind != config.UpstreamEngine {
			continue
		}
		memory += u.MemoryMB
		reserves[u.Name] = min(adapters, max(largest, u.MemoryMB/adapterMemoryDivisor), u.MemoryMB)
		reserved += reserves[u.Name]
	}
	if models > memory-reserved {
		return map[string]int64{}
	}
	return reserves
}

// applyMoves applies the moves that concern upstreams.
func (l *leadership) applyMoves(now time.Duration, doc *config.Service, upstreams map[string]*upstream, moves []placement.Move) {
	for _, m := range moves {
		u := upstreams[m.Upstream]
		if u == nil {
			continue
		}
		model := m.Model[len(doc.Service)+1:]
		l.logMove(m)
		switch m.Kind {
		case placement.Load:
			modelConfig, _ := doc.Model(model)
			u.want[ledger.Key{Model: model}] = &wanted{memoryMB: modelConfig.MemoryMB, since: now, lastUsed: now}
			u.sendWanted()
			l.controller.opts.IncrementCounter(CounterLoads)
		case placement.Unload:
			u.removeWanted(model)
			l.controller.opts.IncrementCounter(CounterUnloads)
		case placement.Drain:
			u.draining[model] = now
		case placement.Resume:
			delete(u.draining, model)
		}
	}
}

func (l *leadership) logMove(m placement.Move) {
	l.controller.opts.Log.Info("placement move", "kind", m.Kind.String(), "model", m.Model, "upstream", m.Upstream, "reason", m.Reason)
}

// recordUsage records the report of one instance of the zone.
func (l *leadership) recordUsage(now time.Duration, instance string, usage usageReport) {
	for name, cost := range usage.demand {
		m := l.modelState(name)
		m.demand += cost
		m.lastUsed = now
	}
	l.instances[instance] = instanceUsage{receivedAt: now, inFlight: usage.inFlight}
	for f := range usage.inFlight {
		if u := l.upstreams[f.upstream]; u != nil {
			if w := u.want[ledger.Key{Model: f.model, Adapter: f.adapter}]; w != nil {
				w.lastUsed = now
			}
		}
	}
	maps.DeleteFunc(l.instances, func(_ string, usage instanceUsage) bool { return now-usage.receivedAt > reportTTL })
}
