package evaluate

import (
	"fmt"
	"io"
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// killShare is when the first server dies in the run that kills one, as a share
// of the workload's time.
const killShare = 0.25

// describedRate is the prompt rate of an engine beside decoding, in tokens per
// second.
const describedRate = 6000

// refusalMargin is the percentage by which the expected time to the first token
// may exceed the time left.
const refusalMargin = 50

// An organisation at overPercent of its share is refused requests whose first
// token is expected to take busyPercent of the deadline.
const (
	overPercent = 200
	busyPercent = 50
)

// batchRoom is the percentage of an upstream's sequences that batch requests
// may fill unless their least share is due.
const batchRoom = 50

// Baseline returns static placement, round robin, first come first served and
// equal static division of the rates.
func Baseline() Policies {
	return Policies{
		DescribedRate: describedRate,
		Route:         func() route.Policy { return &route.RoundRobin{} },
		Fair:          fair.FirstComeFirstServed,
		Limiter:       func(w *Workload) Limiter { return newDividedLimiter(w) },
		Planner:       func(*Workload) Planner { return staticPlanner{} },
	}
}

// OnDemand returns the baseline with least-recently-used loading on demand.
func OnDemand() Policies {
	p := Baseline()
	p.Route = func() route.Policy { return route.LeastLoaded{} }
	p.Planner = func(*Workload) Planner { return newLRUPlanner() }
	return p
}

// Ours returns the project's policies. The limiter is the oracle and the
// planner static until the packages limit and placement take their places.
func Ours() Policies {
	return Policies{
		Route:         func() route.Policy { return route.ExpectedFirstToken{} },
		DescribedRate: describedRate,
		Queue:         true,
		Fair:          fair.TokenCounters,
		Priorities:    true,
		Pace:          true,
		RefusalMargin: refusalMargin,
		OverPercent:   overPercent,
		BusyPercent:   busyPercent,
		BatchRoom:     batchRoom,
		Ejection:      true,
		Limiter:       func(w *Workload) Limiter { return newExactLimiter(w) },
		Planner:       func(*Workload) Planner { return staticPlanner{} },
	}
}

// Run measures policies on a workload.
func Run(w *Workload, p Policies, seed uint64) Measures {
	return run(w, p, w.trace(seed), seed).measure()
}

// runAll runs each of the policies on one trace, at the same time.
func runAll(w *Workload, seed uint64, policies ...Policies) []Measures {
	trace := w.trace(seed)
	results := make([]Measures, len(policies))
	var group sync.WaitGroup
	for i, p := range policies {
		group.Go(func() { results[i] = run(w, p, trace, seed).measure() })
	}
	group.Wait()
	return results
}

// Ablate prints the attainment of the project's policies with one of them put
// back to its baseline at a time: workload, policy, without, with and ratio.
func Ablate(out io.Writer, w *Workload, seed uint64) {
	names := []string{"routing", "queue", "counters", "priorities", "limiter", "batch_room", "pace", "refusal_margin", "shares"}
	runs := []Policies{Ours()}
	for range names {
		runs = append(runs, Ours())
	}
	runs[1].Route = Baseline().Route
	runs[2].Queue = false
	runs[3].Fair = fair.LiveFirst
	runs[4].Priorities = false
	runs[5].Limiter = Baseline().Limiter
	runs[6].BatchRoom = Baseline().BatchRoom
	runs[7].Pace = false
	runs[8].RefusalMargin = 0
	runs[9].OverPercent = 0
	unlimited := Ours()
	unlimited.Limiter = func(*Workload) Limiter { return openLimiter{} }
	unlimitedBlind := unlimited
	unlimitedBlind.Fair = fair.LiveFirst
	unlimitedOpen := unlimited
	unlimitedOpen.OverPercent = 0
	runs = append(runs, unlimitedBlind, unlimitedOpen, unlimited)
	m := runAll(w, seed, runs...)
	open := m[len(m)-1].WorstOther
	for i, name := range []string{"counters", "shares"} {
		without := m[len(m)-3+i].WorstOther
		fmt.Fprintf(out, "%s worst_other_unlimited_without_%s %.4g %.4g %.3f\n", w.Name, name, without, open, open/without)
	}
	for i, name := range names {
		without, with := m[i+1], m[0]
		fmt.Fprintf(out, "%s attainment_without_%s %.4g %.4g %.3f\n", w.Name, name,
			without.Attainment, with.Attainment, with.Attainment/without.Attainment)
		fmt.Fprintf(out, "%s refused_without_%s %.4g %.4g\n", w.Name, name, without.Refused, with.Refused)
		fmt.Fprintf(out, "%s worst_over_best_without_%s %.4g %.4g %.3f\n", w.Name, name,
			without.Worst/without.Best, with.Worst/with.Best, with.Worst/with.Best/(without.Worst/without.Best))
	}
}

// Print measures a workload under all policies and prints one line per
// measure: workload, measure, baseline, ours and the ratio of the two.
func Print(out io.Writer, w *Workload, seed uint64) {
	baseKill, oursKill := Baseline(), Ours()
	baseKill.Kill = seconds(w.Seconds * killShare)
	oursKill.Kill = baseKill.Kill
	m := runAll(w, seed, Baseline(), Ours(), OnDemand(), baseKill, oursKill)
	base, ours, demand, baseKilled, oursKilled := m[0], m[1], m[2], m[3], m[4]
	line := func(measure string, a, b float64) {
		quotient := "-"
		if a != 0 {
			quotient = fmt.Sprintf("%.3f", b/a)
		}
		fmt.Fprintf(out, "%s %s %.4g %.4g %s\n", w.Name, measure, a, b, quotient)
	}
	accelerators := float64(w.Servers)
	line("attainment_per_accelerator", base.Attainment/accelerators, ours.Attainment/accelerators)
	line("attainment", base.Attainment, ours.Attainment)
	line("attainment_on_demand", demand.Attainment, ours.Attainment)
	line("model_moves_on_demand", float64(demand.Moves), float64(ours.Moves))
	line("worst_over_best_organisation", base.Worst/base.Best, ours.Worst/ours.Best)
	line("worst_over_best_of_the_others", base.WorstOther/base.BestOther, ours.WorstOther/ours.BestOther)
	line("worst_organisation", base.Worst, ours.Worst)
	line("late_first_token", base.LateFirst, ours.LateFirst)
	line("late_between_tokens", base.LateGap, ours.LateGap)
	line("batch_answered", base.BatchDone, ours.BatchDone)
	line("flood_tokens_admitted_over_exact", base.FloodShare, ours.FloodShare)
	line("limited_within_rate", base.Limited, ours.Limited)
	line("refused_for_overload", base.Refused, ours.Refused)
	line("tokens_beyond_rate_and_burst", float64(base.Beyond), float64(ours.Beyond))
	line("attempts_after_kill", baseKilled.Attempts, oursKilled.Attempts)
	line("attainment_after_kill", baseKilled.Attainment, oursKilled.Attainment)
	line("home_load_max_over_mean", base.Skew, ours.Skew)
}
