package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// candidate is one process, with a clock of arbitrary offset and its own rate.
type candidate struct {
	lease   *Lease
	offset  time.Duration
	ratePPM int64
	paused  bool
	inbox   []Message
	outbox  []Action
}

func (c *candidate) now(trueTime time.Duration) time.Duration {
	return c.offset + trueTime*time.Duration(ppm+c.ratePPM)/ppm
}

type simulation struct {
	store         *objectstore.Memory
	trueTime      time.Duration
	candidates    []*candidate
	starts        int
	lastFence     uint64
	lastHolder    *Lease
	holderChanges int
}

const (
	clockDriftPPM = 4_900 // parts per million, in either direction
	stepsPerRun   = 600
)

type fataler interface{ Fatalf(string, ...any) }

func (s *simulation) startCandidate(t *rapid.T, i int) {
	s.starts++
	c := &candidate{
		offset:  time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "offset")),
		ratePPM: rapid.SampledFrom([]int64{-clockDriftPPM, 0, clockDriftPPM}).Draw(t, "rate"),
	}
	c.lease = New(Options{
		Holder: fmt.Sprint("i", i), Writer: fmt.Sprint("w", s.starts), Duration: 3 * time.Second,
		PollInterval: 500 * time.Millisecond, RequestTimeout: 300 * time.Millisecond,
	}, rand.New(rand.NewSource(1)))
	s.candidates[i] = c
}

// apply executes one request and puts the reply into the candidate's inbox.
func (s *simulation) apply(c *candidate, a Action) {
	ctx := context.Background()
	switch a := a.(type) {
	case Get:
		obj, err := s.store.Get(ctx, objectstore.KindLease, "duty")
		if errors.Is(err, objectstore.ErrUnavailable) {
			c.inbox = append(c.inbox, Unavailable{})
			return
		}
		c.inbox = append(c.inbox, Read{Object: obj})
	case Put:
		obj, err := s.store.Put(ctx, objectstore.Object{
			Kind: objectstore.KindLease, Name: "duty", Version: a.ExpectedVersion, Value: a.Value})
		switch {
		case err == nil:
			c.inbox = append(c.inbox, WriteOK{Attempt: a.Attempt, Object: obj})
		case errors.Is(err, objectstore.ErrConflict):
			c.inbox = append(c.inbox, WriteConflict{Attempt: a.Attempt})
		case errors.Is(err, objectstore.ErrOutcomeUnknown):
			c.inbox = append(c.inbox, WriteUnknown{Attempt: a.Attempt})
		default:
			c.inbox = append(c.inbox, Unavailable{})
		}
	}
}

func (s *simulation) step(c *candidate, m Message) {
	c.outbox = append(c.outbox, c.lease.Step(c.now(s.trueTime), m)...)
}

// takeRandom removes and returns a random entry, not necessarily the oldest.
func takeRandom[T any](t *rapid.T, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "entry")
	got := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return got, true
}

// check is the test oracle: at any true time at most one candidate holds the
// lease, paused ones included, and a new holder's fencing token exceeds all
// earlier ones.
func (s *simulation) check(t fataler) {
	var holder *Lease
	for _, c := range s.candidates {
		fence, ok := c.lease.Held(c.now(s.trueTime))
		if !ok {
			continue
		}
		if holder != nil {
			t.Fatalf("two holders at %v: %s and %s", s.trueTime, holder.opts.Writer, c.lease.opts.Writer)
		}
		holder = c.lease
		if holder != s.lastHolder && fence <= s.lastFence {
			t.Fatalf("fencing token %d of %s is not above the earlier %d", fence, holder.opts.Writer, s.lastFence)
		}
		if holder != s.lastHolder {
			s.holderChanges++
		}
		s.lastHolder, s.lastFence = holder, max(fence, s.lastFence)
	}
}

// runDelivering advances the time by span and delivers every message of the
// candidates that are not paused.
func (s *simulation) runDelivering(t fataler, span time.Duration) {
	for end := s.trueTime + span; s.trueTime < end; s.trueTime += 50 * time.Millisecond {
		for _, c := range s.candidates {
			if c.paused {
				continue
			}
			s.step(c, Tick{})
			for len(c.outbox)+len(c.inbox) > 0 {
				for _, a := range c.outbox {
					s.apply(c, a)
				}
				msgs := c.inbox
				c.inbox, c.outbox = nil, nil
				for _, m := range msgs {
					s.step(c, m)
				}
			}
			s.check(t)
		}
	}
}

func TestAtMostOneHolder(t *testing.T) {
	holderChanges := 0
	rapidtest.Check(t, func(t *rapid.T) {
		s := &simulation{store: objectstore.NewMemory(0), candidates: make([]*candidate, 3)}
		for i := range s.candidates {
			s.startCandidate(t, i)
		}
		pickCandidate := func() *candidate {
			return s.candidates[rapid.IntRange(0, len(s.candidates)-1).Draw(t, "contender")]
		}
		deliver := func(t *rapid.T) {
			if c := pickCandidate(); !c.paused {
				if m, ok := takeRandom(t, &c.inbox); ok {
					s.step(c, m)
				}
			}
		}
		send := func(t *rapid.T) {
			c := pickCandidate()
			if a, ok := takeRandom(t, &c.outbox); ok {
				s.apply(c, a)
			}
		}
		tick := func(t *rapid.T) {
			s.trueTime += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			for _, c := range s.candidates {
				if !c.paused {
					s.step(c, Tick{})
				}
			}
		}
		for range stepsPerRun {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				send(t)
			case 5, 6, 7, 8, 9:
				deliver(t)
			case 10, 11, 12, 13:
				tick(t)
			case 14:
				c := pickCandidate()
				c.paused = !c.paused
			case 15:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					s.startCandidate(t, rapid.IntRange(0, 2).Draw(t, "i"))
				}
			case 16:
				pickCandidate().inbox = nil // replies lost
			case 17:
				s.runDelivering(t, time.Duration(rapid.IntRange(0, 40).Draw(t, "quiet"))*100*time.Millisecond)
			case 18:
				if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
					s.step(pickCandidate(), Release{})
				}
			case 19:
				s.store.SetFaults(objectstore.Faults{
					Outage:      rapid.IntRange(0, 3).Draw(t, "outage") == 0,
					LoseReplies: rapid.IntRange(0, 2).Draw(t, "lose"),
				})
			}
			s.check(t)
		}
		s.store.SetFaults(objectstore.Faults{})
		s.startCandidate(t, 0) // a new candidate that has not released the lease
		s.runDelivering(t, 12*time.Second)
		if s.holderChanges == 0 {
			t.Fatal("no candidate held the lease within 12 s without faults")
		}
		holderChanges += s.holderChanges
	})
	t.Logf("%d changes of holder", holderChanges)
}

func TestWriteWithLostReplyIsConfirmed(t *testing.T) {
	store := objectstore.NewMemory(0)
	s := &simulation{store: store, candidates: []*candidate{{offset: 1}}}
	c := s.candidates[0]
	c.lease = New(Options{Holder: "i", Writer: "w"}, nil)
	store.SetFaults(objectstore.Faults{LoseReplies: 1})
	s.runDelivering(t, time.Second)
	fence, ok := c.lease.Held(c.now(s.trueTime))
	must.True(t, ok)
	must.Eq(t, 1, fence)
	must.Eq(t, StateHeld, c.lease.State())
	s.runDelivering(t, 20*time.Second)
	must.Eq(t, StateHeld, c.lease.State())

	s.step(c, Release{})
	_, ok = c.lease.Held(c.now(s.trueTime))
	must.False(t, ok)
	s.runDelivering(t, time.Second)
	must.Eq(t, StateReleased, c.lease.State())
	obj, err := store.Get(context.Background(), objectstore.KindLease, "duty")
	must.NoError(t, err)
	v, err := Decode(obj)
	must.NoError(t, err)
	must.True(t, v.Released)
}

func TestChartIsReachable(t *testing.T) {
	must.MapLen(t, len(leaseChart.States), leaseChart.Reachable())
}
