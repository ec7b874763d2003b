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

// drainGrace is how long after the start of a drain a replica counts as in
// use: until all instances of all zones know of the drain.
const drainGrace = 6 * time.Second

// adapterShare is the part of an engine's memory, one in this many, that
// adapters may take.
const adapterShare = 10

// Counters of the instance.
const (
	CountLoads        = "placement_loads"
	CountUnloads      = "placement_unloads"
	CountAdapterLoads = "placement_adapter_loads"
	CountAdapterFails = "placement_adapter_failures"
)

// model is what the term knows of one model.
type model struct {
	averages placement.Averages
	asked    time.Duration // accelerator time since the last plan
	used     time.Duration // when it was last asked for
	seen     int           // homes as last seen
	changed  time.Duration // when that changed
}

// average counts what was asked since the last round.
func (m *model) average(now, passed time.Duration) {
	m.averages.Add(now, m.asked.Seconds()/max(passed, tickPeriod).Seconds())
	m.asked = 0
}

func (t *term) model(name string) *model {
	m := t.models[name]
	if m == nil {
		m = &model{changed: t.d.opts.Now(), used: t.began}
		t.models[name] = m
	}
	return m
}

// plan runs one round of planning for each service. Ledgers are claimed before
// the record of homes, and nothing is planned before both, nor before it is
// known which other zones are alive.
func (t *term) plan(now time.Duration) {
	if !t.greeted {
		t.hasten()
		return
	}
	for _, u := range t.upstreams {
		if !u.retired && !u.owned() {
			return
		}
	}
	passed := now - t.planned
	t.planned = now
	known := t.d.opts.Known()
	alive := t.alive(now)
	for _, m := range t.models {
		m.average(now, passed)
	}
	var moves []placement.Move
	for _, name := range slices.Sorted(maps.Keys(known.Services)) {
		doc := known.Services[name]
		t.forgetModels(now, doc, known)
		moves = append(moves, t.planService(now, doc, alive)...)
	}
	moves = append(moves, t.homes.deleted(known)...)
	t.homes.apply(moves, alive)
	t.forgetAdapters(now)
	t.d.heed(t.drains(now, true))
}

func (t *term) planService(now time.Duration, doc *config.Service, alive func(string) bool) []placement.Move {
	b := t.budget(doc)
	free := b.loads(now, t.loading(doc.Service))
	in, upstreams := t.input(now, doc, alive)
	// One load more than the budget shows whether more is needed.
	in.Loads = free + 1
	moves := t.d.opts.Planner.Plan(in)
	var rest []placement.Move
	denied := 0
	for _, m := range moves {
		if m.Kind == placement.Load {
			if free == 0 {
				denied++
				continue
			}
			free--
			b.started()
		}
		rest = append(rest, m)
	}
	t.apply(now, doc, upstreams, rest)
	loading := t.loading(doc.Service)
	b.update(now, doc, int64(loading), int64(loading+denied), t.adapterNeed(doc.Service))
	return rest
}

// input builds what the planner sees; upstreams are by their index in it.
func (t *term) input(now time.Duration, doc *config.Service, alive func(string) bool) (placement.Input, map[string]*upstream) {
	all := engineZones(doc)
	in := placement.Input{Zone: t.d.opts.Self.Zone, Zones: among(t.zones(now), all), AllZones: all}
	index := map[string]int{}
	for _, m := range doc.Models {
		name := doc.Service + "/" + m.Name
		s := t.homes.of(name)
		if !t.homes.read || !s.view.Claimed() {
			continue
		}
		index[m.Name] = len(in.Models)
		in.Models = append(in.Models, t.describeModel(now, m, name, s, alive))
	}
	byName := map[string]*upstream{}
	reserve := adapterReserves(doc)
	for _, u := range t.sorted() {
		if u.service != doc.Service || u.retired || !u.c.Claimed() {
			continue
		}
		byName[u.target.Name] = u
		in.Upstreams = append(in.Upstreams, t.describeUpstream(now, u, reserve[u.target.Upstream.Name], index))
	}
	return in, byName
}

// among returns the zones that are in both lists, in the order of the first.
func among(zones, all []string) []string {
	return slices.DeleteFunc(zones, func(z string) bool { return !slices.Contains(all, z) })
}

func (t *term) describeModel(now time.Duration, m config.Model, name string, s *shard, alive func(string) bool) placement.Model {
	known := t.model(name)
	record, _ := s.view.Homes()
	zone := t.d.opts.Self.Zone
	elsewhere := record.Elsewhere(name, zone, alive)
	designated := s.view.Designated(name)
	seen := 2 * elsewhere
	if designated {
		seen++
	}
	if seen != known.seen {
		known.seen, known.changed = seen, now
	}
	return placement.Model{
		Name: name, MemoryMB: m.MemoryMB, MinReplicas: m.MinReplicas, MaxReplicas: m.MaxReplicas, Fast: known.averages.Fast, Slow: known.averages.Slow,
		Designated: designated, Lost: slices.Contains(record.Models[name], placement.Home{Zone: zone, Lost: true}),
		Elsewhere: elsewhere, Since: now - known.changed, Idle: now - known.used,
	}
}

func (t *term) describeUpstream(now time.Duration, u *upstream, reserve int64, index map[string]int) placement.Upstream {
	l := u.c.Ledger()
	up := placement.Upstream{
		Name: u.target.Name, MemoryMB: u.target.Upstream.MemoryMB - reserve, Live: u.serves(),
		CommittedMB: l.Committed() - min(l.CommittedAdapters(), reserve),
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
		if l.Ready(k) {
			r.State = placement.Ready
		}
		if since, ok := u.draining[k.Model]; ok {
			r.Draining = true
			r.InFlight = t.inFlight(now, u.target.Name, k.Model, "")
			if now-since < drainGrace {
				r.InFlight++
			}
		}
		add(k.Model, r)
	}
	for _, res := range l.Resident {
		if res.Adapter == "" {
			add(res.Model, placement.Replica{State: placement.Unloading})
		}
	}
	return up
}

// wantedModels returns the keys of models in the wanted set, in order.
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

// loading counts the models of a service that load in this zone.
func (t *term) loading(service string) int {
	n := 0
	for _, u := range t.upstreams {
		if u.service != service {
			continue
		}
		for k := range u.want {
			if k.Adapter == "" && !u.c.Ledger().Ready(k) {
				n++
			}
		}
	}
	return n
}

// adapterReserves returns the memory that adapters may take, by upstream: none
// where the models need it all.
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
		reserves[u.Name] = min(adapters, max(largest, u.MemoryMB/adapterShare), u.MemoryMB)
		reserved += reserves[u.Name]
	}
	if models > memory-reserved {
		return map[string]int64{}
	}
	return reserves
}

// apply carries out the moves that concern upstreams.
func (t *term) apply(now time.Duration, doc *config.Service, upstreams map[string]*upstream, moves []placement.Move) {
	for _, m := range moves {
		u := upstreams[m.Upstream]
		if u == nil {
			continue
		}
		short := m.Model[len(doc.Service)+1:]
		t.log(m)
		switch m.Kind {
		case placement.Load:
			described, _ := doc.Model(short)
			u.want[ledger.Key{Model: short}] = &wanted{memoryMB: described.MemoryMB, since: now, used: now}
			u.sendWanted()
			t.d.opts.Count(CountLoads)
		case placement.Unload:
			u.unwant(short)
			t.d.opts.Count(CountUnloads)
		case placement.Drain:
			u.draining[short] = now
		case placement.Resume:
			delete(u.draining, short)
		}
	}
}

func (t *term) log(m placement.Move) {
	t.d.opts.Log.Info("placement move", "kind", m.Kind.String(), "model", m.Model, "upstream", m.Upstream, "reason", m.Reason)
}

// take counts what one instance of the zone reported.
func (t *term) take(now time.Duration, instance string, use usage) {
	for name, asked := range use.demand {
		m := t.model(name)
		m.asked += asked
		m.used = now
	}
	t.instances[instance] = instanceUse{at: now, flights: use.flights}
	for f := range use.flights {
		if u := t.upstreams[f.upstream]; u != nil {
			if w := u.want[ledger.Key{Model: f.model, Adapter: f.adapter}]; w != nil {
				w.used = now
			}
		}
	}
	maps.DeleteFunc(t.instances, func(_ string, use instanceUse) bool { return now-use.at > reportKept })
}
