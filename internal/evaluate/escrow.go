package evaluate

import (
	"encoding/json"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Times of the messages that carry shares, and of the duty that carries them
// in an instance.
const (
	peerTrip   = 500 * time.Microsecond // one way
	storeTrip  = 3 * time.Millisecond   // one way
	limitTick  = 200 * time.Millisecond
	borrowWait = 10 * time.Millisecond
)

// escrowLimiter is limit's division of the rates by escrow: the instances, the
// zones' duty holders, and the platform's store between them.
type escrowLimiter struct {
	instanceLimiter
	zones   []*limit.Zone
	store   map[string]platform.Object
	version uint64
	// borrowing are the requests of each instance that wait for a loan.
	borrowing [][]func()
}

// heldDuty is a duty that never ends.
type heldDuty struct{}

// Held implements limit.Duty.
func (heldDuty) Held(time.Duration) (uint64, bool) { return 1, true }

func newEscrowLimiter(x *world) limiter {
	l := &escrowLimiter{
		instanceLimiter: instanceLimiter{x: x},
		store:           map[string]platform.Object{},
		borrowing:       make([][]func(), x.load.Instances),
	}
	l.add(limit.Options{})
	for z := range x.load.Zones {
		zone := limit.NewZone(limit.Options{}, zoneName(z), heldDuty{})
		l.zones = append(l.zones, zone)
		l.act(z, zone.Step(0, limitsOf(x.load)))
		x.every(limitTick, 0, func() { l.act(z, zone.Step(x.now, limit.Tick{})) })
	}
	for i := range l.instances {
		x.every(limitTick, limitTick*time.Duration(i)/time.Duration(len(l.instances)), func() { l.ask(i) })
	}
	return l
}

func (l *escrowLimiter) zoneOf(instance int) int { return instance % l.x.load.Zones }

// ask carries one request for shares out and the grant back, if one is due.
func (l *escrowLimiter) ask(i int) {
	z := l.zoneOf(i)
	for _, a := range l.instances[i].Step(l.x.now, limit.Tick{}) {
		if r, ok := a.(limit.SendRequest); ok {
			l.x.after(peerTrip, func() { l.act(z, l.zones[z].Step(l.x.now, r.Request)) })
		}
	}
}

// act carries out the actions of a zone's duty holder.
func (l *escrowLimiter) act(z int, actions []limit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limit.SendGrant:
			l.x.after(peerTrip, func() { l.grant(a) })
		case limit.Get:
			l.x.after(storeTrip, func() {
				obj := l.store[a.Name]
				obj.Name = a.Name
				l.reply(z, limit.Read{Object: obj})
			})
		case limit.Put:
			l.x.after(storeTrip, func() { l.reply(z, l.put(a)) })
		}
	}
}

func (l *escrowLimiter) grant(a limit.SendGrant) {
	for i, in := range l.instances {
		if instanceName(i) == a.Instance {
			in.Step(l.x.now, a.Grant)
		}
	}
}

func (l *escrowLimiter) reply(z int, msg limit.Message) {
	l.x.after(storeTrip, func() { l.act(z, l.zones[z].Step(l.x.now, msg)) })
}

func (l *escrowLimiter) put(a limit.Put) limit.Message {
	if l.store[a.Name].Version != a.ExpectedVersion {
		return limit.WriteFailed{Name: a.Name}
	}
	l.version++
	obj := platform.Object{Kind: platform.KindShare, Name: a.Name, Version: l.version, Value: json.RawMessage(a.Value)}
	l.store[a.Name] = obj
	return limit.Written{Object: obj}
}

// admit does as quota.Duty: a charge that a loan may cover waits for it.
func (l *escrowLimiter) admit(j *job, done func(bool)) {
	d := l.try(j)
	if d.Admitted || !d.Borrowing {
		done(d.Admitted)
		return
	}
	l.borrow(j.instance, func() { done(l.try(j).Admitted) })
}

// borrow asks for loans, together with the requests that wait already.
func (l *escrowLimiter) borrow(i int, ready func()) {
	l.borrowing[i] = append(l.borrowing[i], ready)
	if len(l.borrowing[i]) > 1 {
		return
	}
	l.ask(i)
	l.x.after(2*peerTrip+borrowWait, func() {
		waiting := l.borrowing[i]
		l.borrowing[i] = nil
		for _, ready := range waiting {
			ready()
		}
	})
}
