package permit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const begin = time.Minute

func newTestArbiter(upstreams, slots int) *Arbiter {
	a := New()
	var list []Upstream
	for i := range upstreams {
		list = append(list, Upstream{ID: fmt.Sprintf("u%d", i), StartedAtMS: 1, Slots: slots})
	}
	a.SetUpstreams(begin, "app", list)
	return a
}

func testRequest(id uint64, now time.Duration) Request {
	return Request{
		Key: Key{"i", "1", id}, Service: "app", Organisation: "a", Objective: now + 300*time.Millisecond,
		GiveUpAt: now + time.Second, ExpireAt: now + 2*time.Second,
	}
}

func always(string, string) bool { return true }

// fill takes all permits and returns their keys.
func fill(t *testing.T, a *Arbiter, now time.Duration) (keys []Key) {
	for id := uint64(1000); ; id++ {
		d, decided := a.Submit(now, testRequest(id, now))
		if !decided {
			a.Release(now, testRequest(id, now).Key, Ended{})
			return keys
		}
		must.True(t, d.Granted)
		keys = append(keys, d.Key)
	}
}

// Requests wait in the order of lateness, urgency, organisation and objective, whatever the
// order of their arrival: an upstream's own queue would serve them by arrival.
func TestOrderOfPermits(t *testing.T) {
	a := newTestArbiter(1, 1)
	q := a.queue("app")
	q.duration = 10 * time.Millisecond
	held := fill(t, a, begin)
	q.served = map[string]float64{"a": 5, "b": 1}
	add := func(id uint64, urgency int, org string, objective time.Duration) {
		r := testRequest(id, begin)
		r.Urgency, r.Organisation, r.Objective = urgency, org, begin+objective
		_, decided := a.Submit(begin, r)
		must.False(t, decided)
	}
	add(1, 0, "a", 5*time.Millisecond) // late
	add(2, 3, "a", 200*time.Millisecond)
	add(3, 1, "a", 300*time.Millisecond)
	add(4, 1, "a", 200*time.Millisecond)
	add(5, 1, "b", 300*time.Millisecond)
	var order []uint64
	for len(held) > 0 {
		key := held[0]
		held = held[1:]
		a.Release(begin, key, Ended{})
		for _, d := range a.Step(begin, "app") {
			must.True(t, d.Granted)
			order, held = append(order, d.Key.ID), append(held, d.Key)
		}
	}
	must.Eq(t, []uint64{5, 4, 3, 2, 1}, order)
}

// What cannot be served in time is refused at once with the time in which the queue drains,
// and not held until its deadline.
func TestRefusalAtOnce(t *testing.T) {
	a := newTestArbiter(1, 1)
	q := a.queue("app")
	q.duration, q.holding = 100*time.Millisecond, 100*time.Millisecond
	held := fill(t, a, begin)
	waits := 0
	for id := uint64(1); ; id++ {
		d, decided := a.Submit(begin, testRequest(id, begin))
		if !decided {
			waits++
			continue
		}
		must.False(t, d.Granted)
		must.Eq(t, time.Duration(waits+1)*100*time.Millisecond/time.Duration(len(held)), d.RetryAfter)
		break
	}
	must.Eq(t, 3, waits) // 2 permits a 100 ms, 200 ms until an answer would be late
}

// A call may come twice, after its release, or be answered too late for its caller: none of
// this may leave a permit in use.
func TestLostAndRepeatedCalls(t *testing.T) {
	a := newTestArbiter(1, 1)
	r := testRequest(1, begin)
	first, _ := a.Submit(begin, r)
	again, decided := a.Submit(begin, r)
	must.True(t, decided)
	must.Eq(t, first, again)
	a.Release(begin, r.Key, Ended{})
	a.Release(begin, r.Key, Ended{})
	late, decided := a.Submit(begin, r)
	must.True(t, decided && !late.Granted)
	must.Eq(t, Figures{}, a.Figures("app"))
}

// An upstream that rejects gets fewer requests for a short time, and all again after it.
// Failures that one instance alone sees change nothing.
func TestBoundsFollowReleases(t *testing.T) {
	a := newTestArbiter(2, 8)
	now := begin
	end := func(e Ended, instance string) {
		r := testRequest(a.sequence+5000, now)
		r.Instance, r.Exclude = instance, []string{"u0"}
		d, _ := a.Submit(now, r)
		must.True(t, d.Granted)
		a.Release(now, r.Key, e)
	}
	room := a.queue("app").rooms[1]
	must.Eq(t, 9, room.bound(now, 0))
	for range failureLimit {
		end(Ended{Failed: true, Served: time.Millisecond}, "i1")
	}
	must.Eq(t, 9, room.bound(now, 0))
	for i := range failureLimit - 1 {
		end(Ended{Failed: true, Served: time.Millisecond}, fmt.Sprint("k", i))
	}
	must.Eq(t, 0, room.bound(now, 0))
	r := testRequest(1, now)
	r.Exclude = []string{"u0"}
	d, decided := a.Submit(now, r)
	must.True(t, decided && !d.Granted) // not held: no upstream is expected to serve it
	now += ejectTime
	must.Eq(t, 1, room.bound(now, 0))
	end(Ended{Served: 60 * time.Millisecond}, "i1")
	must.Eq(t, 9, room.bound(now, 0))
	end(Ended{Rejected: true}, "i1")
	end(Ended{Rejected: true}, "i1")
	must.Eq(t, 6, room.bound(now, 0))
	must.Eq(t, 9, room.bound(now+2*time.Second, 0))
	for range 40 {
		end(Ended{Served: 200 * time.Millisecond}, "i1")
	}
	now += 2 * time.Second
	end(Ended{Served: 200 * time.Millisecond}, "i1")
	must.Eq(t, 4, room.bound(now, 60*time.Millisecond))
	must.Eq(t, 9, room.bound(now+time.Second, 60*time.Millisecond))
}

// A new arbiter counts what is at the upstreams, so that two arbiters in turn do not fill the
// slots twice, and forgets it when those requests have ended.
func TestTakeOverCountsLoads(t *testing.T) {
	a := newTestArbiter(2, 8)
	a.SetUpstreams(begin, "app", []Upstream{{ID: "u0", StartedAtMS: 1, Slots: 8, Requests: 8}, {ID: "u1", StartedAtMS: 1, Slots: 8, Requests: 8}})
	a.TakeOver(begin, "app", 60*time.Millisecond)
	must.Eq(t, 2, a.queue("app").freeTotal(begin))
	must.Eq(t, 10, a.queue("app").freeTotal(begin+60*time.Millisecond))
	must.Eq(t, 18, a.queue("app").freeTotal(begin+120*time.Millisecond))
}

// Requests that instances send without a permit, such as those of another build, take places
// while they are reported, and half of the slots at most: a wrong report must not stop a service.
func TestRequestsWithoutPermits(t *testing.T) {
	a, now := newTestArbiter(1, 8), begin
	report := func(requests int) int {
		for range 100 {
			now += 50 * time.Millisecond
			a.SetUpstreams(now, "app", []Upstream{{ID: "u0", StartedAtMS: 1, Slots: 8, Requests: requests}})
		}
		return a.queue("app").freeTotal(now)
	}
	must.Eq(t, 9, report(1))
	must.Eq(t, 7, report(4))
	must.Eq(t, 5, report(30))
	must.Eq(t, 9, report(0))
}

// The permits of an instance that is gone, and those that nobody released, end.
func TestExpiry(t *testing.T) {
	a := newTestArbiter(1, 8)
	d, _ := a.Submit(begin, testRequest(1, begin))
	must.True(t, d.Granted)
	r := testRequest(2, begin)
	r.Incarnation = "2"
	_, _ = a.Submit(begin, r)
	ended, _ := a.Expire(begin, func(_, incarnation string) bool { return incarnation == "2" })
	must.Eq(t, 1, ended)
	ended, _ = a.Expire(begin+time.Second, always)
	must.Eq(t, 0, ended)
	ended, _ = a.Expire(begin+2*time.Second, always)
	must.Eq(t, 1, ended)
	must.Eq(t, Figures{}, a.Figures("app"))
}

// Whatever is lost, repeated or reordered, the permits in use at an upstream never exceed its
// bound without faults, each waiting request is decided once, and no permit stays in use after
// all have ended.
func TestPermitsNeverExceedBounds(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		upstreams, slots := rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(1, 12).Draw(t, "slots")
		a, now, id := newTestArbiter(upstreams, slots), begin, uint64(0)
		held, waits := map[Key]string{}, map[Key]bool{}
		decide := func(d Decision, waited bool) {
			if waited != waits[d.Key] {
				t.Fatalf("%v decided twice, or unasked", d)
			}
			delete(waits, d.Key)
			if d.Granted {
				held[d.Key] = d.Upstream
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			keys := slices.SortedFunc(mapKeys(held), compareKeys)
			switch n := rapid.IntRange(0, 9).Draw(t, "step"); {
			case n < 5:
				id++
				r := testRequest(id, now)
				r.Urgency = rapid.IntRange(0, 3).Draw(t, "urgency")
				r.Organisation = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
				r.Instance = rapid.SampledFrom([]string{"i", "k"}).Draw(t, "instance")
				r.ExpireAt = now + time.Hour
				if d, decided := a.Submit(now, r); decided {
					decide(d, false)
				} else {
					waits[r.Key] = true
				}
			case n < 8 && len(keys) > 0:
				key := rapid.SampledFrom(keys).Draw(t, "key")
				a.Release(now, key, Ended{Rejected: n == 5, Served: time.Duration(rapid.IntRange(0, 90).Draw(t, "served")) * time.Millisecond})
				delete(held, key)
			case n == 8:
				list := make([]Upstream, 0, upstreams)
				for i := range upstreams {
					list = append(list, Upstream{ID: fmt.Sprintf("u%d", i), StartedAtMS: 1, Slots: slots, Full: rapid.Bool().Draw(t, "full")})
				}
				a.SetUpstreams(now, "app", list)
			}
			for _, d := range a.Step(now, "app") {
				decide(d, true)
			}
			at := map[string]int{}
			for _, u := range held {
				at[u]++
			}
			for u, n := range at {
				if most := slots + max(slots/transitDivisor, 1); n > most {
					t.Fatalf("%d permits at %s, %d are allowed", n, u, most)
				}
			}
			if f := a.Figures("app"); f.Held != len(held) || f.Waiting != len(waits) {
				t.Fatalf("%+v, but %d are held and %d wait", f, len(held), len(waits))
			}
		}
	})
}

func mapKeys(m map[Key]string) func(func(Key) bool) {
	return func(yield func(Key) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Members with the same list agree, small machines are rarely chosen, and a member that leaves
// moves only its own services.
func TestChoiceOfArbiters(t *testing.T) {
	var members []Member
	for i := range 88 {
		m := Member{Name: fmt.Sprintf("m%02d", i), Capacity: 2}
		if i%11 == 0 {
			m.Capacity = 160
		}
		members = append(members, m)
	}
	small, moved := 0, 0
	for s := range 2000 {
		service := fmt.Sprintf("service-%d", s)
		name := Choose(service, members)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		must.Eq(t, name, Choose(service, reversed))
		if i := slices.IndexFunc(members, func(m Member) bool { return m.Name == name }); members[i].Capacity == 2 {
			small++
		}
		if name != "m11" && Choose(service, slices.DeleteFunc(reversed, func(m Member) bool { return m.Name == "m11" })) != name {
			moved++
		}
	}
	must.Eq(t, 0, moved)
	must.LessEq(t, 20, small)
}

// BenchmarkArbiter measures a request, its permit and its release while 200 wait.
func BenchmarkArbiter(b *testing.B) {
	a, now := newTestArbiter(4, 6), begin
	var held []Key
	id := uint64(0)
	for b.Loop() {
		now += time.Microsecond
		id++
		r := testRequest(id, now)
		r.Organisation = fmt.Sprint("org", id%20)
		if d, decided := a.Submit(now, r); decided && d.Granted {
			held = append(held, d.Key)
		}
		if a.Figures("app").Waiting < 200 {
			continue
		}
		a.Release(now, held[0], Ended{})
		held = held[1:]
		for _, d := range a.Step(now, "app") {
			held = append(held, d.Key)
		}
	}
}
