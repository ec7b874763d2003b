package once

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkClaims commits claims and their settlements in batches of 10 to an
// object store that replies at once.
func BenchmarkClaims(b *testing.B) {
	c := NewClaimer(ClaimerOptions{MaxHeadAge: time.Hour}, newRand())
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
				c.Step(now, Settlement{Key: a.Key, Holder: a.Holder, State: StateDone, Result: &Result{Status: 200, Body: make([]byte, 200)}})
			}
		}
	}
	for i := range b.N {
		key := digest("s", "o", time.Duration(i).String())
		run(Claim{Key: Key{Digest: key, TimeMS: int64(i)}, Holder: Holder{"instance-1", uint64(i)}})
		if i%batch == batch-1 {
			now += DefaultWriteInterval
			run(Tick{})
		}
	}
	b.ReportMetric(float64(writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(written)/float64(b.N), "B/claim")
}

// BenchmarkArrivals sends claims to one shard at random times and settles each
// 200 ms after it was granted. It reports the writes per claim and the mean time
// from a settlement to its write.
func BenchmarkArrivals(b *testing.B) {
	for _, meanInterval := range []time.Duration{5 * time.Second, time.Second, 100 * time.Millisecond} {
		b.Run("every "+meanInterval.String(), func(b *testing.B) {
			var a arrivals
			for range b.N {
				a = arrivals{meanInterval: meanInterval, claims: 1000}
				a.run()
			}
			b.ReportMetric(float64(a.writes)/float64(a.claims), "writes/claim")
			b.ReportMetric(a.totalDelay.Seconds()*1000/float64(a.settled), "settle-ms")
		})
	}
}

// arrivals simulates claims that arrive at the Claimer of one shard, with an
// object store that replies at once.
type arrivals struct {
	meanInterval    time.Duration
	claims, settled int
	writes          uint64
	totalDelay      time.Duration // summed over the settlements
	now             time.Duration
	claimer         *Claimer
	runs            []Settlement    // settlements to be sent, in the order of ends
	ends            []time.Duration // when each of runs is sent
	settledAt       map[Digest]time.Duration
}

func (a *arrivals) run() {
	const step = 20 * time.Millisecond
	rng := newRand()
	a.claimer, a.settledAt = NewClaimer(ClaimerOptions{MaxHeadAge: 24 * time.Hour, SegmentBytes: 1 << 30}, newRand()), map[Digest]time.Duration{}
	next := time.Duration(0)
	for n := 0; a.settled < a.claims; a.now += step {
		for ; n < a.claims && next <= a.now; n++ {
			key := Key{Digest: digest("s", "o", fmt.Sprint(n)), TimeMS: int64(n + 1)}
			a.step(Claim{Key: key, Holder: Holder{"i", uint64(n + 1)}})
			next += time.Duration(rng.ExpFloat64() * float64(a.meanInterval))
		}
		for len(a.runs) > 0 && a.ends[0] <= a.now {
			a.settledAt[a.runs[0].Key] = a.now
			a.step(a.runs[0])
			a.runs, a.ends = a.runs[1:], a.ends[1:]
		}
		a.step(Tick{})
	}
	a.writes = a.claimer.Stats().Writes
}

func (a *arrivals) step(m Message) {
	for queue := a.claimer.Step(a.now, m); len(queue) > 0; queue = queue[1:] {
		switch x := queue[0].(type) {
		case Get:
			queue = append(queue, a.claimer.Step(a.now, StoreRead{Op: x.Op})...)
		case Put:
			for _, e := range a.claimer.batch {
				if e.State == StateDone {
					a.settled++
					a.totalDelay += a.now - a.settledAt[e.Key]
				}
			}
			queue = append(queue, a.claimer.Step(a.now, StoreWritten{Op: x.Op, Version: uint64(a.now) + a.claimer.Stats().Writes})...)
		case Answer:
			a.runs = append(a.runs, Settlement{Key: x.Key, Holder: x.Holder, State: StateDone, Result: &Result{Status: 200}})
			a.ends = append(a.ends, a.now+200*time.Millisecond)
		}
	}
}

// BenchmarkRequest measures a request that is answered at its first attempt.
func BenchmarkRequest(b *testing.B) {
	budget := NewBudget(0, BudgetOptions{}, newRand())
	b.ReportAllocs()
	for b.Loop() {
		r := NewRequest(RequestOptions{Deadline: time.Second}, budget)
		r.StartAttempt("a")
		r.AttemptDone(0, "a", Answered)
	}
}
