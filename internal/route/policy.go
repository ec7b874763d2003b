package route

import (
	"math/rand/v2"
	"time"
)

// Policy picks one of at least one candidate. Implementations allocate nothing
// and may reorder the candidates.
type Policy interface {
	Choose(r *Request, feasible []*Candidate, random *rand.Rand) *Candidate
}

// Random picks any candidate.
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
		if c.Running() < best.Running() {
			best = c
		}
	}
	return best
}

// ExpectedFirstToken prefers, among two random good candidates, the one with
// the shorter expected time to the first token. A prompt prefix without a hint
// is drawn to its home: the first candidate in rendezvous order that is not
// loaded above the mean by more than the bound.
type ExpectedFirstToken struct{}

const (
	// goodSlack and goodShare bound how far above the best a candidate may be
	// to count as good.
	goodSlack = 10 * time.Millisecond
	goodShare = 8 // 1/goodShare of the best
	// loadBound is the bound of consistent hashing with bounded load, in
	// quarters of the mean.
	loadBoundQuarters = 5
	// homePrior is the share of a prefix expected at its home without a hint,
	// in quarters.
	homePriorQuarters = 2
)

// Choose implements Policy.
func (ExpectedFirstToken) Choose(r *Request, feasible []*Candidate, random *rand.Rand) *Candidate {
	if r.Prefix != 0 && len(feasible) > 1 {
		attract(r, feasible)
	}
	best := cheapest(feasible)
	limit := best.cost + max(goodSlack, best.cost/goodShare)
	good := partition(feasible, limit)
	a := good[random.IntN(len(good))]
	b := good[random.IntN(len(good))]
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

// partition moves the candidates within limit to the front and returns them.
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

// attract lowers the cost of the prefix's home by the hit to be expected there.
func attract(r *Request, feasible []*Candidate) {
	total := 0
	for _, c := range feasible {
		total += c.Running()
	}
	bound := (total*loadBoundQuarters/4)/len(feasible) + 1
	var home *Candidate
	for _, c := range feasible {
		c.hash = mix(c.up.hash ^ mix(r.Prefix))
		if c.Running() <= bound && (home == nil || c.hash > home.hash) {
			home = c
		}
	}
	expected := min(r.PromptTokens, r.PrefixTokens*homePriorQuarters/4)
	if home == nil || home.hit >= expected {
		return
	}
	home.cost -= home.up.prefillTime(expected - home.hit)
	home.hit = expected
}
