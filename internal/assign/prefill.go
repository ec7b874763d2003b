package assign

import "time"

const (
	// defaultPrefillTokensPerMs is the number of prompt tokens that an engine
	// processes per millisecond, assumed before the first observation.
	defaultPrefillTokensPerMs = 25.0
	// minObservedTokens is the number of prompt tokens from which a time to the
	// first token shows how fast an engine reads. It is bound by other things below.
	minObservedTokens = 500
	// minObservations is the number of observations from which a rate counts as
	// known.
	minObservations = 20
	// fasterWeight and slowerWeight are the weights of an observation that is faster
	// or slower than the rate. The rate is a high expectile, since requests of peers
	// that are not known yet make some observations slow.
	fasterWeight = 0.1
	slowerWeight = 0.02
)

// prefillRate measures how fast the engines of a service read prompts, from the time to
// the first token of requests that found no other prompt waiting.
type prefillRate struct {
	tokensPerMs  float64 // 0 before the first observation
	observations int
}

// observe records the time to the first token of a prompt.
func (r *prefillRate) observe(tokens int, took time.Duration) {
	if tokens < minObservedTokens {
		return
	}
	took = max(took-baseFirstTokenTime, time.Millisecond)
	observed := float64(tokens) / (float64(took) / float64(time.Millisecond))
	r.tokensPerMs = r.rate()
	r.observations++
	weight := slowerWeight
	if observed > r.tokensPerMs {
		weight = fasterWeight
	}
	r.tokensPerMs += weight * (observed - r.tokensPerMs)
}

// rate returns the number of prompt tokens read per millisecond.
func (r *prefillRate) rate() float64 {
	if r == nil || r.tokensPerMs == 0 {
		return defaultPrefillTokensPerMs
	}
	return r.tokensPerMs
}

// prefillTime returns how long an engine of the service takes to read a prompt.
func (s *Scheduler) prefillTime(service string, tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefillRates[service].rate() * float64(time.Millisecond))
}

// PrefillRates returns the number of prompt tokens that an engine reads per second, by
// service, for the services where it is known.
func (s *Scheduler) PrefillRates() map[string]float64 {
	out := map[string]float64{}
	for service, r := range s.prefillRates {
		if r.observations >= minObservations {
			out[service] = 1000 * r.tokensPerMs
		}
	}
	return out
}

// recordPrefill records the time to the first token of a placement, if it found no
// other prompt waiting at its engine.
func (s *Scheduler) recordPrefill(now time.Duration, p *Placement) {
	if !p.alone {
		return
	}
	r := s.prefillRates[p.job.Service]
	if r == nil {
		r = &prefillRate{}
		s.prefillRates[p.job.Service] = r
	}
	r.observe(p.tokens, now-p.sentAt)
}
