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
	outbox  []sentAction
}

// sentAction is a request and the latest era that its sender knew.
type sentAction struct {
	action Action
	era    uint64
}

func (c *candidate) now(trueTime time.Duration) time.Duration {
	return c.offset + trueTime*time.Duration(ppm+c.ratePPM)/ppm
}

type simulation struct {
	store         *objectstore.Memory
	trueTime      time.Duration
	candidates    []*candidate
	starts        int
	copies        []objectstore.Copy // from which the store may come back
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

// apply executes one request and puts the reply into the candidate's inbox. As on the
// platform, the store compares revisions alone, and a write that takes effect in a later era
// than that in which it was sent has an unknown outcome.
func (s *simulation) apply(c *candidate, sent sentAction) {
	ctx := context.Background()
	switch a := sent.action.(type) {
	case Get:
		obj, err := s.store.Get(ctx, objectstore.KindLease, "duty")
		if errors.Is(err, objectstore.ErrUnavailable) {
			c.inbox = append(c.inbox, Unavailable{})
			return
		}
		c.inbox = append(c.inbox, Read{Object: obj})
	case Put:
		obj, err := s.store.Put(ctx, objectstore.Object{
			Kind: objectstore.KindLease, Name: "duty", Version: s.expected(a), Value: a.Value})
		switch {
		case err == nil && objectstore.EraOf(obj.Version) != sent.era:
			c.inbox = append(c.inbox, WriteUnknown{Attempt: a.Attempt})
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

// expected returns the version in the present era with the revision that a write expects.
func (s *simulation) expected(p Put) uint64 {
	if p.ExpectedVersion == 0 {
		return 0
	}
	version, _ := objectstore.VersionOf(s.store.Era(), objectstore.RevisionOf(p.ExpectedVersion)) // both are in bounds
	return version
}

func (s *simulation) step(c *candidate, m Message) {
	for _, a := range c.lease.Step(c.now(s.trueTime), m) {
		c.outbox = append(c.outbox, sentAction{a, c.lease.Era()})
	}
}

// copyOrRestore takes a copy of the store, or lets the store come back from one.
func (s *simulation) copyOrRestore(t *rapid.T) {
	if len(s.copies) == 0 || rapid.Bool().Draw(t, "copy") {
		s.copies = append(s.copies, s.store.Copy())
		return
	}
	i := rapid.IntRange(0, len(s.copies)-1).Draw(t, "restored")
	s.store.Restore(s.copies[i])
	s.copies = s.copies[:i+1]
	if rapid.Bool().Draw(t, "told") {
		s.step(s.candidates[0], EraSeen{Era: s.store.Era()}) // by a peer
	}
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

func TestAtMostOneHolder(t *testing.T) { testAtMostOneHolder(t, false) }

// A store that comes back from older copies must not give the lease to two holders, nor a
// holder a fencing token that upstreams refuse (review/3).
func TestAtMostOneHolderOverEras(t *testing.T) { testAtMostOneHolder(t, true) }

func testAtMostOneHolder(t *testing.T, restores bool) {
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
			if restores && rapid.IntRange(0, 39).Draw(t, "restore") == 0 {
				s.copyOrRestore(t)
			}
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

// A holder stops at the first sight of an era, from whatever source, and its next token is above
// the one before, though revisions have gone back (review/3).
func TestLeaseEndsAtTheFirstSightOfAnEra(t *testing.T) {
	store := objectstore.NewMemory(0)
	s := &simulation{store: store, candidates: []*candidate{{offset: 1}}}
	c := s.candidates[0]
	c.lease = New(Options{Holder: "i", Writer: "w", Duration: 3 * time.Second}, nil)
	copied := store.Copy()
	s.runDelivering(t, 20*time.Second)
	before, ok := c.lease.Held(c.now(s.trueTime))
	must.True(t, ok)
	store.Restore(copied)
	s.step(c, EraSeen{Era: 1})
	_, ok = c.lease.Held(c.now(s.trueTime))
	must.False(t, ok)
	s.runDelivering(t, 3*time.Second)
	_, ok = c.lease.Held(c.now(s.trueTime))
	must.False(t, ok)
	s.runDelivering(t, 2*time.Second)
	after, ok := c.lease.Held(c.now(s.trueTime))
	must.True(t, ok)
	must.Greater(t, before, after)
	must.Less(t, 1<<53, after) // exact in a JSON number
}

func TestChartIsReachable(t *testing.T) {
	must.MapLen(t, len(leaseChart.States), leaseChart.Reachable())
}
