package assign

import "github.com/eelgrassbay/eelgrassbay/internal/fleet"

// maxCachedPrefixes is the number of prompt prefixes recorded per upstream
// above which old ones are evicted.
const maxCachedPrefixes = 1024

// prefixCache records the prompt prefixes that an upstream has processed
// recently for each model, so that requests with the same leading parts go to
// an upstream that has fewer prompt tokens left to process. The upstream may
// have evicted a prefix; the only effect is an estimate that is too low.
type prefixCache struct {
	lastUsed map[uint64]uint64 // prefix hash to the sequence number of its last use
	sequence uint64            // number of prompts recorded
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
func (c *prefixCache) cachedTokens(hash uint64, parts []fleet.PromptSegment) int {
	tokens := 0
	for _, p := range parts {
		hash = extendHash(hash, p.ID)
		if _, ok := c.lastUsed[hash]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// record adds the prefixes of a prompt that is sent to the upstream.
func (c *prefixCache) record(hash uint64, parts []fleet.PromptSegment) {
	if c.lastUsed == nil {
		c.lastUsed = make(map[uint64]uint64)
	}
	c.sequence++
	for _, p := range parts {
		hash = extendHash(hash, p.ID)
		c.lastUsed[hash] = c.sequence
	}
	if len(c.lastUsed) > maxCachedPrefixes {
		c.evictBefore(c.sequence - maxCachedPrefixes/4)
	}
}

// evictBefore removes the prefixes last used before the sequence number.
func (c *prefixCache) evictBefore(sequence uint64) {
	for hash, used := range c.lastUsed {
		if used < sequence {
			delete(c.lastUsed, hash)
		}
	}
}

func (c *prefixCache) clear() { c.lastUsed = nil }
