package limit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// clock has a random offset and its own rate error, within DefaultDriftPPM.
type clock struct {
	offset  time.Duration
	ratePPM int64
}

func (c clock) at(trueTime time.Duration) time.Duration {
	return c.offset + trueTime*time.Duration(PPM+c.ratePPM)/PPM
}

// fakeLease is a zone lease that is held until a given time.
type fakeLease struct {
	fence uint64
	until time.Duration
}

func (l *fakeLease) Held(now time.Duration) (uint64, bool) { return l.fence, now < l.until }

// process is one instance or one candidate for zone leader.
type process struct {
	clock
	zone          int
	instance      *InstanceLimiter
	leader        *ZoneLeader
	lease         *fakeLease
	limitsVersion uint64 // of the limits in force
	paused        bool   // takes no steps
	partitioned   bool   // receives no messages
	inbox         []Message
	activeCharges []*charge
}

type charge struct {
	at      time.Duration
	org     string
	tokens  int64
	cost    microtokens // charged less refunded
	used    int64
	receipt Receipt
}

// simulation is a fleet on one true clock. Messages are queued until a test event
// delivers them.
type simulation struct {
	t             *rapid.T
	opts          Options
	store         *objectstore.Memory
	trueTime      time.Duration
	procs         []*process // instances first, then two candidates per zone
	perZone       int
	zones         int
	incarnations  int
	fences        uint64
	limitVersions []map[string]Limit // version i is limitVersions[i-1]
	limitPeriods  []limitPeriod
	charges       []*charge
	stats         struct{ admitted, refused, loans, lent, writes int }
}

// limitPeriod is a period during which the set of limit versions in force in the
// fleet does not change.
type limitPeriod struct {
	from   time.Duration
	limits map[string]Limit // highest rate and burst in force
}

func newSimulation(t *rapid.T, opts Options, zones, perZone int, limits map[string]Limit) *simulation {
	sim := &simulation{t: t, opts: opts, store: objectstore.NewMemory(0), zones: zones, perZone: perZone}
	sim.limitVersions = append(sim.limitVersions, limits)
	for z := range zones {
		for range perZone {
			sim.procs = append(sim.procs, &process{zone: z})
		}
	}
	for z := range zones {
		for range 2 {
			sim.procs = append(sim.procs, &process{zone: z, lease: &fakeLease{}})
		}
	}
	for i := range sim.procs {
		sim.restart(i)
	}
	return sim
}

func (sim *simulation) instances() []*process { return sim.procs[:sim.zones*sim.perZone] }

func (sim *simulation) candidates(zone int) []*process {
	at := sim.zones*sim.perZone + 2*zone
	return sim.procs[at : at+2]
}

// restart replaces a process by a new incarnation without state.
func (sim *simulation) restart(i int) {
	sim.incarnations++
	old := sim.procs[i]
	p := &process{zone: old.zone, clock: clock{
		offset:  time.Duration(rapid.Int64Range(1, 1e12).Draw(sim.t, "offset")),
		ratePPM: rapid.SampledFrom([]int64{-DefaultDriftPPM, 0, DefaultDriftPPM}).Draw(sim.t, "drift"),
	}}
	sim.procs[i] = p
	sim.reportEnded(old)
	if old.lease == nil {
		p.instance = NewInstanceLimiter(sim.opts, fmt.Sprint("i", i), fmt.Sprint("run", sim.incarnations))
	} else {
		p.lease = &fakeLease{}
		p.leader = NewZoneLeader(sim.opts, fmt.Sprint("z", p.zone), p.lease)
	}
	sim.configure(p)
}

// reportEnded may report to the leader candidates of a zone that a process has
// ended.
func (sim *simulation) reportEnded(p *process) {
	if p.instance == nil || !rapid.Bool().Draw(sim.t, "gone") {
		return
	}
	for _, c := range sim.candidates(p.zone) {
		c.inbox = append(c.inbox, ProcessEnded{Incarnation: p.instance.incarnation})
	}
}

// configure applies the latest limits in one process.
func (sim *simulation) configure(p *process) {
	p.limitsVersion = uint64(len(sim.limitVersions))
	sim.step(p, Limits{Version: p.limitsVersion, Orgs: sim.limitVersions[p.limitsVersion-1]})
	sim.startLimitPeriod()
}

func (sim *simulation) startLimitPeriod() {
	period := limitPeriod{from: sim.trueTime, limits: map[string]Limit{}}
	for _, p := range sim.procs {
		if p.limitsVersion == 0 {
			continue
		}
		for org, l := range sim.limitVersions[p.limitsVersion-1] {
			have := period.limits[org]
			period.limits[org] = Limit{Rate: max(have.Rate, l.Rate), Burst: max(have.Burst, l.Burst)}
		}
	}
	sim.limitPeriods = append(sim.limitPeriods, period)
}

// setLeader gives a zone's lease to one candidate, or to none, and ends that of the
// former leader.
func (sim *simulation) setLeader(zone, chosen int) {
	for i, c := range sim.candidates(zone) {
		c.lease.until = 0
		if i == chosen {
			sim.fences++
			c.lease.fence, c.lease.until = sim.fences, 1<<62
		}
	}
}

func (sim *simulation) step(p *process, m Message) {
	var actions []Action
	if p.instance != nil {
		actions = p.instance.Step(p.at(sim.trueTime), m)
	} else {
		actions = p.leader.Step(p.at(sim.trueTime), m)
	}
	for _, a := range actions {
		sim.execute(p, a)
	}
}

// execute queues messages and store calls in an inbox, from where they are
// delivered, lost, reordered or repeated.
func (sim *simulation) execute(p *process, a Action) {
	switch a := a.(type) {
	case SendShareRequest:
		for _, c := range sim.candidates(p.zone) {
			c.inbox = append(c.inbox, a.Request)
		}
	case SendLendReply:
		sim.stats.lent++
		for _, q := range sim.instances() {
			if q.instance.incarnation == a.Reply.Borrower {
				q.inbox = append(q.inbox, a.Reply)
			}
		}
	case SendGrant:
		sim.stats.loans += len(a.Grant.Loans)
		for _, q := range sim.instances() {
			if q.instance.name == a.Instance {
				q.inbox = append(q.inbox, a.Grant)
			}
		}
	default:
		p.inbox = append(p.inbox, a.(Message))
	}
}

// borrow sends a lend request to all zone peers of an instance.
func (sim *simulation) borrow(p *process) {
	r, ok := p.instance.BorrowRequest(p.at(sim.trueTime), int64(sim.perZone))
	if !ok {
		return
	}
	for _, q := range sim.instances() {
		if q != p && q.zone == p.zone {
			q.inbox = append(q.inbox, r)
		}
	}
}

// Get and Put are queued in the inbox like messages until they reach the store.
func (Get) message() {}
func (Put) message() {}

// callStore performs a queued store call and queues its reply. It returns false if
// m is not a store call.
func (sim *simulation) callStore(p *process, m Message) bool {
	ctx := context.Background()
	switch m := m.(type) {
	case Get:
		obj, err := sim.store.Get(ctx, objectstore.KindShare, m.Name)
		if errors.Is(err, objectstore.ErrNotFound) {
			obj, err = objectstore.Object{Kind: objectstore.KindShare, Name: m.Name}, nil
		}
		if err == nil {
			p.inbox = append(p.inbox, Read{Object: obj})
		}
	case Put:
		obj, err := sim.store.Put(ctx, objectstore.Object{
			Kind: objectstore.KindShare, Name: m.Name, Version: m.ExpectedVersion, Value: m.Value})
		if err != nil {
			p.inbox = append(p.inbox, CallFailed{Name: m.Name})
			break
		}
		sim.stats.writes++
		p.inbox = append(p.inbox, Written{Object: obj})
	default:
		return false
	}
	return true
}

// deliver delivers message i of a process's inbox and, unless keep is set, removes
// it from the inbox.
func (sim *simulation) deliver(p *process, i int, keep bool) {
	m := p.inbox[i]
	if !keep {
		p.inbox = append(p.inbox[:i:i], p.inbox[i+1:]...)
	}
	if !sim.callStore(p, m) {
		sim.step(p, m)
	}
}

// advance lets time pass. Processes that are not paused step, and those that are
// also not partitioned receive all their messages.
func (sim *simulation) advance(span time.Duration) {
	for end := sim.trueTime + span; sim.trueTime < end; sim.trueTime += 100 * time.Millisecond {
		for _, p := range sim.procs {
			if !p.paused {
				sim.step(p, Tick{})
			}
		}
		for range 4 {
			for _, p := range sim.procs {
				for n := len(p.inbox); n > 0 && !p.paused && !p.partitioned; n-- {
					sim.deliver(p, 0, false)
				}
			}
		}
	}
}

func (sim *simulation) admit(p *process, org string, tokens int64) bool {
	d := p.instance.Admit(p.at(sim.trueTime), org, tokens)
	if !d.Admitted {
		sim.stats.refused++
		return false
	}
	sim.stats.admitted++
	c := &charge{at: sim.trueTime, org: org, tokens: tokens, cost: tokens * PPM, used: tokens, receipt: d.Receipt}
	sim.charges = append(sim.charges, c)
	p.activeCharges = append(p.activeCharges, c)
	return true
}

// admitAll admits charges until all running instances refuse them. If only is the
// index of an instance, it is the only one that admits charges.
func (sim *simulation) admitAll(only int) {
	for i, p := range sim.instances() {
		if p.paused || only < len(sim.instances()) && i != only {
			continue
		}
		for _, org := range sortedKeys(sim.limitVersions[0]) {
			for size := int64(512); size > 0; size /= 4 {
				for sim.admit(p, org, size) {
				}
			}
		}
	}
}

func (sim *simulation) finishRequest(p *process, i int, used int64) {
	c := p.activeCharges[i]
	p.activeCharges = append(p.activeCharges[:i:i], p.activeCharges[i+1:]...)
	c.used = used
	c.cost -= p.instance.Refund(p.at(sim.trueTime), c.receipt, used)
	if c.cost < used*PPM {
		sim.t.Fatalf("refund exceeds the unused tokens: charged %d, used %d, cost %d", c.tokens, used, c.cost)
	}
}

// checkWindows fails the test unless, for every organisation and every window, the
// charges less refunds of the requests admitted in it are at most rate x window +
// burst. Amounts are in billionths of a token, so nothing is rounded.
func (sim *simulation) checkWindows() {
	for _, org := range sortedKeys(sim.limitVersions[0]) {
		sim.checkOrgWindows(org)
	}
}

func (sim *simulation) checkOrgWindows(org string) {
	var mine []*charge
	for _, c := range sim.charges {
		if c.org == org {
			mine = append(mine, c)
		}
	}
	for i := range mine {
		period := sim.limitPeriodAt(mine[i].at)
		at, sum, allowed := mine[i].at, int64(0), int64(0)
		burst := sim.limitPeriods[period].limits[org].Burst
		for _, c := range mine[i:] {
			for period+1 < len(sim.limitPeriods) && sim.limitPeriods[period+1].from <= c.at {
				allowed += sim.limitPeriods[period].limits[org].Rate * int64(sim.limitPeriods[period+1].from-at)
				period, at = period+1, sim.limitPeriods[period+1].from
				burst = max(burst, sim.limitPeriods[period].limits[org].Burst)
			}
			allowed += sim.limitPeriods[period].limits[org].Rate * int64(c.at-at)
			at = c.at
			sum += c.cost * 1000
			if sum > allowed+burst*1e9 {
				sim.t.Fatalf("%s: %.3f tokens from %v to %v, allowed %.3f",
					org, float64(sum)/1e9, mine[i].at, c.at, float64(allowed)/1e9+float64(burst))
			}
		}
	}
}

// checkShares fails the test if the shares in force in instances and zone leaders
// exceed the whole.
func (sim *simulation) checkShares() {
	for _, org := range sortedKeys(sim.limitVersions[0]) {
		var sum Share
		for _, p := range sim.procs {
			sum = sum.add(p.sharesInForce(p.at(sim.trueTime), org))
		}
		if !(Share{PPM, PPM}).atLeast(sum) {
			sim.t.Fatalf("shares of %s add up to %+v at %v", org, sum, sim.trueTime)
		}
	}
}

func (p *process) sharesInForce(now time.Duration, org string) Share {
	if p.instance == nil {
		fence, held := p.lease.Held(now)
		if !held || fence != p.leader.fence || p.leader.reserve[org] == nil {
			return Share{}
		}
		return p.leader.reserve[org].share
	}
	o, sum := p.instance.orgs[org], Share{}
	if now < p.instance.baseExpires {
		sum = sum.add(o.base.sub(o.lent).max(Share{}))
	}
	for _, l := range p.instance.borrowedFrom {
		if now < l.expires {
			sum = sum.add(l.shares[org])
		}
	}
	if now < p.instance.extraExpires {
		sum = sum.add(o.extra)
	}
	if now < o.loan.expires {
		sum.BurstPPM += o.loan.amount / o.limit.Burst
	}
	return sum
}

// limitPeriodAt returns the index of the last period that began before t, so that a
// charge at the time of a change is checked against the more generous of the two.
func (sim *simulation) limitPeriodAt(t time.Duration) int {
	i := 0
	for i+1 < len(sim.limitPeriods) && sim.limitPeriods[i+1].from < t {
		i++
	}
	return i
}
