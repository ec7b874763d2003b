package docsync

import (
	"log/slog"
	"testing"
	"time"
)

// BenchmarkSnapshot measures publishing a snapshot of all documents and members.
func BenchmarkSnapshot(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			d := NewController(Options{Self: s.instances()[0], Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler)})
			d.state = s.state(0)
			b.ReportAllocs()
			for b.Loop() {
				d.publishSnapshot(true, true)
			}
		})
	}
}
