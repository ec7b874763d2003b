package route

import "time"

// filterSuspect rules out ejected upstreams until a probe of them is due.
type filterSuspect struct{}

func (filterSuspect) Filter(now time.Duration, _ *Request, c *Candidate) Reason {
	v := c.up.health.verdict(now)
	c.probe = v == probeDue
	if v == suspect {
		return ReasonSuspect
	}
	return ReasonNone
}
