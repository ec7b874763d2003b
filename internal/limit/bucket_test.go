package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newStaticInstance(limits map[string]Limit) *InstanceLimiter {
	in := NewInstanceLimiter(Options{Policy: StaticDivision, Instances: 1}, "i", "run")
	in.Step(0, Limits{Version: 1, Orgs: limits})
	return in
}

// drain admits charges of one token until one is refused and returns their number.
func drain(in *InstanceLimiter, now time.Duration, org string) (n int64) {
	for in.Admit(now, org, 1).Admitted {
		n++
	}
	return n
}

// TestRefundAfterRefill: the bucket refills while the request of a charge runs, so
// that an unconditional refund would return the same tokens a second time.
func TestRefundAfterRefill(t *testing.T) {
	in := newStaticInstance(map[string]Limit{"a": {Rate: 10, Burst: 100}})
	const full = 11 * time.Second
	must.Eq(t, 100, drain(in, full, "a"))
	first := in.Admit(2*full, "a", 100)
	must.True(t, first.Admitted)
	second := in.Admit(3*full, "a", 100) // from tokens refilled since the first
	must.True(t, second.Admitted)
	must.Zero(t, in.Refund(3*full, first.Receipt, 0))
	must.Zero(t, drain(in, 3*full, "a"))

	// The bucket has not refilled since the second charge: its unused part is refunded.
	must.Eq(t, 60*PPM, in.Refund(3*full, second.Receipt, 40))
	must.Eq(t, 60, drain(in, 3*full, "a"))
}

// TestFastClock drains a full bucket whose clock runs fast by DefaultDriftPPM: it
// must not admit more than rate and burst allow in true time.
func TestFastClock(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 100}
	in := newStaticInstance(map[string]Limit{"a": limit})
	c := clock{ratePPM: DefaultDriftPPM}
	var sum int64
	for trueTime := time.Second; trueTime <= 201*time.Second; trueTime += 50 * time.Millisecond {
		sum += drain(in, c.at(trueTime), "a")
	}
	must.LessEq(t, limit.Rate*200+limit.Burst, sum)
	must.Greater(t, limit.Rate*199, sum)
}

// TestOldestGenerationIsForfeited keeps more generations of charges in progress
// than the bucket stores: the oldest refunds are forfeited and none is made twice.
func TestOldestGenerationIsForfeited(t *testing.T) {
	in := newStaticInstance(map[string]Limit{"a": {Rate: 100, Burst: 100}})
	now := 2 * time.Second
	var receipts []Receipt
	for range 3 * maxGenerations {
		d := in.Admit(now, "a", 2)
		must.True(t, d.Admitted)
		receipts = append(receipts, d.Receipt)
		now += 100 * time.Millisecond
	}
	for _, r := range receipts {
		in.Refund(now, r, 0)
	}
	b := &in.orgs["a"].bucket
	must.LessEq(t, b.cap, b.level)
	must.Zero(t, b.refundable)
}

func BenchmarkAdmit(b *testing.B) {
	limits := map[string]Limit{"a": {Rate: MaxTokens, Burst: MaxTokens}}
	in := newStaticInstance(limits)
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		d := in.Admit(now, "a", 1000)
		in.Refund(now, d.Receipt, 500)
	}
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	in := newStaticInstance(map[string]Limit{"a": {Rate: 1000, Burst: 1000}})
	now := time.Second
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		d := in.Admit(now, "a", 3)
		in.Refund(now, d.Receipt, 2)
	}))
}
