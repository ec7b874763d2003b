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

// Errors of RunComparison.
var (
	ErrNoBaseline = errors.New("load: field baseline: want the target set to compare with")
	ErrAllWarmUp  = errors.New("load: the warm-up takes the whole duration")
)

// Comparison is the account of one schedule sent to two target sets in turns.
type Comparison struct {
	Baseline *Report   `json:"baseline"`
	Ours     *Report   `json:"ours"`
	Measures []Measure `json:"measures"`
	Added    []Added   `json:"added"`
}

// Measure is one figure of both target sets.
type Measure struct {
	Name     string  `json:"name"`
	Baseline float64 `json:"baseline"`
	Ours     float64 `json:"ours"`
	Ratio    float64 `json:"ratio"` // ours to the baseline; 0 if that is 0
}

// Added is a time of ours beyond the baseline's: the difference of one
// percentile of both, or, if paired, a percentile of the differences.
type Added struct {
	Name string  `json:"name"`
	MS   float64 `json:"ms"`
}

// RunComparison sends the schedule to the baseline and to the targets, round
// by round in one run, so that both meet the same conditions of the machine.
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
	sides := [...][]*side{newSides(exp), newSides(exp)}
	start := time.Now()
	schedules := exp.schedules()
	for n, offset := 0, time.Duration(0); offset < exp.Duration.Std(); n++ {
		end := exp.Compare.roundEnd(offset, exp.Duration.Std())
		parts := cutParts(schedules, offset, end)
		for turn := range sets {
			i := (n + turn) % len(sets)
			g.runID = runIDs[i]
			into := sides[i]
			if offset < exp.Compare.WarmUp.Std() {
				into = newSides(exp)
			}
			g.play(ctx, sets[i], parts, offset, sinksOf(into))
		}
		offset = end
	}
	baseline := newReport(exp, runIDs[0], time.Since(start), talliesOf(sides[0]))
	baseline.Targets = exp.Baseline.URLs
	ours := newReport(exp, runIDs[1], time.Since(start), talliesOf(sides[1]))
	c := newComparison(baseline, ours)
	c.addPaired(sides[0], sides[1])
	return c, nil
}

// side is what one target set did for one flow.
type side struct {
	*Tally
	first map[int]time.Duration // time to first token by arrival
}

// Add implements sink.
func (s *side) Add(r Result) {
	s.Tally.Add(r)
	if r.Outcome == OutcomeOK && r.Streamed {
		s.first[r.Seq] = r.FirstToken
	}
}

func newSides(exp *Experiment) []*side {
	var list []*side
	for _, t := range newTallies(exp) {
		list = append(list, &side{Tally: t, first: map[int]time.Duration{}})
	}
	return list
}

func talliesOf(sides []*side) []*Tally {
	var list []*Tally
	for _, s := range sides {
		list = append(list, s.Tally)
	}
	return list
}

// addPaired takes the difference of each arrival that both sets answered, so
// that waiting which the schedule causes in both cancels out.
func (c *Comparison) addPaired(baseline, ours []*side) {
	var added []time.Duration
	for i := range ours {
		for seq, first := range ours[i].first {
			if b, ok := baseline[i].first[seq]; ok {
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
		c.Added = append(c.Added, Added{
			Name: fmt.Sprintf("paired_added_first_token_p%d_ms", p),
			MS:   millis(float64(added[rank-1].Microseconds())),
		})
	}
}

// roundEnd returns where the round that begins at offset ends. The warm-up
// ends with a round.
func (c Compare) roundEnd(offset, duration time.Duration) time.Duration {
	end := min(offset+c.Round.Std(), duration)
	if warm := c.WarmUp.Std(); offset < warm {
		end = min(end, warm)
	}
	return end
}

// cutParts returns the arrivals of each flow from one moment up to another.
func cutParts(schedules [][]Arrival, from, to time.Duration) [][]Arrival {
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

func newComparison(baseline, ours *Report) *Comparison {
	c := &Comparison{Baseline: baseline, Ours: ours}
	b, o := baseline.Total, ours.Total
	for _, m := range []struct {
		name string
		of   func(Group) Latency
	}{
		{"first_token", func(g Group) Latency { return g.FirstToken }},
		{"worst_gap", func(g Group) Latency { return g.WorstGap }},
		{"total", func(g Group) Latency { return g.Total }},
	} {
		c.addLatency(m.name, m.of(b), m.of(o))
	}
	c.add("attainment", b.Attainment, o.Attainment)
	c.add("ok", share(b.Counts.OK, b.Counts.Intended), share(o.Counts.OK, o.Counts.Intended))
	c.add("refused", share(b.Counts.RefusedTotal(), b.Counts.Intended), share(o.Counts.RefusedTotal(), o.Counts.Intended))
	c.add("worst_to_best", baseline.WorstToBest, ours.WorstToBest)
	return c
}

func (c *Comparison) addLatency(name string, b, o Latency) {
	for _, p := range []struct {
		name string
		b, o float64
	}{{"p50", b.P50, o.P50}, {"p99", b.P99, o.P99}} {
		c.add(name+"_"+p.name+"_ms", p.b, p.o)
		c.Added = append(c.Added, Added{Name: "added_" + name + "_" + p.name + "_ms", MS: p.o - p.b})
	}
}

func (c *Comparison) add(name string, baseline, ours float64) {
	m := Measure{Name: name, Baseline: baseline, Ours: ours}
	if baseline != 0 {
		m.Ratio = ours / baseline
	}
	c.Measures = append(c.Measures, m)
}

// WriteText writes one line per measure: its name, the baseline's figure, ours
// and their ratio. Added times have no baseline.
func (c *Comparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "# seed %d, run %s, %s, %d requests each\n", c.Ours.Seed, c.Ours.RunID, c.Ours.Name, c.Ours.Total.Counts.Intended)
	fmt.Fprintln(t, "measure\tbaseline\tours\tratio")
	for _, m := range c.Measures {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\n", m.Name, m.Baseline, m.Ours, m.Ratio)
	}
	for _, a := range c.Added {
		fmt.Fprintf(t, "%s\t-\t%.3f\t-\n", a.Name, a.MS)
	}
	return t.Flush()
}
