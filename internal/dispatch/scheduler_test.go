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

// scheduler has one upstream with a few slots that holds model m.
func scheduler(opts Options) *Scheduler {
	s := NewScheduler(opts)
	s.Table().SetUpstream(route.Upstream{Name: "u", PrefillRate: prefillRate, MaxRunning: slots})
	s.Table().SetResident("u", []route.Resident{{Model: "m", Ready: true}})
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

// granted submits requests and counts those that are sent.
func granted(s *Scheduler, requests ...Request) int {
	n := 0
	for _, r := range requests {
		s.Submit(0, r)
		for _, o := range s.Pump(0) {
			if o.Grant != nil {
				n++
			}
		}
	}
	return n
}

// TestBatchLeavesRoom: batch requests fill half of an upstream, live ones all.
func TestBatchLeavesRoom(t *testing.T) {
	s := scheduler(Options{})
	must.Eq(t, slots/2, granted(s, batch(), batch(), batch()))
	must.Eq(t, slots/2, granted(s, live("a", 10, 0), live("a", 10, 0), live("a", 10, 0)))
	without := scheduler(Options{BatchRoom: Off})
	must.Eq(t, 3, granted(without, batch(), batch(), batch()))
}

// TestBatchWaitsForAHome: live requests of a model without a home are refused
// at once, batch requests wait for it.
func TestBatchWaitsForAHome(t *testing.T) {
	s := scheduler(Options{})
	s.Table().SetResident("u", nil)
	must.Eq(t, 0, granted(s, batch()))
	s.Submit(0, live("a", 10, 0))
	s.Table().SetResident("u", []route.Resident{{Model: "m", Ready: true}})
	must.Len(t, 2, s.Pump(0))
}

// TestMarginOfRefusal: an expectation may exceed the time left by the margin.
func TestMarginOfRefusal(t *testing.T) {
	const deadline = time.Second
	within := prefillRate * (100 + DefaultRefusalMargin) / 100
	r := live("a", within-1, deadline)
	s := scheduler(Options{})
	c, err := s.Table().Pick(0, r.Route, s.rng)
	must.NoError(t, err)
	must.Greater(t, deadline, c.Expected)
	r.Route.PromptTokens = within + 1
	_, err = s.Table().Pick(0, r.Route, s.rng)
	var overloaded *route.OverloadedError
	must.True(t, errors.As(err, &overloaded))
}

// TestPatience: a request is refused once its first token is expected later
// than the deadline by more than the patience, not before.
func TestPatience(t *testing.T) {
	const deadline = time.Second
	for _, c := range []struct{ patience, granted int }{{0, 1}, {Off, 0}} {
		s := scheduler(Options{Patience: c.patience})
		must.Eq(t, c.granted, granted(s, live("a", prefillRate*18/10, deadline)))
		must.Eq(t, 0, granted(s, live("a", prefillRate*100, deadline)))
	}
}

// TestOverShareGivesWay: while the upstream is busy, the organisation that got
// most is refused and the others are not.
func TestOverShareGivesWay(t *testing.T) {
	for _, opts := range []Options{{}, {OverPercent: Off}} {
		s := scheduler(opts)
		must.Eq(t, 1, granted(s, live("quiet", 1, 0)))
		must.Eq(t, 1, granted(s, live("third", 1, 0)))
		must.Eq(t, 1, granted(s, live("flood", 600, 0)))
		refused := 1 - granted(s, live("flood", 100, time.Second))
		must.Eq(t, opts.OverPercent != Off, refused == 1)
	}
}

// TestFirstTokensSetThePace: expectations follow the first tokens of live
// requests.
func TestFirstTokensSetThePace(t *testing.T) {
	s := scheduler(Options{})
	before := s.Table().PromptTime("m", 100)
	now := time.Duration(0)
	for range 200 {
		s.Submit(now, live("a", 100, 0))
		g := s.Pump(now)[0].Grant
		now += 200 * time.Millisecond // twice the described time
		s.FirstToken(now, g)
		s.Finished(now, g, 1)
		now += time.Second
	}
	must.Greater(t, before*3/2, s.Table().PromptTime("m", 100))
}

// TestEveryRequestEndsOnce: whatever the order of calls, each request that is
// not canceled gets one outcome, and no upstream more than it has room for.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		s := scheduler(Options{})
		now := time.Duration(0)
		waiting, canceled := map[uint64]bool{}, map[uint64]bool{}
		var running []*Grant
		take := func() {
			for _, o := range s.Pump(now) {
				must.True(t, waiting[o.ID])
				delete(waiting, o.ID)
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
				waiting[s.Submit(now, live("a", 50, now+time.Second))] = true
			case kind == 2:
				waiting[s.Submit(now, batch())] = true
			case kind == 3 && s.nextID > 0:
				id := uint64(rapid.IntRange(1, int(s.nextID)).Draw(t, "id"))
				s.Cancel(id)
				canceled[id] = true
			case len(running) > 0:
				s.Finished(now, running[0], 5)
				running = running[1:]
			}
			take()
		}
		for range 200 {
			now += time.Second
			for _, g := range running {
				s.Finished(now, g, 5)
			}
			running = nil
			take()
		}
		for id := range waiting {
			must.True(t, canceled[id])
		}
	})
}
