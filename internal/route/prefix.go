package route

import "time"

// Size of the hint cache: hintSets × hintWays entries, about 400 KB.
const (
	hintSets = 4096 // a power of two
	hintWays = 4
)

// hintHalfLife is the time in which a hint loses half of its weight.
const hintHalfLife = 2 * time.Minute

// hint says that an upstream was seen to hold a prompt prefix.
type hint struct {
	prefix   uint64
	upstream uint32
	tokens   int32
	at       time.Duration
}

// hints is a set-associative cache of bounded size. A full set replaces its
// oldest hint.
type hints struct {
	sets [hintSets][hintWays]hint
}

func (h *hints) set(prefix uint64) *[hintWays]hint {
	return &h.sets[mix(prefix)%hintSets]
}

func (h *hints) put(now time.Duration, upstream uint32, prefix uint64, tokens int) {
	set := h.set(prefix)
	oldest := &set[0]
	for i := range set {
		e := &set[i]
		if e.prefix == prefix && e.upstream == upstream {
			oldest = e
			break
		}
		if e.prefix == 0 || e.at < oldest.at && oldest.prefix != 0 {
			oldest = e
		}
	}
	*oldest = hint{prefix: prefix, upstream: upstream, tokens: int32(tokens), at: now}
}

func (h *hints) evict(upstream uint32, prefix uint64) {
	set := h.set(prefix)
	for i := range set {
		if set[i].prefix == prefix && set[i].upstream == upstream {
			set[i] = hint{}
		}
	}
}

// expected is the number of tokens of a prefix expected in an upstream's
// cache. A hint from before a gap in the upstream's events counts half.
func (h *hints) expected(now time.Duration, u *upstream, prefix uint64) int {
	set := h.set(prefix)
	for i := range set {
		e := &set[i]
		if e.prefix != prefix || e.upstream != u.id {
			continue
		}
		tokens := int(e.tokens)
		if e.at < u.gapAt {
			tokens /= 2
		}
		age := now - e.at
		halvings := min(30, max(0, age/hintHalfLife))
		tokens >>= halvings
		return tokens - int(int64(tokens)*int64(age%hintHalfLife)/int64(2*hintHalfLife))
	}
	return 0
}

// mix spreads the bits of x (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
