package replica

import (
	"log/slog"
	"testing"
	"time"
)

// BenchmarkSnapshot publishes a changed document with all others in force.
func BenchmarkSnapshot(b *testing.B) {
	for _, s := range sites {
		b.Run(s.String(), func(b *testing.B) {
			d := NewDuty(Options{Self: s.instances()[0], Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler)})
			d.state = s.state(0)
			b.ReportAllocs()
			for b.Loop() {
				d.publish(true, true)
			}
		})
	}
}
