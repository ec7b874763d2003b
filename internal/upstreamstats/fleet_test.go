package upstreamstats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simFleet runs the estimates of a fleet in virtual time. Instances exchange as package mesh has
// it: all with all in a small fleet; in a large one members with the two leads of their zone, and
// leads with those of other zones. A message arrives a round later, and some are lost.
type simFleet struct {
	rng       *rand.Rand
	n         int
	zones     int
	stats     []*Stats
	series    [][]*Series // by instance and upstream
	starts    []int       // of each instance
	cut       map[int]bool
	now       time.Duration
	upstreams int
	truth     func(u int, now time.Duration) float64 // mean slowness
	told      int                                    // estimates sent
	most      map[int]int                            // estimates received, by instance
	observed  float64
}

const (
	simTick        = 10 * time.Millisecond
	simObservedPer = 10.0 // observations a second of each upstream, by all instances
	simNoise       = 0.3  // standard deviation of the logarithm
	simLoss        = 0.02
)

func newSimFleet(n, upstreams int, truth func(u int, now time.Duration) float64) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(1, uint64(n))), n: n, zones: 6, cut: map[int]bool{}, upstreams: upstreams, truth: truth, most: map[int]int{}, now: time.Second}
	if n <= 16 {
		f.zones = 1
	}
	f.stats, f.series, f.starts = make([]*Stats, n), make([][]*Series, n), make([]int, n)
	for i := range n {
		f.restart(i)
	}
	return f
}

func simKey(u int) Key { return Key{Subject: fmt.Sprintf("e%d", u), StartedAtMS: 1, Kind: Slowness} }

func (f *simFleet) restart(i int) {
	s := New()
	if f.n > 16 {
		s.SetRole(RoleMember)
		if f.isLead(i) {
			s.SetRole(RoleLead)
		}
	}
	f.stats[i], f.series[i] = s, nil
	f.starts[i]++
	for u := range f.upstreams {
		f.series[i] = append(f.series[i], s.Series(simKey(u), "chat"))
	}
}

func (f *simFleet) zone(i int) int    { return i % f.zones }
func (f *simFleet) isLead(i int) bool { return i < 2*f.zones }

// scope returns what i tells k, false if they do not exchange.
func (f *simFleet) scope(i, k int) (Scope, bool) {
	same := f.zone(i) == f.zone(k)
	switch {
	case f.n <= 16:
		return ScopeOwn, true
	case same && f.isLead(k):
		return ScopeOwn, true
	case same:
		return ScopeFleet, f.isLead(i)
	default: // leads of the same rank
		return ScopeZone, f.isLead(i) && f.isLead(k) && i/f.zones == k/f.zones
	}
}

type simMessage struct {
	to   int
	from Sender
	sent time.Duration
	told []Estimate
}

func (f *simFleet) incarnation(i int) string { return fmt.Sprintf("%d/%d", i, f.starts[i]) }

func (f *simFleet) send() (out []simMessage) {
	for i := range f.n {
		for k := range f.n {
			scope, ok := f.scope(i, k)
			if i == k || !ok || f.cut[i] || f.cut[k] {
				continue
			}
			f.stats[i].Restarted(fmt.Sprint(k), f.incarnation(k))
			told := f.stats[i].Tell(f.now, fmt.Sprint(k), scope, scope == ScopeFleet && (k/f.zones)%2 != i/f.zones)
			f.told += len(told)
			f.most[k] += len(told)
			if f.rng.Float64() < simLoss {
				continue
			}
			from := Sender{Incarnation: f.incarnation(i), Zone: fmt.Sprint(f.zone(i)), SameZone: f.zone(i) == f.zone(k), Scope: scope}
			out = append(out, simMessage{k, from, f.now, told})
		}
	}
	return out
}

func (f *simFleet) run(length time.Duration) {
	period := 250 * time.Millisecond
	if f.n <= 16 {
		period = 150 * time.Millisecond
	}
	var messages []simMessage
	for end := f.now + length; f.now < end; f.now += simTick {
		for f.observed += simObservedPer * simTick.Seconds() * float64(f.upstreams); f.observed >= 1; f.observed-- {
			i, u := f.rng.IntN(f.n), f.rng.IntN(f.upstreams)
			value := f.truth(u, f.now) * math.Exp(simNoise*f.rng.NormFloat64()-simNoise*simNoise/2)
			if f.truth(u, f.now) == pausing {
				value /= pausing
				if f.rng.Float64() < 0.15 {
					value *= 2.5
				}
			}
			f.stats[i].Observe(f.now, f.series[i][u], value)
		}
		if f.now%period != 0 {
			continue
		}
		for _, m := range messages {
			f.stats[m.to].Merge(m.sent, m.from, m.told)
		}
		messages = f.send()
	}
}

// error returns the mean relative error of the estimates over the instances and upstreams.
func (f *simFleet) error() float64 {
	sum := 0.0
	for i := range f.n {
		for u := range f.upstreams {
			want := f.truth(u, f.now)
			sum += math.Abs(f.series[i][u].Factor()-want) / want
		}
	}
	return sum / float64(f.n*f.upstreams)
}

// range of the estimates of an upstream over the instances that are not cut off.
func (f *simFleet) between(u int) (low, high float64) {
	low = math.Inf(1)
	for i := range f.n {
		if v := f.series[i][u].Factor(); !f.cut[i] {
			low, high = min(low, v), max(high, v)
		}
	}
	return low, high
}

// mean is the mean estimate of an upstream over the instances.
func (f *simFleet) mean(u int) float64 {
	sum := 0.0
	for i := range f.n {
		sum += f.series[i][u].Factor()
	}
	return sum / float64(f.n)
}

var simSizes = []struct{ instances, upstreams int }{{6, 9}, {61, 30}, {295, 90}}

// pausing is the mean slowness of upstreams that pause by 2.5 times on 15 in 100 requests.
const pausing = 1 + 0.15*1.5

// steady has upstreams of slowness 0.7, 1 and 1.7, and one in five with pauses.
func steady(u int, _ time.Duration) float64 { return [...]float64{0.7, 1, 1.7, 1, pausing}[u%5] }

// What an instance knows after a number of observations must not depend on how many instances
// made them: with an estimate for each instance, 295 instances know next to nothing.
func TestErrorDoesNotDependOnTheNumberOfInstances(t *testing.T) {
	var errors []float64
	for _, size := range simSizes {
		f := newSimFleet(size.instances, size.upstreams, steady)
		f.run(10 * time.Second)
		early := f.error()
		f.run(10 * time.Second)
		errors = append(errors, f.error())
		most := 0
		for _, n := range f.most {
			most = max(most, n)
		}
		must.Less(t, 150, float64(f.told)/20/float64(f.n)) // of 52 bytes each in a state
		must.Less(t, 450, float64(most)/20)
		t.Logf("%d instances: error %.3f after 10 s, %.3f after 20 s; estimates received a second: mean %.1f, most %.1f", size.instances, early, f.error(), float64(f.told)/20/float64(f.n), float64(most)/20)
	}
	for _, e := range errors {
		must.Less(t, 0.08, e)
		must.Less(t, 1.25*errors[0]+0.02, e)
	}
}

// An upstream that becomes slow and one that recovers must be known within about a second of
// traffic and the time that states take, and soon after at every instance.
func TestChangesAreDetectedWithinASecondOfTraffic(t *testing.T) {
	const changeAt = 11 * time.Second
	for _, size := range simSizes {
		f := newSimFleet(size.instances, size.upstreams, func(u int, now time.Duration) float64 {
			switch {
			case u == 0 && now >= changeAt, u == 1 && now < changeAt:
				return 1.7
			}
			return 1
		})
		f.run(changeAt - f.now)
		_, healthy := f.between(0)
		slow, _ := f.between(1)
		must.Less(t, 1.3, healthy)
		must.Greater(t, 1.4, slow)
		lag := 500 * time.Millisecond
		if size.instances > 16 {
			lag = 1500 * time.Millisecond
		}
		f.run(time.Second + lag)
		slow, recovered := f.mean(0), f.mean(1)
		t.Logf("%d instances: slow %.2f, recovered %.2f", size.instances, slow, recovered)
		must.Greater(t, 1.25, slow)
		must.Less(t, 1.5, recovered)
		f.run(3 * time.Second)
		slow, _ = f.between(0)
		_, recovered = f.between(1)
		must.Greater(t, 1.35, slow)
		must.Less(t, 1.35, recovered)
	}
}

// A restarted instance must not learn everything anew, an instance that is cut off goes on by
// itself and has the fleet's estimates soon after it is back, and a restart of all leaves no
// state that hinders learning.
func TestRestartsAndPartitions(t *testing.T) {
	for _, size := range simSizes {
		f := newSimFleet(size.instances, size.upstreams, steady)
		f.run(10 * time.Second)
		last := f.n - 1
		f.restart(last)
		f.cut[last-1] = true
		f.run(1600 * time.Millisecond)
		slow := f.series[last][2].Factor()
		must.Greater(t, 1.3, slow, must.Sprintf("%d instances: restarted", f.n))
		f.run(20 * time.Second)
		delete(f.cut, last-1)
		f.run(2 * time.Second)
		must.Between(t, 1.35, f.series[last-1][2].Factor(), 2.1, must.Sprintf("%d instances: cut off", f.n))
		for i := range f.n {
			f.restart(i)
		}
		f.run(5 * time.Second)
		must.Less(t, 0.15, f.error(), must.Sprintf("%d instances: all restarted", f.n))
	}
}

// An upstream that was slow and gets no requests for it is tried again, but only after traffic
// at the others of its service: a fleet without traffic forgets nothing.
func TestEstimatesAgeByEvidence(t *testing.T) {
	s := New()
	slow, other := s.Series(simKey(0), "chat"), s.Series(simKey(1), "chat")
	for range 40 {
		s.Observe(time.Second, slow, 3)
	}
	must.Greater(t, 2.8, slow.Factor())
	for i := range 400 {
		s.Observe(time.Hour+time.Duration(i), other, 1)
		if i == 20 {
			must.Greater(t, 2.8, slow.Factor())
		}
	}
	must.Less(t, 1.1, slow.Factor())
}

// A peer that lies about the age of its figures, sends values out of bounds, goes back in its
// sequence or claims a huge one must not change estimates, beyond one window of observations.
func TestMalformedEstimatesCostNothing(t *testing.T) {
	s := New()
	c := s.Series(simKey(0), "chat")
	for range 40 {
		s.Observe(time.Second, c, 1)
	}
	from := Sender{Incarnation: "liar", SameZone: true, Scope: ScopeOwn}
	bad := []Estimate{
		{Key: simKey(0), Weight: math.NaN(), Mean: 1, Sequence: 1}, {Key: simKey(0), Weight: 1, Mean: math.NaN(), Sequence: 2},
		{Key: simKey(0), Weight: 1e9, Mean: 5, Sequence: 3}, {Key: simKey(0), Weight: 5, Mean: 1e9, Sequence: 4},
		{Key: simKey(0), Weight: -1, Mean: 5, Sequence: 5}, {Key: simKey(0), Weight: 5, Mean: -1, Sequence: 6},
		{Key: Key{Subject: "e0", StartedAtMS: 1, Kind: kinds}, Weight: 5, Mean: 5, Sequence: 7}, {Key: simKey(0), Weight: 5, Mean: 5},
		{Key: simKey(0), Weight: math.Inf(1), Mean: 5, Sequence: 8}, {Key: simKey(0), Weight: 5, Mean: math.Inf(1), Sequence: 9},
	}
	must.Eq(t, len(bad), s.Merge(time.Second, from, bad))
	must.Eq(t, 0, s.Merge(time.Second, from, []Estimate{{Key: Key{Subject: "unknown"}, Weight: 5, Mean: 5, Sequence: 1}}))
	must.Between(t, 0.99, c.Factor(), 1.01)
	// A first report of old or of allegedly new figures replaces nothing that is known.
	for i, age := range []time.Duration{0, time.Hour, -time.Hour, math.MaxInt64} {
		from.Incarnation = fmt.Sprint("liar", i)
		s.Merge(time.Second, from, []Estimate{{Key: simKey(0), Weight: 12, Mean: 12, Sequence: math.MaxUint64 - 1, Age: age}})
		must.Between(t, 0.99, c.Factor(), 1.01)
		s.Merge(time.Second, from, []Estimate{{Key: simKey(0), Weight: 12, Mean: 12, Sequence: 3}}) // back in its sequence
		must.Between(t, 0.99, c.Factor(), 1.01)
	}
	s.Merge(time.Second, from, []Estimate{{Key: simKey(0), Weight: 12, Mean: 12, Sequence: math.MaxUint64}})
	for range 40 {
		s.Observe(2*time.Second, c, 1)
	}
	must.Between(t, 0.9, c.Factor(), 1.1)
}
