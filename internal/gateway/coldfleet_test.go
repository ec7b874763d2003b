package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// coldFleet sends callers' requests to plain upstreams and counts what arrives.
type coldFleet struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time // by upstream
	asked    int
	served   int
	slowest  time.Duration // from the arrival of a request until it was refused
}

func (c *coldFleet) request(n *testNode) {
	now := n.g.now()
	job := &assign.Job{Service: "app", Arrived: now, Objective: now + 300*time.Millisecond, FirstEventDeadline: now + time.Second, Deadline: now + time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	placed, ok := n.g.dispatcher.acquire(ctx, job, func() (fleet.Refusal, bool) { return fleet.Refusal{}, false })
	sent := ok && placed.Placement != nil && n.g.dispatcher.maySend(placed.Placement) && n.g.dispatcher.beginSend(placed.Placement)
	c.mu.Lock()
	c.asked++
	if sent {
		c.served++
		id := placed.Decision.Upstream.ID
		c.arrivals[id] = append(c.arrivals[id], time.Now())
	} else {
		c.slowest = max(c.slowest, n.g.now()-now)
	}
	c.mu.Unlock()
	if ok && placed.Placement != nil {
		time.Sleep(30 * time.Millisecond)
		n.g.dispatcher.done(placed.Placement, assign.ResultOK)
	}
}

// most returns the largest number of requests to one upstream in any second from a time on.
func (c *coldFleet) most(ids []string, from time.Time) (most int) {
	for _, id := range ids {
		for i, begin := range c.arrivals[id] {
			if begin.Before(from) {
				continue
			}
			n, _ := slices.BinarySearchFunc(c.arrivals[id][i:], begin.Add(time.Second), time.Time.Compare)
			most = max(most, n)
		}
	}
	return most
}

// A zone returns, or an upstream says to one instance that it has become cold: the fleet
// sends it more than it bears, or callers are refused although other zones have room.
func TestColdZoneOverAFleet(t *testing.T) {
	size := fleetSize(t)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		put := func(kind objectstore.Kind, name string, v any) {
			raw, err := json.Marshal(v)
			must.NoError(t, err)
			old, _ := f.store.Get(context.Background(), kind, name) // absent at first
			_, err = f.store.Put(context.Background(), objectstore.Object{Kind: kind, Name: name, Version: old.Version, Value: raw})
			must.NoError(t, err)
		}
		put(objectstore.KindConfig, "main", fleet.Config{Version: 1, Services: map[string]*fleet.Service{"app": {Name: "app", ColdTime: 10 * time.Second, ColdRatePerS: 7}}})
		entry := func(i int, born int64, cold time.Duration) {
			put(objectstore.KindUpstream, fmt.Sprint("u", i), fleet.Upstream{
				Service: "app", Address: "a", Zone: fmt.Sprint("z", i%3), Slots: 200, StartedAtMS: born, HasColdLeft: true, ColdLeft: cold,
			})
		}
		for i := range 9 {
			entry(i, 1, 0)
		}
		nodes := make([]*testNode, size)
		for i := range nodes {
			nodes[i] = f.start(fmt.Sprintf("z%d-%02d", i%3, i/3), fmt.Sprintf("z%d", i%3), 200, 0, []string{"z0-00:1", "z1-00:1", "z2-00:1"})
		}
		time.Sleep(6 * time.Second)
		c := &coldFleet{arrivals: map[string][]time.Time{}}
		var requests sync.WaitGroup
		rng := rand.New(rand.NewPCG(31, 1))
		load := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for range 8 { // 400 requests a second
					n := nodes[rng.IntN(size)]
					requests.Go(func() { c.request(n) })
				}
			}
			requests.Wait()
		}
		load(time.Second)
		must.MapLen(t, 9, c.arrivals) // none is cold
		for i := range 3 {
			entry(3*i, 2, 10*time.Second)
		}
		time.Sleep(5 * time.Millisecond)
		listed := time.Now()
		load(500 * time.Millisecond) // the former incarnations, which the list still has at some instances
		returned := time.Now()
		load(6 * time.Second)
		zone := c.most([]string{"u0", "u3", "u6"}, returned.Add(time.Second))
		now := nodes[0].g.now()
		nodes[0].g.applyNotice(now, &fleet.Upstream{ID: "u1", StartedAtMS: 1}, fleet.Notice{LimitUnknown: true, HasColdLeft: true, ColdLeft: 8 * time.Second})
		said := time.Now()
		load(5 * time.Second)
		one := c.most([]string{"u1"}, said.Add(2*time.Second))
		for _, n := range nodes {
			n.stop()
		}
		time.Sleep(2 * peerCallTimeout)
		t.Logf("%d instances: at most %d requests in a second to an upstream of the cold zone, %d to one that became cold, %d of %d served, refused after %v at most",
			size, zone, one, c.served, c.asked, c.slowest)
		must.True(t, returned.After(listed))
		must.LessEq(t, 15, zone)
		must.LessEq(t, 15, one)
		must.Positive(t, zone)
		must.Eq(t, c.asked, c.served)
	})
}
