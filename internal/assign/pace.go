package assign

import (
	"math"
	"time"
)

const (
	// defaultPrefill is the prompt tokens that an engine reads in a
	// millisecond before it was ever observed.
	defaultPrefill = 25.0
	// paceWeight is the weight of one observation.
	paceWeight  = 0.15
	minSlowness = 0.3
	maxSlowness = 12.0
	// baseFirstToken is the time to a first token without any backlog.
	baseFirstToken = 15 * time.Millisecond
	// defaultService is the time that a plain request takes before any was
	// observed; it is short, so that an upstream that is not known gets some.
	defaultService = 10 * time.Millisecond
	// paceTerm is how long an observation counts in full; then it fades, so
	// that an upstream that was slow is tried again.
	paceTerm  = 3 * time.Second
	paceFades = 5 * time.Second
)

// pace answers upstreams that are slower than others: the time to the first
// token is compared with what the backlog explains.
type pace struct {
	slowness float64 // observed over expected, 0 before the first observation
	service  time.Duration
	at       time.Duration // of the last observation
}

func (p *pace) factor(now time.Duration) float64 {
	if p.slowness == 0 {
		return 1
	}
	if idle := now - p.at - paceTerm; idle > 0 {
		return 1 + (p.slowness-1)*math.Exp(-float64(idle)/float64(paceFades))
	}
	return p.slowness
}

// firstToken takes in an observed time to the first token.
func (p *pace) firstToken(now, observed, expected time.Duration) {
	ratio := float64(observed) / float64(max(expected, baseFirstToken))
	ratio = min(max(ratio, minSlowness), maxSlowness)
	p.slowness = p.factor(now)
	p.at = now
	p.slowness += paceWeight * (ratio - p.slowness)
}

// served takes in how long a plain request took.
func (p *pace) served(d time.Duration) {
	if p.service == 0 {
		p.service = d
		return
	}
	p.service += time.Duration(paceWeight * float64(d-p.service))
}

func (p *pace) serviceTime() time.Duration {
	if p.service == 0 {
		return defaultService
	}
	return p.service
}
