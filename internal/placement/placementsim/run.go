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
	drainTime  = 20 * time.Second // until the requests of a drained replica end
	unloadTime = 2 * time.Second
	// loadRate is how fast one load reads from the weight store.
	loadRateMB = 1_000 // a second
	// requestCost is the accelerator time of one request, in seconds.
	requestCost  = 0.2
	busy         = 0.9 // load up to which an upstream meets its deadlines
	balanceSteps = 6   // rounds of balancing between replicas a tick
)

// Result is what one policy did to one workload.
type Result struct {
	Workload string
	Policy   string
	Seed     uint64
	// Attainment is the part of demand that was served in time.
	Attainment float64
	// Ceiling is what one pool of all accelerators would attain.
	Ceiling float64
	// WorstModel is the least attainment of a model.
	WorstModel float64
	// Loads and Unloads count model moves; AdapterLoads those of adapters.
	Loads        int
	Unloads      int
	AdapterLoads int
	// UnreachableSeconds sums the seconds for which each model had no replica.
	UnreachableSeconds int
}

func (r Result) String() string {
	return fmt.Sprintf("%s %s seed=%d attainment=%.4f ceiling=%.4f worst_model=%.4f loads=%d unloads=%d adapter_loads=%d unreachable_s=%d",
		r.Workload, r.Policy, r.Seed, r.Attainment, r.Ceiling, r.WorstModel, r.Loads, r.Unloads, r.AdapterLoads, r.UnreachableSeconds)
}

// Compare runs all policies on one workload.
func Compare(w Workload) []Result {
	var results []Result
	for _, p := range Policies() {
		results = append(results, Run(w, p))
	}
	return results
}

// Run measures one policy on one workload. Equal workloads and policies give
// equal results.
func Run(w Workload, p Policy) Result {
	s := newSite(w, p.Planner)
	for s.now < w.Warmup {
		s.step()
	}
	s.result = Result{}
	s.pooled = 0
	clear(s.asked)
	clear(s.served)
	for s.now < w.Warmup+w.Measured {
		s.step()
	}
	r := s.result
	r.Workload, r.Policy, r.Seed = w.Name, p.Name, w.Seed
	r.WorstModel = 1
	var asked, served float64
	for m := range s.models {
		asked += s.asked[m]
		served += s.served[m]
		r.WorstModel = min(r.WorstModel, s.served[m]/s.asked[m])
	}
	r.Attainment = served / asked
	r.Ceiling = s.pooled / asked
	return r
}

// site is the state of one run.
type site struct {
	w        Workload
	planner  placement.Planner
	now      time.Duration
	models   []model
	zones    []*zone
	rng      *rand.Rand
	homes    placement.Homes
	version  uint64
	adapters *adapters
	asked    []float64 // by model
	served   []float64
	pooled   float64 // demand that one pool would serve in time
	result   Result
}

type zone struct {
	name      string
	view      *placement.HomesView
	upstreams []*upstream
	averages  []placement.Averages
	demand    []float64       // this tick, by model, as the planner sees it
	lastAsked []time.Duration // by model
	changed   []time.Duration
	seen      []int // homes elsewhere at changed, by model
	rate      escrow.Rate
	inFlight  escrow.InFlight
}

type upstream struct {
	name     string
	replicas []*replica
	load     float64
}

type replica struct {
	model    int
	state    placement.State
	draining bool
	until    time.Duration // end of load, drain or unload
	ordered  time.Duration
}

func newSite(w Workload, p placement.Planner) *site {
	s := &site{
		w: w, planner: p, models: w.models(),
		asked: make([]float64, w.Models), served: make([]float64, w.Models),
		rng:      rand.New(rand.NewPCG(w.Seed, 3)),
		adapters: newAdapters(w, rand.New(rand.NewPCG(w.Seed, 2))),
	}
	names := make([]string, w.Zones)
	for z := range names {
		names[z] = fmt.Sprintf("zone-%d", z)
	}
	rate := escrow.Equal(w.LoadsPerSecond, names)
	atOnce := escrow.Equal(w.LoadsAtOnce, names)
	for _, name := range names {
		z := &zone{
			name: name, view: placement.NewHomesView(name, 1),
			averages: make([]placement.Averages, w.Models), demand: make([]float64, w.Models),
			lastAsked: make([]time.Duration, w.Models),
			changed:   make([]time.Duration, w.Models), seen: make([]int, w.Models),
		}
		z.rate.SetShare(0, rate.Zones[name])
		z.inFlight.SetShare(atOnce.Zones[name])
		s.zones = append(s.zones, z)
	}
	for u := range w.Upstreams {
		z := s.zones[u%w.Zones]
		z.upstreams = append(z.upstreams, &upstream{name: fmt.Sprintf("upstream-%02d", u)})
	}
	return s
}

func (s *site) step() {
	s.serve()
	for _, z := range s.zones {
		s.progress(z)
		s.plan(z)
	}
	s.now += tick
}

// progress ends the loads and unloads of a zone that are due.
func (s *site) progress(z *zone) {
	for _, up := range z.upstreams {
		up.replicas = slices.DeleteFunc(up.replicas, func(r *replica) bool {
			return r.state == placement.Unloading && s.now >= r.until
		})
		for _, r := range up.replicas {
			if r.state == placement.Loading && s.now >= r.until {
				r.state = placement.Ready
				z.inFlight.End()
			}
		}
	}
}

func alive(string) bool { return true }

func (s *site) plan(z *zone) {
	z.view.Take(s.version, s.homes)
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

func (s *site) input(z *zone) placement.Input {
	in := placement.Input{Zone: z.name}
	if !z.view.Claimed() {
		return in
	}
	for _, other := range s.zones {
		in.Zones = append(in.Zones, other.name)
	}
	for m, model := range s.models {
		elsewhere := s.homes.Elsewhere(model.name, z.name, alive)
		designated := z.view.Designated(model.name)
		seen := 2 * elsewhere
		if designated {
			seen++
		}
		if seen != z.seen[m] {
			z.seen[m], z.changed[m] = seen, s.now
		}
		z.averages[m].Add(s.now, z.demand[m])
		in.Models = append(in.Models, placement.Model{
			Name: model.name, MemoryMB: model.memoryMB,
			Fast: z.averages[m].Fast, Slow: z.averages[m].Slow,
			Designated: designated, Elsewhere: elsewhere, Since: s.now - z.changed[m],
			Idle: s.now - z.lastAsked[m],
		})
	}
	for _, up := range z.upstreams {
		in.Upstreams = append(in.Upstreams, s.describe(up))
	}
	for z.inFlight.Free() > int64(in.Loads) && z.rate.Start(s.now) {
		in.Loads++
	}
	return in
}

func (s *site) describe(up *upstream) placement.Upstream {
	d := placement.Upstream{Name: up.name, MemoryMB: s.w.UpstreamMB, Live: true}
	for _, r := range up.replicas {
		d.CommittedMB += s.models[r.model].memoryMB
		view := placement.Replica{Model: r.model, State: r.state, Draining: r.draining, Age: s.now - r.ordered}
		if r.draining && s.now < r.until {
			view.InFlight = 1
		}
		d.Replicas = append(d.Replicas, view)
	}
	return d
}

func (s *site) apply(z *zone, m placement.Move) {
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
		s.change(up.replicas[i], m.Kind)
	}
}

func (s *site) load(z *zone, up *upstream, m int) {
	if !z.inFlight.Start() {
		return
	}
	s.result.Loads++
	took := time.Duration(s.models[m].memoryMB) * time.Second / loadRateMB
	up.replicas = append(up.replicas, &replica{model: m, ordered: s.now, until: s.now + took})
}

func (s *site) change(r *replica, kind placement.Kind) {
	switch kind {
	case placement.Drain:
		r.draining = true
		r.until = s.now + drainTime
	case placement.Resume:
		r.draining = false
	case placement.Unload:
		s.result.Unloads++
		r.state = placement.Unloading
		r.until = s.now + unloadTime
	}
}
