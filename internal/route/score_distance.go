package route

import "time"

// scoreDistance is the round-trip time to the upstream's zone.
type scoreDistance struct{}

func (scoreDistance) Score(_ time.Duration, _ *Request, c *Candidate) time.Duration {
	return c.up.distance
}
