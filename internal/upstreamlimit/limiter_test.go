package upstreamlimit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// What the platform allows an upstream with a limit to receive: in any window, so many
// times what the limit allows plus a fixed number, from instances that passed on an
// answer with the limit noticeDelay before or earlier, from contactTime after the first.
const (
	windowLength  = 4 * time.Second
	windowFactor  = 1.5
	windowFixed   = 5
	noticeDelay   = 500 * time.Millisecond
	contactTime   = 3 * time.Second
	step          = 10 * time.Millisecond
	gossipPeriod  = 250 * time.Millisecond
	gossipFanout  = 3
	testStart     = time.Minute
	memberListAge = time.Second // until all instances know a new one
)

var testUpstream = Upstream{"u", 1}

// simInstance is one instance of a simulation.
type simInstance struct {
	name      string
	l         *Limiter
	side      int // instances on different sides of a partition exchange nothing
	down      bool
	toldAt    time.Duration // first answer with a limit, 0 for none
	startedAt time.Duration
}

// simulation runs the limiters of many instances that share one upstream.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	instances []*simInstance
	limited   bool
	rate      float64
	namedAt   time.Duration
	demand    float64 // requests per second of all instances, as the limit did not exist
	take      func(i *simInstance) bool
	later     []simEvent
	sent      []simSend
	rates     []simRate
	served    int
}

type simEvent struct {
	at time.Duration
	do func()
}

type simSend struct {
	at   time.Duration
	told bool
}

type simRate struct {
	at   time.Duration
	rate float64
}

func newSimulation(seed uint64, instances int, demand float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: testStart, demand: demand}
	s.take = func(i *simInstance) bool { return i.l.Take(s.now, testUpstream) }
	for range instances {
		s.join()
	}
	s.now += settleTime
	return s
}

// join starts an instance under a new name. The others know of it memberListAge later.
func (s *simulation) join() { s.startAs(fmt.Sprintf("i%d", len(s.instances))) }

func (s *simulation) startAs(name string) *simInstance {
	i := &simInstance{name: name, l: New(s.now, name, fmt.Sprint(name, s.now)), startedAt: s.now}
	s.instances = append(s.instances, i)
	return i
}

// restart ends an instance and starts it again under its name.
func (s *simulation) restart(n int) {
	old := s.instances[n]
	old.down = true
	i := s.startAs(old.name)
	i.side = old.side
}

func (s *simulation) setLimit(limited bool, rate float64) {
	s.limited, s.rate = limited, rate
	if limited {
		s.rates = append(s.rates, simRate{s.now, rate})
		if s.namedAt == 0 {
			s.namedAt = s.now
		}
	}
}

// run advances the simulation.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		slices.SortStableFunc(s.later, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
		for len(s.later) > 0 && s.later[0].at <= s.now {
			e := s.later[0]
			s.later = s.later[1:]
			e.do()
		}
		if s.now%gossipPeriod == 0 {
			s.updateMembers()
		}
		for _, i := range s.instances {
			if !i.down && (s.now+time.Duration(i.startedAt))%gossipPeriod == 0 {
				s.gossip(i)
			}
		}
		for n := s.demand * step.Seconds(); n > 0; n-- {
			if s.rng.Float64() < n {
				s.request(s.instances[s.rng.IntN(len(s.instances))])
			}
		}
	}
}

func (s *simulation) updateMembers() {
	var names []string
	for _, i := range s.instances {
		if !i.down && s.now-i.startedAt >= memberListAge {
			names = append(names, i.name)
		}
	}
	for _, i := range s.instances {
		i.l.SetMembers(s.now, append(names, i.name))
	}
}

// gossip exchanges the observations of an instance with some others of its side.
func (s *simulation) gossip(i *simInstance) {
	for range gossipFanout {
		j := s.instances[s.rng.IntN(len(s.instances))]
		if j.down || j.side != i.side {
			continue
		}
		s.send(i, j)
		s.send(j, i)
	}
}

// send delivers the observations of an instance to another one. The receiver does not
// know how long the message took.
func (s *simulation) send(from, to *simInstance) {
	told := from.l.Observations(s.now)
	sentAt := s.now
	s.at(time.Duration(1+s.rng.IntN(50))*time.Millisecond, func() {
		for n := range told {
			told[n].At += s.now - sentAt
		}
		if !to.down {
			to.l.Merge(s.now, told)
		}
	})
}

func (s *simulation) at(d time.Duration, do func()) {
	s.later = append(s.later, simEvent{s.now + d, do})
}

// request lets an instance send a request if it may.
func (s *simulation) request(i *simInstance) {
	if i.down || !s.take(i) {
		return
	}
	s.served++
	s.sent = append(s.sent, simSend{s.now, i.toldAt != 0 && s.now >= i.toldAt+noticeDelay})
	limited, rate, sentAt := s.limited, s.rate, s.now
	s.at(time.Duration(20+s.rng.IntN(400))*time.Millisecond, func() {
		if i.down {
			return
		}
		if limited && i.toldAt == 0 {
			i.toldAt = s.now
		}
		i.l.Observe(s.now, sentAt, testUpstream, limited, rate)
	})
}

// worst returns by how much the requests of a window exceed what is allowed, at most over
// all windows. The limit of a window is the largest that instances may know in it.
func (s *simulation) worst() (excess int, at time.Duration) {
	excess = -windowFixed
	var told []time.Duration
	for _, r := range s.sent {
		if r.told {
			told = append(told, r.at)
		}
	}
	for first, begin := range told {
		end := begin + windowLength
		if end < s.namedAt+contactTime {
			continue
		}
		n, _ := slices.BinarySearch(told[first:], end)
		allowed := int(windowFactor*windowLength.Seconds()*s.largestRate(begin, end) + windowFixed)
		if n-allowed > excess {
			excess, at = n-allowed, begin
		}
	}
	return excess, at
}

// largestRate returns the largest limit in force from lag before begin until end.
func (s *simulation) largestRate(begin, end time.Duration) float64 {
	const lag = 1500 * time.Millisecond // until all know a change
	largest := 0.0
	for n, r := range s.rates {
		if r.at <= end && (n+1 == len(s.rates) || s.rates[n+1].at >= begin-lag) {
			largest = max(largest, r.rate)
		}
	}
	return largest
}

// drawSimulation returns a simulation of a size that deployments have.
func drawSimulation(t *rapid.T) *simulation {
	n := rapid.SampledFrom([]int{6, 7, 9, 61, 80, 295}).Draw(t, "instances")
	return newSimulation(rapid.Uint64().Draw(t, "seed"), n, rapid.Float64Range(0.5, 200).Draw(t, "demand"))
}

func drawRate(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.7, 1, 1.4, 2, 3.5, 8, 20, 75, 150, 400}).Draw(t, "rate")
}

// An upstream that names a limit gets no more than it allows, while instances join,
// restart, end or are cut off from each other and the limit changes. Those cut off count
// too, since they may still reach the upstream.
func TestLimitIsKeptUnderFaults(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		s := drawSimulation(t)
		s.run(time.Second)
		s.setLimit(true, drawRate(t))
		s.run(time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			switch rapid.SampledFrom([]string{"join", "restart", "end", "cut", "heal", "rate", "none"}).Draw(t, "fault") {
			case "join":
				s.join()
			case "restart":
				s.restart(s.rng.IntN(len(s.instances)))
			case "end":
				s.instances[s.rng.IntN(len(s.instances))].down = true
			case "cut":
				sides := 2 + s.rng.IntN(2)
				for _, i := range s.instances {
					i.side = s.rng.IntN(sides)
				}
			case "heal":
				for _, i := range s.instances {
					i.side = 0
				}
			case "rate":
				s.setLimit(true, drawRate(t))
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		if excess, at := s.worst(); excess > 0 {
			t.Fatalf("%d requests too many in the window from %v on", excess, at-testStart)
		}
	})
}

// Each instance that keeps the limit by itself breaks the bound: the simulation can tell.
func TestSimulationNoticesALimitForEachInstance(t *testing.T) {
	s := newSimulation(1, 9, 50)
	for _, i := range s.instances {
		i.l.SetMembers(s.now, nil)
	}
	alone := map[*simInstance]*Limiter{}
	s.take = func(i *simInstance) bool {
		if alone[i] == nil {
			alone[i] = New(testStart, i.name, i.name)
		}
		alone[i].Observe(s.now, s.now, testUpstream, s.limited, s.rate)
		return alone[i].Take(s.now, testUpstream)
	}
	s.setLimit(true, 1)
	s.run(12 * time.Second)
	excess, _ := s.worst()
	must.Positive(t, excess)
}

// Most of what the limit allows is used where all instances have requests, and all that
// there are again soon after it ended.
func TestLimitIsUsedAndForgotten(t *testing.T) {
	for _, n := range []int{6, 9, 61, 295} {
		for _, rate := range []float64{0.5, 1, 5, 40} {
			s := newSimulation(7, n, 1000)
			s.setLimit(true, rate)
			s.run(5 * time.Second)
			s.served = 0
			s.run(20 * time.Second)
			must.Greater(t, int(0.5*rate*20), s.served, must.Sprintf("%d instances, %v a second", n, rate))
			s.setLimit(false, 0)
			s.run(6 * time.Second)
			s.served = 0
			s.run(time.Second)
			must.Greater(t, 950, s.served, must.Sprintf("%d instances, %v a second", n, rate))
		}
	}
}

// Others take turns if no sender has an answer, so that the end of the limit is noticed.
func TestOthersTakeTurnsForSilentSenders(t *testing.T) {
	s := newSimulation(3, 9, 20)
	s.run(time.Second)
	s.setLimit(true, 1)
	s.run(2 * time.Second)
	for _, i := range s.instances {
		if c := i.l.limits[testUpstream]; c != nil && i.l.share(c).ratePerS > 0 {
			i.down = true
		}
	}
	s.served = 0
	s.run(20 * time.Second)
	must.Between(t, 2, s.served, 12)
	excess, _ := s.worst()
	must.LessEq(t, 0, excess)
}

func TestNoLimitCostsNothing(t *testing.T) {
	l := New(testStart, "a", "a1")
	must.False(t, l.Observe(testStart, testStart, testUpstream, false, 0))
	must.True(t, l.Take(testStart, testUpstream))
	must.SliceEmpty(t, l.Observations(testStart))
}

// An answer without a limit does not end it if others still name it.
func TestLimitEndsOnlyIfAnswersAgree(t *testing.T) {
	l := New(0, "a", "a1")
	now := testStart
	limitedAt := func(d time.Duration) bool {
		_, limited := l.Rate(now+d, testUpstream)
		return limited
	}
	must.True(t, l.Observe(now, now, testUpstream, true, 1))
	l.Observe(now+100*time.Millisecond, now+100*time.Millisecond, testUpstream, false, 0)
	l.Observe(now+200*time.Millisecond, now+200*time.Millisecond, testUpstream, true, 1)
	must.True(t, limitedAt(time.Hour))
	l.Observe(now+2*time.Hour, now+2*time.Hour, testUpstream, false, 0)
	must.True(t, limitedAt(2*time.Hour+dropDelay-1))
	must.False(t, limitedAt(2*time.Hour+dropDelay))
	must.True(t, l.Observe(now+3*time.Hour, now+3*time.Hour, testUpstream, true, 1))
	must.True(t, limitedAt(3*time.Hour))
}

// An answer to a request that was sent before the limit was named does not end it, however
// late it comes.
func TestAnswerToAnEarlierRequestDoesNotEndALimit(t *testing.T) {
	l := New(0, "a", "a1")
	must.True(t, l.Observe(testStart, testStart, testUpstream, true, 1))
	l.Observe(testStart+2*time.Second, testStart-time.Second, testUpstream, false, 0)
	_, limited := l.Rate(testStart+time.Minute, testUpstream)
	must.True(t, limited)
	l.Observe(testStart+time.Minute, testStart+59*time.Second, testUpstream, false, 0)
	_, limited = l.Rate(testStart+time.Minute+dropDelay, testUpstream)
	must.False(t, limited)
}
