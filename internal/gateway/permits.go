package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/permit"
	"storj.io/drpc"
)

const (
	// maxShare is the largest equal share of a service's slots, in requests, with which
	// permits are used. With 6 instances and 24 slots, the instances' own choice by reports
	// half a second old rejected 14 in 100 requests at 0.95 of the capacity.
	maxShare = 4
	// firstHold is how long an arbiter holds a call before it answers that the request still
	// waits. It doubles with each call of the same request up to maxHold.
	firstHold = 25 * time.Millisecond
	maxHold   = 200 * time.Millisecond
	// answerMargin is how much longer the caller waits for that answer. The first call of a
	// request is thus given up after 40 ms.
	answerMargin = 15 * time.Millisecond
	// memberTTL and upstreamTTL are the ages at which the lists of members and upstreams
	// are read again.
	memberTTL   = 100 * time.Millisecond
	upstreamTTL = 50 * time.Millisecond
	// maxLapsedPermits is the number of permits of one request that may turn out to be of no
	// use before the request is placed without one.
	maxLapsedPermits = 3
	// permitConnsPerPeer is the number of idle connections to an arbiter that are kept. A
	// call that waits has a connection to itself.
	permitConnsPerPeer = 32
)

// permits asks the arbiters of plain services for permits, and is the arbiter of some. It is
// safe for concurrent use.
//
// Locks: mu is held while the dispatcher's and the mesh's are taken, never the other way round.
type permits struct {
	g      *Gateway
	peers  peer.Caller
	nextID atomic.Uint64

	mu          sync.Mutex
	members     []*meshpb.MemberInfo
	membersAt   time.Duration
	chosen      map[chosenKey]string         // arbiters among members, as long as nothing changes
	arbiters    map[string]*arbiterLink      // by name
	parts       map[string]*evenPart         // by service
	grants      map[*assign.Placement]*grant // permits that this instance holds
	releases    map[string]*releaseQueue     // by address of the arbiter
	arbiter     *permit.Arbiter
	upstreamsAt map[string]time.Duration // by service of which this instance is the arbiter
	waits       map[permit.Key]*permitWait
	heard       map[string]heardHolder // by instance
	expiredAt   time.Duration          // last call of expire
	wake        chan struct{}
}

// chosenKey are the arguments of choose.
type chosenKey struct {
	service  string
	withSelf bool
}

// grant is a permit that this instance holds.
type grant struct {
	arbiter *meshpb.MemberInfo
	service string
	id      uint64
	at      time.Duration
}

func newPermits(g *Gateway) *permits {
	return &permits{
		g: g, peers: g.peers, chosen: map[chosenKey]string{}, arbiters: map[string]*arbiterLink{}, parts: map[string]*evenPart{}, grants: map[*assign.Placement]*grant{},
		releases: map[string]*releaseQueue{}, arbiter: permit.New(), upstreamsAt: map[string]time.Duration{},
		waits: map[permit.Key]*permitWait{}, heard: map[string]heardHolder{}, wake: make(chan struct{}, 1),
	}
}

// acquire places a job at an upstream, with a permit of the service's arbiter where permits
// are used. ok is false if ctx ended first. held returns whether the request is held back.
func (p *permits) acquire(ctx context.Context, j *assign.Job, organisation string, held func() (fleet.Refusal, bool)) (assign.QueueResult, bool) {
	if j.NeedsEngine || !p.g.settings.Load().Permits {
		return p.g.dispatcher.acquire(ctx, j, held)
	}
	lapsed := 0
	for {
		terms := p.g.dispatcher.permitTerms(j)
		to, bypassed := p.arbiterOf(j, terms)
		switch {
		case to == nil || lapsed >= maxLapsedPermits:
			return p.g.dispatcher.acquire(ctx, j, held)
		case bypassed > 0 && p.waitForEvenPart(ctx, j, terms, bypassed):
			p.g.metrics.Count("permits_bypassed")
			return p.g.dispatcher.acquire(ctx, j, held)
		case ctx.Err() != nil:
			return assign.QueueResult{}, false
		case p.g.now() >= j.GivesUpAt():
			return p.refuse(j, 0), true
		case bypassed > 0:
			continue
		}
		result, next, ok := p.acquireFrom(ctx, to, j, organisation, terms, held)
		if !next {
			return result, ok
		}
		if result.Decision.Job != nil {
			lapsed++
		}
	}
}

// acquireFrom asks an arbiter for a permit and places the job. next is whether to decide
// anew: the arbiter does not answer or, with the decision's job set, the permit was of no use.
func (p *permits) acquireFrom(ctx context.Context, to *meshpb.MemberInfo, j *assign.Job, organisation string, terms assign.PermitTerms, held func() (fleet.Refusal, bool)) (result assign.QueueResult, next, ok bool) {
	in := &meshpb.PermitRequest{
		Service: j.Service, Instance: p.g.self.Name, Incarnation: p.g.self.Incarnation, Id: p.nextID.Add(1),
		Urgency: uint32(j.Urgency), Organisation: organisation, Exclude: terms.Exclude,
	}
	reply, err := p.ask(ctx, to, j, in, held)
	var refusal *heldError
	switch {
	case errors.As(err, &refusal):
		p.withdraw(to, in)
		return assign.QueueResult{Decision: assign.Decision{Job: j, Refusal: refusal.refusal}}, false, true
	case errors.Is(err, errGaveUp):
		p.withdraw(to, in)
		return p.refuse(j, 0), false, true
	case ctx.Err() != nil:
		p.withdraw(to, in)
		return result, false, false
	case err != nil:
		p.withdraw(to, in)
		p.recordSilence(to, reasonSilent)
		return result, true, false
	case reply.NotArbiter:
		p.recordSilence(to, reasonNotArbiter)
		return result, true, false
	}
	p.recordAnswer(to)
	if !reply.Granted {
		p.g.metrics.Count("permits_refused")
		return p.refuse(j, time.Duration(reply.RetryAfterMs)*time.Millisecond), false, true
	}
	placement, decision := p.g.dispatcher.placeAt(j, reply.Upstream, reply.Born)
	if placement == nil {
		p.g.metrics.Count("permits_lapsed")
		p.withdraw(to, in)
		return assign.QueueResult{Decision: *decision}, true, false
	}
	p.mu.Lock()
	p.grants[placement] = &grant{arbiter: to, service: j.Service, id: in.Id, at: p.g.now()}
	p.mu.Unlock()
	return assign.QueueResult{Decision: *decision, Placement: placement}, false, true
}

func (p *permits) refuse(j *assign.Job, wait time.Duration) assign.QueueResult {
	return assign.QueueResult{Decision: *p.g.dispatcher.permitRefusal(j, wait)}
}

// heldError means that a request is held back while it waits for a permit.
type heldError struct{ refusal fleet.Refusal }

// Error implements error.
func (*heldError) Error() string { return "gateway: request held back while it waits for a permit" }

// errGaveUp means that a request got no permit while it was of use.
var errGaveUp = errors.New("gateway: no permit in time")

// ask calls an arbiter until it grants or refuses a permit. Each call is answered within a
// bounded time, so that an arbiter that is silent is noticed while requests wait.
func (p *permits) ask(ctx context.Context, to *meshpb.MemberInfo, j *assign.Job, in *meshpb.PermitRequest, held func() (fleet.Refusal, bool)) (*meshpb.PermitReply, error) {
	for hold := firstHold; ; hold = min(2*hold, maxHold) {
		p.setTimes(in, j)
		reply, err := p.call(ctx, to, in, hold+answerMargin)
		if err != nil || reply.Granted || reply.NotArbiter || reply.RetryAfterMs > 0 {
			return reply, err
		}
		if refusal, isHeld := held(); isHeld {
			return nil, &heldError{refusal}
		}
		if p.g.now() >= j.GivesUpAt() {
			return nil, errGaveUp
		}
	}
}

// setTimes sets the times that are left to a request. A response that has begun is not cut
// for the sake of others, so its continuation is urgent and not late.
func (p *permits) setTimes(in *meshpb.PermitRequest, j *assign.Job) {
	now, objective := p.g.now(), j.Objective
	if j.InProgress {
		in.Urgency, objective = 0, j.FirstEventDeadline
	}
	in.ObjectiveMs = uint32(max(objective-now, 0).Milliseconds())
	in.MaxWaitMs = uint32(max(j.Deadline-now, 0).Milliseconds())
}

// call makes one call to an arbiter, which may be this instance. It ends early if another
// call finds that the arbiter is silent.
func (p *permits) call(ctx context.Context, to *meshpb.MemberInfo, in *meshpb.PermitRequest, timeout time.Duration) (reply *meshpb.PermitReply, err error) {
	if to.Name == p.g.self.Name {
		return p.serve(ctx, in)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer p.register(to.Name, cancel)()
	err = p.peers.Call(ctx, to.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = meshpb.NewDRPCMeshClient(conn).AcquirePermit(ctx, in)
		return err
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// arbiterOf returns the arbiter of a job's service, nil if permits are not used for it, and
// for how long it is bypassed.
func (p *permits) arbiterOf(j *assign.Job, terms assign.PermitTerms) (to *meshpb.MemberInfo, bypassed time.Duration) {
	if terms.Brittle || terms.Slots == 0 || terms.Eligible == 0 {
		return nil, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.now()
	p.readMembers(now)
	if len(p.members) < 2 || terms.Slots > maxShare*len(p.members) {
		return nil, 0
	}
	name := p.choose(now, j.Service, false)
	i := slices.IndexFunc(p.members, func(m *meshpb.MemberInfo) bool { return m.Name == name })
	if i < 0 {
		return nil, 0
	}
	if l := p.arbiters[name]; l != nil && name != p.g.self.Name {
		bypassed = max(l.bypassedUntil-now, 0)
	}
	return p.members[i], bypassed
}

// readMembers reads the list of members if it is older than memberTTL.
func (p *permits) readMembers(now time.Duration) {
	if p.members == nil || now-p.membersAt >= memberTTL {
		p.members, p.membersAt = p.g.mesh.Members(), now
		clear(p.chosen)
	}
}

// choose returns the name of the arbiter of a service among the members that this instance
// does not avoid. withSelf is whether this instance counts although it is leaving, since
// others may not know that yet.
func (p *permits) choose(now time.Duration, service string, withSelf bool) string {
	key := chosenKey{service, withSelf}
	if name, ok := p.chosen[key]; ok {
		return name
	}
	list := make([]permit.Member, 0, len(p.members)+1)
	for _, m := range p.members {
		if l := p.arbiters[m.Name]; m.Name == p.g.self.Name {
			withSelf = true
		} else if l == nil || now >= l.avoidedUntil {
			list = append(list, permit.Member{Name: m.Name, Capacity: m.Capacity})
		}
	}
	if withSelf {
		list = append(list, permit.Member{Name: p.g.self.Name, Capacity: p.g.self.Capacity})
	}
	p.chosen[key] = permit.Choose(service, list)
	return p.chosen[key]
}

// logAttrs returns what log lines say of a service.
func (p *permits) logAttrs(service string) []any {
	f := p.arbiter.Figures(service)
	return []any{slog.String("service", service), slog.Int("instances", len(p.members)), slog.Int("held", f.Held), slog.Int("waiting", f.Waiting)}
}

// permitTerms prepares a job for a permit and returns its terms.
func (d *dispatcher) permitTerms(j *assign.Job) assign.PermitTerms {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.PermitTerms(d.now(), j)
}

// placeAt places a job at an upstream for which it has a permit.
func (d *dispatcher) placeAt(j *assign.Job, id string, startedAtMS int64) (*assign.Placement, *assign.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.PlaceAt(d.now(), j, id, startedAtMS)
}

// permitRefusal returns the decision on a job that gets no permit.
func (d *dispatcher) permitRefusal(j *assign.Job, wait time.Duration) *assign.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.PermitRefusal(d.now(), j, wait)
}

// serviceUpstreams returns the upstreams of a service and the mean duration of its requests.
func (d *dispatcher) serviceUpstreams(service string) ([]assign.ServiceUpstream, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.ServiceUpstreams(d.now(), service), d.sched.ServiceTime(service)
}
