package permit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/permit"
)

// simulation is a fleet of instances before the upstreams of one plain service, in virtual
// time. Callers do not repeat requests that are rejected.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	sequence  int
	upstreams []*simUpstream
	instances int
	load      float64 // of the capacity
	until     time.Duration

	arbiter    *permit.Arbiter
	waits      map[permit.Key]*simRequest
	schedulers []*assign.Scheduler
	queued     []map[*assign.Job]*simRequest
	history    []map[string]assign.Load // of all instances together, by exchange
	ownHistory [][]map[string]assign.Load

	measured simFigures
}

const (
	simUpstreams = 4
	simSlots     = 6
	simQueue     = 24 // behind the slots of an upstream
	simWork      = 60 * time.Millisecond
	simSpread    = 0.5 // standard deviation of the work, of its mean
	simDelay     = time.Millisecond
	simObjective = 300 * time.Millisecond
	simTimeout   = time.Second
	simExchange  = 250 * time.Millisecond // two of them are the age of the loads that peers report
	simWarmUp    = 3 * time.Second
)

type simUpstream struct {
	id      string
	running int
	waiting []func()
	busy    time.Duration
}

type simRequest struct {
	instance int
	arrived  time.Duration
	org      string
	urgency  int
	job      *assign.Job
	rejected int
	key      permit.Key
}

type simFigures struct {
	arrived, rejected, late int
	latencies               []time.Duration
	byOrg                   map[string]int // answered on time
	byUrgency               map[int]int    // answered on time
	used                    float64
	most                    int // requests at one upstream
}

func (f *simFigures) quantile(q float64) time.Duration {
	slices.Sort(f.latencies)
	return f.latencies[int(q*float64(len(f.latencies)-1))].Round(time.Millisecond)
}

func (f *simFigures) rejectedShare() float64 { return float64(f.rejected) / float64(f.arrived) }
func (f *simFigures) lateShare() float64     { return float64(f.late) / float64(f.arrived) }

func (f *simFigures) String() string {
	return fmt.Sprintf("rejected %.3f late %.3f used %.3f p50 %v p95 %v most %d", f.rejectedShare(), f.lateShare(), f.used, f.quantile(0.5), f.quantile(0.95), f.most)
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, do})
}

// newSimulation returns a simulation with permits or, without, of the former way.
func newSimulation(instances int, load float64, permits bool) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(5, 88)), now: time.Minute, instances: instances, load: load, waits: map[permit.Key]*simRequest{},
		measured: simFigures{byOrg: map[string]int{}, byUrgency: map[int]int{}},
	}
	var list []fleet.Upstream
	var known []permit.Upstream
	for i := range simUpstreams {
		id := fmt.Sprintf("u%d", i)
		s.upstreams = append(s.upstreams, &simUpstream{id: id})
		list = append(list, fleet.Upstream{ID: id, Service: "app", Zone: fmt.Sprintf("z%d", i%3), Slots: simSlots, StartedAtMS: 1})
		known = append(known, permit.Upstream{ID: id, StartedAtMS: 1, Slots: simSlots})
	}
	if permits {
		s.arbiter = permit.New()
		s.arbiter.SetUpstreams(s.now, "app", known)
		return s
	}
	config := &fleet.Config{Services: map[string]*fleet.Service{"app": {Name: "app"}}}
	for i := range instances {
		sched := assign.New(assign.Options{Name: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%3), Seed: uint64(i)})
		sched.SetUpstreams(config, list)
		s.schedulers = append(s.schedulers, sched)
		s.queued = append(s.queued, map[*assign.Job]*simRequest{})
	}
	s.after(0, s.exchange)
	return s
}

// run simulates so much time after the warm-up.
func (s *simulation) run(length time.Duration, request func(*simRequest)) *simFigures {
	begin := s.now + simWarmUp
	s.until = begin + length
	rate := s.load * simUpstreams * simSlots / simWork.Seconds()
	var arrive func()
	arrive = func() {
		r := &simRequest{instance: s.rng.IntN(s.instances), arrived: s.now, org: "a"}
		if request != nil {
			request(r)
		}
		s.submit(r)
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	measuring := false
	for s.now < s.until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if !measuring && s.now >= begin {
			measuring = true
			s.measured = simFigures{byOrg: map[string]int{}, byUrgency: map[int]int{}}
			for _, u := range s.upstreams {
				u.busy = 0
			}
		}
		e.do()
	}
	busy := time.Duration(0)
	for _, u := range s.upstreams {
		busy += u.busy
	}
	s.measured.used = busy.Seconds() / length.Seconds() / simUpstreams / simSlots
	return &s.measured
}

// work returns the duration of one request, with a log-normal distribution.
func (s *simulation) work() time.Duration {
	variance := math.Log(1 + simSpread*simSpread)
	return time.Duration(float64(simWork) * math.Exp(s.rng.NormFloat64()*math.Sqrt(variance)-variance/2))
}

// send sends a request to an upstream and calls done with whether it was served when the
// answer arrives.
func (s *simulation) send(id string, done func(served bool)) {
	u := s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.id == id })]
	s.after(simDelay, func() {
		begin := func() {
			u.running++
			d := s.work()
			s.after(d, func() {
				u.running--
				u.busy += d
				if len(u.waiting) > 0 {
					next := u.waiting[0]
					u.waiting = u.waiting[1:]
					next()
				}
				s.after(simDelay, func() { done(true) })
			})
		}
		switch {
		case u.running < simSlots:
			begin()
		case len(u.waiting) < simQueue:
			u.waiting = append(u.waiting, begin)
		default:
			s.after(simDelay, func() { done(false) })
		}
		s.measured.most = max(s.measured.most, u.running+len(u.waiting))
	})
}

func (s *simulation) submit(r *simRequest) {
	s.measured.arrived++
	if s.arbiter == nil {
		r.job = &assign.Job{
			Service: "app", Retryable: true, Arrived: s.now, Objective: s.now + simObjective, FirstEventDeadline: s.now + simTimeout, Deadline: s.now + simTimeout,
		}
		s.schedule(r)
		return
	}
	r.key = permit.Key{Instance: fmt.Sprint(r.instance), ID: uint64(s.sequence)}
	request := permit.Request{
		Key: r.key, Service: "app", Urgency: r.urgency, Organisation: r.org, Objective: r.arrived + simObjective,
		GiveUpAt: r.arrived + simTimeout, ExpireAt: r.arrived + 2*simTimeout,
	}
	s.after(simDelay, func() {
		s.waits[r.key] = r
		if d, decided := s.arbiter.Submit(s.now, request); decided {
			s.decided(d)
		}
		s.step()
	})
}

// step lets the arbiter decide, and again after its period.
func (s *simulation) step() {
	for _, d := range s.arbiter.Step(s.now, "app") {
		s.decided(d)
	}
}

func (s *simulation) decided(d permit.Decision) {
	r := s.waits[d.Key]
	delete(s.waits, d.Key)
	if !d.Granted {
		s.measured.rejected++
		return
	}
	s.after(simDelay, func() {
		sentAt := s.now
		s.send(d.Upstream, func(served bool) {
			s.answered(r, served)
			ended := permit.Ended{Rejected: !served, Served: s.now - sentAt}
			s.after(simDelay, func() {
				s.arbiter.Release(s.now, d.Key, ended)
				s.step()
			})
		})
	})
}

func (s *simulation) answered(r *simRequest, served bool) {
	if !served {
		s.measured.rejected++
		return
	}
	latency := s.now - r.arrived
	s.measured.latencies = append(s.measured.latencies, latency)
	if latency > simObjective {
		s.measured.late++
		return
	}
	s.measured.byOrg[r.org]++
	s.measured.byUrgency[r.urgency]++
}

// schedule places a request by the scheduler of its instance.
func (s *simulation) schedule(r *simRequest) {
	sched := s.schedulers[r.instance]
	switch p, d := sched.Submit(s.now, r.job); {
	case p != nil:
		s.place(r, p, d.Upstream.ID)
	case d != nil:
		s.measured.rejected++
	default:
		s.queued[r.instance][r.job] = r
		s.after(15*time.Millisecond, func() { s.placeQueued(r.instance) })
	}
}

func (s *simulation) place(r *simRequest, p *assign.Placement, id string) {
	sched := s.schedulers[r.instance]
	r.job.TriedUpstreams = append(r.job.TriedUpstreams, id)
	s.send(id, func(served bool) {
		switch {
		case served:
			sched.Release(s.now, p, assign.ResultOK)
			s.answered(r, true)
		default:
			sched.Release(s.now, p, assign.ResultUnknown)
			sched.RecordFull(s.now, id)
			if r.rejected++; r.rejected >= 2 {
				s.measured.rejected++
			} else {
				s.schedule(r)
			}
		}
		s.placeQueued(r.instance)
	})
}

func (s *simulation) placeQueued(instance int) {
	for _, q := range s.schedulers[instance].PlaceQueued(s.now) {
		r := s.queued[instance][q.Decision.Job]
		delete(s.queued[instance], q.Decision.Job)
		if q.Placement == nil {
			s.measured.rejected++
			continue
		}
		s.place(r, q.Placement, q.Decision.Upstream.ID)
	}
	if s.schedulers[instance].QueueLength() > 0 {
		s.after(15*time.Millisecond, func() { s.placeQueued(instance) })
	}
}

// exchange gives each instance the loads of the others as of two exchanges ago.
func (s *simulation) exchange() {
	own := make([]map[string]assign.Load, s.instances)
	total := map[string]assign.Load{}
	for i, sched := range s.schedulers {
		own[i] = sched.OwnLoads()
		for id, l := range own[i] {
			sum := total[id]
			sum.Add(&l)
			total[id] = sum
		}
	}
	s.history, s.ownHistory = append(s.history, total), append(s.ownHistory, own)
	at := max(len(s.history)-3, 0)
	for i, sched := range s.schedulers {
		others := map[string]assign.Load{}
		for id, l := range s.history[at] {
			mine := s.ownHistory[at][i][id]
			l.Running -= mine.Running
			for u := range l.Pending {
				l.Pending[u] -= mine.Pending[u]
			}
			others[id] = l
		}
		sched.SetPeers(map[string]assign.PeerLoads{"others": {At: s.now - 2*simExchange, Instances: s.instances - 1, Loads: others}})
	}
	s.after(simExchange, s.exchange)
}
