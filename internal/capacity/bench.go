package capacity

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Benchmarks holds results by benchmark name, without the prefix "Benchmark" and
// the suffix for the number of processors.
type Benchmarks map[string]Benchmark

// Benchmark holds the values of one line of the output of a Go benchmark, by
// unit: "ns/op", "B/op", "allocs/op" and the custom metrics of the benchmark.
type Benchmark map[string]float64

// ReadBenchmarks reads the output of go test -bench; other lines are skipped.
func ReadBenchmarks(r io.Reader) (Benchmarks, error) {
	all := Benchmarks{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		all[benchmarkName(fields[0])] = parseUnits(fields[2:])
	}
	return all, lines.Err()
}

func benchmarkName(text string) string {
	name := strings.TrimPrefix(text, "Benchmark")
	if i := strings.LastIndex(name, "-"); i >= 0 {
		if _, err := strconv.Atoi(name[i+1:]); err == nil {
			name = name[:i]
		}
	}
	return name
}

// parseUnits reads pairs of a value and its unit.
func parseUnits(fields []string) Benchmark {
	b := Benchmark{}
	for i := 0; i+1 < len(fields); i += 2 {
		if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
			b[fields[i+1]] = v
		}
	}
	return b
}
