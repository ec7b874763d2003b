package route

import "time"

// Score computes one part of the expected time to the first token.
// Implementations keep no state and allocate nothing.
type Score interface {
	Score(now time.Duration, r *Request, c *Candidate) time.Duration
}
