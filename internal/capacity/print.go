package capacity

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

func (m *Model) printSlopes(w io.Writer) {
	fmt.Fprint(w, "### Slopes\n\n| cost | per | slope | samples | largest deviation from the fit |\n|---|---|---|---|---|\n")
	for _, s := range []Slope{
		m.Exchange, m.PeerCall, m.RelayedLoad, m.RelayedConfirmation, m.Share, m.Report, m.Change, m.ReadsPerZone, m.WritesPerZone,
		m.ReadsPerChange, m.ReadsPerChangeAndZone, m.WritesPerChange, m.WritesPerChangeAndZone, m.StartReads, m.StartWrites,
		m.CPUBase, m.CPUCall, m.CPURead, m.CPUKnown, m.CPUChange, m.CPUShare, m.MemoryBase, m.MemoryPerPeer, m.MemoryPerUpstream, m.PropagationDelay,
	} {
		fmt.Fprintf(w, "| %s | %s | %s %s | %d | %.0f%% |\n", s.Name, s.Driver, formatFigure(s.Value), s.Unit, s.Samples, 100*s.Residual)
	}
}

// formatFigure formats a value with three significant digits, or as an integer
// from 100 on.
func formatFigure(v float64) string {
	switch abs := math.Abs(v); {
	case abs >= 100:
		return fmt.Sprintf("%.0f", v)
	case abs >= 0.01 || abs == 0:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2e", v)
}

func (r Role) print(w io.Writer) {
	fmt.Fprintf(w, "\n### %s\n\n", r.Name)
	if len(r.Lines) > 0 {
		fmt.Fprint(w, "| what | mechanism | slope × size | B/s | % of a core |\n|---|---|---|---|---|\n")
	}
	for _, l := range r.Lines {
		fmt.Fprintf(w, "| %s | %s | %s | %.0f | %.3f |\n", l.Item, l.Mechanism, l.Formula, l.BytesPerS, 100*l.CoreFraction)
	}
	if len(r.Lines) > 0 {
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "| total | value | deviation | bound | ratio | verdict |\n|---|---|---|---|---|---|\n")
	for _, b := range r.Bounds {
		fmt.Fprintf(w, "| %s | %s %s | ±%.0f%% | %s | %.2f | %s |\n",
			b.What, formatFigure(b.Value), b.Unit, 100*b.Deviation, formatFigure(b.Limit), b.Value/b.Limit, b.Verdict())
	}
}

// expectedBenchmarks are the benchmarks that the report lists as missing if there
// is no result for them.
var expectedBenchmarks = []string{"Claim", "RecordAppend"}

func (b Benchmarks) print(w io.Writer) {
	fmt.Fprint(w, "\n### Decision packages\n\n| benchmark | µs/op | B/op | allocs/op | custom metrics |\n|---|---|---|---|---|\n")
	for _, name := range slices.SortedFunc(maps.Keys(b), compareNatural) {
		r := b[name]
		if heap, ok := r["heap-B"]; ok {
			fmt.Fprintf(w, "| %s | | | | %s heap-B |\n", name, formatFigure(heap))
			continue
		}
		fmt.Fprintf(w, "| %s | %s | %.0f | %.0f | %s |\n", name, formatFigure(r["ns/op"]/1000), r["B/op"], r["allocs/op"], r.customMetrics())
	}
	for _, name := range expectedBenchmarks {
		if !b.hasPrefix(name) {
			fmt.Fprintf(w, "| %s | not measured yet | | | |\n", name)
		}
	}
}

// compareNatural compares names in natural order: digits compare as numbers.
func compareNatural(a, b string) int {
	for a != "" && b != "" {
		na, restA := leadingNumber(a)
		nb, restB := leadingNumber(b)
		if restA != a && restB != b && na != nb {
			return cmp.Compare(na, nb)
		}
		if a[0] != b[0] {
			return cmp.Compare(a[0], b[0])
		}
		a, b = a[1:], b[1:]
	}
	return cmp.Compare(len(a), len(b))
}

// leadingNumber splits a text into its leading number and the rest.
func leadingNumber(text string) (n int, rest string) {
	rest = strings.TrimLeft(text, "0123456789")
	n, _ = strconv.Atoi(text[:len(text)-len(rest)])
	return n, rest
}

func (b Benchmarks) hasPrefix(prefix string) bool {
	for name := range b {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// customMetrics formats the custom metrics of the benchmark.
func (b Benchmark) customMetrics() string {
	var custom []string
	for _, unit := range slices.Sorted(maps.Keys(b)) {
		if unit != "ns/op" && unit != "B/op" && unit != "allocs/op" {
			custom = append(custom, formatFigure(b[unit])+" "+unit)
		}
	}
	return strings.Join(custom, ", ")
}
