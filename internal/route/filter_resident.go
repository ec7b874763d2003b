package route

import "time"

// filterResident rules out upstreams in which the model still loads.
type filterResident struct{}

func (filterResident) Filter(_ time.Duration, _ *Request, c *Candidate) Reason {
	if !c.ready {
		return ReasonNotReady
	}
	return ReasonNone
}
