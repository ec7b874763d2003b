package route

import (
	"math/rand/v2"
	"time"
)

// Policy selects one candidate of a list that is not empty. Implementations
// allocate nothing and may reorder the candidates.
type Policy interface {
	Choose(r *Request, feasible []*Candidate, random *rand.Rand) *Candidate
}

// Random picks a candidate uniformly at random.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(_ *Request, feasible []*Candidate, random *rand.Rand) *Candidate {
	return feasible[random.IntN(len(feasible))]
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct {
	next uint64
}

// Choose implements Policy.
func (p *RoundRobin) Choose(_ *Request, feasible []*Candidate, _ *rand.Rand) *Candidate {
	p.next++
	return feasible[p.next%uint64(len(feasible))]
}

// LeastLoaded picks the candidate with the fewest sequences.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(_ *Request, feasible []*Candidate, _ *rand.Rand) *Candidate {
	best := feasible[0]
	for _, c := range feasible[1:] {
		if c.Sequences() < best.Sequences() {
			best = c
		}
	}
	return best
}

// ExpectedFirstToken draws two random candidates whose cost is near the lowest
// and picks the one with the shorter expected time to the first token. For a
// prompt prefix without a hint, it prefers the first candidate in rendezvous
// order whose load exceeds the mean by no more than a bound.
type ExpectedFirstToken struct{}

const (
	// nearBestSlack and nearBestDivisor limit how far above the best cost a
	// candidate's cost may be for the candidate to be drawn.
	nearBestSlack   = 10 * time.Millisecond
	nearBestDivisor = 8 // 1/nearBestDivisor of the best cost
	// loadBoundQuarters is the bound of consistent hashing with bounded loads,
	// in quarters of the mean.
	loadBoundQuarters = 5
	// priorHitQuarters is the part of a prefix, in quarters, that is expected
	// in the cache of its preferred candidate without a hint.
	priorHitQuarters = 2
)

// Choose implements Policy.
func (ExpectedFirstToken) Choose(r *Request, feasible []*Candidate, random *rand.Rand) *Candidate {
	if r.Prefix != 0 && len(feasible) > 1 {
		applyPrefixAffinity(r, feasible)
	}
	best := cheapest(feasible)
	limit := best.cost + max(nearBestSlack, best.cost/nearBestDivisor)
	nearBest := partition(feasible, limit)
	a := nearBest[random.IntN(len(nearBest))]
	b := nearBest[random.IntN(len(nearBest))]
	if b.cost < a.cost {
		return b
	}
	return a
}

func cheapest(feasible []*Candidate) *Candidate {
	best := feasible[0]
	for _, c := range feasible[1:] {
		if c.cost < best.cost {
			best = c
		}
	}
	return best
}

// partition moves the candidates whose cost is within limit to the front and
// returns them.
func partition(feasible []*Candidate, limit time.Duration) []*Candidate {
	n := 0
	for i, c := range feasible {
		if c.cost <= limit {
			feasible[i], feasible[n] = feasible[n], c
			n++
		}
	}
	return feasible[:n]
}

// applyPrefixAffinity lowers the cost of the prefix's preferred candidate by the
// cache hit expected there.
func applyPrefixAffinity(r *Request, feasible []*Candidate) {
	total := 0
	for _, c := range feasible {
		total += c.Sequences()
	}
	bound := (total*loadBoundQuarters/4)/len(feasible) + 1
	var preferred *Candidate
	for _, c := range feasible {
		c.rendezvousHash = mix(c.up.nameHash ^ mix(r.Prefix))
		if c.Sequences() <= bound && (preferred == nil || c.rendezvousHash > preferred.rendezvousHash) {
			preferred = c
		}
	}
	expected := min(r.PromptTokens, r.PrefixTokens*priorHitQuarters/4)
	if preferred == nil || preferred.hitTokens >= expected {
		return
	}
	preferred.cost -= preferred.up.prefillTime(expected - preferred.hitTokens)
	preferred.hitTokens = expected
}
