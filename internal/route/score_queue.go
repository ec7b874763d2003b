package route

import "time"

// scoreQueue is the wait for prompts ahead and for a free sequence.
type scoreQueue struct{}

func (scoreQueue) Score(now time.Duration, _ *Request, c *Candidate) time.Duration {
	l := &c.up.load
	return l.prefillWait(now) + l.slotWait(c.up.MaxRunning)
}
