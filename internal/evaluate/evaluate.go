package evaluate

import (
	"fmt"
	"io"
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// killShare is when the first server dies in the run that kills one, as a share
// of the workload's time.
const killShare = 0.25

// describedRate is the prompt rate of an engine beside decoding, in tokens per
// second.
const describedRate = 6000

// Baseline returns static placement, round robin, first come first served and
// equal static division of the rates.
func Baseline() Policies {
	return Policies{
		Dispatch:   baselineDispatch,
		NoDeadline: true,
		NoBudget:   true,
		Limiter:    newDividedLimiter,
		Planner:    newStaticPlanner,
	}
}

func baselineDispatch() dispatch.Options {
	return dispatch.Options{
		Route:     route.Options{Policy: &route.RoundRobin{}, RefusalMargin: dispatch.Off, NoEjection: true, NoPace: true},
		Fair:      fair.Options{Policy: fair.FirstComeFirstServed},
		BatchRoom: dispatch.Off, OverPercent: dispatch.Off, NoQueue: true,
	}
}

// OnDemand returns the baseline with least-recently-used loading on demand.
func OnDemand() Policies {
	p := Baseline()
	p.Dispatch = func() dispatch.Options {
		opts := baselineDispatch()
		opts.Route.Policy = route.LeastLoaded{}
		return opts
	}
	p.OnDemand = true
	p.Planner = newLRUPlanner
	return p
}

// Ours returns the project's policies.
func Ours() Policies {
	return Policies{
		Dispatch:   func() dispatch.Options { return dispatch.Options{} },
		Priorities: true,
		Limiter:    newEscrowLimiter,
		Planner:    newDemandPlanner,
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

// variant is the project's policies with one of them put back to its baseline.
type variant struct {
	name   string
	change func(*Policies)
}

func changeDispatch(change func(*dispatch.Options)) func(*Policies) {
	return func(p *Policies) {
		p.Dispatch = func() dispatch.Options {
			var opts dispatch.Options
			change(&opts)
			return opts
		}
	}
}

func variants() []variant {
	return []variant{
		{"routing", changeDispatch(func(o *dispatch.Options) { o.Route.Policy = &route.RoundRobin{} })},
		{"queue", changeDispatch(func(o *dispatch.Options) { o.NoQueue = true })},
		{"counters", changeDispatch(func(o *dispatch.Options) { o.Fair.Policy = fair.LiveFirst })},
		{"batch_room", changeDispatch(func(o *dispatch.Options) { o.BatchRoom = dispatch.Off })},
		{"pace", changeDispatch(func(o *dispatch.Options) { o.Route.NoPace = true })},
		{"refusal_margin", changeDispatch(func(o *dispatch.Options) { o.Route.RefusalMargin = dispatch.Off })},
		{"shares", changeDispatch(func(o *dispatch.Options) { o.OverPercent = dispatch.Off })},
		{"deadline", func(p *Policies) { p.NoDeadline = true }},
		{"patience", changeDispatch(func(o *dispatch.Options) { o.Patience = dispatch.Off })},
		{"priorities", func(p *Policies) { p.Priorities = false }},
		{"limiter", func(p *Policies) { p.Limiter = newDividedLimiter }},
		{"placement", func(p *Policies) { p.Planner = newStaticPlanner }},
	}
}

// Ablate prints the figures of the project's policies with one of them put
// back to its baseline at a time: workload, measure, without, with and ratio.
func Ablate(out io.Writer, w *Workload, seed uint64) {
	runs := []Policies{Ours()}
	for _, v := range variants() {
		p := Ours()
		v.change(&p)
		runs = append(runs, p)
	}
	m := runAll(w, seed, runs...)
	for i, v := range variants() {
		without, with := m[i+1], m[0]
		fmt.Fprintf(out, "%s attainment_without_%s %.4g %.4g %.3f\n", w.Name, v.name,
			without.Attainment, with.Attainment, with.Attainment/without.Attainment)
		fmt.Fprintf(out, "%s refused_without_%s %.4g %.4g\n", w.Name, v.name, without.Refused, with.Refused)
		fmt.Fprintf(out, "%s worst_over_best_without_%s %.4g %.4g %.3f\n", w.Name, v.name,
			without.Worst/without.Best, with.Worst/with.Best, with.Worst/with.Best/(without.Worst/without.Best))
	}
	ablateOpen(out, w, seed)
}

// ablateOpen shows what protects the other organisations once the limits have
// failed.
func ablateOpen(out io.Writer, w *Workload, seed uint64) {
	blind, unshared, open := Ours(), Ours(), Ours()
	changeDispatch(func(o *dispatch.Options) { o.Fair.Policy = fair.LiveFirst })(&blind)
	changeDispatch(func(o *dispatch.Options) { o.OverPercent = dispatch.Off })(&unshared)
	for _, p := range []*Policies{&blind, &unshared, &open} {
		p.Limiter = newOpenLimiter
	}
	m := runAll(w, seed, blind, unshared, open)
	for i, name := range []string{"counters", "shares"} {
		without, with := m[i].WorstOther, m[2].WorstOther
		fmt.Fprintf(out, "%s worst_other_unlimited_without_%s %.4g %.4g %.3f\n", w.Name, name, without, with, with/without)
	}
}

// Comparison holds the figures of a workload under all policies, from runs of
// one trace.
type Comparison struct {
	Workload                         *Workload
	Baseline, Ours, OnDemand         Measures
	BaselineAfterKill, OursAfterKill Measures // a server dies
}

// Compare measures a workload under all policies.
func Compare(w *Workload, seed uint64) *Comparison {
	baseKill, oursKill := Baseline(), Ours()
	baseKill.Kill = seconds(w.Seconds * killShare)
	oursKill.Kill = baseKill.Kill
	m := runAll(w, seed, Baseline(), Ours(), OnDemand(), baseKill, oursKill)
	return &Comparison{
		Workload: w, Baseline: m[0], Ours: m[1], OnDemand: m[2], BaselineAfterKill: m[3], OursAfterKill: m[4],
	}
}

// Print prints one line per measure: workload, measure, baseline, ours and the
// ratio of the two.
func (c *Comparison) Print(out io.Writer) {
	line := func(measure string, a, b float64) {
		quotient := "-"
		if a != 0 {
			quotient = fmt.Sprintf("%.3f", b/a)
		}
		fmt.Fprintf(out, "%s %s %.4g %.4g %s\n", c.Workload.Name, measure, a, b, quotient)
	}
	base, ours := &c.Baseline, &c.Ours
	accelerators := float64(c.Workload.Servers)
	line("attainment_per_accelerator", base.Attainment/accelerators, ours.Attainment/accelerators)
	line("attainment", base.Attainment, ours.Attainment)
	line("attainment_on_demand", c.OnDemand.Attainment, ours.Attainment)
	line("model_moves_on_demand", float64(c.OnDemand.Moves), float64(ours.Moves))
	line("worst_over_best_organisation", base.Worst/base.Best, ours.Worst/ours.Best)
	line("worst_over_best_of_the_others", base.WorstOther/base.BestOther, ours.WorstOther/ours.BestOther)
	line("worst_organisation", base.Worst, ours.Worst)
	line("late_first_token", base.LateFirst, ours.LateFirst)
	line("late_between_tokens", base.LateGap, ours.LateGap)
	line("batch_answered", base.BatchDone, ours.BatchDone)
	line("flood_tokens_admitted_over_exact", base.FloodShare, ours.FloodShare)
	line("limited_within_rate", base.Limited, ours.Limited)
	line("refused_for_overload", base.Refused, ours.Refused)
	line("refused_within_rate", base.Limited+base.Refused, ours.Limited+ours.Refused)
	line("tokens_beyond_rate_and_burst", base.Beyond, ours.Beyond)
	line("attempts_after_kill", c.BaselineAfterKill.Attempts, c.OursAfterKill.Attempts)
	line("attainment_after_kill", c.BaselineAfterKill.Attainment, c.OursAfterKill.Attainment)
	line("home_load_max_over_mean", base.Skew, ours.Skew)
	line("prompt_tokens_cached", base.Cached, ours.Cached)
	line("prompt_tokens_cached_elsewhere", base.CachedElsewhere, ours.CachedElsewhere)
}
