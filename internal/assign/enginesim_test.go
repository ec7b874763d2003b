package assign

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	simSlots        = 16
	simTokensPerMs  = 38.4
	simChunkTokens  = 512 // prompt tokens processed in one step at most
	simBaseStep     = 5200 * time.Microsecond
	simStepPerSlot  = 100 * time.Microsecond
	simExchange     = 250 * time.Millisecond
	simStateRounds  = 2 // age of the states of instances, in exchanges
	simTick         = 15 * time.Millisecond
	simMaxAttempts  = 4
	simMinPatience  = 2 * time.Second
	simDeadline     = 30 * time.Second
	simPatienceMult = 4
)

// simKind is a kind of requests of one organisation.
type simKind struct {
	name           string
	rate           float64 // per second, over all instances
	prompt, output int     // tokens; the output is exponentially distributed
	objective      time.Duration
	priority       int
	arrivals       *rand.Rand // so that arrivals do not depend on decisions
}

func (k *simKind) urgency() int {
	if k.objective >= time.Second {
		return 2*k.priority + 1
	}
	return 2 * k.priority
}

// simStats are the results of the requests of a kind.
type simStats struct {
	arrived, served, onTime, refused, left int
	credit                                 float64 // 1 for on time, less the later it is, 0 from twice the objective on
	first                                  []time.Duration
}

func (s *simStats) add(o *simStats) {
	s.arrived, s.served, s.onTime, s.refused, s.left = s.arrived+o.arrived, s.served+o.served, s.onTime+o.onTime, s.refused+o.refused, s.left+o.left
	s.credit += o.credit
	s.first = append(s.first, o.first...)
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// percentile returns a percentile of the times to the first token of served requests.
func (s *simStats) percentile(p float64) time.Duration {
	if len(s.first) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.first))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func (s *simStats) String() string {
	return fmt.Sprintf("arrived %d served %.3f on time %.3f credit %.3f refused %.3f left %.3f p50 %v p95 %v", s.arrived, share(s.served, s.arrived),
		share(s.onTime, s.arrived), s.credit/float64(max(s.arrived, 1)), share(s.refused, s.arrived), share(s.left, s.arrived),
		s.percentile(0.5).Round(time.Millisecond), s.percentile(0.95).Round(time.Millisecond))
}

// simRequest is one request of a caller, over all its attempts.
type simRequest struct {
	kind      *simKind
	stats     *simStats
	arrived   time.Duration // of the first attempt
	attempts  int
	job       *Job
	placement *Placement
	sched     *Scheduler
	engine    *simEngine
	prefill   int // tokens left
	output    int // tokens left
	sentAt    time.Duration
	seq       int
	started   bool
	over      bool
	priority  int
}

// simEngine processes the prompts of its requests in pieces between the tokens of the others,
// by priority, then by arrival.
type simEngine struct {
	active, waiting []*simRequest
	stepping        bool
}

func byPriority(a, b *simRequest) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
}

// simEvents is a heap of events.
type simEvents []fleetEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// engineSim simulates instances that place requests of several kinds on the same engines.
// Each knows the state of the others as of half a second ago.
type engineSim struct {
	rng        *rand.Rand
	events     simEvents
	schedulers []*Scheduler
	engines    map[string]*simEngine
	kinds      []*simKind
	weights    []float64 // of the instances, by the requests that they get
	stats      map[*simKind]*simStats
	waiting    map[*Job]*simRequest
	history    [][]map[string]Load
	seq        int
	cutOff     func(now time.Duration, instance int) bool // from its peers
	rateOf     func(now time.Duration, k *simKind) float64
	config     *fleet.Config
	list       []fleet.Upstream
	warmUp     time.Duration // requests that arrive before are not counted
}

func newEngineSim(seed uint64, instances, engines int, kinds ...*simKind) *engineSim {
	f := &engineSim{
		rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*simEngine{}, kinds: kinds, stats: map[*simKind]*simStats{}, waiting: map[*Job]*simRequest{},
		rateOf: func(_ time.Duration, k *simKind) float64 { return k.rate }, warmUp: start + 10*time.Second,
		cutOff: func(time.Duration, int) bool { return false },
	}
	f.config = &fleet.Config{Services: map[string]*fleet.Service{"chat": {Name: "chat", Engine: &fleet.Engine{Slots: simSlots}}}}
	for i, k := range kinds {
		k.arrivals = rand.New(rand.NewPCG(seed, uint64(i+2)))
		f.stats[k] = &simStats{}
		f.config.Routes = append(f.config.Routes, &fleet.Route{Name: k.name, Objective: k.objective, Priority: k.priority, Targets: []fleet.Target{{Service: "chat", Weight: 1}}})
	}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		f.engines[id] = &simEngine{}
		f.list = append(f.list, fleet.Upstream{ID: id, Service: "chat", Zone: "z0", StartedAtMS: 1, Slots: simSlots, Models: []fleet.ResidentModel{{Model: "m"}}})
	}
	for i := range instances {
		f.schedulers, f.weights = append(f.schedulers, nil), append(f.weights, 1)
		f.restart(start, i)
	}
	return f
}

// restart replaces an instance by one that knows nothing.
func (f *engineSim) restart(now time.Duration, i int) {
	s := New(Options{Name: fmt.Sprint(i), Incarnation: fmt.Sprint(i, now), Zone: "z0", Seed: uint64(i)})
	s.SetUpstreams(f.config, f.list)
	f.schedulers[i] = s
}

// capacity returns the requests per second that the engines serve at full batches if the
// arrivals are divided among kinds by their rates.
func simCapacity(engines int, kinds ...*simKind) float64 {
	total, busy, prefill := 0.0, 0.0, 0.0
	step := (simBaseStep + simSlots*simStepPerSlot).Seconds()
	for _, k := range kinds {
		total += k.rate
		busy += k.rate * float64(k.output) * step
		prefill += k.rate * float64(k.prompt) / simTokensPerMs / 1000
	}
	return float64(engines) * simSlots / (busy/total + simSlots*prefill/total)
}

// scaleRates multiplies the rates of the kinds so that they sum up to rate.
func scaleRates(rate float64, kinds ...*simKind) {
	total := 0.0
	for _, k := range kinds {
		total += k.rate
	}
	for _, k := range kinds {
		k.rate *= rate / total
	}
}

func (f *engineSim) push(at time.Duration, do func(time.Duration)) {
	heap.Push(&f.events, fleetEvent{at, do})
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-float64(mean) * math.Log(1-rng.Float64()))
}

func (f *engineSim) instance() int {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	n := f.rng.Float64() * total
	for i, w := range f.weights {
		if n -= w; n < 0 {
			return i
		}
	}
	return 0
}

func (f *engineSim) run(length time.Duration) {
	for _, k := range f.kinds {
		f.push(start, func(now time.Duration) { f.arrive(now, k) })
	}
	f.push(start, f.exchange)
	f.push(start, f.tick)
	for len(f.events) > 0 && f.events[0].at < start+length {
		e := heap.Pop(&f.events).(fleetEvent)
		e.do(e.at)
	}
}

func (f *engineSim) arrive(now time.Duration, k *simKind) {
	rate := f.rateOf(now, k)
	f.push(now+exponential(k.arrivals, time.Duration(float64(time.Second)/max(rate, 0.01))), func(now time.Duration) { f.arrive(now, k) })
	r := &simRequest{kind: k, arrived: now, stats: f.stats[k], output: 1 + int(exponential(k.arrivals, time.Duration(k.output)))}
	if now < f.warmUp {
		r.stats = &simStats{}
	}
	r.stats.arrived++
	f.submit(now, r)
}

// submit is one attempt of a caller.
func (f *engineSim) submit(now time.Duration, r *simRequest) {
	k := r.kind
	r.attempts++
	r.sched = f.schedulers[f.instance()]
	f.seq++
	r.job = &Job{
		ID: fmt.Sprint(f.seq), Service: "chat", Model: "m", NeedsEngine: true, PromptTokens: k.prompt, OutputTokens: k.output, Urgency: k.urgency(),
		Arrived: now, Objective: now + k.objective, FirstEventDeadline: now + max(simMinPatience, simPatienceMult*k.objective), Deadline: r.arrived + simDeadline,
	}
	job := r.job
	f.push(job.FirstEventDeadline, func(now time.Duration) { f.leave(now, r, job) })
	p, d := r.sched.Submit(now, r.job)
	if d == nil {
		f.waiting[r.job] = r
		return
	}
	f.decided(now, r, p, d)
}

func (f *engineSim) decided(now time.Duration, r *simRequest, p *Placement, d *Decision) {
	if p != nil {
		r.placement, r.engine, r.priority, r.prefill, r.sentAt = p, f.engines[d.Upstream.ID], p.Urgency(), r.kind.prompt, now
		f.seq++
		r.seq = f.seq
		f.send(now, r)
		return
	}
	retryAt := now + d.Refusal.RetryAfter
	if d.Refusal.RetryAfter > 0 && r.attempts < simMaxAttempts && retryAt < r.arrived+simDeadline {
		f.push(retryAt, func(now time.Duration) { f.submit(now, r) })
		return
	}
	r.over = true
	r.stats.refused++
}

// leave ends the request of a caller who has waited for too long.
func (f *engineSim) leave(now time.Duration, r *simRequest, job *Job) {
	if r.over || r.started || r.job != job || f.waiting[job] == nil && r.placement == nil {
		return
	}
	r.over = true
	r.stats.left++
	if f.waiting[job] != nil {
		r.sched.Cancel(job)
		delete(f.waiting, job)
		return
	}
	same := func(o *simRequest) bool { return o == r }
	r.engine.active, r.engine.waiting = slices.DeleteFunc(r.engine.active, same), slices.DeleteFunc(r.engine.waiting, same)
	r.sched.Release(now, r.placement, ResultUnknown)
}

func (f *engineSim) placeQueued(now time.Duration, s *Scheduler) {
	for _, w := range s.PlaceQueued(now) {
		r := f.waiting[w.Decision.Job]
		delete(f.waiting, w.Decision.Job)
		f.decided(now, r, w.Placement, &w.Decision)
	}
}

func (f *engineSim) tick(now time.Duration) {
	for _, s := range f.schedulers {
		if s.QueueLength() > 0 {
			f.placeQueued(now, s)
		}
	}
	f.push(now+simTick, f.tick)
}

// exchange gives each instance the sum of the others' states as of some exchanges ago.
func (f *engineSim) exchange(now time.Duration) {
	var own []map[string]Load
	for _, s := range f.schedulers {
		own = append(own, s.OwnLoads())
	}
	f.history = append(f.history, own)
	round := len(f.history) - 1 - simStateRounds
	for i, s := range f.schedulers {
		if round < 0 || f.cutOff(now, i) {
			s.DropStalePeers(now)
			continue
		}
		sum, peers := map[string]Load{}, 0
		for j, loads := range f.history[round] {
			if j == i || f.cutOff(now, j) {
				continue
			}
			peers++
			for _, id := range slices.Sorted(maps.Keys(loads)) {
				total, l := sum[id], loads[id]
				total.Add(&l)
				sum[id] = total
			}
		}
		s.SetPeers(map[string]PeerLoads{"others": {At: now - simStateRounds*simExchange, Instances: peers, Loads: sum}})
	}
	for _, s := range f.schedulers {
		f.placeQueued(now, s)
	}
	f.push(now+simExchange, f.exchange)
}

// send adds a request to its engine.
func (f *engineSim) send(now time.Duration, r *simRequest) {
	e := r.engine
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		f.step(now, e)
	}
}

// step runs one step of an engine: a token of each request that has its prompt processed, and
// a piece of the prompts of others.
func (f *engineSim) step(now time.Duration, e *simEngine) {
	slices.SortFunc(e.waiting, byPriority)
	n := min(simSlots-len(e.active), len(e.waiting))
	e.active, e.waiting = append(e.active, e.waiting[:n]...), slices.Delete(e.waiting, 0, n)
	e.stepping = len(e.active) > 0
	if !e.stepping {
		return
	}
	slices.SortFunc(e.active, byPriority)
	budget := simChunkTokens
	var tokens []*simRequest // that get a token
	for _, r := range e.active {
		piece := min(r.prefill, budget)
		r.prefill -= piece
		budget -= piece
		if r.prefill == 0 {
			tokens = append(tokens, r)
		}
	}
	length := simBaseStep + time.Duration(len(e.active))*simStepPerSlot + time.Duration(float64(simChunkTokens-budget)/simTokensPerMs*float64(time.Millisecond))
	f.push(now+length, func(now time.Duration) {
		for _, r := range tokens {
			f.token(now, r)
		}
		e.active = slices.DeleteFunc(e.active, func(r *simRequest) bool { return r.over })
		f.step(now, e)
	})
}

// token gives a request its next token.
func (f *engineSim) token(now time.Duration, r *simRequest) {
	if r.over {
		return
	}
	r.output--
	if !r.started {
		r.started = true
		r.sched.RecordFirstToken(now, r.placement)
		f.served(now-r.arrived, r)
		f.placeQueued(now, r.sched)
	}
	if r.output > 0 {
		return
	}
	r.over = true
	r.sched.Release(now, r.placement, ResultOK)
	f.placeQueued(now, r.sched)
}

func (f *engineSim) served(first time.Duration, r *simRequest) {
	r.stats.served++
	r.stats.first = append(r.stats.first, first)
	if first <= r.kind.objective {
		r.stats.onTime++
	}
	r.stats.credit += min(max(2-float64(first)/float64(r.kind.objective), 0), 1)
}

func (s *simStats) meanCredit() float64 { return s.credit / float64(max(s.arrived, 1)) }
