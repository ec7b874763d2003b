package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

const (
	// bypassTime is how long an arbiter that did not answer is not asked.
	bypassTime = 250 * time.Millisecond
	// avoidAfter is the number of bypasses, less answerWeight for each answer, from which on
	// another instance is taken for the arbiter for avoidTime. A member list may name an
	// instance that no longer runs, or that answers only some calls.
	avoidAfter   = 2
	answerWeight = 0.2
	avoidTime    = 5 * time.Second
	// silenceLogInterval is the interval between log lines on the silence of an arbiter.
	silenceLogInterval = 5 * time.Second
)

// Reasons for which an arbiter is bypassed, in the log.
const (
	reasonSilent     = "no answer"
	reasonNotArbiter = "not arbiter"
)

// arbiterLink is what this instance knows of an arbiter that it asked.
type arbiterLink struct {
	bypassedUntil time.Duration
	avoidedUntil  time.Duration
	probedAt      time.Duration
	silences      float64 // less answerWeight for each answer
	loggedAt      time.Duration
	calls         map[*context.CancelFunc]struct{} // under way
}

func (p *permits) link(name string) *arbiterLink {
	l := p.arbiters[name]
	if l == nil {
		l = &arbiterLink{calls: map[*context.CancelFunc]struct{}{}}
		p.arbiters[name] = l
	}
	return l
}

// register adds a call to an arbiter that cancel ends, and returns a function that removes it.
func (p *permits) register(name string, cancel context.CancelFunc) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.link(name)
	l.calls[&cancel] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(l.calls, &cancel)
	}
}

// recordAnswer records that an arbiter has answered.
func (p *permits) recordAnswer(to *meshpb.MemberInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.arbiters[to.Name]; l != nil {
		l.silences = max(l.silences-answerWeight, 0)
	}
}

// recordSilence records that an arbiter did not answer, or is none by its own account. The
// other calls to it end, as their answers are not expected either.
func (p *permits) recordSilence(to *meshpb.MemberInfo, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, l := p.g.now(), p.link(to.Name)
	if now < l.bypassedUntil || to.Name == p.g.self.Name {
		return
	}
	l.silences = min(l.silences+1, avoidAfter)
	l.bypassedUntil = now + bypassTime
	if l.silences >= avoidAfter {
		l.avoidedUntil = now + avoidTime
		clear(p.chosen)
	}
	if reason == reasonNotArbiter { // it reaches an arbiter that this instance avoids
		for _, other := range p.arbiters {
			if other != l {
				other.avoidedUntil = min(other.avoidedUntil, l.bypassedUntil)
			}
		}
	}
	for cancel := range l.calls {
		(*cancel)()
	}
	for _, part := range p.parts {
		part.begun = false
	}
	p.g.metrics.Count("permit_arbiter_silences")
	if l.loggedAt == 0 || now-l.loggedAt >= silenceLogInterval {
		l.loggedAt = now
		p.g.log.Warn("arbiter of permits bypassed", "arbiter", to.Name, "reason", reason, "avoided", now < l.avoidedUntil)
	}
}

// mayProbe reports whether the arbiter may be probed now, and records the probe.
func (l *arbiterLink) mayProbe(now time.Duration) bool {
	if now < l.bypassedUntil || l.probedAt != 0 && now-l.probedAt < bypassTime {
		return false
	}
	l.probedAt = now
	return true
}

// probe finds out whether an instance answers that another one takes for silent.
func (p *permits) probe(to *meshpb.MemberInfo) {
	ctx, cancel := context.WithTimeout(context.Background(), firstHold+answerMargin)
	defer cancel()
	err := p.peers.Call(ctx, to.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
		_, err := meshpb.NewDRPCMeshClient(conn).ReleasePermits(ctx, &meshpb.PermitRelease{Instance: p.g.self.Name, Incarnation: p.g.self.Incarnation})
		return err
	})
	if err != nil {
		p.recordSilence(to, reasonSilent)
	}
}

// evenPart is this instance's equal part of what a service serves, for requests without a
// permit. Its level is a number of requests, at most 1.
type evenPart struct {
	level float64
	at    time.Duration
	begun bool // the level was drawn for the current bypass
}

// take takes a request from the part and returns 0, or returns the time until there is one.
// share is the instance's part of the slots and perRequest the mean time of a request.
//
// The level at the beginning is drawn evenly between 0 and 1, so that all instances together
// send at the rate at which the slots become free, from the beginning on.
func (e *evenPart) take(now time.Duration, share float64, perRequest time.Duration) time.Duration {
	perToken := time.Duration(float64(perRequest) / share)
	if !e.begun {
		e.begun, e.at, e.level = true, now, rand.Float64()
	}
	e.level = min(e.level+float64(now-e.at)/float64(perToken), 1)
	e.at = now
	if e.level >= 1 {
		e.level--
		return 0
	}
	return max(time.Duration((1-e.level)*float64(perToken)), time.Millisecond)
}

// defaultPlainTime is the assumed duration of a request if none was observed.
const defaultPlainTime = 50 * time.Millisecond

// waitForEvenPart waits until the job may be placed without a permit and reports true, or
// until the arbiter is asked again, the job gives up, or ctx ends.
func (p *permits) waitForEvenPart(ctx context.Context, j *assign.Job, terms assign.PermitTerms, bypassed time.Duration) bool {
	until := min(p.g.now()+bypassed, j.GivesUpAt())
	for {
		now := p.g.now()
		if now >= until || ctx.Err() != nil {
			return false
		}
		_, perRequest := p.g.dispatcher.serviceUpstreams(j.Service)
		if perRequest == 0 {
			perRequest = defaultPlainTime
		}
		p.mu.Lock()
		part := p.parts[j.Service]
		if part == nil {
			part = &evenPart{}
			p.parts[j.Service] = part
		}
		share := float64(terms.Slots) / float64(max(len(p.members), 1))
		delay := part.take(now, share, perRequest)
		p.mu.Unlock()
		if delay == 0 {
			return true
		}
		wait.Sleep(ctx, min(delay, until-now))
	}
}
