package assign

import (
	"time"
)

const (
	// maxObjectiveFraction is the fraction of the time left until the
	// objective that an estimate may use. The rest allows for the error of
	// estimates, which grows with the age of the peers' load reports.
	maxObjectiveFraction = 0.7
	// lateFirstTokenLimit is the highest expected time to the first token at
	// which a late job may still be placed.
	lateFirstTokenLimit = 500 * time.Millisecond
	// lateUrgencyPenalty is the number of levels by which a late job is less
	// urgent at its upstream, so that it uses capacity left by on-time jobs.
	lateUrgencyPenalty = 3
	// crossZonePenalty is the expected latency added by another zone.
	crossZonePenalty = 4 * time.Millisecond
	// fullBatchPenalty is the latency, summed over the first events, that a
	// completely full batch adds by longer decoding steps. A partly full batch
	// counts in proportion.
	fullBatchPenalty = 60 * time.Millisecond
	// plainSlotsFactor is the limit on requests at an upstream of a plain
	// service, as a multiple of its slots. Requests beyond the slots wait at
	// the upstream.
	plainSlotsFactor = 2
)

// candidate is an upstream that could take a job.
type candidate struct {
	upstream *upstream
	expected time.Duration // expected time to the first token
	nominal  time.Duration // the same without the upstream's slowdown
	score    time.Duration // lower is better
	fits     bool          // the job may be placed here now
	// uncached is the number of prompt tokens that the engine does not hold, reservation the
	// memory that the job reserves there, in tokens.
	uncached, reservation int
	reserve               int // memory to be left there for what peers may have placed
}

// estimateLatency returns the expected time to the first token, or to the
// response of a plain service, if the job were sent now. uncached is the number of prompt
// tokens that the upstream does not hold. nominal is the time without the slowdown of the
// upstream.
func (s *Scheduler) estimateLatency(now time.Duration, u *upstream, j *Job, uncached int) (expected, nominal time.Duration) {
	if u.engine == nil {
		excess := u.requests() + 1 - u.slots()
		serviceTime := s.serviceTime(u)
		if excess <= 0 {
			return serviceTime, serviceTime
		}
		expected = serviceTime + serviceTime*time.Duration(excess)/time.Duration(u.slots())
		return expected, expected
	}
	tokens := s.referenceTokens(j, uncached)
	for urgency := 0; urgency <= s.urgencyAt(now, j); urgency++ {
		tokens += u.ownLoad.PendingTokens[urgency] + u.peerLoad.PendingTokens[urgency]
	}
	nominal = time.Duration(float64(tokens)/referencePrefillTokensPerMs*float64(time.Millisecond)) + baseFirstTokenTime
	expected = time.Duration(s.slowdown(now, u) * float64(nominal))
	if excess := u.requests() + 1 - u.slots(); excess > 0 {
		expected += time.Duration(excess) * slotReleaseInterval
		nominal += time.Duration(excess) * slotReleaseInterval
	}
	return expected, nominal
}

// slotReleaseInterval is the time that a full batch takes to free a slot.
const slotReleaseInterval = 40 * time.Millisecond

// fits reports whether the job may be placed now at a candidate with this
// estimate and reservation.
func (s *Scheduler) fits(now time.Duration, j *Job, c candidate) bool {
	u := c.upstream
	if u.engine == nil {
		return u.requests() < plainSlotsFactor*u.slots()
	}
	if u.requests() >= u.slots() || !u.hasMemory(c.reservation, c.reserve) {
		return false
	}
	return s.meetsObjective(now, j, c.expected) || s.fitsEmpty(now, u, j, c.expected)
}

// meetsObjective reports whether the estimate is within
// maxObjectiveFraction of the time left until the objective, or within
// lateFirstTokenLimit for a job that is late already.
func (s *Scheduler) meetsObjective(now time.Duration, j *Job, expected time.Duration) bool {
	if j.late(now) {
		return expected <= lateFirstTokenLimit
	}
	return expected <= time.Duration(maxObjectiveFraction*float64(j.Objective-now))
}

// choose returns the best candidate for a job and the number of eligible upstreams, also
// of those that are available only later. The best candidate has the lowest expected time
// to the first token, with a penalty for a full batch and for another zone. While the
// peers' load reports are stale, it chooses at random among candidates with similar
// scores.
func (s *Scheduler) choose(now time.Duration, j *Job) (best candidate, eligible int) {
	lowestRate := s.lowestFailureRate(j.Service)
	s.candidates = s.candidates[:0]
	var totals slotTotals
	if s.exceedsMemory(j) {
		return best, 0
	}
	s.prepareMemory(now, j)
	for _, u := range s.services[j.Service] {
		if !s.allows(u, j) || !u.isEligible(now, j, j.TriedUpstreams, lowestRate) {
			continue
		}
		available := s.availableAt(now, u)
		hasRoom, mayHaveRoom := s.roomFor(now, u)
		if mayHaveRoom && s.mayWaitFor(now, j, u, available) {
			eligible++
		}
		if available > now || !hasRoom {
			continue
		}
		totals.add(u)
		if now < u.fullUntil {
			continue
		}
		c := s.newCandidate(now, u, j, lowestRate)
		s.candidates = append(s.candidates, c)
		if best.upstream == nil || c.fits && !best.fits || c.fits == best.fits && c.score < best.score {
			best = c
		}
	}
	if best.upstream == nil || best.score == 0 || s.opts.DisableSpread || !s.peersStale(now, j) && !j.memoryStale(best.upstream, totals) {
		return best, eligible
	}
	return s.chooseStale(now, j, best, totals), eligible
}

// newCandidate returns the upstream as a candidate for the job, with its
// estimate and score. lowestRate is the lowest failure rate among the upstreams
// of the service.
func (s *Scheduler) newCandidate(now time.Duration, u *upstream, j *Job, lowestRate float64) candidate {
	c := candidate{upstream: u}
	if u.engine != nil {
		c.uncached = max(j.PromptTokens-u.cache.cachedTokens(j.prefixes), 1)
		c.reservation = u.reservation(j, c.uncached)
		c.reserve = s.staleReserve(u, j, c.reservation)
	}
	c.expected, c.nominal = s.estimateLatency(now, u, j, c.uncached)
	c.fits = s.fits(now, j, c)
	c.score = c.expected + time.Duration(float64(fullBatchPenalty)*u.fullness())
	if u.entry.Zone != s.opts.Zone {
		c.score += crossZonePenalty
	}
	if j.Retryable && u.health.suspect(lowestRate) {
		c.score = 0 // best score: the request can be retried, so it probes whether the upstream has recovered
		return c
	}
	c.score += time.Duration(s.rng.Int64N(int64(scoreJitter)))
	return c
}

// scoreJitter bounds the random time added to a score, so that instances with
// the same load reports spread over upstreams with similar scores.
const scoreJitter = 6 * time.Millisecond

// lowestFailureRate returns the lowest failure rate among the upstreams of a
// service.
func (s *Scheduler) lowestFailureRate(service string) float64 {
	lowestRate := 1.0
	for _, u := range s.services[service] {
		lowestRate = min(lowestRate, u.health.rate())
	}
	return lowestRate
}
