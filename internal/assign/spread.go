package assign

import "time"

const (
	// minUnseenForSpread is the number of requests placed by all instances
	// since the load reports from which on an upstream is chosen at random.
	minUnseenForSpread = 3
	// spreadScoreMargin is how far the score of a randomly chosen candidate may
	// exceed the best score. It equals the penalty of a full batch, because the
	// batch may have changed since the load reports.
	spreadScoreMargin = fullBatchPenalty
	// staleOvercommitDivisor limits overcommitment: while load reports are
	// stale, the known requests at an upstream may exceed its slots by
	// 1/staleOvercommitDivisor of them.
	staleOvercommitDivisor = 4
	// nearlyFullDivisor is the inverse of the fraction of free slots below
	// which each instance is held to its share of them.
	nearlyFullDivisor = 4
	// freeShareFactor is the multiple of its even share of the free slots that
	// an instance may take within the age of the load reports, as few
	// instances place requests at the same time.
	freeShareFactor = 2
	// sameZoneWeight is the factor by which a candidate in the instance's zone
	// is chosen more often.
	sameZoneWeight = 2
)

// peersStale reports whether instances have probably placed several requests on
// the upstreams of a job's model since their load reports. Peers are assumed to
// place requests at the same rate as this instance.
func (s *Scheduler) peersStale(now time.Duration, j *Job) bool {
	return s.instanceCount()*s.unseenPlacements(now, j) >= minUnseenForSpread
}

// unseenPlacements returns the number of requests that one instance places on
// the upstreams of a job's model within the age of the peers' load reports.
func (s *Scheduler) unseenPlacements(now time.Duration, j *Job) float64 {
	r := s.placementRate(j)
	r.decay(now)
	return r.perSecond * s.peerAge(now).Seconds()
}

// instanceCount returns the number of instances whose load is counted,
// including this one.
func (s *Scheduler) instanceCount() float64 {
	n := 1
	for _, p := range s.peers {
		n += p.Instances
	}
	return float64(n)
}

// slotTotals sums the slots and requests of the upstreams eligible for a job.
type slotTotals struct {
	slots, requests, ownRequests int
}

func (t *slotTotals) add(u *upstream) {
	t.slots += u.slots()
	t.requests += u.requests()
	t.ownRequests += u.ownLoad.Requests()
}

// nearlyFull reports whether so few slots are free that requests placed by
// peers since their load reports may have taken them.
func (t *slotTotals) nearlyFull() bool { return nearlyFullDivisor*(t.slots-t.requests) < t.slots }

// chooseStale chooses among the candidates while the peers' load reports are
// stale. In a large fleet, all instances would otherwise choose the upstream
// that is best by the same stale reports, and in an overload they would all
// fill the same few slots that became free. When the slots are nearly full,
// each instance is held to its share of them, and engines queue requests that
// arrive at the same time.
func (s *Scheduler) chooseStale(now time.Duration, j *Job, best candidate, totals slotTotals) candidate {
	nearlyFull := best.upstream.engine != nil && totals.nearlyFull()
	if nearlyFull && !s.withinShare(now, j, totals) {
		best.fits = false
		return best
	}
	if nearlyFull {
		for i := range s.candidates {
			c := &s.candidates[i]
			c.fits = c.upstream.requests() < c.upstream.slots()+s.overcommit(now, c.upstream, j) && c.upstream.hasMemory(c.reservation, c.reserve) && s.meetsObjective(now, j, c.expected)
		}
	}
	if best.upstream.hasLimitedMemory() {
		return s.chooseByMemory(now, j, best, totals)
	}
	return s.chooseWeighted(best)
}

// withinShare reports whether this instance may place a job when the slots are
// nearly full: its own requests use less than an even share of the slots, or
// its placements since the load reports are within its share of the free slots
// that all instances see.
func (s *Scheduler) withinShare(now time.Duration, j *Job, totals slotTotals) bool {
	n := s.instanceCount()
	if float64(totals.ownRequests) < float64(totals.slots)/n+s.rng.Float64()-0.5 {
		return true
	}
	return s.unseenPlacements(now, j) < freeShareFactor*float64(totals.slots-totals.requests)/n
}

// chooseWeighted chooses at random among the candidates that fit and whose
// score is within spreadScoreMargin of the best, with a higher weight for free
// slots. If there is none, it returns best.
func (s *Scheduler) chooseWeighted(best candidate) candidate {
	total := 0
	for _, c := range s.candidates {
		total += s.weight(c, best)
	}
	if total == 0 {
		return best
	}
	n := s.rng.IntN(total)
	for _, c := range s.candidates {
		if n -= s.weight(c, best); n < 0 {
			return c
		}
	}
	return best
}

// weight returns the weight of a candidate in the random choice. An upstream
// with few free slots keeps half of the weight of an idle one: with a weight by
// free slots alone, all instances would choose the one that was idle.
func (s *Scheduler) weight(c, best candidate) int {
	if !c.fits || c.score > best.score+spreadScoreMargin {
		return 0
	}
	weight := c.upstream.slots() + c.upstream.freeSlots()
	if c.upstream.entry.Zone == s.opts.Zone {
		weight *= sameZoneWeight
	}
	return weight
}
