package route

import "time"

// scoreQueue is the time that the prompts ahead take and the wait for a slot.
type scoreQueue struct{}

func (scoreQueue) Score(now time.Duration, _ *Request, c *Candidate) time.Duration {
	l := &c.up.load
	return l.prefillWait(now) + l.slotWait(c.up.MaxRunning)
}
