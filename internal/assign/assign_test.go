package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const start = time.Minute

// newTestScheduler returns a scheduler in zone z0 with engines of 8 slots that
// hold the models, and two upstreams of a plain service.
func newTestScheduler(engines int, models ...string) *Scheduler {
	s := New(Options{Zone: "z0", Seed: 1})
	config := &fleet.Config{Services: map[string]*fleet.Service{
		"chat": {Name: "chat", Engine: &fleet.Engine{Slots: 8}}, "app": {Name: "app"},
	}}
	var list []fleet.Upstream
	for i := range engines {
		u := fleet.Upstream{ID: fmt.Sprintf("e%d", i), Service: "chat", Zone: fmt.Sprintf("z%d", i%2), StartedAtMS: 1, Slots: 8}
		for _, m := range models {
			u.Models = append(u.Models, fleet.ResidentModel{Model: m})
		}
		list = append(list, u)
	}
	for i := range 2 {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("a%d", i), Service: "app", Zone: fmt.Sprintf("z%d", i), StartedAtMS: 1, Slots: 2})
	}
	s.SetUpstreams(config, list)
	return s
}

func newChatJob(id int, now time.Duration) *Job {
	return &Job{
		ID: fmt.Sprint(id), Service: "chat", Model: "m", NeedsEngine: true, PromptTokens: 800, OutputTokens: 200,
		Arrived: now, Objective: now + 400*time.Millisecond, FirstEventDeadline: now + 2400*time.Millisecond, Deadline: now + 15*time.Second,
	}
}

func newAppJob(now time.Duration) *Job {
	return &Job{Service: "app", Retryable: true, Arrived: now, Objective: now + 300*time.Millisecond, FirstEventDeadline: now + time.Second, Deadline: now + time.Second}
}

func TestSubmitChoosesLeastLoadedUpstream(t *testing.T) {
	s := newTestScheduler(4, "m")
	s.SetPeers(map[string]PeerLoads{"p": {At: start, Loads: map[string]Load{
		"e0": {Pending: [UrgencyLevels]int{3}, PendingTokens: [UrgencyLevels]int{6000}},
		"e1": {Pending: [UrgencyLevels]int{2}, PendingTokens: [UrgencyLevels]int{4000}},
		"e2": {Pending: [UrgencyLevels]int{1}, PendingTokens: [UrgencyLevels]int{2000}},
	}}})
	p, v := s.Submit(start, newChatJob(1, start))
	must.NotNil(t, p)
	must.Eq(t, "e3", v.Upstream.ID)
}

func TestSharedPrefixesGoToTheSameUpstream(t *testing.T) {
	s := newTestScheduler(4, "m")
	job := func() *Job {
		j := newChatJob(1, start)
		j.PromptParts = []fleet.PromptSegment{{ID: 7, Tokens: 600}, {ID: 8, Tokens: 200}}
		return j
	}
	p, first := s.Submit(start, job())
	s.Release(start, p, ResultOK)
	for range 5 {
		p, v := s.Submit(start, job())
		must.Eq(t, first.Upstream.ID, v.Upstream.ID)
		s.Release(start, p, ResultOK)
	}
}

func TestTriedUpstreamsAreExcluded(t *testing.T) {
	s := newTestScheduler(2, "m")
	j := newChatJob(1, start)
	j.TriedUpstreams = []string{"e0"}
	_, v := s.Submit(start, j)
	must.Eq(t, "e1", v.Upstream.ID)
	j = newChatJob(2, start)
	j.TriedUpstreams = []string{"e0", "e1"}
	_, v = s.Submit(start, j)
	must.Nil(t, v) // queued: another upstream may be added
}

// No engine gets more requests than it has slots. Requests beyond that are
// queued rather than refused while their callers wait.
func TestBurstIsQueuedForSlots(t *testing.T) {
	s := newTestScheduler(2, "m")
	placed := map[string]int{}
	var queued []*Job
	for i := range 60 {
		j := newChatJob(i, start)
		j.Objective = start + 4*time.Second
		j.FirstEventDeadline = start + 8*time.Second
		_, v := s.Submit(start, j)
		switch {
		case v == nil:
			queued = append(queued, j)
		case v.Upstream != nil:
			placed[v.Upstream.ID]++
		}
	}
	for id, n := range placed {
		must.LessEq(t, 8, n, must.Sprint(id))
	}
	must.SliceNotEmpty(t, queued)
}

// Jobs that can still meet their objective go before late ones, and the more
// urgent before the less urgent.
func TestQueueOrder(t *testing.T) {
	s := newTestScheduler(1, "m")
	var running []*Placement
	for i := range 8 {
		j := newChatJob(i, start)
		j.PromptTokens = 10
		p, v := s.Submit(start, j)
		must.NotNil(t, p, must.Sprint(v))
		s.RecordFirstToken(start, p)
		running = append(running, p)
	}
	late, relaxed, urgent := newChatJob(100, start-390*time.Millisecond), newChatJob(101, start), newChatJob(102, start)
	relaxed.Urgency = 3
	for _, j := range []*Job{late, relaxed, urgent} {
		_, v := s.Submit(start, j)
		must.Nil(t, v)
	}
	var order []string
	for _, p := range running[:3] {
		s.Release(start+20*time.Millisecond, p, ResultOK)
		for _, placed := range s.PlaceQueued(start + 20*time.Millisecond) {
			must.NotNil(t, placed.Placement)
			s.RecordFirstToken(start+20*time.Millisecond, placed.Placement)
			order = append(order, placed.Decision.Job.ID)
		}
	}
	must.Eq(t, []string{"102", "101", "100"}, order)
}

// A request whose model is not loaded is queued if the model is expected in
// time. Otherwise it is refused at once, with a retry delay until the model
// should be ready.
func TestAbsentModel(t *testing.T) {
	s := newTestScheduler(2, "other")
	s.SetModelReadyTimes(map[string]time.Duration{"m": start + time.Second})
	_, v := s.Submit(start, newChatJob(1, start))
	must.Nil(t, v)
	s.SetModelReadyTimes(map[string]time.Duration{"m": start + 4*time.Second})
	_, v = s.Submit(start, newChatJob(2, start))
	must.Eq(t, fleet.ReasonModelAbsent, v.Refusal.Reason)
	must.Between(t, 4*time.Second, v.Refusal.RetryAfter, 6*time.Second)
	out := s.PlaceQueued(start + 10*time.Millisecond)
	must.Len(t, 1, out) // the model of the queued job is no longer expected in time
	must.Eq(t, fleet.ReasonModelAbsent, out[0].Decision.Refusal.Reason)
	s.SetModels("e1", 1, []fleet.ResidentModel{{Model: "m"}}, nil)
	p, _ := s.Submit(start, newChatJob(3, start))
	must.NotNil(t, p)
}

func TestUnloadingModelGetsNoNewJobs(t *testing.T) {
	s := newTestScheduler(2, "m")
	s.SetModels("e0", 1, []fleet.ResidentModel{{Model: "m"}}, []string{"m"})
	for i := range 4 {
		_, v := s.Submit(start, newChatJob(i, start))
		must.Eq(t, "e1", v.Upstream.ID)
	}
}

func TestAbsentOverridesReportedModels(t *testing.T) {
	s := newTestScheduler(1, "m")
	s.RecordModelAbsent(start, "e0", "m", "")
	must.False(t, s.HasModel(start, "chat", "m", ""))
	must.True(t, s.HasModel(start+absentTimeout, "chat", "m", ""))
}

// An upstream that keeps failing its requests gets few of them until it
// succeeds again.
func TestGreyUpstreamGetsFewRequests(t *testing.T) {
	s := newTestScheduler(0)
	sent := map[string]int{}
	now := start
	for range 400 {
		now += 10 * time.Millisecond
		p, v := s.Submit(now, newAppJob(now))
		must.NotNil(t, p)
		sent[v.Upstream.ID]++
		result := ResultOK
		if v.Upstream.ID == "a0" {
			result = ResultFailed
		}
		s.Release(now+5*time.Millisecond, p, result)
	}
	must.Less(t, 40, sent["a0"])
	sent["a0"] = 0
	for range 1000 {
		now += 10 * time.Millisecond
		p, v := s.Submit(now, newAppJob(now))
		sent[v.Upstream.ID]++
		s.Release(now+5*time.Millisecond, p, ResultOK)
	}
	must.Greater(t, 100, sent["a0"])
}

// An engine whose first tokens take 6 times as long gets less than half of the
// requests of another engine.
func TestSlowEngineGetsFewerRequests(t *testing.T) {
	s := newTestScheduler(4, "m")
	sent := map[string]int{}
	now := start
	type running struct {
		p     *Placement
		first time.Duration
	}
	var open []running
	for i := range 600 {
		now += 15 * time.Millisecond
		kept := open[:0]
		for _, r := range open {
			if now < r.first {
				kept = append(kept, r)
				continue
			}
			s.RecordFirstToken(r.first, r.p)
			s.Release(now, r.p, ResultOK)
		}
		open = kept
		p, v := s.Submit(now, newChatJob(i, now))
		if p == nil {
			continue
		}
		sent[v.Upstream.ID]++
		d := 40 * time.Millisecond
		if v.Upstream.ID == "e0" {
			d *= 6
		}
		open = append(open, running{p, now + d})
		s.PlaceQueued(now)
	}
	must.Less(t, sent["e1"]/2, sent["e0"])
}

// In any order of events, no job stays queued after its caller gives up, and
// the load of every placement is removed when it ends.
func TestQueueAndLoadAccounting(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		s := newTestScheduler(3, "m")
		now := start
		var open []*Placement
		queued := map[*Job]bool{}
		for i := range 200 {
			now += time.Duration(rapid.IntRange(0, 40).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1:
				j := newChatJob(i, now)
				p, v := s.Submit(now, j)
				switch {
				case p != nil:
					open = append(open, p)
				case v == nil:
					queued[j] = true
				case v.Refusal.Reason == fleet.ReasonNone || v.Refusal.RetryAfter <= 0:
					rt.Fatalf("refused without a reason or a retry delay: %+v", v)
				}
			case 2:
				if len(open) > 0 {
					s.RecordFirstToken(now, open[0])
					s.Release(now, open[0], ResultOK)
					open = open[1:]
				}
			case 3:
				for j := range queued {
					if s.Cancel(j) {
						delete(queued, j)
					}
					break
				}
			}
			for _, placed := range s.PlaceQueued(now) {
				delete(queued, placed.Decision.Job)
				if placed.Placement != nil {
					open = append(open, placed.Placement)
				}
			}
			for j := range queued {
				if now >= j.FirstEventDeadline {
					rt.Fatalf("job %s is queued after its caller gave up", j.ID)
				}
			}
			if s.QueueLength() != len(queued) {
				rt.Fatalf("%d jobs queued, want %d", s.QueueLength(), len(queued))
			}
		}
		for _, p := range open {
			s.Release(now, p, ResultUnknown)
		}
		for id, u := range s.byID {
			if u.ownLoad != (Load{}) {
				rt.Fatalf("%s has load left: %+v", id, u.ownLoad)
			}
		}
	})
}

// In an overload, a late job is refused while jobs that can still be on time
// cannot be placed. Without such jobs it stays queued.
func TestLateJobIsShedInOverload(t *testing.T) {
	s := newTestScheduler(1, "m")
	for i := range 8 {
		j := newChatJob(i, start)
		j.PromptTokens = 10
		p, _ := s.Submit(start, j)
		s.RecordFirstToken(start, p)
	}
	late := newChatJob(100, start)
	_, v := s.Submit(start, late)
	must.Nil(t, v)
	now := late.Objective + lateQueueTime
	must.SliceEmpty(t, s.PlaceQueued(now))
	_, v = s.Submit(now, newChatJob(101, now))
	must.Nil(t, v)
	out := s.PlaceQueued(now)
	must.Len(t, 1, out)
	must.Eq(t, "100", out[0].Decision.Job.ID)
	must.Eq(t, fleet.ReasonOverloaded, out[0].Decision.Refusal.Reason)
}

func TestRetryAfterBounds(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		s := newTestScheduler(1, "m")
		j := newChatJob(1, start)
		j.Deadline = start + time.Duration(rapid.IntRange(1000, 20000).Draw(rt, "final"))*time.Millisecond
		wait := time.Duration(rapid.IntRange(0, 8000).Draw(rt, "wait")) * time.Millisecond
		got := s.retryAfter(start, j, wait)
		left := j.Deadline - start
		if got < minRetryAfter || got > max(minRetryAfter, left/3) {
			rt.Fatalf("retry delay is %v with %v left", got, left)
		}
		if wait < left/6 && got < wait {
			rt.Fatalf("retry delay is %v, less than the expected wait of %v", got, wait)
		}
	})
}

// A stopping instance answers queued requests before its grace time ends.
// Without that limit, a request with a late deadline stayed queued until the
// process ended, and was then aborted without a response (found by trouble-2 of
// lsct-fogline).
func TestNothingWaitsBeyondTheEndOfAnInstance(t *testing.T) {
	s := newTestScheduler(1, "other")
	s.SetModelReadyTimes(map[string]time.Duration{"m": start + time.Second})
	newWaitingJob := func() *Job {
		j := newChatJob(1, start)
		j.Objective, j.FirstEventDeadline = start+4*time.Second, start+16*time.Second
		return j
	}
	_, v := s.Submit(start, newWaitingJob())
	must.Nil(t, v)
	s.LimitQueueTime(start + 3*time.Second)
	s.Submit(start, newWaitingJob())
	must.SliceEmpty(t, s.PlaceQueued(start+2*time.Second))
	out := s.PlaceQueued(start + 3*time.Second)
	must.Len(t, 2, out)
	must.Positive(t, out[0].Decision.Refusal.RetryAfter)
}

// A late job is placed where there is capacity, at a lower urgency than jobs
// that can still be on time.
func TestLateJobGetsLowerUrgency(t *testing.T) {
	s := newTestScheduler(1, "m")
	s.SetPeers(map[string]PeerLoads{"p": {At: start, Loads: map[string]Load{
		"e0": {Pending: [UrgencyLevels]int{2}, PendingTokens: [UrgencyLevels]int{5000}},
	}}})
	late := newChatJob(1, start-time.Second)
	p, v := s.Submit(start, late)
	must.NotNil(t, p, must.Sprint(v))
	must.Eq(t, 1, s.OwnLoads()["e0"].Pending[late.Urgency+lateUrgencyPenalty])
}

// A request in progress goes on elsewhere only where it is taken at once, and not
// before jobs that are queued.
func TestPlaceNowNeitherQueuesNorOvertakes(t *testing.T) {
	s := newTestScheduler(2, "m")
	j := newChatJob(1, start)
	j.Urgency++
	p, first := s.Submit(start, j)
	must.NotNil(t, p)
	j.TriedUpstreams = []string{first.Upstream.ID}
	other, second := s.PlaceNow(start, j)
	must.NotNil(t, other)
	must.NotEq(t, first.Upstream.ID, second.Upstream.ID)
	j.TriedUpstreams = append(j.TriedUpstreams, second.Upstream.ID)
	none, _ := s.PlaceNow(start, j)
	must.Nil(t, none)
	must.Eq(t, 0, s.QueueLength())

	j.TriedUpstreams = j.TriedUpstreams[:1]
	for _, id := range []string{first.Upstream.ID, second.Upstream.ID} {
		s.RecordFull(start, id)
	}
	_, refused := s.Submit(start, newChatJob(2, start))
	must.Nil(t, refused)
	must.Eq(t, 1, s.QueueLength())
	none, _ = s.PlaceNow(start+fullBackoff, j)
	must.Nil(t, none)
}

// In an overload a late job is refused, but not one whose caller has part of the
// response.
func TestJobInProgressIsNotShed(t *testing.T) {
	s := newTestScheduler(1, "m")
	s.RecordFull(start+time.Second, "e0")
	jobs := map[bool]*Job{}
	for _, inProgress := range []bool{false, true} {
		j := newChatJob(1, start)
		j.InProgress, j.FirstEventDeadline = inProgress, start+5*time.Second
		p, d := s.Submit(start+time.Second, j)
		must.Nil(t, p)
		must.Nil(t, d)
		jobs[inProgress] = j
	}
	_, d := s.Submit(start+time.Second, newChatJob(2, start+time.Second)) // on time
	must.Nil(t, d)
	results := s.PlaceQueued(start + time.Second)
	must.Len(t, 1, results)
	must.True(t, results[0].Decision.Job == jobs[false])
	must.Nil(t, results[0].Placement)
}

// A stopping instance goes on to look for a place for a stream that is in progress.
func TestStopDoesNotRefuseAJobInProgress(t *testing.T) {
	s := newTestScheduler(1, "m")
	s.LimitQueueTime(start + 3*time.Second)
	at := start + 4*time.Second
	s.RecordFull(at, "e0")
	j := newChatJob(1, start)
	j.InProgress, j.FirstEventDeadline, j.Deadline = true, at+2*time.Second, at+5*time.Second
	_, refused := s.Submit(at, j)
	must.Nil(t, refused)
}
