package limit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// clock starts anywhere and runs at its own rate, within DefaultDriftPPM.
type clock struct {
	offset  time.Duration
	ratePPM int64
}

func (c clock) at(truth time.Duration) time.Duration {
	return c.offset + truth*time.Duration(PPM+c.ratePPM)/PPM
}

type fakeDuty struct {
	fence uint64
	until time.Duration
}

func (d *fakeDuty) Held(now time.Duration) (uint64, bool) { return d.fence, now < d.until }

// process is one instance or one candidate for its zone's duty.
type process struct {
	clock
	zone    int
	inst    *Instance
	holder  *Zone
	duty    *fakeDuty
	version uint64 // of the limits in force
	paused  bool   // runs not at all
	cut     bool   // gets no messages
	inbox   []Message
	running []*charge
}

type charge struct {
	at      time.Duration
	org     string
	tokens  int64
	cost    micro // charged less refunded
	used    int64
	receipt Receipt
}

// world is a fleet on one true clock, whose messages wait until delivered.
type world struct {
	t        *rapid.T
	opts     Options
	store    *platform.Memory
	truth    time.Duration
	procs    []*process // instances first, then two candidates per zone
	perZone  int
	zones    int
	boots    int
	fences   uint64
	versions []map[string]Limit // version i is versions[i-1]
	eras     []era
	charges  []*charge
	stats    struct{ admitted, refused, loans, lent, moves int }
}

// era is a span in which the same versions are in force somewhere.
type era struct {
	from   time.Duration
	limits map[string]Limit // highest in force
}

func newWorld(t *rapid.T, opts Options, zones, perZone int, limits map[string]Limit) *world {
	w := &world{t: t, opts: opts, store: platform.NewMemory(0), zones: zones, perZone: perZone}
	w.versions = append(w.versions, limits)
	for z := range zones {
		for range perZone {
			w.procs = append(w.procs, &process{zone: z})
		}
	}
	for z := range zones {
		for range 2 {
			w.procs = append(w.procs, &process{zone: z, duty: &fakeDuty{}})
		}
	}
	for i := range w.procs {
		w.boot(i)
	}
	return w
}

func (w *world) instances() []*process { return w.procs[:w.zones*w.perZone] }

func (w *world) candidates(zone int) []*process {
	at := w.zones*w.perZone + 2*zone
	return w.procs[at : at+2]
}

// boot replaces a process by a new incarnation with empty memory.
func (w *world) boot(i int) {
	w.boots++
	old := w.procs[i]
	p := &process{zone: old.zone, clock: clock{
		offset:  time.Duration(rapid.Int64Range(1, 1e12).Draw(w.t, "offset")),
		ratePPM: rapid.SampledFrom([]int64{-DefaultDriftPPM, 0, DefaultDriftPPM}).Draw(w.t, "drift"),
	}}
	w.procs[i] = p
	w.tellGone(old)
	if old.duty == nil {
		p.inst = NewInstance(w.opts, fmt.Sprint("i", i), fmt.Sprint("run", w.boots))
	} else {
		p.duty = &fakeDuty{}
		p.holder = NewZone(w.opts, fmt.Sprint("z", p.zone), p.duty)
	}
	w.configure(p)
}

// tellGone lets the duty holders of a zone learn that a process has ended.
func (w *world) tellGone(p *process) {
	if p.inst == nil || !rapid.Bool().Draw(w.t, "gone") {
		return
	}
	for _, c := range w.candidates(p.zone) {
		c.inbox = append(c.inbox, Gone{Incarnation: p.inst.incarnation})
	}
}

// configure puts the latest limits in force in one process.
func (w *world) configure(p *process) {
	p.version = uint64(len(w.versions))
	w.step(p, Limits{Version: p.version, Orgs: w.versions[p.version-1]})
	w.newEra()
}

func (w *world) newEra() {
	e := era{from: w.truth, limits: map[string]Limit{}}
	for _, p := range w.procs {
		if p.version == 0 {
			continue
		}
		for org, l := range w.versions[p.version-1] {
			have := e.limits[org]
			e.limits[org] = Limit{Rate: max(have.Rate, l.Rate), Burst: max(have.Burst, l.Burst)}
		}
	}
	w.eras = append(w.eras, e)
}

// elect gives a zone's duty to one candidate; the former one's has ended.
func (w *world) elect(zone, chosen int) {
	for i, c := range w.candidates(zone) {
		c.duty.until = 0
		if i == chosen {
			w.fences++
			c.duty.fence, c.duty.until = w.fences, 1<<62
		}
	}
}

func (w *world) step(p *process, m Message) {
	var actions []Action
	if p.inst != nil {
		actions = p.inst.Step(p.at(w.truth), m)
	} else {
		actions = p.holder.Step(p.at(w.truth), m)
	}
	for _, a := range actions {
		w.carryOut(p, a)
	}
}

// carryOut sends messages and calls the store at once; what comes of it waits
// in an inbox and is delivered, lost, reordered or repeated from there.
func (w *world) carryOut(p *process, a Action) {
	switch a := a.(type) {
	case SendRequest:
		for _, c := range w.candidates(p.zone) {
			c.inbox = append(c.inbox, a.Request)
		}
	case SendLent:
		w.stats.lent++
		for _, q := range w.instances() {
			if q.inst.incarnation == a.Lent.Borrower {
				q.inbox = append(q.inbox, a.Lent)
			}
		}
	case SendGrant:
		w.stats.loans += len(a.Grant.Loans)
		for _, q := range w.instances() {
			if q.inst.name == a.Instance {
				q.inbox = append(q.inbox, a.Grant)
			}
		}
	default:
		p.inbox = append(p.inbox, a.(Message))
	}
}

// borrow asks all zone peers of an instance to lend.
func (w *world) borrow(p *process) {
	r, ok := p.inst.BorrowRequest(p.at(w.truth), int64(w.perZone))
	if !ok {
		return
	}
	for _, q := range w.instances() {
		if q != p && q.zone == p.zone {
			q.inbox = append(q.inbox, r)
		}
	}
}

// Get and Put wait in the inbox like messages until they reach the store.
func (Get) message() {}
func (Put) message() {}

// call performs a store call that has waited and queues its reply.
func (w *world) call(p *process, m Message) bool {
	ctx := context.Background()
	switch m := m.(type) {
	case Get:
		obj, err := w.store.Get(ctx, platform.KindShare, m.Name)
		if errors.Is(err, platform.ErrNotFound) {
			obj, err = platform.Object{Kind: platform.KindShare, Name: m.Name}, nil
		}
		if err == nil {
			p.inbox = append(p.inbox, Read{Object: obj})
		}
	case Put:
		obj, err := w.store.Put(ctx, platform.Object{
			Kind: platform.KindShare, Name: m.Name, Version: m.ExpectedVersion, Value: m.Value})
		if err != nil {
			p.inbox = append(p.inbox, WriteFailed{Name: m.Name})
			break
		}
		w.stats.moves++
		p.inbox = append(p.inbox, Written{Object: obj})
	default:
		return false
	}
	return true
}

// deliver hands over one waiting message, or several in order.
func (w *world) deliver(p *process, i int, keep bool) {
	m := p.inbox[i]
	if !keep {
		p.inbox = append(p.inbox[:i:i], p.inbox[i+1:]...)
	}
	if !w.call(p, m) {
		w.step(p, m)
	}
}

// quiet lets time pass while all live processes get all their messages.
func (w *world) quiet(span time.Duration) {
	for end := w.truth + span; w.truth < end; w.truth += 100 * time.Millisecond {
		for _, p := range w.procs {
			if !p.paused {
				w.step(p, Tick{})
			}
		}
		for range 4 {
			for _, p := range w.procs {
				for n := len(p.inbox); n > 0 && !p.paused && !p.cut; n-- {
					w.deliver(p, 0, false)
				}
			}
		}
	}
}

func (w *world) admit(p *process, org string, tokens int64) bool {
	d := p.inst.Admit(p.at(w.truth), org, tokens)
	if !d.Admitted {
		w.stats.refused++
		return false
	}
	w.stats.admitted++
	c := &charge{at: w.truth, org: org, tokens: tokens, cost: tokens * PPM, used: tokens, receipt: d.Receipt}
	w.charges = append(w.charges, c)
	p.running = append(p.running, c)
	return true
}

// hammer takes every token that the live instances, or only one of them,
// would give.
func (w *world) hammer(only int) {
	for i, p := range w.instances() {
		if p.paused || only < len(w.instances()) && i != only {
			continue
		}
		for _, org := range sortedKeys(w.versions[0]) {
			for size := int64(512); size > 0; size /= 4 {
				for w.admit(p, org, size) {
				}
			}
		}
	}
}

func (w *world) finish(p *process, i int, used int64) {
	c := p.running[i]
	p.running = append(p.running[:i:i], p.running[i+1:]...)
	c.used = used
	c.cost -= p.inst.Refund(p.at(w.truth), c.receipt, used)
	if c.cost < used*PPM {
		w.t.Fatalf("refund of more than was unused: charged %d, used %d, cost %d", c.tokens, used, c.cost)
	}
}

// check is the oracle: for every organisation and every window, charges less
// refunds of the requests admitted in it stay within rate x window + burst.
// Amounts are in billionths of a token, so nothing is rounded.
func (w *world) check() {
	for _, org := range sortedKeys(w.versions[0]) {
		w.checkOrg(org)
	}
}

func (w *world) checkOrg(org string) {
	var mine []*charge
	for _, c := range w.charges {
		if c.org == org {
			mine = append(mine, c)
		}
	}
	for i := range mine {
		e := w.eraAt(mine[i].at)
		at, sum, allowed := mine[i].at, int64(0), int64(0)
		burst := w.eras[e].limits[org].Burst
		for _, c := range mine[i:] {
			for e+1 < len(w.eras) && w.eras[e+1].from <= c.at {
				allowed += w.eras[e].limits[org].Rate * int64(w.eras[e+1].from-at)
				e, at = e+1, w.eras[e+1].from
				burst = max(burst, w.eras[e].limits[org].Burst)
			}
			allowed += w.eras[e].limits[org].Rate * int64(c.at-at)
			at = c.at
			sum += c.cost * 1000
			if sum > allowed+burst*1e9 {
				w.t.Fatalf("%s: %.3f tokens from %v to %v, allowed %.3f",
					org, float64(sum)/1e9, mine[i].at, c.at, float64(allowed)/1e9+float64(burst))
			}
		}
	}
}

// checkShares is the invariant of escrow: at every moment, what instances and
// duty holders have in force does not exceed the whole.
func (w *world) checkShares() {
	for _, org := range sortedKeys(w.versions[0]) {
		var sum Share
		for _, p := range w.procs {
			sum = sum.add(p.inForce(p.at(w.truth), org))
		}
		if !(Share{PPM, PPM}).atLeast(sum) {
			w.t.Fatalf("shares of %s add up to %+v at %v", org, sum, w.truth)
		}
	}
}

func (p *process) inForce(now time.Duration, org string) Share {
	if p.inst == nil {
		fence, held := p.duty.Held(now)
		if !held || fence != p.holder.fence || p.holder.reserve[org] == nil {
			return Share{}
		}
		return p.holder.reserve[org].share
	}
	o, sum := p.inst.orgs[org], Share{}
	if now < p.inst.baseUntil {
		sum = sum.add(o.base.sub(o.lentOut).max(Share{}))
	}
	for _, l := range p.inst.borrowed {
		if now < l.until {
			sum = sum.add(l.shares[org])
		}
	}
	if now < p.inst.extraUntil {
		sum = sum.add(o.extra)
	}
	if now < o.loan.until {
		sum.BurstPPM += o.loan.amount / o.limit.Burst
	}
	return sum
}

// eraAt returns the last era that began before t, so that a charge at the
// very change is judged by the more generous side.
func (w *world) eraAt(t time.Duration) int {
	e := 0
	for e+1 < len(w.eras) && w.eras[e+1].from < t {
		e++
	}
	return e
}
