package route

import "time"

// scoreAdapter is the time to load the adapter if it is not resident.
type scoreAdapter struct {
	loadTime time.Duration
}

func (s scoreAdapter) Score(_ time.Duration, r *Request, c *Candidate) time.Duration {
	if r.Adapter == "" {
		return 0
	}
	if _, ok := c.adapters[r.Adapter]; ok {
		return 0
	}
	return s.loadTime
}
