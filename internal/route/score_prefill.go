package route

import "time"

// scorePrefill is the time to compute the part of the prompt that is not
// expected in the prefix cache.
type scorePrefill struct {
	hints *hints
}

func (s scorePrefill) Score(now time.Duration, r *Request, c *Candidate) time.Duration {
	c.hit = 0
	if r.Prefix != 0 {
		c.hit = min(r.PromptTokens, s.hints.expected(now, c.up, r.Prefix))
	}
	return c.up.prefillTime(r.PromptTokens - c.hit)
}

// PromptTime is how long the fastest home of a model takes to compute so many
// prompt tokens, 0 without a home.
func (t *Table) PromptTime(model string, tokens int) time.Duration {
	var least time.Duration
	for i, c := range t.models[model] {
		if took := c.up.prefillTime(tokens); i == 0 || took < least {
			least = took
		}
	}
	return least
}

func (u *upstream) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * u.load.tokenTime)
}
