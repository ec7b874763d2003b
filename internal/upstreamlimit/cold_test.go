package upstreamlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	coldTestTime = 12 * time.Second // for which upstreams stay cold
	// coldGossip is the time after which all connected instances know that a running
	// upstream became cold, if one does.
	coldGossip = 2500 * time.Millisecond
)

// coldSimulation is a fleet whose instances send as much as they may to upstreams that are
// cold. It uses the members, links and clock of simulation.
type coldSimulation struct {
	simulation
	rate      float64
	upstreams []*coldTestUpstream
	delay     time.Duration // longest time from a reservation until the request is sent
	pulse     bool          // requests come only in the last second of each three
	spend     func(i *simInstance, u Upstream) (send func() bool, ok bool)
	due       map[time.Duration][]func() // by step
	cut       bool
	unknown   *simInstance  // the others do not know it
	strangers int           // instances that some others do not know when they may send
	late      time.Duration // longest time until an instance has the entry of an upstream
}

// coldTestUpstream is the truth about one upstream.
type coldTestUpstream struct {
	key       Upstream
	revision  uint64
	coldUntil time.Duration
	binds     time.Duration // from when the bound has to hold
	arrivals  []time.Duration
}

func newColdSimulation(seed uint64, instances int, rate float64) *coldSimulation {
	s := &coldSimulation{simulation: simulation{rng: rand.New(rand.NewPCG(seed, 2)), now: testStart}, rate: rate, late: 2 * time.Second, due: map[time.Duration][]func(){}}
	s.spend = s.reserve
	for range instances {
		s.join()
	}
	s.now += settleTime
	s.updateMembers()
	return s
}

func (s *coldSimulation) join() { s.startCold(fmt.Sprintf("i%d", len(s.instances)), 0) }

// at does something at a step after d.
func (s *coldSimulation) at(d time.Duration, do func()) {
	n := (s.now+d)/step + 1
	s.due[n] = append(s.due[n], do)
}

// startCold starts an instance that reads the entries of all upstreams in its first second.
func (s *coldSimulation) startCold(name string, side int) {
	i := s.startAs(name)
	i.side = side
	i.l.SetExpectedMembers(3)
	for _, u := range s.upstreams {
		s.deliver(i, u, time.Duration(s.rng.Int64N(int64(time.Second))))
	}
}

func (s *coldSimulation) restart(n int) {
	old := s.instances[n]
	if !old.down {
		old.down = true
		s.startCold(old.name, old.side)
	}
}

// deliver lets an instance have the entry of an upstream after a time. The entry's age is not
// known to it.
func (s *coldSimulation) deliver(i *simInstance, u *coldTestUpstream, after time.Duration) {
	entry := ColdEntry{Revision: u.revision, Known: true, Left: max(u.coldUntil-s.now, 0)}
	key := u.key
	s.at(after, func() { i.l.SetCold(s.now, key, ColdRule{RatePerS: s.rate, StartTime: coldTestTime}, entry) })
}

// returnZone starts upstreams in new incarnations. Their entries arrive at different times.
func (s *coldSimulation) returnZone(n int) {
	for len(s.upstreams) < n {
		s.upstreams = append(s.upstreams, &coldTestUpstream{key: Upstream{ID: fmt.Sprint("u", len(s.upstreams))}})
	}
	for _, u := range s.upstreams[:n] {
		*u = coldTestUpstream{key: Upstream{u.key.ID, u.key.StartedAtMS + 1}, revision: u.revision + 1, coldUntil: s.now + coldTestTime, binds: s.now}
		s.list(u, s.late)
	}
}

// addWarm adds an upstream that all instances know and that is not cold.
func (s *coldSimulation) addWarm() {
	u := &coldTestUpstream{key: Upstream{ID: fmt.Sprint("u", len(s.upstreams))}, coldUntil: s.now}
	s.upstreams = append(s.upstreams, u)
	s.list(u, 0)
}

func (s *coldSimulation) list(u *coldTestUpstream, late time.Duration) {
	for _, i := range s.instances {
		if !i.down {
			s.deliver(i, u, time.Duration(s.rng.Int64N(int64(late)+1)))
		}
	}
}

// chill makes a running upstream cold. One instance learns it from an answer, and the
// entries follow late.
func (s *coldSimulation) chill(u *coldTestUpstream) {
	if s.now < u.coldUntil {
		return
	}
	u.revision++
	u.coldUntil, u.binds, u.arrivals = s.now+coldTestTime, s.now+coldGossip, nil
	for _, n := range s.rng.Perm(len(s.instances)) {
		if i := s.instances[n]; !i.down && s.now >= i.startedAt+settleTime {
			i.l.ObserveCold(s.now, s.now, u.key, coldTestTime)
			break
		}
	}
	s.at(coldGossip, func() { s.list(u, time.Second) })
}

// reserve is one request of an instance to an upstream: what is sent later, if anything.
func (s *coldSimulation) reserve(i *simInstance, u Upstream) (send func() bool, ok bool) {
	if i.l.ColdAvailableAt(s.now, u) > s.now {
		return nil, false
	}
	if !i.l.ReserveCold(s.now, u) {
		return func() bool { return true }, true
	}
	if s.rng.IntN(10) == 0 {
		return func() bool { i.l.ReleaseCold(u); return false }, true
	}
	return func() bool { return i.l.SendCold(s.now, u) }, true
}

// run advances the simulation.
func (s *coldSimulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		due := s.due[s.now/step]
		delete(s.due, s.now/step)
		for _, do := range due {
			do()
		}
		if s.now%gossipPeriod == 0 {
			s.updateMembers()
			for _, i := range s.instances {
				s.swap(i)
			}
		}
		if s.pulse && s.now%(3*time.Second) < 2*time.Second {
			continue
		}
		if len(s.upstreams) > 0 {
			u := s.upstreams[s.rng.IntN(len(s.upstreams))]
			for _, i := range s.instances {
				s.send(i, u)
			}
		}
	}
}

// updateMembers lets the instances of each side know each other.
func (s *coldSimulation) updateMembers() {
	names := map[int][]string{}
	for _, i := range s.instances {
		if !i.down && i != s.unknown && s.now-i.startedAt >= memberListAge {
			names[i.side] = append(names[i.side], i.name)
		}
	}
	for _, i := range s.instances {
		if !i.down {
			i.l.SetMembers(s.now, append(names[i.side], i.name))
		}
	}
}

// swap tells some peers what an instance knows, with a delay that they do not know.
func (s *coldSimulation) swap(i *simInstance) {
	for range gossipFanout {
		j := s.instances[s.rng.IntN(len(s.instances))]
		if i.down || j.down || j.side != i.side {
			continue
		}
		if told := i.l.ColdToTell(s.now); len(told) > 0 {
			s.at(time.Duration(1+s.rng.IntN(150))*time.Millisecond, func() { j.l.MergeCold(s.now, told) })
		}
	}
}

// send lets an instance send a request to an upstream that it knows, if it may.
func (s *coldSimulation) send(i *simInstance, u *coldTestUpstream) {
	if i.down || i.l.cold[u.key] == nil { // not listed
		return
	}
	send, ok := s.spend(i, u.key)
	if !ok {
		return
	}
	key := u.key
	s.at(time.Duration(s.rng.Int64N(int64(s.delay)+1)), func() {
		if send() && !i.down && u.key == key {
			u.arrivals = append(u.arrivals, s.now)
		}
	})
}

// worst returns by how much the requests of any second exceed the bound, at most.
func (s *coldSimulation) worst() (excess int) {
	allowed := int(s.rate*DefaultColdBounds.Overage + DefaultColdBounds.Slack)
	excess = -allowed
	for _, u := range s.upstreams {
		for first, at := range u.arrivals {
			n, _ := slices.BinarySearch(u.arrivals[first:], at+time.Second+1)
			if at >= u.binds && at+time.Second <= u.coldUntil {
				excess = max(excess, n-allowed)
			}
		}
	}
	return excess
}

func drawColdSimulation(t *rapid.T) *coldSimulation {
	size := rapid.SampledFrom([]int{6, 61, 295}).Draw(t, "instances")
	rate := rapid.SampledFrom([]float64{0.5, 1, 3, 7, 7, 20, 45}).Draw(t, "rate")
	s := newColdSimulation(rapid.Uint64().Draw(t, "seed"), size, rate)
	s.delay = time.Duration(rapid.SampledFrom([]int{0, 20, 300, 490}).Draw(t, "delay")) * time.Millisecond
	s.pulse = rapid.Bool().Draw(t, "pulse")
	return s
}

// fault draws one event. As one instance that the others do not know is allowed for, at most
// one is unknown or starts while the fleet is partitioned.
func (s *coldSimulation) fault(t *rapid.T) {
	switch rapid.SampledFrom([]string{"zone", "one", "chill", "join", "joins", "restart", "unknown", "end", "cut", "heal", "false"}).Draw(t, "fault") {
	case "zone":
		s.returnZone(4)
	case "one":
		s.returnZone(1)
	case "chill":
		if !s.cut {
			s.chill(s.upstreams[s.rng.IntN(len(s.upstreams))])
		}
	case "join":
		s.start(s.join)
	case "joins":
		for range rapid.IntRange(2, 12).Draw(t, "joins") {
			s.start(s.join)
		}
	case "restart":
		s.start(func() { s.restart(s.rng.IntN(len(s.instances))) })
	case "unknown":
		if s.strangers == 0 {
			s.strangers++
			s.join()
			s.unknown = s.instances[len(s.instances)-1]
		}
	case "end":
		s.instances[s.rng.IntN(len(s.instances))].down = true
	case "cut":
		if s.now-s.instances[len(s.instances)-1].startedAt < 2*memberListAge {
			return // it would be a stranger to the others
		}
		s.cut = true
		for _, i := range s.instances {
			i.side = s.rng.IntN(2)
		}
	case "heal":
		s.cut = false
		for _, i := range s.instances {
			i.side = 0
		}
	case "false":
		for _, u := range s.upstreams {
			s.instances[0].l.MergeCold(s.now, []ColdUpstream{{u.key, time.Duration(1 << 62)}, {u.key, -time.Hour}})
		}
	}
}

// start starts an instance, in a partition only if there is no stranger yet.
func (s *coldSimulation) start(start func()) {
	if s.cut {
		if s.strangers > 0 {
			return
		}
		s.strangers++
	}
	start()
}

// A cold upstream gets more than it bears in a second, while zones return, entries arrive
// late and with different ages, and instances start, end and are cut off from each other.
func TestColdUpstreamsGetNoMoreThanTheyBear(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		s := drawColdSimulation(t)
		s.returnZone(1)
		s.addWarm()
		s.run(100 * time.Millisecond)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			s.fault(t)
			s.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		if excess := s.worst(); excess > 0 {
			t.Fatalf("%d requests too many in a second", excess)
		}
	})
}

// A bound that each instance keeps for itself, or none, is exceeded: the simulation can tell.
func TestColdSimulationNoticesABoundForEachInstance(t *testing.T) {
	for _, size := range []int{6, 61, 295} {
		for _, none := range []bool{false, true} {
			s := newColdSimulation(1, size, 7)
			alone := map[*simInstance]*Limiter{}
			s.spend = func(i *simInstance, u Upstream) (func() bool, bool) {
				if alone[i] == nil {
					alone[i] = New(0, i.name, i.name)
				}
				alone[i].SetCold(s.now, u, ColdRule{RatePerS: 7, StartTime: coldTestTime}, ColdEntry{Revision: 1, Known: true, Left: coldTestTime})
				l := alone[i]
				if none || l.ColdAvailableAt(s.now, u) <= s.now && l.ReserveCold(s.now, u) {
					return func() bool { return none || l.SendCold(s.now, u) }, true
				}
				return nil, false
			}
			s.returnZone(1)
			s.run(8 * time.Second)
			must.Positive(t, s.worst())
		}
	}
}

// Cold upstreams stay idle although callers have requests for them.
func TestWhatAColdUpstreamBearsIsUsed(t *testing.T) {
	for _, size := range []int{6, 17, 61, 295} {
		for _, rate := range []float64{0.5, 1, 7, 20, 45} {
			s := newColdSimulation(3, size, rate)
			s.late, s.delay = 500*time.Millisecond, 20*time.Millisecond
			s.returnZone(1)
			s.run(coldTestTime)
			seconds := coldTestTime.Seconds() - 1
			must.Greater(t, int(0.65*rate*seconds), len(s.upstreams[0].arrivals), must.Sprintf("%d instances, %v a second", size, rate))
			s.upstreams[0].arrivals = nil
			s.run(coldTestTime) // the longest for which an entry that arrived late counts, and coldMargin
			s.run(2 * time.Second)
			must.Greater(t, int(100*rate), len(s.upstreams[0].arrivals), must.Sprintf("%d instances, %v a second", size, rate))
		}
	}
}

// A restarted instance, which reads entries of any age, makes upstreams cold for all others;
// or news that goes in circles keep them cold.
func TestColdTimeEnds(t *testing.T) {
	s := newColdSimulation(5, 61, 7)
	s.returnZone(8)
	s.run(coldTestTime + s.late + coldMargin + time.Second)
	for _, i := range s.instances {
		must.MapEmpty(t, i.l.Cold(s.now))
	}
	s.upstreams[0].coldUntil = s.now + coldTestTime // an entry that was never written again
	s.restart(3)
	s.run(6 * time.Second)
	for n, i := range s.instances[:61] {
		if n != 3 {
			must.MapEmpty(t, i.l.Cold(s.now))
		}
	}
	must.MapLen(t, 1, s.instances[61].l.Cold(s.now))
}

func TestColdIsTheUpstreamsWord(t *testing.T) {
	u, rule := Upstream{"u", 1}, ColdRule{RatePerS: 7, StartTime: 10 * time.Second}
	now := testStart
	l := New(0, "a", "a1")
	must.True(t, l.SetCold(now, u, rule, ColdEntry{Revision: 1})) // a new incarnation whose entry says nothing
	must.True(t, l.IsCold(now+10*time.Second, u))
	must.False(t, l.IsCold(now+11*time.Second, u))
	now += time.Second
	must.False(t, l.SetCold(now, u, rule, ColdEntry{Revision: 2, Known: true}))
	must.False(t, l.IsCold(now, u))
	must.False(t, l.ObserveCold(now, now-1, u, time.Second)) // sent before
	must.True(t, l.ObserveCold(now, now, u, 5*time.Second))
	must.Greater(t, now, l.ColdAvailableAt(now, u)) // what was sent before was not counted
	must.SliceLen(t, 1, l.ColdToTell(now))
	must.False(t, l.SetCold(now, u, rule, ColdEntry{Revision: 2, Known: true})) // read again
	must.True(t, l.IsCold(now, u))
	must.SliceEmpty(t, l.MergeCold(now, []ColdUpstream{{u, 8 * time.Second}, {Upstream{"u", 2}, time.Hour}})) // the longer one wins
	must.True(t, l.IsCold(now+8*time.Second, u))
	must.False(t, l.IsCold(now+9*time.Second, u))
	must.Eq(t, now, l.ColdAvailableAt(now, Upstream{"other", 1}))
}

// A sender takes more than its part, or the parts together with that of an instance that the
// others do not know are more than the bound.
func TestPartsStayWithinTheBound(t *testing.T) {
	for _, rate := range []float64{0.1, 0.5, 1, 3, 7, 7.5, 20, 45, 300} {
		for _, members := range []int{1, 2, 6, 7, 9, 14, 15, 61, 295} {
			for reserved := range 3 {
				bound := float64(int(1.5*rate) + 5 - reserved)
				senders, s := coldShares(rate, bound, members)
				most := int(s.ratePerS*coldWindow + s.burst)
				must.LessEq(t, int(bound), (senders+1)*most, must.Sprintf("%v a second, %d members", rate, members))
				must.LessEq(t, rate+1e-9, s.ratePerS*float64(senders))
			}
		}
	}
	senders, _ := coldShares(7, 0, 6)
	must.Eq(t, 0, senders)
}

// Requests that were placed apart and wait for their connections are sent together, beside
// those that are placed later.
func TestColdCountsTheMomentOfSending(t *testing.T) {
	u, names := Upstream{"u", 1}, []string{"a", "b", "c", "d", "e", "f"}
	l := New(0, "a", "a1")
	l.SetMembers(testStart, names)
	l.SetCold(testStart, u, ColdRule{RatePerS: 7, StartTime: time.Minute}, ColdEntry{Revision: 1})
	begin := testStart + 5*time.Second
	held, sent := 0, 0
	for now := begin; now < begin+490*time.Millisecond+time.Second; now += step {
		if l.ColdAvailableAt(now, u) <= now {
			must.True(t, l.ReserveCold(now, u))
			held++
		}
		for ; now >= begin+490*time.Millisecond && held > 0; held-- {
			if l.SendCold(now, u) {
				sent++
			}
		}
	}
	must.Between(t, 1, sent, 2)
}

// An instance that is partitioned from all others when it starts takes the whole of what a
// cold upstream bears.
func TestInstanceThatKnowsOnlyItselfSendsNothing(t *testing.T) {
	u := Upstream{"u", 1}
	l := New(0, "a", "a1")
	l.SetExpectedMembers(3)
	l.SetCold(testStart, u, ColdRule{RatePerS: 7, StartTime: time.Minute}, ColdEntry{Revision: 1})
	must.Eq(t, Never, l.ColdAvailableAt(testStart, u))
	l.SetMembers(testStart, []string{"b"})
	must.Eq(t, testStart, l.ColdAvailableAt(testStart, u))
}
