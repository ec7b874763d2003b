package evaluate

import (
	"encoding/json"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Latencies of the messages that carry shares, and intervals of the controller
// that sends them in an instance.
const (
	peerLatency   = 500 * time.Microsecond // one way
	storeLatency  = 3 * time.Millisecond   // one way
	limitInterval = 200 * time.Millisecond
	loanWait      = 10 * time.Millisecond // after the round trip, before a request that needs a loan is charged again
)

// escrowLimiter divides the rates by the escrow of package limit: it simulates
// the instances, the zone leaders, and the object store between the leaders.
type escrowLimiter struct {
	instanceLimiter
	zones   []*limit.ZoneLeader
	store   map[string]objectstore.Object
	version uint64
	// loanWaiters holds, for each instance, the callbacks of the requests that
	// wait for a loan.
	loanWaiters [][]func()
}

// permanentLease is a zone lease that never expires.
type permanentLease struct{}

// Held implements limit.Lease.
func (permanentLease) Held(time.Duration) (uint64, bool) { return 1, true }

func newEscrowLimiter(sim *simulation) limiter {
	l := &escrowLimiter{
		instanceLimiter: instanceLimiter{sim: sim},
		store:           map[string]objectstore.Object{},
		loanWaiters:     make([][]func(), sim.workload.Instances),
	}
	l.add(limit.Options{})
	for z := range sim.workload.Zones {
		zone := limit.NewZoneLeader(limit.Options{}, zoneName(z), permanentLease{})
		l.zones = append(l.zones, zone)
		l.execute(z, zone.Step(0, limitsOf(sim.workload)))
		sim.every(limitInterval, 0, func() { l.execute(z, zone.Step(sim.now, limit.Tick{})) })
	}
	for i := range l.instances {
		sim.every(limitInterval, limitInterval*time.Duration(i)/time.Duration(len(l.instances)), func() { l.sendRequests(i) })
	}
	return l
}

func (l *escrowLimiter) zoneOf(instance int) int { return instance % l.sim.workload.Zones }

// sendRequests steps an instance and delivers the requests for shares that it
// sends to the zone leader.
func (l *escrowLimiter) sendRequests(i int) {
	z := l.zoneOf(i)
	for _, a := range l.instances[i].Step(l.sim.now, limit.Tick{}) {
		if r, ok := a.(limit.SendShareRequest); ok {
			l.sim.after(peerLatency, func() { l.execute(z, l.zones[z].Step(l.sim.now, r.Request)) })
		}
	}
}

// execute performs the actions of a zone leader.
func (l *escrowLimiter) execute(z int, actions []limit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limit.SendGrant:
			l.sim.after(peerLatency, func() { l.deliverGrant(a) })
		case limit.Get:
			l.sim.after(storeLatency, func() {
				obj := l.store[a.Name]
				obj.Name = a.Name
				l.deliverReply(z, limit.Read{Object: obj})
			})
		case limit.Put:
			l.sim.after(storeLatency, func() { l.deliverReply(z, l.putObject(a)) })
		}
	}
}

func (l *escrowLimiter) deliverGrant(a limit.SendGrant) {
	for i, in := range l.instances {
		if instanceName(i) == a.Instance {
			in.Step(l.sim.now, a.Grant)
		}
	}
}

// deliverReply delivers a message of the object store to a zone leader.
func (l *escrowLimiter) deliverReply(z int, msg limit.Message) {
	l.sim.after(storeLatency, func() { l.execute(z, l.zones[z].Step(l.sim.now, msg)) })
}

// putObject performs a conditional write to the object store.
func (l *escrowLimiter) putObject(a limit.Put) limit.Message {
	if l.store[a.Name].Version != a.ExpectedVersion {
		return limit.CallFailed{Name: a.Name}
	}
	l.version++
	obj := objectstore.Object{Kind: objectstore.KindShare, Name: a.Name, Version: l.version, Value: json.RawMessage(a.Value)}
	l.store[a.Name] = obj
	return limit.Written{Object: obj}
}

// admit decides like quota.Controller: a charge that a loan may cover waits for the
// loan.
func (l *escrowLimiter) admit(j *job, done func(bool)) {
	d := l.charge(j)
	if d.Admitted || !d.LoanRequested {
		done(d.Admitted)
		return
	}
	l.requestLoan(j.instance, func() { done(l.charge(j).Admitted) })
}

// requestLoan requests loans for an instance. Requests that arrive while an
// earlier one is pending wait for the same loans.
func (l *escrowLimiter) requestLoan(i int, ready func()) {
	l.loanWaiters[i] = append(l.loanWaiters[i], ready)
	if len(l.loanWaiters[i]) > 1 {
		return
	}
	l.sendRequests(i)
	l.sim.after(2*peerLatency+loanWait, func() {
		waiters := l.loanWaiters[i]
		l.loanWaiters[i] = nil
		for _, ready := range waiters {
			ready()
		}
	})
}
