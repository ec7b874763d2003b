package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"github.com/shoenig/test/must"
)

// Crashes at different instances hold a key back at all of them within the contact time,
// also at one that restarts, that joins or that was cut off.
func TestQuarantineOverAFleet(t *testing.T) {
	const contactTime = 3 * time.Second
	size := fleetSize(t)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.putConfig(1, 1)
		seeds := []string{"z0-00:1", "z1-00:1", "z2-00:1"}
		start := func(i int) *testNode {
			n := f.start(fmt.Sprintf("z%d-%02d", i%5, i/5), fmt.Sprintf("z%d", i%5), 200, 10_000_000/8, seeds)
			n.g.crashes.Refuses = func(context.Context, quarantine.Upstream, string) bool { return true }
			return n
		}
		nodes := make([]*testNode, size)
		for i := range nodes {
			nodes[i] = start(i)
		}
		time.Sleep(6 * time.Second)
		rng := rand.New(rand.NewPCG(30, 1))
		cut := nodes[size-1]
		cut.side.Store(1)
		bad := []quarantine.Key{{Kind: quarantine.KindPart, Service: "app", ID: 7}}
		for i := range 3 {
			nodes[rng.IntN(size-1)].g.crashes.Broke(quarantine.Upstream{ID: fmt.Sprint("u", i), StartedAtMS: 1, Zone: fmt.Sprint("z", i)}, "a", bad)
			time.Sleep(300 * time.Millisecond)
		}
		for _, n := range nodes { // the service answers others
			n.g.crashes.Sound(n.g.now(), []quarantine.Key{{Kind: quarantine.KindPart, Service: "app", ID: 8}})
		}
		time.Sleep(contactTime)
		missing := func() (out []string) {
			for _, n := range nodes {
				if _, held := n.g.crashes.Held(bad); !held {
					out = append(out, n.g.self.Name)
				}
			}
			return out
		}
		must.Eq(t, []string{cut.g.self.Name}, missing())
		cut.side.Store(0)
		nodes[1].stop()
		nodes[1] = start(1)
		nodes = append(nodes, start(size))
		for _, n := range []*testNode{nodes[1], nodes[size]} {
			n.g.crashes.Sound(n.g.now(), []quarantine.Key{{Kind: quarantine.KindPart, Service: "app", ID: 8}})
		}
		time.Sleep(contactTime)
		must.SliceEmpty(t, missing())
		nodes[2].g.crashes.Sound(nodes[2].g.now(), bad)
		time.Sleep(contactTime)
		must.Len(t, len(nodes), missing(), must.Sprint("cleared everywhere"))
		for _, n := range nodes {
			n.stop()
		}
		time.Sleep(2 * peerCallTimeout)
	})
}

// A queued request leaves the queue when the verdict falls.
func TestQueuedRequestIsHeldBackAtOnce(t *testing.T) {
	d := newDispatcher(assign.Options{Name: "n", Zone: "z"}, func() time.Duration { return time.Minute })
	d.setUpstreams(func() *fleet.Config { return &fleet.Config{} }, func() []fleet.Upstream {
		return []fleet.Upstream{{ID: "u", Service: "app", Zone: "z", Slots: 1}}
	})
	job := func() *assign.Job {
		return &assign.Job{Service: "app", Objective: 2 * time.Minute, FirstEventDeadline: 3 * time.Minute, Deadline: 3 * time.Minute}
	}
	held := false
	isHeld := func() (fleet.Refusal, bool) { return fleet.Refusal{Reason: fleet.ReasonQuarantined}, held }
	for range 2 { // fill the upstream
		_, ok := d.acquire(t.Context(), job(), isHeld)
		must.True(t, ok)
	}
	result := make(chan assign.QueueResult)
	go func() {
		r, _ := d.acquire(t.Context(), job(), isHeld)
		result <- r
	}()
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		d.update(func(_ time.Duration, s *assign.Scheduler) { queued = s.QueueLength() })
	}
	held = true
	d.withdrawHeld()
	r := <-result
	must.Nil(t, r.Placement)
	must.Eq(t, fleet.ReasonQuarantined, r.Decision.Refusal.Reason)
}
