// Package heaptest measures how much heap a value keeps, in benchmarks.
package heaptest

import (
	"runtime"
	"testing"
)

// copies are built to spread what else allocates meanwhile.
const copies = 4

// Report builds values and reports the heap that one keeps, as "heap-B".
func Report[T any](b *testing.B, build func() T) {
	b.Helper()
	var kept [copies]T
	before := live()
	for i := range kept {
		kept[i] = build()
	}
	after := live()
	for b.Loop() { // the figure does not depend on the number of runs
	}
	runtime.KeepAlive(kept)
	b.ReportMetric(float64(after-before)/copies, "heap-B")
}

// live returns the bytes of the heap that are in use after a collection.
func live() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
