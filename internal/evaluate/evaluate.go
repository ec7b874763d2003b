package evaluate

import (
	"fmt"
	"io"
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// killFraction is the time at which the first server is killed, in the runs that
// kill one, as a fraction of the workload's duration.
const killFraction = 0.25

// nominalPrefillRate is the prefill rate that is configured for an engine, in
// tokens per second. It is the rate while the engine also decodes.
const nominalPrefillRate = 6000

// BaselinePolicies returns the baseline policies: static placement, round robin
// routing, first come first served queueing, and an equal static division of the
// rates.
func BaselinePolicies() Policies {
	return Policies{
		Dispatch:      baselineDispatch,
		NoDeadline:    true,
		NoRetryBudget: true,
		Limiter:       newDividedLimiter,
		Planner:       newStaticPlanner,
	}
}

func baselineDispatch() dispatch.Options {
	return dispatch.Options{
		Route:            route.Options{Policy: &route.RoundRobin{}, RefusalMarginPercent: dispatch.Disabled, NoEjection: true, NoRateCorrection: true},
		Fair:             fair.Options{Policy: fair.FirstComeFirstServed},
		BatchSlotPercent: dispatch.Disabled, OverSharePercent: dispatch.Disabled, NoQueue: true,
	}
}

// OnDemandPolicies returns the baseline with least-loaded routing and with
// on-demand loading of models in place of the least recently used ones.
func OnDemandPolicies() Policies {
	p := BaselinePolicies()
	p.Dispatch = func() dispatch.Options {
		opts := baselineDispatch()
		opts.Route.Policy = route.LeastLoaded{}
		return opts
	}
	p.LoadOnDemand = true
	p.Planner = newLRUPlanner
	return p
}

// ProjectPolicies returns the project's policies.
func ProjectPolicies() Policies {
	return Policies{
		Dispatch:         func() dispatch.Options { return dispatch.Options{} },
		EnginePriorities: true,
		Limiter:          newEscrowLimiter,
		Planner:          newDemandPlanner,
	}
}

// Run simulates a workload under policies and returns the measures.
func Run(w *Workload, p Policies, seed uint64) Measures {
	return run(w, p, w.trace(seed), seed).measure()
}

// runAll runs each of the policies on the same trace, concurrently.
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

// variant is the project's policies with one of them replaced by its baseline.
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
		{"batch_room", changeDispatch(func(o *dispatch.Options) { o.BatchSlotPercent = dispatch.Disabled })},
		{"pace", changeDispatch(func(o *dispatch.Options) { o.Route.NoRateCorrection = true })},
		{"refusal_margin", changeDispatch(func(o *dispatch.Options) { o.Route.RefusalMarginPercent = dispatch.Disabled })},
		{"shares", changeDispatch(func(o *dispatch.Options) { o.OverSharePercent = dispatch.Disabled })},
		{"deadline", func(p *Policies) { p.NoDeadline = true }},
		{"patience", changeDispatch(func(o *dispatch.Options) { o.MaxLatePercent = dispatch.Disabled })},
		{"priorities", func(p *Policies) { p.EnginePriorities = false }},
		{"limiter", func(p *Policies) { p.Limiter = newDividedLimiter }},
		{"placement", func(p *Policies) { p.Planner = newStaticPlanner }},
	}
}

// Ablate runs the project's policies with one of them at a time replaced by its
// baseline, and prints one line per measure: workload, measure, value without
// the policy, value with it, and, for most measures, the ratio.
func Ablate(out io.Writer, w *Workload, seed uint64) {
	runs := []Policies{ProjectPolicies()}
	for _, v := range variants() {
		p := ProjectPolicies()
		v.change(&p)
		runs = append(runs, p)
	}
	m := runAll(w, seed, runs...)
	for i, v := range variants() {
		without, with := m[i+1], m[0]
		fmt.Fprintf(out, "%s attainment_without_%s %.4g %.4g %.3f\n", w.Name, v.name,
			without.Attainment, with.Attainment, with.Attainment/without.Attainment)
		fmt.Fprintf(out, "%s refused_without_%s %.4g %.4g\n", w.Name, v.name, without.OverloadRefused, with.OverloadRefused)
		fmt.Fprintf(out, "%s worst_over_best_without_%s %.4g %.4g %.3f\n", w.Name, v.name,
			without.Worst/without.Best, with.Worst/with.Best, with.Worst/with.Best/(without.Worst/without.Best))
	}
	ablateUnlimited(out, w, seed)
}

// ablateUnlimited measures how fair.TokenCounters and fair.Shares protect the
// other organisations from a flood when the rate limits have failed.
func ablateUnlimited(out io.Writer, w *Workload, seed uint64) {
	noCounters, noShares, unlimited := ProjectPolicies(), ProjectPolicies(), ProjectPolicies()
	changeDispatch(func(o *dispatch.Options) { o.Fair.Policy = fair.LiveFirst })(&noCounters)
	changeDispatch(func(o *dispatch.Options) { o.OverSharePercent = dispatch.Disabled })(&noShares)
	for _, p := range []*Policies{&noCounters, &noShares, &unlimited} {
		p.Limiter = newUnlimitedLimiter
	}
	m := runAll(w, seed, noCounters, noShares, unlimited)
	for i, name := range []string{"counters", "shares"} {
		without, with := m[i].WorstOther, m[2].WorstOther
		fmt.Fprintf(out, "%s worst_other_unlimited_without_%s %.4g %.4g %.3f\n", w.Name, name, without, with, with/without)
	}
}

// Comparison holds the measures of a workload under all policies, from runs of
// the same trace.
type Comparison struct {
	Workload                            *Workload
	Baseline, Project, OnDemand         Measures
	BaselineAfterKill, ProjectAfterKill Measures // with a server killed
}

// Compare measures a workload under all policies.
func Compare(w *Workload, seed uint64) *Comparison {
	baseKill, projectKill := BaselinePolicies(), ProjectPolicies()
	baseKill.KillAt = seconds(w.Seconds * killFraction)
	projectKill.KillAt = baseKill.KillAt
	m := runAll(w, seed, BaselinePolicies(), ProjectPolicies(), OnDemandPolicies(), baseKill, projectKill)
	return &Comparison{
		Workload: w, Baseline: m[0], Project: m[1], OnDemand: m[2], BaselineAfterKill: m[3], ProjectAfterKill: m[4],
	}
}

// Print prints one line per measure: workload, measure, value of the baseline,
// value of the project's policies, and their ratio.
func (c *Comparison) Print(out io.Writer) {
	line := func(measure string, a, b float64) {
		quotient := "-"
		if a != 0 {
			quotient = fmt.Sprintf("%.3f", b/a)
		}
		fmt.Fprintf(out, "%s %s %.4g %.4g %s\n", c.Workload.Name, measure, a, b, quotient)
	}
	base, project := &c.Baseline, &c.Project
	accelerators := float64(c.Workload.Servers)
	line("attainment_per_accelerator", base.Attainment/accelerators, project.Attainment/accelerators)
	line("attainment", base.Attainment, project.Attainment)
	line("attainment_on_demand", c.OnDemand.Attainment, project.Attainment)
	line("model_moves_on_demand", float64(c.OnDemand.ModelLoads), float64(project.ModelLoads))
	line("worst_over_best_organisation", base.Worst/base.Best, project.Worst/project.Best)
	line("worst_over_best_of_the_others", base.WorstOther/base.BestOther, project.WorstOther/project.BestOther)
	line("worst_organisation", base.Worst, project.Worst)
	line("late_first_token", base.LateFirstToken, project.LateFirstToken)
	line("late_between_tokens", base.LateTokenGap, project.LateTokenGap)
	line("batch_answered", base.BatchCompleted, project.BatchCompleted)
	line("flood_tokens_admitted_over_exact", base.FloodOverExact, project.FloodOverExact)
	line("limited_within_rate", base.RateLimited, project.RateLimited)
	line("refused_for_overload", base.OverloadRefused, project.OverloadRefused)
	line("refused_within_rate", base.RateLimited+base.OverloadRefused, project.RateLimited+project.OverloadRefused)
	line("tokens_beyond_rate_and_burst", base.ExcessTokens, project.ExcessTokens)
	line("attempts_after_kill", c.BaselineAfterKill.Attempts, c.ProjectAfterKill.Attempts)
	line("attainment_after_kill", c.BaselineAfterKill.Attainment, c.ProjectAfterKill.Attainment)
	line("home_load_max_over_mean", base.ReplicaSkew, project.ReplicaSkew)
	line("prompt_tokens_cached", base.Cached, project.Cached)
	line("prompt_tokens_cached_elsewhere", base.CachedElsewhere, project.CachedElsewhere)
}
