package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Errors that RunComparison returns.
var (
	ErrNoBaseline = errors.New("load: field baseline: want the target set to compare with")
	ErrAllWarmUp  = errors.New("load: the warm-up is not shorter than the duration")
)

// Comparison is the result of sending one schedule to two target sets in
// alternating rounds.
type Comparison struct {
	Baseline       *Report        `json:"baseline"`
	Target         *Report        `json:"ours"`
	Measures       []Measure      `json:"measures"`
	AddedLatencies []AddedLatency `json:"added"`
}

// Measure is one measured value for both target sets.
type Measure struct {
	Name     string  `json:"name"`
	Baseline float64 `json:"baseline"`
	Target   float64 `json:"ours"`
	Ratio    float64 `json:"ratio"` // Target / Baseline; 0 if Baseline is 0
}

// AddedLatency is the latency that the targets add to the baseline's, in
// milliseconds: the difference between the same percentile of both or, if paired,
// a percentile of the differences per request.
type AddedLatency struct {
	Name string  `json:"name"`
	MS   float64 `json:"ms"`
}

// RunComparison sends the schedule to the baseline and to the targets in
// alternating rounds of one run, so that both are measured under the same
// conditions of the machine.
func RunComparison(ctx context.Context, exp *Experiment, opts Options) (*Comparison, error) {
	if exp.Baseline == nil {
		return nil, ErrNoBaseline
	}
	if exp.Compare.WarmUp >= exp.Duration {
		return nil, fmt.Errorf("%w: %s of %s", ErrAllWarmUp, exp.Compare.WarmUp, exp.Duration)
	}
	g := newGenerator(exp, opts)
	defer g.client.CloseIdleConnections()
	sets := [...]TargetSet{*exp.Baseline, exp.Targets}
	runIDs := [...]string{g.runID + "-baseline", g.runID + "-ours"}
	tallies := [...][]*pairedTally{newPairedTallies(exp), newPairedTallies(exp)}
	start := time.Now()
	schedules := exp.schedules()
	for n, offset := 0, time.Duration(0); offset < exp.Duration.Std(); n++ {
		end := exp.Compare.roundEnd(offset, exp.Duration.Std())
		parts := arrivalsBetween(schedules, offset, end)
		for turn := range sets {
			i := (n + turn) % len(sets)
			g.runID = runIDs[i]
			dest := tallies[i]
			if offset < exp.Compare.WarmUp.Std() {
				dest = newPairedTallies(exp)
			}
			g.sendPart(ctx, sets[i], parts, offset, sinksOf(dest))
		}
		offset = end
	}
	baseline := newReport(exp, runIDs[0], time.Since(start), talliesOf(tallies[0]))
	baseline.Targets = exp.Baseline.URLs
	target := newReport(exp, runIDs[1], time.Since(start), talliesOf(tallies[1]))
	c := newComparison(baseline, target)
	c.addPaired(tallies[0], tallies[1])
	return c, nil
}

// pairedTally is the tally of one flow at one target set. It keeps the time to
// first token of each arrival, to compare it with that of the other set.
type pairedTally struct {
	*Tally
	firstTokens map[int]time.Duration // time to first token by sequence number of the arrival
}

// Add implements sink.
func (t *pairedTally) Add(r Result) {
	t.Tally.Add(r)
	if r.Outcome == OutcomeOK && r.Streamed {
		t.firstTokens[r.Seq] = r.FirstToken
	}
}

func newPairedTallies(exp *Experiment) []*pairedTally {
	var list []*pairedTally
	for _, t := range newTallies(exp) {
		list = append(list, &pairedTally{Tally: t, firstTokens: map[int]time.Duration{}})
	}
	return list
}

func talliesOf(list []*pairedTally) []*Tally {
	var tallies []*Tally
	for _, t := range list {
		tallies = append(tallies, t.Tally)
	}
	return tallies
}

// addPaired adds percentiles of the difference in time to first token over the
// arrivals that both sets answered, so that queueing delays that the schedule
// causes in both cancel out.
func (c *Comparison) addPaired(baseline, targets []*pairedTally) {
	var added []time.Duration
	for i := range targets {
		for seq, first := range targets[i].firstTokens {
			if b, ok := baseline[i].firstTokens[seq]; ok {
				added = append(added, first-b)
			}
		}
	}
	if len(added) == 0 {
		return
	}
	slices.Sort(added)
	for _, p := range []int{50, 99} {
		rank := (len(added)*p + 99) / 100
		c.AddedLatencies = append(c.AddedLatencies, AddedLatency{
			Name: fmt.Sprintf("paired_added_first_token_p%d_ms", p),
			MS:   microsToMillis(float64(added[rank-1].Microseconds())),
		})
	}
}

// roundEnd returns the end of the round that begins at offset. A round also
// ends where the warm-up ends.
func (c ComparisonSettings) roundEnd(offset, duration time.Duration) time.Duration {
	end := min(offset+c.Round.Std(), duration)
	if warm := c.WarmUp.Std(); offset < warm {
		end = min(end, warm)
	}
	return end
}

// arrivalsBetween returns the arrivals of each flow with from <= At < to.
func arrivalsBetween(schedules [][]Arrival, from, to time.Duration) [][]Arrival {
	parts := make([][]Arrival, len(schedules))
	for i, list := range schedules {
		for _, a := range list {
			if a.At >= from && a.At < to {
				parts[i] = append(parts[i], a)
			}
		}
	}
	return parts
}

func newComparison(baseline, target *Report) *Comparison {
	c := &Comparison{Baseline: baseline, Target: target}
	b, t := baseline.Total, target.Total
	for _, m := range []struct {
		name string
		of   func(Group) Latency
	}{
		{"first_token", func(g Group) Latency { return g.FirstToken }},
		{"worst_gap", func(g Group) Latency { return g.WorstGap }},
		{"total", func(g Group) Latency { return g.Total }},
	} {
		c.addLatency(m.name, m.of(b), m.of(t))
	}
	c.add("attainment", b.Attainment, t.Attainment)
	c.add("ok", share(b.Counts.OK, b.Counts.Intended), share(t.Counts.OK, t.Counts.Intended))
	c.add("refused", share(b.Counts.RefusedTotal(), b.Counts.Intended), share(t.Counts.RefusedTotal(), t.Counts.Intended))
	c.add("worst_to_best", baseline.WorstToBest, target.WorstToBest)
	return c
}

func (c *Comparison) addLatency(name string, b, t Latency) {
	for _, p := range []struct {
		name string
		b, t float64
	}{{"p50", b.P50, t.P50}, {"p99", b.P99, t.P99}} {
		c.add(name+"_"+p.name+"_ms", p.b, p.t)
		c.AddedLatencies = append(c.AddedLatencies, AddedLatency{Name: "added_" + name + "_" + p.name + "_ms", MS: p.t - p.b})
	}
}

func (c *Comparison) add(name string, baseline, target float64) {
	m := Measure{Name: name, Baseline: baseline, Target: target}
	if baseline != 0 {
		m.Ratio = target / baseline
	}
	c.Measures = append(c.Measures, m)
}

// WriteText writes one line per measure: its name, the values of the baseline
// and of the targets, and their ratio. Added latencies have one value only.
func (c *Comparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "# seed %d, run %s, %s, %d requests each\n", c.Target.Seed, c.Target.RunID, c.Target.Name, c.Target.Total.Counts.Intended)
	fmt.Fprintln(t, "measure\tbaseline\tours\tratio")
	for _, m := range c.Measures {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\n", m.Name, m.Baseline, m.Target, m.Ratio)
	}
	for _, a := range c.AddedLatencies {
		fmt.Fprintf(t, "%s\t-\t%.3f\t-\n", a.Name, a.MS)
	}
	return t.Flush()
}
