package fair

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

const (
	maxTokens = 100
	maxCost   = maxTokens * (1 + DefaultDecodeWeight)
)

func tokens(t *rapid.T) int { return rapid.IntRange(1, maxTokens).Draw(t, "tokens") }

// TestBoundedUnfairness checks that the services of two organisations that always
// have queued requests differ by no more than a constant in any interval, with
// weights and with requests of a third organisation in between.
func TestBoundedUnfairness(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		q := New(Options{})
		weight := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		q.SetWeight("a", weight)
		served := map[string]float64{}
		least, most := 0.0, 0.0
		for range rapid.IntRange(1, 80).Draw(t, "dispatches") {
			for _, org := range []string{"a", "b"} {
				for q.flow(org).length() < 2 {
					must.NoError(t, q.Enqueue(0, Request{Organisation: org, PrefillTokens: tokens(t), DecodeTokens: tokens(t)}))
				}
			}
			if rapid.Bool().Draw(t, "third") {
				must.NoError(t, q.Enqueue(0, Request{Organisation: "c", PrefillTokens: tokens(t), DecodeTokens: tokens(t)}))
			}
			r, ok := q.Next(0)
			must.True(t, ok)
			served[r.Organisation] += q.cost(&r)
			diff := served["a"]/weight - served["b"]
			least, most = min(least, diff), max(most, diff)
		}
		must.LessEq(t, 2*maxCost, most-least)
	})
}

// TestIdleTimeEarnsNoCredit checks that an organisation that was idle gets no
// more service after its return than one that was never idle.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		q := New(Options{})
		fill := func(org string) {
			for q.flow(org).length() < 2 {
				must.NoError(t, q.Enqueue(0, Request{Organisation: org, PrefillTokens: tokens(t)}))
			}
		}
		for range rapid.IntRange(0, 50).Draw(t, "idle") {
			fill("a")
			q.Next(0)
		}
		diff := 0
		for range rapid.IntRange(1, 50).Draw(t, "together") {
			fill("a")
			fill("b")
			r, _ := q.Next(0)
			if r.Organisation == "b" {
				diff += r.PrefillTokens
			} else {
				diff -= r.PrefillTokens
			}
			must.LessEq(t, 2*maxTokens, diff)
		}
	})
}

// TestBatchShare checks that batch requests get their share and no more while both
// classes have queued requests.
func TestBatchShare(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(1, 50).Draw(t, "percent")
		q := New(Options{BatchPercent: percent})
		total, batch := 0.0, 0.0
		for range rapid.IntRange(1, 100).Draw(t, "dispatches") {
			for _, c := range []Class{Live, Batch} {
				for range 3 - len(q.flow("a").requests[c]) {
					must.NoError(t, q.Enqueue(0, Request{Organisation: "a", Class: c, PrefillTokens: tokens(t)}))
				}
			}
			r, _ := q.Next(0)
			total += q.cost(&r)
			if r.Class == Batch {
				batch += q.cost(&r)
			}
			want := total * float64(percent) / 100
			must.Between(t, want-2*maxTokens, batch, want+2*maxTokens)
		}
	})
}

// TestBatchIsServedWithoutLiveBacklog checks that a batch request becomes due
// although live requests never wait. Otherwise a caller that reserves slots for
// live requests could starve it.
func TestBatchIsServedWithoutLiveBacklog(t *testing.T) {
	q := New(Options{})
	must.NoError(t, q.Enqueue(0, Request{Organisation: "a", Class: Batch, PrefillTokens: maxTokens}))
	liveServed := 0
	for !q.BatchDue() {
		must.NoError(t, q.Enqueue(0, Request{Organisation: "b", PrefillTokens: 10}))
		r, ok := q.Next(0)
		must.True(t, ok)
		must.Eq(t, Live, r.Class)
		liveServed += r.PrefillTokens
		must.LessEq(t, 10*maxTokens, liveServed)
	}
	r, _ := q.Next(0)
	must.Eq(t, Batch, r.Class)
	must.False(t, q.BatchDue())
}

// TestEachRequestEndsOnce checks with random operations that each request is
// dispatched before its deadline or refused, exactly once, that the queue stays
// within its capacity, and that it returns a request whenever one is queued.
func TestEachRequestEndsOnce(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{TokenCounters, FirstComeFirstServed, LiveFirst}).Draw(t, "policy")
		q := New(Options{Policy: policy, Capacity: 8})
		queued := map[uint64]Request{}
		now := time.Duration(0)
		checkRefusals := func() {
			for _, r := range q.TakeRefusals(now) {
				_, ok := queued[r.Request.ID]
				must.True(t, ok)
				must.Positive(t, r.Err.RetryAfter)
				if r.Err.Reason == ReasonDeadline {
					must.LessEq(t, now, r.Request.Deadline)
				}
				delete(queued, r.Request.ID)
			}
			for _, r := range queued {
				must.True(t, r.Deadline == 0 || r.Deadline > now)
			}
		}
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "enqueue") {
				r := Request{
					ID:            id,
					Organisation:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Class:         Class(rapid.IntRange(0, 1).Draw(t, "class")),
					PrefillTokens: tokens(t),
				}
				if rapid.Bool().Draw(t, "due") {
					r.Deadline = now + time.Duration(rapid.IntRange(1, 200).Draw(t, "within_ms"))*time.Millisecond
				}
				err := q.Enqueue(now, r)
				var refused *RefusedError
				if errors.As(err, &refused) {
					must.Positive(t, refused.RetryAfter)
				} else {
					queued[id] = r
				}
				checkRefusals()
				must.LessEq(t, 8, q.Len())
				must.Eq(t, len(queued), q.Len())
				continue
			}
			peeked, _ := q.Peek(now)
			r, ok := q.Next(now)
			must.Eq(t, peeked.ID, r.ID)
			checkRefusals()
			if !ok {
				must.MapEmpty(t, queued)
				continue
			}
			must.True(t, r.Deadline == 0 || r.Deadline > now)
			_, known := queued[r.ID]
			must.True(t, known)
			delete(queued, r.ID)
		}
	})
}

// TestNoStarvation checks that a queued request is served within a bounded amount
// of other requests' service, whatever a flooding organisation sends.
func TestNoStarvation(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		q := New(Options{Capacity: 64})
		class := Class(rapid.IntRange(0, 1).Draw(t, "class"))
		flood := func() {
			for range rapid.IntRange(1, 5).Draw(t, "flood") {
				c := Class(rapid.IntRange(0, 1).Draw(t, "flood_class"))
				_ = q.Enqueue(0, Request{Organisation: "flooder", Class: c, PrefillTokens: tokens(t)})
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			flood()
		}
		must.NoError(t, q.Enqueue(0, Request{ID: 1, Organisation: "light", Class: class, PrefillTokens: 1}))
		for served := 0; ; {
			flood()
			r, ok := q.Next(0)
			must.True(t, ok)
			if r.ID == 1 {
				return
			}
			served += r.PrefillTokens
			must.LessEq(t, 100/DefaultBatchPercent*3*maxTokens, served)
		}
	})
}

// TestEarlyRefusal checks that, once the service rate is known, a request that
// would be dispatched after its deadline is refused at once, and another
// organisation's request is not.
func TestEarlyRefusal(t *testing.T) {
	q := New(Options{})
	for range 50 {
		must.NoError(t, q.Enqueue(0, Request{Organisation: "a", PrefillTokens: 100}))
	}
	now := time.Duration(0)
	for range 10 { // 100 tokens each 10 ms
		now += 10 * time.Millisecond
		_, ok := q.Next(now)
		must.True(t, ok)
	}
	due := now + 200*time.Millisecond
	err := q.Enqueue(now, Request{Organisation: "a", PrefillTokens: 100, Deadline: due})
	var refused *RefusedError
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 200*time.Millisecond, refused.RetryAfter.Round(time.Millisecond))
	must.NoError(t, q.Enqueue(now, Request{Organisation: "b", PrefillTokens: 100, Deadline: due}))
	first, _ := q.Next(now)
	second, _ := q.Next(now)
	must.SliceContainsAll(t, []string{"a", "b"}, []string{first.Organisation, second.Organisation})
}

// TestSharesFindFlooder checks that an organisation that receives four times as
// much per weight as each of the others counts as over its share, no longer does
// after a period of equal service, and that the others never count as over theirs.
func TestSharesFindFlooder(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		s := &Shares{OverSharePercent: 200}
		others := rapid.IntRange(4, 8).Draw(t, "others")
		weight := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		now := time.Duration(0)
		serve := func(times int) {
			now += 100 * time.Millisecond
			s.Charge(now, "flooder", weight, 100*times*int(weight))
			for o := range others {
				s.Charge(now, string(rune('a'+o)), 1, 100)
				must.False(t, s.OverShare(string(rune('a'+o))))
			}
		}
		for range 500 {
			serve(4)
		}
		must.True(t, s.OverShare("flooder"))
		for range 200 {
			serve(1)
		}
		must.False(t, s.OverShare("flooder"))
	})
}
