package once

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		e    Evidence
		want Outcome
	}{
		"nothing sent":                {Evidence{}, NotSent},
		"sent, no response":           {Evidence{Sent: true}, Unknown},
		"refused":                     {Evidence{Sent: true, Complete: true, Status: http.StatusTooManyRequests, Ran: engine.ExecutedNo}, RefusedBeforeRun},
		"truncated refusal":           {Evidence{Sent: true, Status: http.StatusTooManyRequests, Ran: engine.ExecutedNo}, Unknown},
		"success with not run":        {Evidence{Sent: true, Complete: true, Status: http.StatusOK, Ran: engine.ExecutedNo}, Answered},
		"503 without header":          {Evidence{Sent: true, Complete: true, Status: http.StatusServiceUnavailable}, Unknown},
		"500 without header":          {Evidence{Sent: true, Complete: true, Status: http.StatusInternalServerError}, Answered},
		"complete response":           {Evidence{Sent: true, Complete: true, Status: http.StatusOK}, Answered},
		"response of another attempt": {Evidence{Sent: true, Complete: false, Status: http.StatusOK}, Unknown},
	} {
		t.Run(name, func(t *testing.T) { must.EqOp(t, c.want, Classify(c.e)) })
	}
}

// A request is retried only if it is idempotent or none of its attempts can have
// run. The error states "not run" if and only if no attempt can have run.
func TestRequestRetries(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		budget := NewBudget(0, BudgetOptions{}, newRand())
		r := NewRequest(RequestOptions{Idempotent: idempotent, Deadline: time.Second}, budget)
		mayHaveRun, now := false, time.Duration(0)
		for i := 0; ; i++ {
			attempt := string(rune('a' + i))
			must.True(t, r.StartAttempt(attempt))
			outcome := rapid.SampledFrom([]Outcome{NotSent, RefusedBeforeRun, Answered, Unknown}).Draw(t, "outcome")
			before := r.State()
			r.AttemptDone(now, "another", Answered)
			must.EqOp(t, before, r.State())
			mayHaveRun = mayHaveRun || outcome == Unknown
			d := r.AttemptDone(now, attempt, outcome)
			now += d.Delay
			if d.Next == StepStart {
				must.True(t, idempotent || !mayHaveRun)
				continue
			}
			must.EqOp(t, outcome == Answered, d.Next == StepRespond)
			if d.Next == StepFail {
				must.EqOp(t, mayHaveRun, d.Ran == RunStatusUnknown)
			}
			must.False(t, r.StartAttempt("after the end"))
			must.EqOp(t, d, r.GiveUp())
			return
		}
	})
}

// A reserved retry must follow although the deadline passes and the budget empties
// in between. Without an attempt that uses it, it must return to the budget.
func TestReservedRetryIsKeptOrReturned(t *testing.T) {
	const deadline = time.Second
	begin := func(idempotent bool, b *Budget) *Request {
		r := NewRequest(RequestOptions{Idempotent: idempotent, Deadline: deadline}, b)
		must.False(t, r.ReserveRetry(0), must.Sprint("no attempt is open"))
		must.True(t, r.StartAttempt("a"))
		return r
	}
	one := BudgetOptions{Reserve: 1, RetryRatio: 0.001, ReserveRefill: time.Hour}

	b := NewBudget(0, one, newRand())
	r := begin(true, b)
	must.True(t, r.ReserveRetry(0))
	must.True(t, r.ReserveRetry(0), must.Sprint("one retry is enough"))
	must.False(t, begin(true, b).ReserveRetry(0), must.Sprint("the budget is empty"))
	must.EqOp(t, StepStart, r.AttemptDone(2*deadline, "a", Unknown).Next)
	must.True(t, r.StartAttempt("b"))
	must.EqOp(t, StepFail, r.AttemptDone(0, "b", Unknown).Next, must.Sprint("it is used once"))

	for _, end := range []func(*Request){
		func(r *Request) { r.AttemptDone(0, "a", Answered) },
		func(r *Request) { r.GiveUp() },
	} {
		b := NewBudget(0, one, newRand())
		r := begin(true, b)
		must.True(t, r.ReserveRetry(0))
		end(r)
		must.False(t, r.ReserveRetry(0), must.Sprint("the request has ended"))
		must.True(t, b.Retry(0), must.Sprint("it was returned"))
		must.False(t, b.Retry(0), must.Sprint("once"))
	}
	must.False(t, begin(true, NewBudget(0, one, newRand())).ReserveRetry(deadline))
	must.False(t, begin(false, NewBudget(0, one, newRand())).ReserveRetry(0))
}

// While upstreams or a zone are unavailable, the mean number of attempts per
// request stays bounded.
func TestBudgetBoundsAttempts(t *testing.T) {
	const requests, perSecond = 5_000, 200
	for name, failing := range map[string]float64{"one upstream of four": 0.25, "zone": 0.5, "all": 1} {
		t.Run(name, func(t *testing.T) {
			rng := newRand()
			budget := NewBudget(0, BudgetOptions{}, rng)
			attempts := 0
			for i := range requests {
				now := time.Duration(i) * time.Second / perSecond
				r := NewRequest(RequestOptions{Idempotent: true, Deadline: now + 10*time.Second}, budget)
				for d := (Decision{Next: StepStart}); d.Next == StepStart; {
					must.True(t, r.StartAttempt("a"))
					attempts++
					outcome := Answered
					if rng.Float64() < failing {
						outcome = Unknown
					}
					d = r.AttemptDone(now, "a", outcome)
				}
			}
			ratio := float64(attempts) / requests
			t.Logf("failing fraction %.2f: %.4f attempts per request", failing, ratio)
			must.LessEq(t, 1.1, ratio)
		})
	}
}

// Concurrent handlers are granted no more retries in total than their shared
// budget allows. Run with the race detector, the test also detects data races.
func TestBudgetIsShared(t *testing.T) {
	b := NewBudget(0, BudgetOptions{}, newRand())
	var granted atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				b.First()
				b.Backoff(1)
				if b.Retry(0) {
					granted.Add(1)
				}
			}
		})
	}
	group.Wait()
	must.LessEq(t, int64(DefaultReserve+8000*DefaultRetryRatio), granted.Load())
	must.Positive(t, granted.Load())
}

func TestBackoffIsJitteredAndCapped(t *testing.T) {
	b := NewBudget(0, BudgetOptions{}, newRand())
	for n := 1; n < 100; n++ {
		bound := min(DefaultBackoffMax, DefaultBackoffBase<<min(n-1, 20))
		must.Between(t, 0, b.Backoff(n), bound)
	}
}

func TestParseKey(t *testing.T) {
	const at = int64(1_796_000_000_000)
	timed := "019ae726-0400-7000-8000-000000000001"
	key, err := ParseKey("s", "o", timed, at, KeyOptions{RequireTimestamp: true})
	must.NoError(t, err)
	must.Positive(t, key.TimeMS)
	other, err := ParseKey("s", "other", timed, at, KeyOptions{})
	must.NoError(t, err)
	must.NotEq(t, key.Digest, other.Digest)
	_, err = ParseKey("s", "o", timed, key.TimeMS-2*MaxKeyClockSkew.Milliseconds(), KeyOptions{})
	must.ErrorIs(t, err, ErrKeyInFuture)
	_, err = ParseKey("s", "o", "opaque", at, KeyOptions{RequireTimestamp: true})
	must.ErrorIs(t, err, ErrKeyNoTimestamp)
	_, err = ParseKey("s", "o", "", at, KeyOptions{})
	must.ErrorIs(t, err, ErrKeyMalformed)
}
