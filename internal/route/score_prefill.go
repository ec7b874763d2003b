package route

import "time"

// scorePrefill is the time to compute the part of the prompt that is not
// expected in the prefix cache.
type scorePrefill struct {
	hints *hints
}

func (s scorePrefill) Score(now time.Duration, r *Request, c *Candidate) time.Duration {
	c.hitTokens = 0
	if r.Prefix != 0 {
		c.hitTokens = min(r.PromptTokens, s.hints.expectedTokens(now, c.up, r.Prefix))
	}
	return c.up.prefillTime(r.PromptTokens - c.hitTokens)
}

// PrefillTime returns how long the fastest replica of a model takes to compute
// the given number of prompt tokens, or 0 if the model has no replica.
func (t *Table) PrefillTime(model string, tokens int) time.Duration {
	var shortest time.Duration
	for i, c := range t.models[model] {
		if estimate := c.up.prefillTime(tokens); i == 0 || estimate < shortest {
			shortest = estimate
		}
	}
	return shortest
}

func (u *upstream) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * u.load.nsPerToken)
}
