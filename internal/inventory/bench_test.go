package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/heaptest"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

// zoneReports returns the reports of n engines with 4 resident models each.
func zoneReports(n int) []Entry {
	var entries []Entry
	for i := range n {
		r := engine.Report{Boot: fmt.Sprintf("0b8f4f5e-9a71-4c35-8f0a-%012d", i), Seq: 40, Running: 9, Queued: 2, QueuedPrefill: 900, FreeKVTokens: 50_000, AgeMS: 200}
		for m := range 4 {
			r.Resident = append(r.Resident, engine.Resident{Model: fmt.Sprintf("model-%03d", (i*4+m)%510), State: engine.ResidencyReady})
		}
		entries = append(entries, Entry{Upstream: fmt.Sprintf("service-%d/engine-%04d", i%40, i), Report: r})
	}
	return entries
}

// BenchmarkRelay measures encoding, decoding and observing the reports of a zone's
// engines, once as whole reports and once as load figures only.
func BenchmarkRelay(b *testing.B) {
	for _, engines := range []int{8, 32, 116} {
		for _, compact := range []bool{false, true} {
			name := "whole"
			if compact {
				name = "load"
			}
			b.Run(fmt.Sprintf("%s/engines=%d", name, engines), func(b *testing.B) { benchmarkRelay(b, zoneReports(engines), compact) })
		}
	}
}

func benchmarkRelay(b *testing.B, entries []Entry, compact bool) {
	state := NewState()
	for _, e := range entries {
		state.Observe(e)
	}
	wire := 0
	b.ReportAllocs()
	for now := time.Second; b.Loop(); now += time.Second {
		msg := &peerpb.Reports{Zone: "zone-1"}
		for _, e := range entries {
			e.ReadAt, e.Report.Running = now, int(now/time.Second)%16
			if compact {
				msg.Loads = append(msg.Loads, loadToWire(now, e))
			} else {
				msg.Reports = append(msg.Reports, entryToWire(now, e))
			}
		}
		raw, err := proto.Marshal(msg)
		if err != nil {
			b.Fatal(err)
		}
		wire = len(raw)
		var got peerpb.Reports
		if err := proto.Unmarshal(raw, &got); err != nil {
			b.Fatal(err)
		}
		for _, w := range got.Reports {
			state.Observe(entryFromWire(now, w))
		}
		for _, w := range got.Loads {
			e, ok := state.EntryByDigest(w.Digest)
			if !ok {
				b.Fatal("unknown")
			}
			state.Observe(e.withLoad(now, w))
		}
	}
	b.ReportMetric(float64(wire)/float64(len(entries)), "wire-B/entry")
}

// BenchmarkReader measures choosing the readers of a zone's 116 engines among its
// instances.
func BenchmarkReader(b *testing.B) {
	for _, n := range []int{3, 9, 21} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var members []objectstore.Instance
			for i := range n {
				members = append(members, objectstore.Instance{Name: fmt.Sprintf("instance-%d", i)})
			}
			entries := zoneReports(116)
			for b.Loop() {
				for _, e := range entries {
					ReaderOf(e.Upstream, members)
				}
			}
		})
	}
}

// BenchmarkReportsHeap measures the heap that the reports use in one instance.
func BenchmarkReportsHeap(b *testing.B) {
	for _, n := range []int{12, 550, 2200} {
		b.Run(fmt.Sprintf("reports=%d", n), func(b *testing.B) {
			heaptest.Report(b, func() *State {
				s := NewState()
				for _, e := range zoneReports(n) {
					s.Observe(e)
				}
				return s
			})
		})
	}
}
