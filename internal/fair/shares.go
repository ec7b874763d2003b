package fair

import (
	"math"
	"time"
)

// sharesWindow is the time over which Shares looks back.
const sharesWindow = 10 * time.Second

// Shares tells which organisations have lately received more than their share
// of an instance's live service, over all models. When there is not enough for
// all, their requests are the ones to refuse. Its memory is bounded by the
// number of organisations.
type Shares struct {
	// OverPercent is how much of its share an organisation may receive before
	// it counts as over it.
	OverPercent int

	at      time.Duration
	service map[string]float64 // decayed service per weight
	total   float64            // sum over service
}

func (s *Shares) decay(now time.Duration) {
	if now <= s.at {
		return
	}
	keep := math.Exp(-float64(now-s.at) / float64(sharesWindow))
	s.at = now
	for o := range s.service {
		s.service[o] *= keep
	}
	s.total *= keep
}

// Served charges an organisation of a weight for a request that was sent, in
// tokens.
func (s *Shares) Served(now time.Duration, organisation string, weight float64, tokens int) {
	s.decay(now)
	if s.service == nil {
		s.service = map[string]float64{}
	}
	s.service[organisation] += float64(tokens) / weight
	s.total += float64(tokens) / weight
}

// Over says whether an organisation is over its share, which is an equal one by
// weight among all organisations seen.
func (s *Shares) Over(organisation string) bool {
	return s.service[organisation]*float64(100*len(s.service)) > s.total*float64(s.OverPercent)
}

// Forget drops an organisation.
func (s *Shares) Forget(organisation string) {
	s.total -= s.service[organisation]
	delete(s.service, organisation)
}
