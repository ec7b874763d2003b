package capacity

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestLeastSquaresFindsTheSlopes fits values that are computed from known slopes.
func TestLeastSquaresFindsTheSlopes(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		slopes := rapid.SliceOfN(rapid.Float64Range(-1e3, 1e3), 3, 3).Draw(t, "slopes")
		var f sampleSet
		for i := range rapid.IntRange(6, 20).Draw(t, "samples") {
			x, y := float64(i), float64(i*i%7)
			f.add(slopes[0]+slopes[1]*x+slopes[2]*y, 1, x, y)
		}
		fit, err := LeastSquares(f.drivers, f.values)
		must.NoError(t, err)
		for i, s := range slopes {
			must.InDelta(t, s, fit.Slopes[i], 1e-6)
		}
	})
}

func TestLeastSquaresRefusesCollinearDrivers(t *testing.T) {
	_, err := LeastSquares([][]float64{{1, 2}, {2, 4}, {3, 6}}, []float64{1, 2, 3})
	must.ErrorIs(t, err, ErrUndetermined)
	_, err = LeastSquares([][]float64{{1, 2}}, []float64{1})
	must.ErrorIs(t, err, ErrUndetermined)
}

func TestReadBenchmarks(t *testing.T) {
	b, err := ReadBenchmarks(strings.NewReader("goos: linux\nBenchmarkRelay/load/engines=8-10   \t 9 \t 6446 ns/op\t 26.00 wire-B/entry\t 2247 B/op\nPASS\n"))
	must.NoError(t, err)
	must.Eq(t, Benchmarks{"Relay/load/engines=8": {"ns/op": 6446, "wire-B/entry": 26, "B/op": 2247}}, b)
}

// sampleFiles returns one window of one instance: the instance began 5 peer calls
// per second, and two changes came into force after 0.5 s and 1 s.
func sampleFiles() fstest.MapFS {
	file := func(text string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(text)} }
	const inForce = `{"time":"1970-01-01T00:00:%sZ","msg":"document in force","instance":"entry-0","version":%d}` + "\n"
	return fstest.MapFS{
		"s-changes/site.json":     file(`{"nodes": 1, "zones": 1, "engines": 0, "window": "changes", "changes": 2}`),
		"s-changes/entry-0.start": file("eelgrass_control_uptime_seconds 10\neelgrass_control_peer_calls 100\n"),
		"s-changes/entry-0.end":   file("eelgrass_control_uptime_seconds 14\neelgrass_control_peer_calls 120\neelgrass_control_platform_calls{operation=\"instances\"} 8\n"),
		"s-changes/calls.start":   file(`{"get": 3}`),
		"s-changes/calls.end":     file(`{"get": 5, "watch": 1}`),
		"s-changes/applied":       file("4 1000000000\n7 2000000000\n"),
		"s-changes/in_force":      file(fmt.Sprintf(inForce, "00.5", 4) + fmt.Sprintf(inForce, "01.5", 7) + fmt.Sprintf(inForce, "03", 9)),
	}
}

func TestReadSites(t *testing.T) {
	sites, err := ReadSites(sampleFiles())
	must.NoError(t, err)
	must.Len(t, 1, sites)
	s := sites[0]
	must.Eq(t, 5.0, s.Entries[0].PeerCalls)
	must.Eq(t, 2.0, s.Entries[0].ListReads)
	must.Eq(t, 4.0, s.Seconds)
	must.Eq(t, map[string]float64{"get": 2, "watch": 1}, s.PlatformCalls)
	must.Eq(t, []float64{0.5, 1}, s.PropagationDelays)
}

func TestReadSitesNamesTheBadFile(t *testing.T) {
	files := sampleFiles()
	files["s-changes/entry-0.end"] = &fstest.MapFile{Data: []byte("eelgrass_control_uptime_seconds much\n")}
	_, err := ReadSites(files)
	must.ErrorIs(t, err, ErrSamples)
	must.ErrorContains(t, err, "entry-0.end")
	_, err = ReadSites(fstest.MapFS{})
	must.ErrorIs(t, err, ErrSamples)
}

// TestCostOfAnInstanceDoesNotGrowWithItsZone checks that the reads and relays of
// an instance are bounded if the numbers of instances and engines of its zone
// grow in proportion.
func TestCostOfAnInstanceDoesNotGrowWithItsZone(t *testing.T) {
	for n := 1.0; n <= 100; n++ {
		z := size{instancesPerZone: n, enginesPerZone: 5.5 * n, zones: 19, loaded: true}
		must.LessEq(t, enginesPerPeriod/baseReadPeriodS, z.relayedEntryRate())
		must.LessEq(t, 5.5/baseReadPeriodS, z.reportReadRate())
		must.False(t, math.IsNaN(z.relayCallRate()))
	}
}

func TestVerdictAllowsForTheSpread(t *testing.T) {
	must.Eq(t, "met", Bound{Value: 80, Limit: 100, Deviation: 0.2}.Verdict())
	must.Eq(t, "undecided", Bound{Value: 90, Limit: 100, Deviation: 0.2}.Verdict())
	must.Eq(t, "undecided", Bound{Value: 110, Limit: 100, Deviation: 0.2}.Verdict())
	must.Eq(t, "missed", Bound{Value: 130, Limit: 100, Deviation: 0.2}.Verdict())
}

func TestPlan(t *testing.T) {
	p, err := ReadPlan("../../workloads/plan.hujson")
	must.NoError(t, err)
	must.Eq(t, 400.0, p.Instances)
	must.InDelta(t, 0.0787, p.changesPerS(), 1e-4)
}

func TestNonNegativeDropsDriversWithNegativeSlopes(t *testing.T) {
	drivers := [][]float64{{1, 1, 0}, {1, 2, 1}, {1, 3, 0}, {1, 4, 2}}
	var values []float64
	for _, d := range drivers {
		values = append(values, 5+2*d[1]-0.5*d[2])
	}
	plain, err := LeastSquares(drivers, values)
	must.NoError(t, err)
	must.Less(t, 0, plain.Slopes[2])
	fit, err := NonNegative(drivers, values)
	must.NoError(t, err)
	must.Eq(t, 0, fit.Slopes[2])
	must.Positive(t, fit.Slopes[1])
	must.Positive(t, fit.Residual)
}
