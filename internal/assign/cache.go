package assign

import (
	"math/bits"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// maxCachedPrefixes is the maximum number of prompt prefixes that are kept for an upstream.
const maxCachedPrefixes = 1024

// prefixCache records the prompt prefixes that an upstream has processed
// recently for each model, so that requests with the same leading parts go to
// an upstream that has fewer prompt tokens left to process. The upstream may
// have evicted a prefix; the only effect is an estimate that is too low.
//
// It keeps two generations, of which the older one is dropped as a whole when the newer one is full. So it has the
// last maxCachedPrefixes/2 prefixes that were used, and no operation depends on how many there are.
type prefixCache struct {
	newer, older map[uint64]struct{} // hashes of prefixes
}

// prefix is a beginning of a prompt that ends with a part.
type prefix struct {
	hash   uint64
	tokens int
}

const (
	// fullParts is the number of leading parts each of which ends a prefix.
	fullParts = 16
	// partsPerDoubling is the number of prefixes that end between one number of parts and its double, beyond that.
	partsPerDoubling = fullParts / 2
)

// endsPrefix reports whether the n-th part, from 1, ends a prefix. It depends on n alone, so that prompts with the
// same leading parts have prefixes in common; their number grows with the logarithm of that of the parts.
func endsPrefix(n int) bool {
	if n <= fullParts {
		return true
	}
	return n%(1<<(bits.Len(uint(n))-bits.Len(partsPerDoubling))) == 0
}

// prefixesOf returns the prefixes by which a prompt is found again: at the parts that end one, and the whole prompt.
func prefixesOf(hash uint64, parts []fleet.PromptSegment) []prefix {
	var out []prefix
	tokens := 0
	for i, p := range parts {
		hash = extendHash(hash, p.ID)
		tokens += p.Tokens
		if endsPrefix(i+1) || i == len(parts)-1 {
			out = append(out, prefix{hash, tokens})
		}
	}
	return out
}

// Parameters of the 64-bit FNV hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// extendHash returns the hash of a prefix extended by a part.
func extendHash(hash, part uint64) uint64 { return (hash ^ part) * fnvPrime }

// modelHash returns the hash of a model and adapter, from which the hashes of
// its prefixes are derived.
func modelHash(model, adapter string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(model) {
		hash = extendHash(hash, uint64(model[i]))
	}
	hash = extendHash(hash, '/')
	for i := range len(adapter) {
		hash = extendHash(hash, uint64(adapter[i]))
	}
	return hash
}

// cachedTokens returns the number of leading prompt tokens that the upstream
// probably has in its cache.
func (c *prefixCache) cachedTokens(prefixes []prefix) int {
	tokens := 0
	for _, p := range prefixes {
		if !c.has(p.hash) {
			break
		}
		tokens = p.tokens
	}
	return tokens
}

func (c *prefixCache) has(hash uint64) bool {
	if _, ok := c.newer[hash]; ok {
		return true
	}
	_, ok := c.older[hash]
	return ok
}

// record adds the prefixes of a prompt that is sent to the upstream.
func (c *prefixCache) record(prefixes []prefix) {
	for _, p := range prefixes {
		if _, ok := c.newer[p.hash]; ok {
			continue
		}
		if c.newer == nil || len(c.newer) >= maxCachedPrefixes/2 {
			c.newer, c.older = make(map[uint64]struct{}), c.newer
		}
		c.newer[p.hash] = struct{}{}
	}
}

func (c *prefixCache) clear() { *c = prefixCache{} }
