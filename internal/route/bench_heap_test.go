package route

import (
	"fmt"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/heaptest"
)

// BenchmarkTableHeap measures the heap of a table with four models per upstream.
func BenchmarkTableHeap(b *testing.B) {
	for _, s := range []struct{ upstreams, models int }{{12, 20}, {550, 128}, {2200, 510}} {
		b.Run(fmt.Sprintf("upstreams=%d/models=%d", s.upstreams, s.models), func(b *testing.B) {
			heaptest.Report(b, func() *Table { return tableOf(s.upstreams, s.models) })
		})
	}
}

func tableOf(upstreams, models int) *Table {
	t := New(Options{})
	for i := range upstreams {
		name := fmt.Sprintf("service-%d/engine-%04d", i%40, i)
		t.SetUpstream(Upstream{Name: name, Zone: "z", PrefillRate: 10_000, MaxRunning: 32})
		var resident []ResidentModel
		for m := range 4 {
			resident = append(resident, ResidentModel{Model: fmt.Sprintf("service-%d/model-%d", i%40, (i*4+m)%models), Ready: true})
		}
		t.SetResident(name, resident)
		t.Report(0, name, Load{Running: 3, FreeKVTokens: 1 << 20})
	}
	return t
}
