package fair

import (
	"math"
	"time"
)

// sharesWindow is the time constant with which Shares decays past service.
const sharesWindow = 10 * time.Second

// Shares tells which organisations have recently received more than their share
// of an instance's live service, over all models. When capacity does not suffice
// for all, their requests are the ones to refuse. Its memory is proportional to
// the number of organisations.
type Shares struct {
	// OverSharePercent is the percentage of its share that an organisation may
	// receive before it counts as over its share.
	OverSharePercent int

	updatedAt         time.Duration
	receivedPerWeight map[string]float64 // service in tokens divided by weight, decayed
	sumPerWeight      float64            // sum of receivedPerWeight
}

func (s *Shares) decay(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-s.updatedAt) / float64(sharesWindow))
	s.updatedAt = now
	for o := range s.receivedPerWeight {
		s.receivedPerWeight[o] *= factor
	}
	s.sumPerWeight *= factor
}

// Charge adds the cost in tokens of a request that was sent to the service that
// an organisation has received.
func (s *Shares) Charge(now time.Duration, organisation string, weight float64, tokens int) {
	s.decay(now)
	if s.receivedPerWeight == nil {
		s.receivedPerWeight = map[string]float64{}
	}
	s.receivedPerWeight[organisation] += float64(tokens) / weight
	s.sumPerWeight += float64(tokens) / weight
}

// OverShare reports whether an organisation is over its share. All organisations
// that were charged and have not been forgotten have shares in proportion to
// their weights.
func (s *Shares) OverShare(organisation string) bool {
	return s.receivedPerWeight[organisation]*float64(100*len(s.receivedPerWeight)) > s.sumPerWeight*float64(s.OverSharePercent)
}

// Forget removes an organisation and the service that it received.
func (s *Shares) Forget(organisation string) {
	s.sumPerWeight -= s.receivedPerWeight[organisation]
	delete(s.receivedPerWeight, organisation)
}
