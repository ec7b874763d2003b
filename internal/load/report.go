package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of one run. Latencies are in milliseconds and are
// measured from the intended send times.
type Report struct {
	Name      string    `json:"name"`
	RunID     string    `json:"run_id"`
	Seed      uint64    `json:"seed"`
	DurationS float64   `json:"duration_s"` // of the schedule
	ElapsedS  float64   `json:"elapsed_s"`
	Targets   []string  `json:"targets"`
	Verified  bool      `json:"verified"`
	Deadlines Deadlines `json:"deadlines"`

	Total                Group   `json:"total"`
	Organisations        []Group `json:"organisations"`
	Classes              []Group `json:"classes"`
	OrganisationsByClass []Group `json:"organisations_by_class"`
	Flows                []Group `json:"flows"`

	WorstServed   *OrganisationAttainment `json:"worst_served"` // organisation with the lowest attainment
	BestServed    *OrganisationAttainment `json:"best_served"`
	WorstToBest   float64                 `json:"worst_to_best"` // 0 if no organisation attained anything
	CheckInCounts *CheckInCounts          `json:"runs,omitempty"`
}

// OrganisationAttainment is the share of an organisation's requests that met their
// deadlines.
type OrganisationAttainment struct {
	Organisation string  `json:"organisation"`
	Attainment   float64 `json:"attainment"`
}

// Group holds the results of a group of requests. Latencies are those of
// complete responses.
type Group struct {
	Name              string  `json:"name"`
	Counts            Counts  `json:"counts"`
	Attainment        float64 `json:"attainment"`
	AttainmentMeanGap float64 `json:"attainment_mean_gap"`
	FirstToken        Latency `json:"first_token"` // of streamed responses
	WorstGap          Latency `json:"worst_gap"`   // the longest gap of each request
	MeanGap           Latency `json:"mean_gap"`
	Total             Latency `json:"total"`
	SendDelay         Latency `json:"late"` // delay from the intended to the actual send time
}

// Latency summarises a distribution of latencies in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
	// Curve holds the percentiles for a plot.
	Curve []Point `json:"curve,omitempty"`
}

// Point is one point of a percentile curve.
type Point struct {
	Percentile float64 `json:"percentile"`
	MS         float64 `json:"ms"`
}

// curvePercentiles are the percentiles of Latency.Curve.
var curvePercentiles = []float64{0, 10, 25, 50, 75, 80, 85, 90, 92.5, 95, 97, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.99}

func microsToMillis(us float64) float64 { return us / 1000 }

func newLatency(h *hdrhistogram.Histogram) Latency {
	at := func(p float64) float64 { return microsToMillis(float64(h.ValueAtPercentile(p))) }
	l := Latency{Count: h.TotalCount()}
	if l.Count == 0 {
		return l
	}
	l.Mean, l.Max = microsToMillis(h.Mean()), microsToMillis(float64(h.Max()))
	l.P50, l.P90, l.P95, l.P99, l.P999 = at(50), at(90), at(95), at(99), at(99.9)
	for _, p := range curvePercentiles {
		l.Curve = append(l.Curve, Point{Percentile: p, MS: at(p)})
	}
	return l
}

func newGroup(name string, t *Tally) Group {
	return Group{
		Name:              name,
		Counts:            t.Counts,
		Attainment:        t.Counts.Attainment(),
		AttainmentMeanGap: share(t.Counts.AttainedMean, t.Counts.Intended),
		FirstToken:        newLatency(t.firstToken),
		WorstGap:          newLatency(t.worstGap),
		MeanGap:           newLatency(t.meanGap),
		Total:             newLatency(t.total),
		SendDelay:         newLatency(t.sendDelay),
	}
}

func newReport(exp *Experiment, runID string, elapsed time.Duration, tallies []*Tally) *Report {
	by := func(name func(Flow) string) []Group { return groupBy(exp, tallies, name) }
	r := &Report{
		Name:      exp.Name,
		RunID:     runID,
		Seed:      exp.Seed,
		DurationS: exp.Duration.Std().Seconds(),
		ElapsedS:  elapsed.Seconds(),
		Targets:   exp.Targets.URLs,
		Verified:  exp.Verify,
		Deadlines: exp.Deadlines,

		Total:                by(func(Flow) string { return "all" })[0],
		Organisations:        by(func(f Flow) string { return f.Organisation }),
		Classes:              by(func(f Flow) string { return string(f.Class) }),
		OrganisationsByClass: by(func(f Flow) string { return f.Organisation + "/" + string(f.Class) }),
		Flows:                by(func(f Flow) string { return f.Name }),
	}
	r.setWorstAndBest()
	return r
}

// groupBy merges the tallies of the flows for which name returns the same
// string. The groups are sorted by name.
func groupBy(exp *Experiment, tallies []*Tally, name func(Flow) string) []Group {
	merged := map[string]*Tally{}
	for i, f := range exp.Flows {
		key := name(f)
		if merged[key] == nil {
			merged[key] = NewTally(exp.Deadlines)
		}
		merged[key].Merge(tallies[i])
	}
	var list []Group
	for _, key := range sortedKeys(merged) {
		list = append(list, newGroup(key, merged[key]))
	}
	return list
}

// setWorstAndBest sets the organisations with the lowest and the highest
// attainment among those that sent anything.
func (r *Report) setWorstAndBest() {
	for _, g := range r.Organisations {
		if g.Counts.Intended == 0 {
			continue
		}
		s := &OrganisationAttainment{Organisation: g.Name, Attainment: g.Attainment}
		if r.WorstServed == nil || s.Attainment < r.WorstServed.Attainment {
			r.WorstServed = s
		}
		if r.BestServed == nil || s.Attainment > r.BestServed.Attainment {
			r.BestServed = s
		}
	}
	if r.BestServed != nil && r.BestServed.Attainment > 0 {
		r.WorstToBest = r.WorstServed.Attainment / r.BestServed.Attainment
	}
}

// Violations returns the number of violated guarantees: wrong and incomplete
// responses, and check-ins that ran more than once.
func (r *Report) Violations() int {
	n := r.Total.Counts.Mismatch + r.Total.Counts.Incomplete
	if r.CheckInCounts != nil {
		n += r.CheckInCounts.Repeated
	}
	return n
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// WriteFile writes a report as JSON.
func WriteFile(file string, report any) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("load: encode report: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("load: write report: %w", err)
	}
	return nil
}

// ReadReport reads a report of Run that WriteFile wrote.
func ReadReport(file string) (*Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("load: read report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("load: decode report %s: %w", file, err)
	}
	return &r, nil
}
