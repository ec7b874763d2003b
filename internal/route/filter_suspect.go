package route

import "time"

// filterSuspect rejects ejected upstreams until a probe of them is due.
type filterSuspect struct{}

func (filterSuspect) Filter(now time.Duration, r *Request, c *Candidate) Reason {
	state := c.up.health.state(now)
	c.probe = state == probeDue
	if state == suspect && !(r.allowSuspect && c.up.health.reachable) {
		return ReasonSuspect
	}
	return ReasonNone
}
