// Package heaptest measures in benchmarks how much heap memory a value retains.
// It builds several copies of the value and reports the average in bytes.
package heaptest

import (
	"runtime"
	"testing"
)

// copyCount is the number of values that are built, to average out other
// allocations in the meantime.
const copyCount = 4

// Report builds values and reports the heap memory that one of them retains, in
// bytes, as the metric "heap-B".
func Report[T any](b *testing.B, build func() T) {
	b.Helper()
	var retained [copyCount]T
	before := liveHeapBytes()
	for i := range retained {
		retained[i] = build()
	}
	after := liveHeapBytes()
	for b.Loop() { // the measurement does not depend on the number of iterations
	}
	runtime.KeepAlive(retained)
	b.ReportMetric(float64(after-before)/copyCount, "heap-B")
}

// liveHeapBytes returns the heap memory in use after garbage collection, in bytes.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
