package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/permit"
)

const (
	// permitTick is the interval at which an arbiter with waiting requests looks at them
	// if nothing else triggers it, and permitIdleTick that of one without.
	permitTick     = 10 * time.Millisecond
	permitIdleTick = 250 * time.Millisecond
	// abandonAfter is the time without a call after which a waiting request is withdrawn.
	// The next call follows within two delays of the network.
	abandonAfter = 150 * time.Millisecond
	// expiryMargin is how long after the deadline of its request a permit expires.
	expiryMargin = 500 * time.Millisecond
	// expireInterval is the interval at which permits are looked at that may have expired.
	expireInterval = 100 * time.Millisecond
	// heardTimeout is how long an instance counts as running after its last call, also if
	// it is not in the list of members: it may be new, or leaving.
	heardTimeout = 5 * time.Second
)

// permitWait is a request of any instance that waits at this arbiter.
type permitWait struct {
	ready    chan *meshpb.PermitReply // of capacity 1
	hold     time.Duration            // of the next call
	calls    int                      // under way
	calledAt time.Duration            // end of the last call
}

// heardHolder is an instance that called this arbiter.
type heardHolder struct {
	incarnation string
	at          time.Duration
}

// serve answers a request for a permit when it is decided, and otherwise after a bounded time
// with an empty reply: the caller asks again. It fails if ctx ends first.
func (p *permits) serve(ctx context.Context, in *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	p.mu.Lock()
	now := p.g.now()
	if !p.decides(now, in.Service) {
		p.mu.Unlock()
		return &meshpb.PermitReply{NotArbiter: true}, nil
	}
	p.heard[in.Instance] = heardHolder{in.Incarnation, now}
	key := permit.Key{Instance: in.Instance, Incarnation: in.Incarnation, ID: in.Id}
	w := p.waits[key]
	if w == nil {
		d, decided := p.arbiter.Submit(now, permitRequest(now, key, in))
		if decided {
			p.mu.Unlock()
			return p.reply(d), nil
		}
		w = &permitWait{ready: make(chan *meshpb.PermitReply, 1), hold: firstHold}
		p.waits[key] = w
	}
	hold := time.NewTimer(w.hold)
	w.hold = min(2*w.hold, maxHold)
	w.calls++
	first := len(p.waits) == 1
	p.mu.Unlock()
	if first {
		p.wakeArbiter()
	}
	defer hold.Stop()
	defer p.callEnded(w)
	select {
	case reply := <-w.ready:
		p.mu.Lock()
		delete(p.waits, key)
		p.mu.Unlock()
		return reply, nil
	case <-hold.C:
		return &meshpb.PermitReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *permits) callEnded(w *permitWait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.calls--
	w.calledAt = p.g.now()
}

func permitRequest(now time.Duration, key permit.Key, in *meshpb.PermitRequest) permit.Request {
	ms := func(n uint32) time.Duration { return now + time.Duration(n)*time.Millisecond }
	return permit.Request{
		Key: key, Service: in.Service, Urgency: int(in.Urgency), Organisation: in.Organisation, Exclude: in.Exclude,
		Objective: ms(in.ObjectiveMs), GiveUpAt: ms(in.MaxWaitMs), ExpireAt: ms(in.MaxWaitMs) + expiryMargin,
	}
}

// reply returns the answer for a decision and counts it.
func (p *permits) reply(d permit.Decision) *meshpb.PermitReply {
	if !d.Granted {
		return &meshpb.PermitReply{RetryAfterMs: uint32(max(d.RetryAfter.Milliseconds(), 1))}
	}
	p.g.metrics.Count("permits_granted")
	return &meshpb.PermitReply{Granted: true, Upstream: d.Upstream, Born: d.StartedAtMS}
}

// serveRelease ends permits and withdraws requests of an instance.
func (p *permits) serveRelease(in *meshpb.PermitRelease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.now()
	p.heard[in.Instance] = heardHolder{in.Incarnation, now}
	for _, e := range in.Ended {
		key := permit.Key{Instance: in.Instance, Incarnation: in.Incarnation, ID: e.Id}
		delete(p.waits, key)
		ended := permit.Ended{Rejected: e.Rejected && e.ServedMs == 0, Failed: e.Rejected && e.ServedMs > 0, Served: time.Duration(e.ServedMs) * time.Millisecond}
		p.arbiter.Release(now, key, ended)
	}
	for _, service := range p.arbiter.Services() {
		p.step(now, service)
	}
}

// step lets the arbiter decide on the requests that wait for a service.
func (p *permits) step(now time.Duration, service string) {
	for _, d := range p.arbiter.Step(now, service) {
		if w := p.waits[d.Key]; w != nil {
			w.ready <- p.reply(d)
			continue
		}
		p.arbiter.Release(now, d.Key, permit.Ended{})
	}
}

// decides reports whether this instance is the arbiter of a service, and begins or ends that
// role. The caller holds mu.
func (p *permits) decides(now time.Duration, service string) bool {
	p.readMembers(now)
	name := p.choose(now, service, true)
	known := p.arbiter.Knows(service)
	switch {
	case name == p.g.self.Name:
		p.readUpstreams(now, service, !known)
		return true
	case known:
		p.g.log.Info("no longer arbiter of permits", append(p.logAttrs(service), "arbiter", name)...)
		for _, key := range p.arbiter.Resign(service) {
			if w := p.waits[key]; w != nil {
				w.ready <- &meshpb.PermitReply{NotArbiter: true}
			}
		}
	default:
		if i := slices.IndexFunc(p.members, func(m *meshpb.MemberInfo) bool { return m.Name == name }); i >= 0 && p.link(name).mayProbe(now) {
			go p.probe(p.members[i]) // the caller does not reach it
		}
	}
	return false
}

// readUpstreams passes the upstreams of a service to the arbiter if what it knows is older than
// upstreamTTL. isNew is whether this instance has just become the arbiter.
func (p *permits) readUpstreams(now time.Duration, service string, isNew bool) {
	if !isNew && now-p.upstreamsAt[service] < upstreamTTL {
		return
	}
	p.upstreamsAt[service] = now
	list, duration := p.g.dispatcher.serviceUpstreams(service)
	upstreams, total := make([]permit.Upstream, 0, len(list)), 0
	for _, u := range list {
		upstreams = append(upstreams, permit.Upstream{ID: u.ID, StartedAtMS: u.StartedAtMS, Slots: u.Slots, Full: u.Full, Requests: u.Requests})
		total += u.Requests
	}
	p.arbiter.SetUpstreams(now, service, upstreams)
	if isNew {
		p.arbiter.TakeOver(now, service, duration)
		p.g.log.Info("arbiter of permits", append(p.logAttrs(service), "at_upstreams", total)...)
	}
}

func (p *permits) wakeArbiter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run decides on waiting requests and ends permits that expire, until ctx ends.
func (p *permits) run(ctx context.Context) error {
	timer := time.NewTimer(permitIdleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.wake:
		}
		timer.Reset(p.tick())
	}
}

// tick does what is due and returns the time until the next one.
func (p *permits) tick() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.now()
	held := 0
	for _, service := range p.arbiter.Services() {
		if p.decides(now, service) {
			p.step(now, service)
			held += p.arbiter.Figures(service).Held
		}
	}
	if now-p.expiredAt >= expireInterval {
		p.expiredAt = now
		p.expire(now)
	}
	p.g.metrics.SetGauge("permits_held", float64(held))
	p.g.metrics.SetGauge("permits_waiting", float64(len(p.waits)))
	p.g.metrics.SetGauge("permit_services", float64(len(p.arbiter.Services())))
	if len(p.waits) > 0 {
		return permitTick
	}
	return permitIdleTick
}

// expire ends permits and requests of instances that are gone, and requests that nobody asks
// for any longer.
func (p *permits) expire(now time.Duration) {
	running := make(map[string]string, len(p.members))
	for _, m := range p.members {
		running[m.Name] = m.Incarnation
	}
	ended, withdrawn := p.arbiter.Expire(now, func(instance, incarnation string) bool {
		h := p.heard[instance]
		return running[instance] == incarnation || h.incarnation == incarnation && now-h.at < heardTimeout
	})
	for range ended {
		p.g.metrics.Count("permits_expired")
	}
	if ended > 0 {
		p.g.log.Info("permits expired", "permits", ended)
	}
	for _, key := range withdrawn {
		delete(p.waits, key)
	}
	for key, w := range p.waits {
		if w.calls == 0 && now-w.calledAt >= abandonAfter {
			delete(p.waits, key)
			p.arbiter.Release(now, key, permit.Ended{})
		}
	}
	for name, h := range p.heard {
		if now-h.at >= heardTimeout {
			delete(p.heard, name)
		}
	}
}
