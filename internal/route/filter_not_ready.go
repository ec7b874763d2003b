package route

import "time"

// filterNotReady rejects upstreams that are still loading the model.
type filterNotReady struct{}

func (filterNotReady) Filter(_ time.Duration, _ *Request, c *Candidate) Reason {
	if !c.ready {
		return ReasonNotReady
	}
	return ReasonNone
}
