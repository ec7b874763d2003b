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

// contender is one process: its clock starts anywhere and runs at its own rate.
type contender struct {
	lease   *Lease
	offset  time.Duration
	ratePPM int64
	paused  bool
	inbox   []Message
	outbox  []Action
}

func (c *contender) now(truth time.Duration) time.Duration {
	return c.offset + truth*time.Duration(ppm+c.ratePPM)/ppm
}

type world struct {
	store      *platform.Memory
	truth      time.Duration
	contenders []*contender
	boots      int
	lastFence  uint64
	lastHolder *Lease
	holders    int
}

const (
	driftEach   = 4_900 // parts per million, either way
	stepsPerRun = 600
)

type fataler interface{ Fatalf(string, ...any) }

func (w *world) boot(t *rapid.T, i int) {
	w.boots++
	c := &contender{
		offset:  time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "offset")),
		ratePPM: rapid.SampledFrom([]int64{-driftEach, 0, driftEach}).Draw(t, "rate"),
	}
	c.lease = New(Options{
		Holder: fmt.Sprint("i", i), Writer: fmt.Sprint("w", w.boots), Term: 3 * time.Second,
		PollEvery: 500 * time.Millisecond, RequestTimeout: 300 * time.Millisecond,
	}, rand.New(rand.NewSource(1)))
	w.contenders[i] = c
}

// apply carries out one request; the reply waits in the inbox.
func (w *world) apply(c *contender, a Action) {
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

func (w *world) step(c *contender, m Message) {
	c.outbox = append(c.outbox, c.lease.Step(c.now(w.truth), m)...)
}

// take removes one entry, not always the oldest.
func take[T any](t *rapid.T, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "entry")
	got := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return got, true
}

// check is the oracle: at one true time at most one contender holds, paused
// ones included, and the fences of a new holder exceed all former ones.
func (w *world) check(t fataler) {
	var holder *Lease
	for _, c := range w.contenders {
		fence, ok := c.lease.Held(c.now(w.truth))
		if !ok {
			continue
		}
		if holder != nil {
			t.Fatalf("two holders at %v: %s and %s", w.truth, holder.opts.Writer, c.lease.opts.Writer)
		}
		holder = c.lease
		if holder != w.lastHolder && fence <= w.lastFence {
			t.Fatalf("fence %d of %s after %d", fence, holder.opts.Writer, w.lastFence)
		}
		if holder != w.lastHolder {
			w.holders++
		}
		w.lastHolder, w.lastFence = holder, max(fence, w.lastFence)
	}
}

// quiet lets time pass with every message of live contenders delivered.
func (w *world) quiet(t fataler, span time.Duration) {
	for end := w.truth + span; w.truth < end; w.truth += 50 * time.Millisecond {
		for _, c := range w.contenders {
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
	holders := 0
	rapidtest.Check(t, func(t *rapid.T) {
		w := &world{store: platform.NewMemory(0), contenders: make([]*contender, 3)}
		for i := range w.contenders {
			w.boot(t, i)
		}
		some := func() *contender {
			return w.contenders[rapid.IntRange(0, len(w.contenders)-1).Draw(t, "contender")]
		}
		deliver := func(t *rapid.T) {
			if c := some(); !c.paused {
				if m, ok := take(t, &c.inbox); ok {
					w.step(c, m)
				}
			}
		}
		send := func(t *rapid.T) {
			c := some()
			if a, ok := take(t, &c.outbox); ok {
				w.apply(c, a)
			}
		}
		tick := func(t *rapid.T) {
			w.truth += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			for _, c := range w.contenders {
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
				c := some()
				c.paused = !c.paused
			case 15:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.boot(t, rapid.IntRange(0, 2).Draw(t, "i"))
				}
			case 16:
				some().inbox = nil // replies lost
			case 17:
				w.quiet(t, time.Duration(rapid.IntRange(0, 40).Draw(t, "quiet"))*100*time.Millisecond)
			case 18:
				if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
					w.step(some(), Release{})
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
		w.boot(t, 0) // a fresh contender that has not released
		w.quiet(t, 12*time.Second)
		if w.holders == 0 {
			t.Fatal("nobody held the lease though all was well for 12 s")
		}
		holders += w.holders
	})
	t.Logf("%d changes of holder", holders)
}

func TestLostReplyIsRecognised(t *testing.T) {
	store := platform.NewMemory(0)
	w := &world{store: store, contenders: []*contender{{offset: 1}}}
	c := w.contenders[0]
	c.lease = New(Options{Holder: "i", Writer: "w"}, nil)
	store.SetFaults(platform.Faults{LoseReplies: 1})
	w.quiet(t, time.Second)
	fence, ok := c.lease.Held(c.now(w.truth))
	must.True(t, ok)
	must.Eq(t, 1, fence)
	must.Eq(t, StateHeld, c.lease.State())
	w.quiet(t, 20*time.Second)
	must.Eq(t, StateHeld, c.lease.State())

	w.step(c, Release{})
	_, ok = c.lease.Held(c.now(w.truth))
	must.False(t, ok)
	w.quiet(t, time.Second)
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
