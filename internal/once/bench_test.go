package once

import (
	"testing"
	"time"
)

// BenchmarkClaims commits claims in batches of 10 to an object API that
// answers at once, with their settlements.
func BenchmarkClaims(b *testing.B) {
	c := NewClaimer(ClaimerOptions{Roll: time.Hour}, newRand())
	b.ReportAllocs()
	const batch = 10
	var version, writes, written uint64
	now := time.Duration(0)
	run := func(m Message) {
		queue := c.Step(now, m)
		for len(queue) > 0 {
			a := queue[0]
			queue = queue[1:]
			switch a := a.(type) {
			case Get:
				queue = append(queue, c.Step(now, StoreRead{Op: a.Op})...)
			case Put:
				version++
				writes++
				written += uint64(len(a.Value))
				queue = append(queue, c.Step(now, StoreWritten{Op: a.Op, Version: version})...)
			case Answer:
				c.Step(now, Settle{Key: a.Key, Holder: a.Holder, State: StateDone, Result: &Result{Status: 200, Body: make([]byte, 200)}})
			}
		}
	}
	for i := range b.N {
		key := digest("s", "o", time.Duration(i).String())
		run(Claim{Key: Key{Digest: key, TimeMS: int64(i)}, Holder: Holder{"instance-1", uint64(i)}})
		if i%batch == batch-1 {
			now += DefaultInterval
			run(Tick{})
		}
	}
	b.ReportMetric(float64(writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(written)/float64(b.N), "B/claim")
}

// BenchmarkRequest is one request that is answered at its first attempt.
func BenchmarkRequest(b *testing.B) {
	budget := NewBudget(0, BudgetOptions{}, newRand())
	b.ReportAllocs()
	for b.Loop() {
		r := NewRequest(RequestOptions{Deadline: time.Second}, budget)
		r.Start("a")
		r.Done(0, "a", Answered)
	}
}
