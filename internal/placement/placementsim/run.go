package placementsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
)

const (
	tick       = time.Second
	drainTime  = 20 * time.Second // until all requests of a draining replica have ended
	unloadTime = 2 * time.Second
	// loadMBPerSecond is the rate at which one load reads from the weight store.
	loadMBPerSecond = 1_000
	// acceleratorSecondsPerRequest is the accelerator time of one request.
	acceleratorSecondsPerRequest = 0.2
	targetLoad                   = 0.9 // load up to which an upstream meets its deadlines, in accelerators
	balanceRounds                = 6   // iterations of load balancing between replicas per tick
)

// Result is the result of one policy on one workload.
type Result struct {
	Workload string
	Policy   string
	Seed     uint64
	// Attainment is the fraction of demand that was served in time.
	Attainment float64
	// PooledAttainment is the attainment of a single pool of all accelerators,
	// the upper bound of Attainment.
	PooledAttainment float64
	// WorstModel is the lowest attainment of any model.
	WorstModel float64
	// Loads and Unloads are the numbers of model loads and unloads;
	// AdapterLoads is the number of adapter loads.
	Loads        int
	Unloads      int
	AdapterLoads int
	// UnreachableSeconds is the sum over all models of the seconds without a
	// replica.
	UnreachableSeconds int
}

func (r Result) String() string {
	return fmt.Sprintf("%s %s seed=%d attainment=%.4f ceiling=%.4f worst_model=%.4f loads=%d unloads=%d adapter_loads=%d unreachable_s=%d",
		r.Workload, r.Policy, r.Seed, r.Attainment, r.PooledAttainment, r.WorstModel, r.Loads, r.Unloads, r.AdapterLoads, r.UnreachableSeconds)
}

// Compare runs all policies on one workload and returns one result for each.
func Compare(w Workload) []Result {
	var results []Result
	for _, p := range Policies() {
		results = append(results, Run(w, p))
	}
	return results
}

// Run simulates one policy on one workload and returns its result. Equal
// workloads and policies give equal results.
func Run(w Workload, p Policy) Result {
	s := newSimulation(w, p.Planner)
	for s.now < w.Warmup {
		s.step()
	}
	s.result = Result{}
	s.pooledServed = 0
	clear(s.requested)
	clear(s.served)
	for s.now < w.Warmup+w.Measured {
		s.step()
	}
	r := s.result
	r.Workload, r.Policy, r.Seed = w.Name, p.Name, w.Seed
	r.WorstModel = 1
	var requested, served float64
	for m := range s.models {
		requested += s.requested[m]
		served += s.served[m]
		r.WorstModel = min(r.WorstModel, s.served[m]/s.requested[m])
	}
	r.Attainment = served / requested
	r.PooledAttainment = s.pooledServed / requested
	return r
}

// simulation is the state of one run.
type simulation struct {
	w            Workload
	planner      placement.Planner
	now          time.Duration
	models       []model
	zones        []*zone
	rng          *rand.Rand
	homes        placement.HomeZones
	version      uint64
	adapters     *adapters
	requested    []float64 // total demand, by model
	served       []float64 // demand served in time, by model
	pooledServed float64   // demand that a single pool would serve in time
	result       Result
}

type zone struct {
	name         string
	view         *placement.HomeZonesView
	upstreams    []*upstream
	averages     []placement.Averages
	demand       []float64       // demand of this tick by model, as the planner sees it
	lastRequest  []time.Duration // by model
	homesChanged []time.Duration // when homesState last changed, by model
	homesState   []int           // other home zones times 2, plus 1 if designated, by model
	rate         escrow.Rate
	inFlight     escrow.InFlight
}

type upstream struct {
	name     string
	replicas []*replica
	load     float64
}

type replica struct {
	model         int
	state         placement.ReplicaState
	draining      bool
	operationEnds time.Duration // end of the load, drain or unload
	loadStarted   time.Duration
}

func newSimulation(w Workload, p placement.Planner) *simulation {
	s := &simulation{
		w: w, planner: p, models: w.models(),
		requested: make([]float64, w.Models), served: make([]float64, w.Models),
		rng:      rand.New(rand.NewPCG(w.Seed, 3)),
		adapters: newAdapters(w, rand.New(rand.NewPCG(w.Seed, 2))),
	}
	names := make([]string, w.Zones)
	for z := range names {
		names[z] = fmt.Sprintf("zone-%d", z)
	}
	rate := escrow.EqualShares(w.LoadsPerSecondMilli, names)
	inFlightShares := escrow.EqualShares(w.ConcurrentLoads, names)
	for _, name := range names {
		z := &zone{
			name: name, view: placement.NewHomeZonesView(name, 1),
			averages: make([]placement.Averages, w.Models), demand: make([]float64, w.Models),
			lastRequest:  make([]time.Duration, w.Models),
			homesChanged: make([]time.Duration, w.Models), homesState: make([]int, w.Models),
		}
		z.rate.SetShare(0, rate.Zones[name])
		z.inFlight.SetShare(inFlightShares.Zones[name])
		s.zones = append(s.zones, z)
	}
	for u := range w.Upstreams {
		z := s.zones[u%w.Zones]
		z.upstreams = append(z.upstreams, &upstream{name: fmt.Sprintf("upstream-%02d", u)})
	}
	return s
}

func (s *simulation) step() {
	s.serve()
	for _, z := range s.zones {
		s.progress(z)
		s.plan(z)
	}
	s.now += tick
}

// progress completes the loads and unloads of a zone that are due.
func (s *simulation) progress(z *zone) {
	for _, up := range z.upstreams {
		up.replicas = slices.DeleteFunc(up.replicas, func(r *replica) bool {
			return r.state == placement.Unloading && s.now >= r.operationEnds
		})
		for _, r := range up.replicas {
			if r.state == placement.Loading && s.now >= r.operationEnds {
				r.state = placement.Ready
				z.inFlight.Finish()
			}
		}
	}
}

func alive(string) bool { return true }

func (s *simulation) plan(z *zone) {
	z.view.Update(s.version, s.homes)
	moves := s.planner.Plan(s.input(z))
	for _, m := range moves {
		s.apply(z, m)
	}
	next, changed, err := z.view.Edit(moves, alive)
	if err == nil && changed {
		s.version++
		s.homes = next
	}
}

func (s *simulation) input(z *zone) placement.Input {
	in := placement.Input{Zone: z.name}
	if !z.view.Claimed() {
		return in
	}
	for _, other := range s.zones {
		in.LiveZones = append(in.LiveZones, other.name)
	}
	for m, model := range s.models {
		elsewhere := s.homes.CountElsewhere(model.name, z.name, alive)
		designated := z.view.Designated(model.name)
		homesState := 2 * elsewhere
		if designated {
			homesState++
		}
		if homesState != z.homesState[m] {
			z.homesState[m], z.homesChanged[m] = homesState, s.now
		}
		z.averages[m].Update(s.now, z.demand[m])
		in.Models = append(in.Models, placement.Model{
			Name: model.name, MemoryMB: model.memoryMB,
			Fast: z.averages[m].Fast, Slow: z.averages[m].Slow,
			IsHome: designated, HomesElsewhere: elsewhere, UnchangedFor: s.now - z.homesChanged[m],
			Idle: s.now - z.lastRequest[m],
		})
	}
	for _, up := range z.upstreams {
		in.Upstreams = append(in.Upstreams, s.upstreamInput(up))
	}
	for z.inFlight.Free() > int64(in.LoadBudget) && z.rate.Start(s.now) {
		in.LoadBudget++
	}
	return in
}

func (s *simulation) upstreamInput(up *upstream) placement.Upstream {
	d := placement.Upstream{Name: up.name, MemoryMB: s.w.UpstreamMB, Live: true}
	for _, r := range up.replicas {
		d.CommittedMB += s.models[r.model].memoryMB
		view := placement.Replica{Model: r.model, State: r.state, Draining: r.draining, Age: s.now - r.loadStarted}
		if r.draining && s.now < r.operationEnds {
			view.InFlight = 1
		}
		d.Replicas = append(d.Replicas, view)
	}
	return d
}

func (s *simulation) apply(z *zone, m placement.Move) {
	index := slices.IndexFunc(s.models, func(x model) bool { return x.name == m.Model })
	for _, up := range z.upstreams {
		if up.name != m.Upstream {
			continue
		}
		if m.Kind == placement.Load {
			s.load(z, up, index)
			continue
		}
		i := slices.IndexFunc(up.replicas, func(r *replica) bool { return r.model == index })
		s.changeState(up.replicas[i], m.Kind)
	}
}

func (s *simulation) load(z *zone, up *upstream, m int) {
	if !z.inFlight.Start() {
		return
	}
	s.result.Loads++
	duration := time.Duration(s.models[m].memoryMB) * time.Second / loadMBPerSecond
	up.replicas = append(up.replicas, &replica{model: m, loadStarted: s.now, operationEnds: s.now + duration})
}

func (s *simulation) changeState(r *replica, kind placement.MoveKind) {
	switch kind {
	case placement.Drain:
		r.draining = true
		r.operationEnds = s.now + drainTime
	case placement.Resume:
		r.draining = false
	case placement.Unload:
		s.result.Unloads++
		r.state = placement.Unloading
		r.operationEnds = s.now + unloadTime
	}
}
