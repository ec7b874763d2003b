package route

import "time"

// Size of the hint cache: hintSets × hintWays entries, about 400 KB.
const (
	hintSets = 4096 // a power of two
	hintWays = 4
)

// hintHalfLife is the time after which a hint counts half.
const hintHalfLife = 2 * time.Minute

// hint records that an upstream was seen to have a prompt prefix in its cache.
type hint struct {
	prefix   uint64
	upstream uint32
	tokens   int32
	seenAt   time.Duration
}

// hints is a set-associative cache of fixed size. In a full set, a new hint
// replaces the oldest one.
type hints struct {
	sets [hintSets][hintWays]hint
}

func (h *hints) set(prefix uint64) *[hintWays]hint {
	return &h.sets[mix(prefix)%hintSets]
}

func (h *hints) put(now time.Duration, upstream uint32, prefix uint64, tokens int) {
	set := h.set(prefix)
	replaced := &set[0]
	for i := range set {
		e := &set[i]
		if e.prefix == prefix && e.upstream == upstream {
			replaced = e
			break
		}
		if e.prefix == 0 || e.seenAt < replaced.seenAt && replaced.prefix != 0 {
			replaced = e
		}
	}
	*replaced = hint{prefix: prefix, upstream: upstream, tokens: int32(tokens), seenAt: now}
}

func (h *hints) evict(upstream uint32, prefix uint64) {
	set := h.set(prefix)
	for i := range set {
		if set[i].prefix == prefix && set[i].upstream == upstream {
			set[i] = hint{}
		}
	}
}

// expectedTokens returns the number of tokens of a prefix expected in an
// upstream's cache. A hint from before a gap in the upstream's events counts
// half.
func (h *hints) expectedTokens(now time.Duration, u *upstream, prefix uint64) int {
	set := h.set(prefix)
	for i := range set {
		e := &set[i]
		if e.prefix != prefix || e.upstream != u.id {
			continue
		}
		tokens := int(e.tokens)
		if e.seenAt < u.lastGapAt {
			tokens /= 2
		}
		age := now - e.seenAt
		halvings := min(30, max(0, age/hintHalfLife))
		tokens >>= halvings
		return tokens - int(int64(tokens)*int64(age%hintHalfLife)/int64(2*hintHalfLife))
	}
	return 0
}

// mix mixes the bits of x; it is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
