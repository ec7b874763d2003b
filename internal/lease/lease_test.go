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

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
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
	store         *platform.Memory
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

func (w *simulation) startCandidate(t *rapid.T, i int) {
	w.starts++
	c := &candidate{
		offset:  time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "offset")),
		ratePPM: rapid.SampledFrom([]int64{-clockDriftPPM, 0, clockDriftPPM}).Draw(t, "rate"),
	}
	c.lease = New(Options{
		Holder: fmt.Sprint("i", i), Writer: fmt.Sprint("w", w.starts), Duration: 3 * time.Second,
		PollInterval: 500 * time.Millisecond, RequestTimeout: 300 * time.Millisecond,
	}, rand.New(rand.NewSource(1)))
	w.candidates[i] = c
}

// apply executes one request and puts the reply into the candidate's inbox.
func (w *simulation) apply(c *candidate, a Action) {
	ctx := context.Background()
	switch a := a.(type) {
	case Get:
		obj, err := w.store.Get(ctx, platform.KindLease, "duty")
		if errors.Is(err, platform.ErrUnavailable) {
			c.inbox = append(c.inbox, Unavailable{})
			return
		}
		c.inbox = append(c.inbox, Read{Object: obj})
	case Put:
		obj, err := w.store.Put(ctx, platform.Object{
			Kind: platform.KindLease, Name: "duty", Version: a.ExpectedVersion, Value: a.Value})
		switch {
		case err == nil:
			c.inbox = append(c.inbox, WriteOK{Attempt: a.Attempt, Object: obj})
		case errors.Is(err, platform.ErrConflict):
			c.inbox = append(c.inbox, WriteConflict{Attempt: a.Attempt})
		case errors.Is(err, platform.ErrOutcomeUnknown):
			c.inbox = append(c.inbox, WriteUnknown{Attempt: a.Attempt})
		default:
			c.inbox = append(c.inbox, Unavailable{})
		}
	}
}

func (w *simulation) step(c *candidate, m Message) {
	c.outbox = append(c.outbox, c.lease.Step(c.now(w.trueTime), m)...)
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
func (w *simulation) check(t fataler) {
	var holder *Lease
	for _, c := range w.candidates {
		fence, ok := c.lease.Held(c.now(w.trueTime))
		if !ok {
			continue
		}
		if holder != nil {
			t.Fatalf("two holders at %v: %s and %s", w.trueTime, holder.opts.Writer, c.lease.opts.Writer)
		}
		holder = c.lease
		if holder != w.lastHolder && fence <= w.lastFence {
			t.Fatalf("fencing token %d of %s is not above the earlier %d", fence, holder.opts.Writer, w.lastFence)
		}
		if holder != w.lastHolder {
			w.holderChanges++
		}
		w.lastHolder, w.lastFence = holder, max(fence, w.lastFence)
	}
}

// runDelivering advances the time by span and delivers every message of the
// candidates that are not paused.
func (w *simulation) runDelivering(t fataler, span time.Duration) {
	for end := w.trueTime + span; w.trueTime < end; w.trueTime += 50 * time.Millisecond {
		for _, c := range w.candidates {
			if c.paused {
				continue
			}
			w.step(c, Tick{})
			for len(c.outbox)+len(c.inbox) > 0 {
				for _, a := range c.outbox {
					w.apply(c, a)
				}
				msgs := c.inbox
				c.inbox, c.outbox = nil, nil
				for _, m := range msgs {
					w.step(c, m)
				}
			}
			w.check(t)
		}
	}
}

func TestAtMostOneHolder(t *testing.T) {
	holderChanges := 0
	rapidtest.Check(t, func(t *rapid.T) {
		w := &simulation{store: platform.NewMemory(0), candidates: make([]*candidate, 3)}
		for i := range w.candidates {
			w.startCandidate(t, i)
		}
		pickCandidate := func() *candidate {
			return w.candidates[rapid.IntRange(0, len(w.candidates)-1).Draw(t, "contender")]
		}
		deliver := func(t *rapid.T) {
			if c := pickCandidate(); !c.paused {
				if m, ok := takeRandom(t, &c.inbox); ok {
					w.step(c, m)
				}
			}
		}
		send := func(t *rapid.T) {
			c := pickCandidate()
			if a, ok := takeRandom(t, &c.outbox); ok {
				w.apply(c, a)
			}
		}
		tick := func(t *rapid.T) {
			w.trueTime += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			for _, c := range w.candidates {
				if !c.paused {
					w.step(c, Tick{})
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
					w.startCandidate(t, rapid.IntRange(0, 2).Draw(t, "i"))
				}
			case 16:
				pickCandidate().inbox = nil // replies lost
			case 17:
				w.runDelivering(t, time.Duration(rapid.IntRange(0, 40).Draw(t, "quiet"))*100*time.Millisecond)
			case 18:
				if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
					w.step(pickCandidate(), Release{})
				}
			case 19:
				w.store.SetFaults(platform.Faults{
					Outage:      rapid.IntRange(0, 3).Draw(t, "outage") == 0,
					LoseReplies: rapid.IntRange(0, 2).Draw(t, "lose"),
				})
			}
			w.check(t)
		}
		w.store.SetFaults(platform.Faults{})
		w.startCandidate(t, 0) // a new candidate that has not released the lease
		w.runDelivering(t, 12*time.Second)
		if w.holderChanges == 0 {
			t.Fatal("no candidate held the lease within 12 s without faults")
		}
		holderChanges += w.holderChanges
	})
	t.Logf("%d changes of holder", holderChanges)
}

func TestWriteWithLostReplyIsConfirmed(t *testing.T) {
	store := platform.NewMemory(0)
	w := &simulation{store: store, candidates: []*candidate{{offset: 1}}}
	c := w.candidates[0]
	c.lease = New(Options{Holder: "i", Writer: "w"}, nil)
	store.SetFaults(platform.Faults{LoseReplies: 1})
	w.runDelivering(t, time.Second)
	fence, ok := c.lease.Held(c.now(w.trueTime))
	must.True(t, ok)
	must.Eq(t, 1, fence)
	must.Eq(t, StateHeld, c.lease.State())
	w.runDelivering(t, 20*time.Second)
	must.Eq(t, StateHeld, c.lease.State())

	w.step(c, Release{})
	_, ok = c.lease.Held(c.now(w.trueTime))
	must.False(t, ok)
	w.runDelivering(t, time.Second)
	must.Eq(t, StateReleased, c.lease.State())
	obj, err := store.Get(context.Background(), platform.KindLease, "duty")
	must.NoError(t, err)
	v, err := Decode(obj)
	must.NoError(t, err)
	must.True(t, v.Released)
}

func TestChartIsReachable(t *testing.T) {
	must.MapLen(t, len(leaseChart.States), leaseChart.Reachable())
}
