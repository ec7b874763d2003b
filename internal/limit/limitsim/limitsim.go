// Package limitsim runs the decisions of package limit under a generated load on
// one virtual clock. It counts the requests that are refused although a single
// central bucket would have admitted them. Messages are delivered without delay,
// and no other part of the system is modelled.
package limitsim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Scenario is a load on a fleet. No instance fails during a run.
type Scenario struct {
	Options          limit.Options
	Seed             int64
	Zones            int
	InstancesPerZone int           // instances of each zone
	WarmUp           time.Duration // at the start; its requests are not counted
	Duration         time.Duration // after WarmUp; its requests are counted
	Orgs             []Org
	HotspotInterval  time.Duration // interval between changes of the busiest instance and zone; 0 for none
}

// Org is the load of one organisation. Requests arrive at random intervals.
type Org struct {
	Name            string
	Limit           limit.Limit
	LoadFraction    float64       // offered tokens per second, as a fraction of the rate
	Charge          int64         // mean worst case in tokens; charges vary from half to one and a half of it
	UsedFraction    float64       // fraction of the charge that a request uses
	RequestDuration time.Duration // duration of a request
	// Skew is the fraction of the requests that are sent to the busiest instance;
	// the others are spread evenly over all instances.
	Skew float64
}

// Result contains the counts of one organisation's requests.
type Result struct {
	Org      string
	Offered  int64
	Admitted int64
	Refused  int64
	// FalseRefusals counts refusals of requests that a central bucket, seeing the
	// same requests in the same order, would have admitted.
	FalseRefusals int64
	// Excess is the number of tokens by which the charges less refunds of the worst
	// window exceed rate x window + burst, or 0.
	Excess float64
}

type request struct {
	org             int
	instance        int
	at              time.Duration
	charge          int64
	receipt         limit.Receipt
	centralReceipt  limit.Receipt
	admitted        bool
	centralAdmitted bool  // by the central bucket
	costMicrotokens int64 // charged less refunded
}

type sim struct {
	scenario     Scenario
	rng          *rand.Rand
	now          time.Duration
	store        map[string]objectstore.Object
	storeVersion uint64
	zones        []*limit.ZoneLeader
	instances    []*limit.InstanceLimiter
	central      *limit.InstanceLimiter
	nextArrival  []time.Duration // arrival time of each organisation's next request
	running      []*request      // requests in progress, in no order
	admitted     [][]*request    // admitted requests by organisation
	results      []Result
}

// permanentLease is a zone lease that is always held.
type permanentLease struct{}

func (permanentLease) Held(time.Duration) (uint64, bool) { return 1, true }

const tickInterval = 10 * time.Millisecond

// Run simulates a scenario and returns one result per organisation, in the order
// of Scenario.Orgs.
func Run(s Scenario) []Result {
	m := newSim(s)
	for m.now = tickInterval; m.now < s.WarmUp+s.Duration; m.now += tickInterval {
		m.stepAll()
		m.finishRequests()
		for org := range s.Orgs {
			m.offerArrivals(org)
		}
	}
	for i := range m.results {
		m.results[i].Excess = m.maxExcess(i)
	}
	return m.results
}

func newSim(s Scenario) *sim {
	m := &sim{scenario: s, rng: rand.New(rand.NewSource(s.Seed)), store: map[string]objectstore.Object{}}
	limits := limit.Limits{Version: 1, Orgs: map[string]limit.Limit{}}
	for _, o := range s.Orgs {
		limits.Orgs[o.Name] = o.Limit
		m.results = append(m.results, Result{Org: o.Name})
	}
	m.nextArrival = make([]time.Duration, len(s.Orgs))
	m.admitted = make([][]*request, len(s.Orgs))
	m.central = limit.NewInstanceLimiter(limit.Options{Policy: limit.StaticDivision, Instances: 1}, "central", "central")
	m.central.Step(0, limits)
	for z := range s.Zones {
		m.zones = append(m.zones, limit.NewZoneLeader(s.Options, fmt.Sprintf("zone-%02d", z), permanentLease{}))
		m.zones[z].Step(0, limits)
		for range s.InstancesPerZone {
			name := fmt.Sprintf("instance-%03d", len(m.instances))
			m.instances = append(m.instances, limit.NewInstanceLimiter(s.Options, name, name))
			m.instances[len(m.instances)-1].Step(0, limits)
		}
	}
	return m
}

// stepAll sends a tick to all zone leaders and instances.
func (m *sim) stepAll() {
	if m.scenario.Options.Policy == limit.StaticDivision {
		return
	}
	for z, zone := range m.zones {
		m.runZoneActions(z, zone.Step(m.now, limit.Tick{}))
	}
	for i := range m.instances {
		m.requestShares(i)
	}
}

// requestShares exchanges one request and grant between an instance and its zone
// leader, if one is due.
func (m *sim) requestShares(i int) {
	for _, a := range m.instances[i].Step(m.now, limit.Tick{}) {
		if r, ok := a.(limit.SendShareRequest); ok {
			z := i / m.scenario.InstancesPerZone
			m.runZoneActions(z, m.zones[z].Step(m.now, r.Request))
		}
	}
}

func (m *sim) runZoneActions(z int, actions []limit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limit.SendGrant:
			for i := z * m.scenario.InstancesPerZone; i < (z+1)*m.scenario.InstancesPerZone; i++ {
				m.instances[i].Step(m.now, a.Grant) // instances other than the addressee ignore it
			}
		case limit.Get:
			obj := m.store[a.Name]
			obj.Name = a.Name
			m.runZoneActions(z, m.zones[z].Step(m.now, limit.Read{Object: obj}))
		case limit.Put:
			m.runZoneActions(z, m.zones[z].Step(m.now, m.putObject(a)))
		}
	}
}

func (m *sim) putObject(a limit.Put) limit.Message {
	if m.store[a.Name].Version != a.ExpectedVersion {
		return limit.CallFailed{Name: a.Name}
	}
	m.storeVersion++
	obj := objectstore.Object{Kind: objectstore.KindShare, Name: a.Name, Version: m.storeVersion, Value: json.RawMessage(a.Value)}
	m.store[a.Name] = obj
	return limit.Written{Object: obj}
}

func (m *sim) finishRequests() {
	kept := m.running[:0]
	for _, r := range m.running {
		o := m.scenario.Orgs[r.org]
		if m.now-r.at < o.RequestDuration {
			kept = append(kept, r)
			continue
		}
		used := int64(float64(r.charge) * o.UsedFraction)
		if r.admitted {
			r.costMicrotokens -= m.instances[r.instance].Refund(m.now, r.receipt, used)
		}
		if r.centralAdmitted {
			m.central.Refund(m.now, r.centralReceipt, used)
		}
	}
	m.running = kept
}

func (m *sim) offerArrivals(org int) {
	o := m.scenario.Orgs[org]
	mean := float64(o.Charge) / (o.LoadFraction * float64(o.Limit.Rate)) // seconds
	for m.nextArrival[org] <= m.now {
		m.nextArrival[org] += time.Duration(m.rng.ExpFloat64() * mean * float64(time.Second))
		r := &request{org: org, instance: m.chooseInstance(o), at: m.now, charge: o.Charge/2 + m.rng.Int63n(o.Charge+1)}
		m.offerRequest(r, o.Name)
	}
}

func (m *sim) chooseInstance(o Org) int {
	if m.rng.Float64() >= o.Skew {
		return m.rng.Intn(len(m.instances))
	}
	busiest := 0
	if m.scenario.HotspotInterval > 0 {
		busiest = int(m.now/m.scenario.HotspotInterval) * (m.scenario.InstancesPerZone + 1)
	}
	return busiest % len(m.instances)
}

func (m *sim) offerRequest(r *request, org string) {
	d := m.instances[r.instance].Admit(m.now, org, r.charge)
	if d.LoanRequested {
		m.requestShares(r.instance)
		d = m.instances[r.instance].Admit(m.now, org, r.charge)
	}
	centralDecision := m.central.Admit(m.now, org, r.charge)
	r.admitted, r.receipt, r.costMicrotokens = d.Admitted, d.Receipt, r.charge*limit.PPM
	r.centralAdmitted, r.centralReceipt = centralDecision.Admitted, centralDecision.Receipt
	m.running = append(m.running, r)
	if r.admitted {
		m.admitted[r.org] = append(m.admitted[r.org], r)
	}
	if m.now >= m.scenario.WarmUp {
		m.countOutcome(&m.results[r.org], r)
	}
}

func (m *sim) countOutcome(res *Result, r *request) {
	res.Offered++
	switch {
	case r.admitted:
		res.Admitted++
	case r.centralAdmitted:
		res.Refused++
		res.FalseRefusals++
	default:
		res.Refused++
	}
}

// maxExcess returns the excess of the worst window in tokens. It uses a bucket that
// leaks at the rate: its level is the largest sum, less rate x window, of all
// windows that end at the current request.
func (m *sim) maxExcess(org int) float64 {
	l := m.scenario.Orgs[org].Limit
	var level, worst float64
	var last time.Duration
	for _, r := range m.admitted[org] {
		level = max(0, level-float64(l.Rate)*(r.at-last).Seconds())
		level += float64(r.costMicrotokens) / limit.PPM
		last = r.at
		worst = max(worst, level)
	}
	return max(0, worst-float64(l.Burst))
}
