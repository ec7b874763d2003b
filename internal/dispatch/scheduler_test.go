package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

const (
	slots       = 4
	prefillRate = 1000
)

// newTestScheduler returns a scheduler with one upstream that has model m ready
// and a few slots.
func newTestScheduler(opts Options) *Scheduler {
	s := NewScheduler(opts)
	s.Table().SetUpstream(route.Upstream{Name: "u", PrefillRate: prefillRate, MaxRunning: slots})
	s.Table().SetResident("u", []route.ResidentModel{{Model: "m", Ready: true}})
	return s
}

func live(org string, tokens int, deadline time.Duration) Request {
	return Request{Organisation: org, Route: route.Request{Model: "m", PromptTokens: tokens, MaxTokens: 10, Deadline: deadline}}
}

func batch() Request {
	r := live("b", 10, 0)
	r.Class = fair.Batch
	return r
}

// submitAndCountGrants submits requests and returns how many get a slot.
func submitAndCountGrants(s *Scheduler, requests ...Request) int {
	n := 0
	for _, r := range requests {
		s.Submit(0, r)
		for _, o := range s.Dispatch(0) {
			if o.Grant != nil {
				n++
			}
		}
	}
	return n
}

// Batch requests must occupy at most half of an upstream's slots by default; live
// requests may use all of them.
func TestBatchLeavesRoom(t *testing.T) {
	s := newTestScheduler(Options{})
	must.Eq(t, slots/2, submitAndCountGrants(s, batch(), batch(), batch()))
	must.Eq(t, slots/2, submitAndCountGrants(s, live("a", 10, 0), live("a", 10, 0), live("a", 10, 0)))
	unlimited := newTestScheduler(Options{BatchSlotPercent: Disabled})
	must.Eq(t, 3, submitAndCountGrants(unlimited, batch(), batch(), batch()))
}

// Live requests for a model without a ready replica must be refused at once; batch
// requests must stay queued until there is one.
func TestBatchWaitsForAReplica(t *testing.T) {
	s := newTestScheduler(Options{})
	s.Table().SetResident("u", nil)
	must.Eq(t, 0, submitAndCountGrants(s, batch()))
	s.Submit(0, live("a", 10, 0))
	s.Table().SetResident("u", []route.ResidentModel{{Model: "m", Ready: true}})
	must.Len(t, 2, s.Dispatch(0))
}

// The expected time to the first token may exceed the time to the deadline by the
// refusal margin and no more.
func TestRefusalMargin(t *testing.T) {
	const deadline = time.Second
	within := prefillRate * (100 + DefaultRefusalMarginPercent) / 100
	r := live("a", within-1, deadline)
	s := newTestScheduler(Options{})
	c, err := s.Table().Pick(0, r.Route, s.rng)
	must.NoError(t, err)
	must.Greater(t, deadline, c.Expected)
	r.Route.PromptTokens = within + 1
	_, err = s.Table().Pick(0, r.Route, s.rng)
	var overloaded *route.OverloadedError
	must.True(t, errors.As(err, &overloaded))
}

// A request must be refused only if its first token is expected to be later than
// Options.MaxLatePercent allows.
func TestLateFirstTokenIsAllowed(t *testing.T) {
	const deadline = time.Second
	for _, c := range []struct{ maxLatePercent, granted int }{{0, 1}, {Disabled, 0}} {
		s := newTestScheduler(Options{MaxLatePercent: c.maxLatePercent})
		must.Eq(t, c.granted, submitAndCountGrants(s, live("a", prefillRate*18/10, deadline)))
		must.Eq(t, 0, submitAndCountGrants(s, live("a", prefillRate*100, deadline)))
	}
}

// While the upstream is busy, requests of an organisation that has received more
// than its share must be refused, unless the policy is off.
func TestOrganisationOverItsShareIsRefusedWhileBusy(t *testing.T) {
	for _, opts := range []Options{{}, {OverSharePercent: Disabled}} {
		s := newTestScheduler(opts)
		must.Eq(t, 1, submitAndCountGrants(s, live("quiet", 1, 0)))
		must.Eq(t, 1, submitAndCountGrants(s, live("third", 1, 0)))
		must.Eq(t, 1, submitAndCountGrants(s, live("flood", 600, 0)))
		refused := 1 - submitAndCountGrants(s, live("flood", 100, time.Second))
		must.Eq(t, opts.OverSharePercent != Disabled, refused == 1)
	}
}

// The expected prompt time must follow the measured times to the first token of
// live requests.
func TestExpectationsFollowMeasuredFirstTokens(t *testing.T) {
	s := newTestScheduler(Options{})
	before := s.Table().PrefillTime("m", 100)
	now := time.Duration(0)
	for range 200 {
		s.Submit(now, live("a", 100, 0))
		g := s.Dispatch(now)[0].Grant
		now += 200 * time.Millisecond // twice the time that PrefillRate gives
		s.FirstToken(now, g)
		s.Finished(now, g, 1)
		now += time.Second
	}
	must.Greater(t, before*3/2, s.Table().PrefillTime("m", 100))
}

// In any order of calls, each request that is not canceled must get exactly one
// outcome, and no upstream may get more requests than it has slots.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		s := newTestScheduler(Options{})
		now := time.Duration(0)
		pending, canceled := map[uint64]bool{}, map[uint64]bool{}
		var running []*Grant
		collectOutcomes := func() {
			for _, o := range s.Dispatch(now) {
				must.True(t, pending[o.ID])
				delete(pending, o.ID)
				if o.Grant != nil {
					must.False(t, canceled[o.ID])
					running = append(running, o.Grant)
				}
			}
			must.LessEq(t, slots, len(running))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
			case kind < 2:
				pending[s.Submit(now, live("a", 50, now+time.Second))] = true
			case kind == 2:
				pending[s.Submit(now, batch())] = true
			case kind == 3 && s.nextID > 0:
				id := uint64(rapid.IntRange(1, int(s.nextID)).Draw(t, "id"))
				s.Cancel(id)
				canceled[id] = true
			case len(running) > 0:
				s.Finished(now, running[0], 5)
				running = running[1:]
			}
			collectOutcomes()
		}
		for range 200 {
			now += time.Second
			for _, g := range running {
				s.Finished(now, g, 5)
			}
			running = nil
			collectOutcomes()
		}
		for id := range pending {
			must.True(t, canceled[id])
		}
	})
}
