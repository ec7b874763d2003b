package assign

import "time"

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
	// observed.
	defaultService = 50 * time.Millisecond
)

// pace answers upstreams that are slower than others: the time to the first
// token is compared with what the backlog explains.
type pace struct {
	slowness float64 // observed over expected, 0 before the first observation
	service  time.Duration
}

func (p *pace) factor() float64 {
	if p.slowness == 0 {
		return 1
	}
	return p.slowness
}

// firstToken takes in an observed time to the first token.
func (p *pace) firstToken(observed, expected time.Duration) {
	ratio := float64(observed) / float64(max(expected, baseFirstToken))
	ratio = min(max(ratio, minSlowness), maxSlowness)
	if p.slowness == 0 {
		p.slowness = 1
	}
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
