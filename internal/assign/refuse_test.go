package assign

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

// submitTried submits a job that both engines had and returns the time after which it
// is refused, 0 if that is not within 5 s.
func submitTried(t *testing.T, s *Scheduler, edit func(*Job)) (time.Duration, fleet.Refusal) {
	j := newChatJob(1, start)
	j.TriedUpstreams, j.FirstEventDeadline, j.Objective = []string{"e0", "e1"}, start+15*time.Second, start+10*time.Second
	edit(j)
	_, d := s.Submit(start, j)
	must.Nil(t, d) // another upstream may be added
	for now := start; now < start+5*time.Second; now += 10 * time.Millisecond {
		if out := s.PlaceQueued(now); len(out) > 0 {
			return now - start, out[0].Decision.Refusal
		}
	}
	return 0, fleet.Refusal{}
}

// A job that every upstream of its model has had is refused soon, not when its caller
// gives up: the caller may come back in time.
func TestJobThatAllUpstreamsHadIsRefusedSoon(t *testing.T) {
	after, refusal := submitTried(t, newTestScheduler(2, "m"), func(*Job) {})
	must.Eq(t, triedQueueTime, after)
	must.Eq(t, fleet.ReasonOverloaded, refusal.Reason)
	must.Between(t, minRetryAfter, refusal.RetryAfter, time.Second)
}

// It stays queued while a replica is loading, and if its caller has a part of the
// response.
func TestJobThatAllUpstreamsHadWaitsForAReplica(t *testing.T) {
	s := newTestScheduler(2, "m")
	s.SetModelReadyTimes(map[string]time.Duration{"m": start + time.Second})
	after, _ := submitTried(t, s, func(*Job) {})
	must.Eq(t, 0, after)
	after, _ = submitTried(t, newTestScheduler(2, "m"), func(j *Job) { j.InProgress = true })
	must.Eq(t, 0, after)
}
