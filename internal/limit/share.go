package limit

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

// PPM is the whole of an organisation's rate or burst, in parts per million.
const PPM = 1_000_000

// Limit is the rate and burst of an organisation across the fleet.
type Limit struct {
	Rate  int64 `json:"rate"`  // tokens per second, at most MaxTokens
	Burst int64 `json:"burst"` // tokens, at most MaxTokens
}

// MaxTokens is the upper bound of rates and bursts, in tokens, so that amounts in
// millionths of a token fit in 64 bits.
const MaxTokens = 1_000_000_000_000

// Share is a fraction of one organisation's rate and burst. Because shares are
// fractions, a changed limit takes effect without a change of shares.
type Share struct {
	RatePPM  int64 `json:"rate_ppm"`
	BurstPPM int64 `json:"burst_ppm"`
}

// Shares maps an organisation to its share.
type Shares map[string]Share

func (s Share) add(o Share) Share { return Share{s.RatePPM + o.RatePPM, s.BurstPPM + o.BurstPPM} }
func (s Share) sub(o Share) Share { return Share{s.RatePPM - o.RatePPM, s.BurstPPM - o.BurstPPM} }

func (s Share) min(o Share) Share {
	return Share{min(s.RatePPM, o.RatePPM), min(s.BurstPPM, o.BurstPPM)}
}

func (s Share) max(o Share) Share {
	return Share{max(s.RatePPM, o.RatePPM), max(s.BurstPPM, o.BurstPPM)}
}

// portion returns the fraction f of s, rounded down.
func (s Share) portion(f Share) Share {
	return Share{s.RatePPM * f.RatePPM / PPM, s.BurstPPM * f.BurstPPM / PPM}
}

// scale returns s times num over den, rounded down.
func (s Share) scale(num, den int64) Share {
	return Share{mulDiv(s.RatePPM, num, den), mulDiv(s.BurstPPM, num, den)}
}

// atLeast reports whether rate and burst of s are at least those of o.
func (s Share) atLeast(o Share) bool { return s.RatePPM >= o.RatePPM && s.BurstPPM >= o.BurstPPM }

// near reports whether rate and burst of s each differ from those of o by at most
// an eighth of o.
func (s Share) near(o Share) bool {
	return abs(s.RatePPM-o.RatePPM) <= o.RatePPM/8 && abs(s.BurstPPM-o.BurstPPM) <= o.BurstPPM/8
}

func abs(x int64) int64 { return max(x, -x) }

// mulDiv returns a*b/den for non-negative numbers, rounded down. It returns 0 if
// a, b or den is not positive.
func mulDiv(a, b, den int64) int64 {
	if a <= 0 || b <= 0 || den <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(den))
	return int64(q)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// addDriftMargin extends a term that is counted on another clock by the drift
// margin, so that the result ends here no earlier than the term ends there.
func addDriftMargin(term time.Duration, driftPPM int64) time.Duration {
	return term + time.Duration(mulDiv(int64(term), 2*driftPPM, PPM)) + time.Millisecond
}

// subtractDriftMargin shortens a term that is counted on another clock by the
// drift margin, so that the result ends here before the term ends there.
func subtractDriftMargin(term time.Duration, driftPPM int64) time.Duration {
	return term - time.Duration(mulDiv(int64(term), 2*driftPPM, PPM)) - time.Millisecond
}
