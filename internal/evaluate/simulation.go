package evaluate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// Delays and intervals of the simulation.
const (
	reportInterval = time.Second
	reportDelay    = 300 * time.Millisecond
	residentDelay  = 50 * time.Millisecond
	warmUp         = 30 * time.Second // before the first request
	pumpInterval   = 20 * time.Millisecond
	sampleInterval = 5 * time.Second
	drainTime      = 2 * time.Minute // after the last arrival
	lostBatchOneIn = 5               // one in this many batches of cache events is lost
)

// Deadlines of live requests.
const (
	firstTokenDeadline = 480 * time.Millisecond
	tokenGapDeadline   = 66 * time.Millisecond
)

// maxAttempts bounds the attempts of a request, with or without a retry budget.
const maxAttempts = 4

// Policies are the policies that a run measures; each field has a baseline.
type Policies struct {
	// Dispatch returns the dispatch options of an instance.
	Dispatch func() dispatch.Options
	// NoDeadline sets no deadline on live requests, so that none is refused early.
	NoDeadline bool
	// EnginePriorities makes engines admit live requests first.
	EnginePriorities bool
	// NoRetryBudget retries at once and without a retry budget.
	NoRetryBudget bool
	// LoadOnDemand reports requests whose model lacks free replicas to the planner.
	LoadOnDemand bool
	Limiter      func(*simulation) limiter
	Planner      func(*simulation) planner
	// KillAt is the time after the start of the load at which the first server is
	// killed; 0 for never.
	KillAt time.Duration
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simulation is the state of one run: the event loop, the engines and the
// instances.
type simulation struct {
	workload *Workload
	policies Policies
	now      time.Duration
	seq      int
	timers   timers
	random   *rand.Rand
	engines  []*engine
	// Shares of the prompt tokens that are cached at the engine of their request,
	// and at another engine only.
	cachedHere, cachedElsewhere ratio
	instances                   []*instance
	byName                      map[string]*engine
	planner                     planner
	limiter                     limiter
	jobs                        []job
	modelLoads                  int
	skew                        []float64 // samples of max/mean load over the replicas of a model
}

// run simulates a trace under policies and returns the final state.
func run(w *Workload, p Policies, trace []job, seed uint64) *simulation {
	sim := newSimulation(w, p, seed)
	sim.jobs = slices.Clone(trace)
	for i := range sim.jobs {
		j := &sim.jobs[i]
		j.arrival += warmUp
		sim.at(j.arrival, func() { sim.arrive(j) })
	}
	if p.KillAt > 0 {
		sim.at(warmUp+p.KillAt, sim.engines[0].kill)
	}
	end := warmUp + seconds(w.Seconds) + drainTime
	for len(sim.timers) > 0 && sim.timers[0].at <= end {
		t := heap.Pop(&sim.timers).(timer)
		sim.now = t.at
		t.run()
	}
	return sim
}

// newSimulation returns the state before the first request.
func newSimulation(w *Workload, p Policies, seed uint64) *simulation {
	sim := &simulation{workload: w, policies: p, random: rand.New(rand.NewPCG(seed, 2)), byName: map[string]*engine{}}
	for i, models := range staticReplicas(w) {
		e := &engine{sim: sim, id: i, zone: i % w.Zones, inTransit: map[int]int{}}
		for _, m := range models {
			e.replicas = append(e.replicas, &replica{model: m, state: placement.Ready})
		}
		sim.engines = append(sim.engines, e)
		sim.byName[serverName(i)] = e
	}
	for i := range w.Instances {
		sim.instances = append(sim.instances, newInstance(sim, i))
	}
	for _, e := range sim.engines {
		sim.every(reportInterval, reportInterval*time.Duration(e.id)/time.Duration(w.Servers), e.publishReport)
	}
	sim.every(pumpInterval, 0, sim.pumpInstances)
	sim.every(sampleInterval, sampleInterval, sim.sampleSkew)
	sim.limiter, sim.planner = p.Limiter(sim), p.Planner(sim)
	return sim
}

func (sim *simulation) at(t time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.timers, timer{at: t, seq: sim.seq, run: run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now+d, run) }

func (sim *simulation) every(d, first time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		sim.after(d, tick)
	}
	sim.at(first, tick)
}

func (sim *simulation) arrive(j *job) {
	sim.limiter.admit(j, func(admitted bool) {
		if !admitted {
			j.outcome = rateLimited
			return
		}
		sim.instances[j.instance].arrive(j)
	})
}

func (sim *simulation) finished(j *job) {
	j.outcome = completed
	sim.instances[j.instance].finished(j)
}

func (sim *simulation) pumpInstances() {
	for _, i := range sim.instances {
		i.pump()
	}
}

// publishReport sends an engine's load and cache events to all instances, with a
// delay.
func (e *engine) publishReport() {
	if e.dead {
		return
	}
	taken := e.sim.now
	l := route.Load{Running: len(e.running), Queued: len(e.queued), QueuedPrefillTokens: e.queuedPrefill(), FreeKVTokens: 1 << 20}
	events := e.events
	e.events = nil
	lost := e.sim.random.IntN(lostBatchOneIn) == 0
	adapters := make([]string, len(e.adapters))
	for i, a := range e.adapters {
		adapters[i] = adapterName(a)
	}
	resident := e.resident(adapters)
	e.sim.after(reportDelay, func() {
		l.Age = e.sim.now - taken
		for _, i := range e.sim.instances {
			i.table().Report(e.sim.now, serverName(e.id), l)
			i.table().SetResident(serverName(e.id), resident)
			if lost {
				i.table().CacheGap(e.sim.now, serverName(e.id))
				continue
			}
			for _, c := range events {
				i.table().CacheEvent(e.sim.now, serverName(e.id), c.prefix, c.tokens, c.evicted)
			}
		}
	})
}

func (e *engine) resident(adapters []string) []route.ResidentModel {
	var list []route.ResidentModel
	for _, r := range e.replicas {
		if r.state == placement.Unloading {
			continue
		}
		list = append(list, route.ResidentModel{
			Model: modelName(r.model), Adapters: adapters, Ready: r.state == placement.Ready, Draining: r.draining,
		})
	}
	return list
}

// publishResidents sends a change of the resident models to all instances before
// the next report, as the owner of an order does.
func (e *engine) publishResidents() {
	e.sim.after(residentDelay, func() {
		if e.dead {
			return
		}
		for _, i := range e.sim.instances {
			i.table().SetResident(serverName(e.id), e.resident(nil))
		}
	})
}

// sampleSkew records the ratio of the largest to the mean load of the replicas of
// each model.
func (sim *simulation) sampleSkew() {
	for m := range sim.workload.Models {
		most, total, replicas := 0, 0, 0
		for _, e := range sim.engines {
			if r := e.replica(m); e.dead || r == nil || r.state != placement.Ready {
				continue
			}
			n := 0
			for _, j := range append(slices.Clone(e.running), e.queued...) {
				if j.model == m {
					n++
				}
			}
			most, total, replicas = max(most, n), total+n, replicas+1
		}
		if replicas > 1 && total >= 2*replicas {
			sim.skew = append(sim.skew, float64(most)*float64(replicas)/float64(total))
		}
	}
}

const modelFormat = "m%02d"

func serverName(i int) string   { return fmt.Sprintf("s%02d", i) }
func zoneName(i int) string     { return fmt.Sprintf("z%02d", i) }
func modelName(i int) string    { return fmt.Sprintf(modelFormat, i) }
func instanceName(i int) string { return fmt.Sprintf("i%02d", i) }
func adapterName(i int) string  { return fmt.Sprintf("a%02d", i) }
