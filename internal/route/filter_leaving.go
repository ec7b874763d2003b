package route

import "time"

// filterLeaving rejects upstreams that are leaving.
type filterLeaving struct{}

func (filterLeaving) Filter(_ time.Duration, _ *Request, c *Candidate) Reason {
	if c.up.State == StateLeaving {
		return ReasonLeaving
	}
	return ReasonNone
}
