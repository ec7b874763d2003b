package assign

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	simEngines   = 8
	simInstances = 6
)

func shortKind(rate float64) *simKind {
	return &simKind{name: "short", rate: rate, prompt: 198, output: 628, objective: 400 * time.Millisecond, priority: 2}
}

// longPromptKind has a prompt of 180 ms.
func longPromptKind(rate float64) *simKind {
	return &simKind{name: "long", rate: rate, prompt: 6900, output: 1100, objective: 1500 * time.Millisecond}
}

func longAnswerKind(rate float64) *simKind {
	return &simKind{name: "long", rate: rate, prompt: 568, output: 1800, objective: 1500 * time.Millisecond}
}

// simRun is a run of several seeds, with the results summed.
type simRun struct {
	load  float64 // as a fraction of the capacity
	kinds func() []*simKind
	edit  func(f *engineSim)
	seeds uint64 // 0 for 3
}

func (r simRun) stats() []*simStats {
	var sum []*simStats
	for seed := range max(r.seeds, 3) {
		kinds := r.kinds()
		scaleRates(r.load*simCapacity(simEngines, kinds...), kinds...)
		f := newEngineSim(seed, simInstances, simEngines, kinds...)
		if r.edit != nil {
			r.edit(f)
		}
		f.run(time.Minute)
		for i, k := range kinds {
			if seed == 0 {
				sum = append(sum, &simStats{})
			}
			sum[i].add(f.stats[k])
		}
	}
	return sum
}

// orderByPriority makes all instances order jobs by priority, as if no kinds were inverted.
func orderByPriority(f *engineSim) {
	for _, s := range f.schedulers {
		s.kindOrders = nil
	}
}

func mixed() []*simKind { return []*simKind{shortKind(4), longPromptKind(1)} }

// With a fifth of the requests long, at 0.9 of the capacity, short ones do not wait for the
// prompts of long ones although those are more urgent by their route, and long ones are in
// time nearly as often as if they went first.
func TestShortPromptsDoNotWaitForLongOnes(t *testing.T) {
	alone := simRun{load: 0.9, seeds: 6, kinds: func() []*simKind { return []*simKind{shortKind(1)} }}.stats()
	before := simRun{load: 0.9, seeds: 6, kinds: mixed, edit: orderByPriority}.stats()
	after := simRun{load: 0.9, seeds: 6, kinds: mixed}.stats()
	t.Logf("alone: %v\nby priority: %v; long %v\nnow: %v; long %v", alone[0], before[0], before[1], after[0], after[1])
	must.LessEq(t, 1.3*alone[0].percentile(0.95).Seconds(), after[0].percentile(0.95).Seconds())
	must.GreaterEq(t, share(before[1].onTime, before[1].arrived)-0.05, share(after[1].onTime, after[1].arrived))
	must.GreaterEq(t, 0.95, share(after[1].served, after[1].arrived))
}

// In a shortage the kind that is more urgent by its route is not served less often than the
// other one and does not lose more of its credit, whatever the mix.
func TestShortageFavoursUrgentKind(t *testing.T) {
	for name, kinds := range map[string]func() []*simKind{
		"few long prompts":  mixed,
		"many long prompts": func() []*simKind { return []*simKind{shortKind(1), longPromptKind(1)} },
		"many long answers": func() []*simKind { return []*simKind{shortKind(4), longAnswerKind(3)} },
	} {
		for _, load := range []float64{1.1, 1.6} {
			s := simRun{load: load, kinds: kinds}.stats()
			short, long := s[0], s[1]
			figures := must.Sprintf("%s at %.1f: short %v; long %v", name, load, short, long)
			must.GreaterEq(t, share(short.served, short.arrived)-0.05, share(long.served, long.arrived), figures)
			must.GreaterEq(t, short.meanCredit()-0.15, long.meanCredit(), figures)
		}
	}
}

// Only a service of engines in which a route with a longer objective is more urgent than
// another one is ordered otherwise than by priority.
func TestOnlyInvertedKindsAreOrderedByDueTime(t *testing.T) {
	order := func(service string, a, b *fleet.Route) bool {
		a.Targets, b.Targets = []fleet.Target{{Service: service, Weight: 1}}, []fleet.Target{{Service: "chat", Weight: 1}}
		config := &fleet.Config{Routes: []*fleet.Route{a, b}, Services: map[string]*fleet.Service{"chat": {Engine: &fleet.Engine{}}, "other": {Engine: &fleet.Engine{}}}}
		return len(kindOrders(config, nil)) > 0
	}
	route := func(objective time.Duration, priority int) *fleet.Route {
		return &fleet.Route{Objective: objective, Priority: priority}
	}
	must.True(t, order("chat", route(2*time.Second, 0), route(time.Second, 1)))
	must.False(t, order("chat", route(time.Second, 0), route(2*time.Second, 1)))
	must.False(t, order("chat", route(time.Second, 0), route(time.Second, 1)))
	must.False(t, order("chat", route(2*time.Second, 1), route(time.Second, 1)))
	must.False(t, order("chat", route(2*time.Second, 0), route(0, 1)))
	must.False(t, order("other", route(2*time.Second, 0), route(time.Second, 1)))
}

// The order of jobs of several services, only some of them with inverted kinds, is
// consistent: sorting would place jobs at random otherwise.
func TestOrderIsConsistent(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		s := New(Options{})
		s.kindOrders = map[string]*kindOrder{"b": {shortest: time.Second, longest: 2 * time.Second}, "c": {shortest: time.Second, longest: 2 * time.Second, priorityUntil: start + time.Second}}
		var jobs []*Job
		for i := range 3 {
			arrived := start - time.Duration(rapid.IntRange(0, 2000).Draw(rt, "age"))*time.Millisecond
			jobs = append(jobs, &Job{
				Service: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "service"), Urgency: rapid.IntRange(0, 3).Draw(rt, "urgency"), Arrived: arrived,
				Objective: arrived + time.Duration(rapid.IntRange(100, 2000).Draw(rt, "objective"))*time.Millisecond, sequence: uint64(i),
			})
		}
		for _, p := range [][3]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}, {1, 0, 2}, {0, 2, 1}} {
			a, b, c := jobs[p[0]], jobs[p[1]], jobs[p[2]]
			must.Eq(rt, s.compare(start, a, b), -s.compare(start, b, a))
			if s.compare(start, a, b) < 0 && s.compare(start, b, c) < 0 {
				must.Less(rt, 0, s.compare(start, a, c))
			}
		}
	})
}

// With an instance cut off from its peers for a while, and after a restart of all instances,
// requests are served nearly as often as without.
func TestOrderSurvivesFailures(t *testing.T) {
	calm := simRun{load: 0.8, kinds: mixed}.stats()
	cut := simRun{load: 0.8, kinds: mixed, edit: func(f *engineSim) {
		f.cutOff = func(now time.Duration, i int) bool {
			return i == 0 && now > start+20*time.Second && now < start+40*time.Second
		}
	}}.stats()
	restarted := simRun{load: 0.8, kinds: mixed, edit: func(f *engineSim) {
		f.push(start+30*time.Second, func(now time.Duration) {
			for i := range f.schedulers {
				f.restart(now, i)
			}
		})
	}}.stats()
	for i := range calm {
		t.Logf("calm %v\ncut off %v\nrestarted %v", calm[i], cut[i], restarted[i])
		for _, s := range []*simStats{cut[i], restarted[i]} {
			must.GreaterEq(t, share(calm[i].served, calm[i].arrived)-0.03, share(s.served, s.arrived))
			must.GreaterEq(t, share(calm[i].onTime, calm[i].arrived)-0.1, share(s.onTime, s.arrived))
		}
	}
}

// While a shortage lasts, the order by due time is tried less and less often, so that requests
// of the urgent kind are not late again and again for it.
func TestPriorityHoldsLongerWhileShortageLasts(t *testing.T) {
	o := &kindOrder{shortest: 400 * time.Millisecond, longest: time.Second}
	s := &Scheduler{kindOrders: map[string]*kindOrder{"chat": o}}
	now := start
	for _, hold := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
		o.recordLate(now)
		o.recordLate(now + time.Second) // as more become late
		must.Eq(t, hold, o.hold)
		must.True(t, s.OrderStates(now + hold - 1)[0].ByPriority)
		now += hold
		must.False(t, s.OrderStates(now)[0].ByPriority)
	}
	o.recordLate(now + time.Minute)
	must.Eq(t, OrderState{Service: "chat", ByPriority: true, Hold: 2 * time.Second, Shortages: 6}, s.OrderStates(now + time.Minute)[0])
}
