package assign

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// At one and a half times the capacity few callers give up, because requests that cannot
// begin in time are refused rather than sent to wait at an engine.
func TestLittleWorkIsTakenInVain(t *testing.T) {
	for name, kinds := range map[string]func() []*simKind{
		"short": func() []*simKind { return []*simKind{shortKind(1)} }, "with long prompts": mixed,
	} {
		arrived, left := 0, 0
		for _, s := range (simRun{load: 1.5, kinds: kinds}).stats() {
			arrived, left = arrived+s.arrived, left+s.left
			t.Logf("%s: %v", name, s)
		}
		must.Less(t, 0.08, share(left, arrived), must.Sprint(name))
	}
}

// newFullScheduler returns a scheduler with an engine whose 8 slots are taken and free up at a
// rate of 8 a second.
func newFullScheduler(t *testing.T) *Scheduler {
	s := newTestScheduler(1, "m")
	for i := range 8 {
		j := newChatJob(i, start)
		j.PromptTokens = 10
		p, _ := s.Submit(start, j)
		must.NotNil(t, p)
		s.RecordFirstToken(start, p)
	}
	s.room(newChatJob(0, start)).meanHold = time.Second
	clear(s.placementRates) // the burst says nothing about how fast slots are freed
	return s
}

// A request that would be refused later, because too many are ahead of it, is refused at
// once, while its caller still has the time to retry. Before, it was held until 150 ms after
// its objective.
func TestRequestThatWaitsInVainIsRefusedAtOnce(t *testing.T) {
	s := newFullScheduler(t)
	queued := 0
	for i := range 20 {
		_, d := s.Submit(start, newChatJob(100+i, start))
		if d == nil {
			queued++
			continue
		}
		must.Between(t, minRetryAfter, d.Refusal.RetryAfter, 5*time.Second)
	}
	must.Between(t, 3, queued, 6) // 550 ms at 8 a second
	must.Len(t, 0, s.PlaceQueued(start+15*time.Millisecond))
}

// Refused callers are told to retry at the rate at which room becomes free, not all at the
// same time, and those with less time left come first.
func TestRetriesFollowFreeRoom(t *testing.T) {
	s := newFullScheduler(t)
	within := 0 // retries within the first second
	for i := range 32 {
		j := newChatJob(i, start)
		j.Deadline, j.Objective = start+40*time.Second, start+30*time.Second
		if s.overloadRefusal(start, j, 0).RetryAfter <= time.Second {
			within++
		}
	}
	must.Between(t, 4, within, 10)
	hurried, patient := newChatJob(100, start), newChatJob(101, start)
	hurried.Deadline, patient.Deadline = start+20*time.Second, start+41*time.Second
	hurried.Objective, patient.Objective = start+15*time.Second, start+30*time.Second
	first := s.overloadRefusal(start, hurried, 0).RetryAfter
	must.Less(t, s.overloadRefusal(start, patient, 0).RetryAfter, first)
	must.LessEq(t, 2*time.Second, first)
}

// A request whose first token is expected after its caller gives up is not sent.
func TestNothingIsSentToACallerWhoWillHaveLeft(t *testing.T) {
	j := newChatJob(1, start)
	now := j.FirstEventDeadline - 300*time.Millisecond
	s := newTestScheduler(1, "m")
	must.True(t, s.meetsObjective(now, j, 200*time.Millisecond))
	must.False(t, s.meetsObjective(now, j, 250*time.Millisecond))
	j.InProgress = true
	must.True(t, s.meetsObjective(now, j, 250*time.Millisecond))
}
