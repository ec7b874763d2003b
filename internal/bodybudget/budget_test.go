package bodybudget

import (
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const limit = 32 << 20

func connect(t *testing.T, b *Budget, now time.Duration, s State) *Client {
	c := b.Attach(now)
	b.Enter(now, c, s)
	return c
}

// Bodies that stopped short of their end must give way to one that arrives in full.
func TestStalledBodiesAreClosedFirst(t *testing.T) {
	b := New(limit)
	var stalled []*Client
	for range 6 {
		c := connect(t, b, 0, StateBody)
		_, v := b.Reserve(0, c, 4<<20-1)
		must.Eq(t, Reserved, v)
		stalled = append(stalled, c)
	}
	now := time.Second
	c := connect(t, b, now, StateBody)
	for range 64 {
		evicted, v := b.Reserve(now, c, 64<<10)
		must.Eq(t, Reserved, v)
		for _, e := range evicted {
			must.True(t, slices.Contains(stalled, e))
		}
	}
	must.Eq(t, 4<<20, c.Held())
}

// A large body that would take the place of smaller and newer ones is rejected instead.
func TestLargestIsRejectedItself(t *testing.T) {
	b := New(limit)
	large := connect(t, b, 0, StateBody)
	_, v := b.Reserve(0, large, 20<<20)
	must.Eq(t, Reserved, v)
	for range 100 {
		_, v := b.Reserve(time.Second, connect(t, b, time.Second, StateBody), 32<<10)
		must.Eq(t, Reserved, v)
	}
	evicted, v := b.Reserve(time.Second, large, 6<<20)
	must.SliceEmpty(t, evicted)
	must.Eq(t, Refused, v)
}

// Requests that are being processed are never ended, and leave room for small ones.
func TestServedRequestsKeepTheirMemory(t *testing.T) {
	b := New(limit)
	n := 0
	for range 20 {
		c := connect(t, b, 0, StateBody)
		evicted, v := b.Reserve(0, c, 4<<20)
		must.SliceEmpty(t, evicted)
		if v == Reserved {
			n++
			b.Enter(0, c, StateServed)
		}
	}
	must.Eq(t, 6, n)
	for range 50 {
		_, v := b.Reserve(0, connect(t, b, 0, StateBody), 16<<10)
		must.Eq(t, Reserved, v)
	}
}

// When connections are short, clients that have never sent a whole request are closed before
// idle ones that have, and requests being processed never are.
func TestConnectionsOfSilentClientsAreClosedFirst(t *testing.T) {
	b, g := New(limit), NewGroup(3)
	enter := func(now time.Duration, s State) (c, evicted *Client) {
		c, evicted = b.Connect(now, g)
		b.Enter(now, c, s)
		return c, evicted
	}
	idle, _ := enter(0, StateServed)
	b.Enter(0, idle, StateIdle)
	served, _ := enter(0, StateServed)
	silent, _ := enter(5, StateHead)
	other := b.Attach(0) // of another listener
	_, evicted := enter(6, StateServed)
	must.True(t, evicted == silent)
	_, evicted = enter(7, StateServed)
	must.True(t, evicted == idle)
	c, evicted := b.Connect(8, g)
	must.Nil(t, c)
	must.Nil(t, evicted)
	must.False(t, served.gone || other.gone)
}

// Whatever clients do, the budget is never exceeded, its sum is right, and no client that is
// being served is closed.
func TestBudgetHolds(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		b, g := New(1<<20), NewGroup(20)
		var clients []*Client
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			var evicted []*Client
			pick := func() *Client { return clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")] }
			var served []*Client
			for c := range b.clients {
				if c.state == StateServed {
					served = append(served, c)
				}
			}
			op := rapid.IntRange(0, 4).Draw(t, "op")
			switch {
			case op == 0 || len(clients) == 0:
				c, e := b.Connect(now, g)
				if c != nil {
					clients = append(clients, c)
				}
				if e != nil {
					evicted = append(evicted, e)
				}
			case op == 1:
				evicted, _ = b.Reserve(now, pick(), rapid.Int64Range(1, 1<<18).Draw(t, "bytes"))
			case op == 2:
				b.Enter(now, pick(), State(rapid.IntRange(0, 4).Draw(t, "state")))
			case op == 3:
				c := pick()
				b.Release(c, c.held/2)
			case op == 4 && len(served) == 0:
				b.Disconnect(pick())
			}
			sum := int64(0)
			for c := range b.clients {
				sum += c.held
			}
			must.Eq(t, sum, b.used)
			must.LessEq(t, b.limit, b.used)
			must.LessEq(t, 20, len(b.clients))
			must.Eq(t, len(b.clients), g.Len())
			for _, e := range evicted {
				must.False(t, slices.Contains(served, e))
			}
		}
	})
}
