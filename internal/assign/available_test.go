package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

// limit makes an upstream of newTestScheduler name a limit.
func limit(s *Scheduler, now time.Duration, id string, ratePerS float64) {
	s.RecordNotice(now, now, id, 1, fleet.Notice{Limited: true, RatePerS: ratePerS})
}

// An upstream with a limit gets what the limit allows where nothing else serves. The other
// requests are refused soon, with a time.
func TestUpstreamWithALimitIsUsed(t *testing.T) {
	s := newTestScheduler(1, "m")
	limit(s, start, "e0", 2)
	placed, refused := 0, 0
	for now := start; now < start+10*time.Second; now += 50 * time.Millisecond {
		p, d := s.Submit(now, newChatJob(placed+refused, now))
		if p != nil {
			placed++
			s.Release(now, p, ResultOK)
		} else if d != nil {
			refused++
			must.Eq(t, fleet.ReasonOverloaded, d.Refusal.Reason)
			must.GreaterEq(t, minRetryAfter, d.Refusal.RetryAfter)
		}
		for _, r := range s.PlaceQueued(now) {
			if r.Placement != nil {
				placed++
				s.Release(now, r.Placement, ResultOK)
				continue
			}
			refused++
			must.LessEq(t, time.Second, now-r.Decision.Job.Arrived)
			must.GreaterEq(t, minRetryAfter, r.Decision.Refusal.RetryAfter)
		}
	}
	must.Between(t, 16, placed, 22)
	must.Eq(t, 200, placed+refused+s.QueueLength())
	must.LessEq(t, 20, s.QueueLength())
}

// The load of an upstream with a limit goes to the others, and none is refused.
func TestLoadOfAnUpstreamWithALimitGoesElsewhere(t *testing.T) {
	s := newTestScheduler(4, "m")
	limit(s, start, "e0", 1)
	counts := map[string]int{}
	for now := start; now < start+10*time.Second; now += 25 * time.Millisecond {
		p, d := s.Submit(now, newChatJob(int(now), now))
		must.NotNil(t, p)
		counts[d.Upstream.ID]++
		s.Release(now, p, ResultOK)
	}
	must.Between(t, 1, counts["e0"], 12)
}

// A job whose only upstream takes nothing from this instance is refused at once, unless
// its model is being loaded elsewhere.
func TestJobWithoutAnAvailableUpstreamIsRefusedAtOnce(t *testing.T) {
	s := newTestScheduler(1, "m")
	var members []string
	for i := range 100 {
		members = append(members, fmt.Sprint("n", i))
	}
	s.Limits().SetMembers(start, members)
	limit(s, start, "e0", 0.1) // one sender of 101
	_, d := s.Submit(start, newChatJob(1, start))
	must.NotNil(t, d)
	must.Nil(t, d.Upstream)
	must.Positive(t, d.Refusal.RetryAfter)
	s.SetModelReadyTimes(map[string]time.Duration{"m": start + 500*time.Millisecond})
	_, d = s.Submit(start, newChatJob(2, start))
	must.Nil(t, d) // queued
}

// What binds is the moment of sending, and a request that was not sent uses up nothing.
func TestLimitIsAskedWhenARequestIsSent(t *testing.T) {
	s := newTestScheduler(1, "m")
	var placed []*Placement
	for i := range 4 {
		p, _ := s.Submit(start, newChatJob(i, start))
		placed = append(placed, p)
	}
	must.True(t, s.MaySend(start, placed[0]))
	limit(s, start, "e0", 1)
	must.True(t, s.MaySend(start, placed[1]))
	must.False(t, s.MaySend(start, placed[2]))
	s.RecordNotSent(placed[1])
	must.True(t, s.MaySend(start, placed[2]))
	must.False(t, s.MaySend(start+maxSendDelay+1, placed[3]))
}

// A suspect upstream is not probed, and a silent one is not reported, beyond its limit.
func TestProbesKeepTheLimit(t *testing.T) {
	s := newTestScheduler(0)
	limit(s, start, "a0", 0.5)
	for range 2 * ejectAfterFailures {
		s.byID["a0"].health.recordFailure(start)
	}
	probes := 0
	for now := start + 5*time.Second; now < start+25*time.Second; now += 20 * time.Millisecond {
		p, d := s.Submit(now, newAppJob(now))
		must.NotNil(t, p)
		if d.Upstream.ID == "a0" {
			probes++
		}
		s.Release(now, p, ResultUnknown)
	}
	must.Between(t, 5, probes, 11)
}

// A pause holds for all kinds of requests, and a shorter one does not end it.
func TestPauseHolds(t *testing.T) {
	s := newTestScheduler(2, "m")
	s.RecordNotice(start, start, "e0", 1, fleet.Notice{Pause: 2 * time.Second})
	s.RecordNotice(start, start, "e0", 1, fleet.Notice{Pause: time.Second})
	s.RecordNotice(start, start, "e1", 9, fleet.Notice{Pause: time.Hour}) // another incarnation
	for now := start; now < start+2*time.Second; now += 20 * time.Millisecond {
		p, d := s.Submit(now, newChatJob(int(now), now))
		must.Eq(t, "e1", d.Upstream.ID)
		s.Release(now, p, ResultOK)
	}
	must.MapLen(t, 1, s.Pauses(start+time.Second))
	must.MapEmpty(t, s.Pauses(start+2*time.Second))
}

// A request that only paused upstreams could serve is refused at once with the rest of
// the pause, as far as its caller can wait for it.
func TestPausedOutIsRefusedAtOnce(t *testing.T) {
	s := newTestScheduler(0)
	for _, id := range []string{"a0", "a1"} {
		s.RecordNotice(start, start, id, 1, fleet.Notice{Pause: 3 * time.Second})
	}
	j := newAppJob(start)
	j.Deadline = start + time.Minute
	_, d := s.Submit(start, j)
	must.NotNil(t, d)
	must.Between(t, 3*time.Second, d.Refusal.RetryAfter, 4500*time.Millisecond)
}

// Answers that outgrow the memory eject an upstream that completes none. One that completes others
// meanwhile, as with callers who ask for many large answers at once, stays in use.
func TestOutgrownAnswersEjectAnUpstreamThatCompletesNone(t *testing.T) {
	for _, completes := range []bool{false, true} {
		s := newTestScheduler(1, "m")
		now := start
		for i := range ejectAfterFailures {
			p, _ := s.Submit(now, newChatJob(i, now))
			must.NotNil(t, p)
			now += 10 * time.Millisecond
			if completes {
				other, _ := s.Submit(now, newChatJob(100+i, now))
				must.NotNil(t, other)
				s.Release(now, other, ResultOK)
			}
			s.Release(now, p, ResultOutgrown)
		}
		must.Eq(t, completes, s.byID["e0"].health.usable(now, 1))
	}
}
