package ledger

import (
	"fmt"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// BenchmarkLedgerStep records an order, encodes the ledger and observes the
// report that settles the order, with various numbers of resident models.
func BenchmarkLedgerStep(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("resident=%d", n), func(b *testing.B) {
			report := engine.Report{Boot: "a", Seq: 1}
			for i := range n {
				report.Resident = append(report.Resident, engine.Resident{Model: fmt.Sprint("model-", i), MemoryMB: 10, State: engine.ResidencyReady})
			}
			never := func(string) bool { return false }
			l := Ledger{MemoryMB: 1000}.WithReport(report, never)
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				next, order, err := l.Reserve(engine.Order{ID: fmt.Sprint(i), Op: engine.OpUnload, Model: "model-0", MemoryMB: 10})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := next.Encode(); err != nil {
					b.Fatal(err)
				}
				report.Seq = i
				report.Outcomes = []engine.OrderOutcome{{OrderID: order.ID, Applied: true}}
				l = next.WithReport(report, never)
			}
		})
	}
}
