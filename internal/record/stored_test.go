package record

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// chainLogLines returns the log lines of a chain with n entries between its started
// and stopped entries, and its journal.
func chainLogLines(t testing.TB, n int) ([]string, *Journal) {
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil)).With("instance", "i0", "zone", "z")
	j := NewJournal(origin(0), 1_796_000_000_000, JournalOptions{})
	for i := range n {
		_, err := j.Append(1_796_000_000_000, sampleEntry(i))
		must.NoError(t, err)
	}
	j.Stop(1_796_000_000_000)
	for _, b := range flushAll(j) {
		for _, e := range b.Entries {
			log.Info("service record", LogKey, Placed{Origin: b.Origin, Entry: e})
		}
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n"), j
}

// Log lines in any order, mixed with other lines, verify against the stored heads.
// Missing and changed lines are reported.
func TestLogLinesVerifyAgainstHeads(t *testing.T) {
	lines, j := chainLogLines(t, 8)
	var stored Stored
	value, err := json.Marshal(Heads{Heads: []Head{j.Head()}})
	must.NoError(t, err)
	must.NoError(t, stored.Add(HeadsName("z"), value))
	verify := func(lines ...string) []Finding {
		batches, err := ReadLog(strings.NewReader(strings.Join(lines, "\n")))
		must.NoError(t, err)
		return Verify(batches, stored.Heads).Findings
	}
	mixed := append([]string{"plain text", `{"msg":"other"}`}, lines...)
	slices.Reverse(mixed)
	must.SliceEmpty(t, verify(mixed...))
	must.Eq(t, []Finding{{Origin: origin(0), Fault: FaultMissing, Seq: 9, Through: 10}}, verify(lines[:8]...))
	must.Eq(t, []Finding{{Origin: origin(0), Fault: FaultMissing, Seq: 4, Through: 4}}, verify(slices.Delete(slices.Clone(lines), 3, 4)...))
	must.Eq(t, []Finding{{Origin: origin(0), Fault: FaultMissing, Seq: 1, Through: 10}}, verify())
	lines[3] = strings.Replace(lines[3], `"model":"m"`, `"model":"n"`, 1)
	must.Eq(t, []Finding{{Origin: origin(0), Fault: FaultChanged, Seq: 4}}, verify(lines...))
	must.ErrorIs(t, stored.Add("x", []byte(`{}`)), ErrUnreadable)
}

// BenchmarkReadLog measures the reading of log lines and reports their size.
func BenchmarkReadLog(b *testing.B) {
	lines, j := chainLogLines(b, 1000)
	text := strings.Join(lines, "\n")
	head, err := json.Marshal(j.Head())
	must.NoError(b, err)
	for b.Loop() {
		_, err := ReadLog(strings.NewReader(text))
		must.NoError(b, err)
	}
	b.ReportMetric(float64(len(text))/float64(len(lines)), "B/line")
	b.ReportMetric(float64(len(head)), "B/head")
}
