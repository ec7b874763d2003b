package assign

import "github.com/eelgrassbay/eelgrassbay/internal/fleet"

// cacheParts bounds the prompt parts remembered of one upstream.
const cacheParts = 1024

// promptCache answers prompts that share leading parts: it remembers which
// parts an upstream has read lately for a model, so that later requests go
// where less is left to read. The upstream may have dropped them; then the
// estimate is too good, no more.
type promptCache struct {
	age  map[uint64]uint64 // chain hash to the turn in which it was used last
	turn uint64
}

const (
	hashSeed  = 14695981039346656037
	hashPrime = 1099511628211
)

// chain folds a part into the hash of the parts before it.
func chain(hash, part uint64) uint64 { return (hash ^ part) * hashPrime }

func modelHash(model, adapter string) uint64 {
	hash := uint64(hashSeed)
	for i := range len(model) {
		hash = chain(hash, uint64(model[i]))
	}
	hash = chain(hash, '/')
	for i := range len(adapter) {
		hash = chain(hash, uint64(adapter[i]))
	}
	return hash
}

// kept returns how many leading prompt tokens the upstream probably keeps.
func (c *promptCache) kept(model uint64, parts []fleet.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		model = chain(model, p.ID)
		if _, ok := c.age[model]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// read notes that the upstream reads the parts.
func (c *promptCache) read(model uint64, parts []fleet.PromptPart) {
	if c.age == nil {
		c.age = make(map[uint64]uint64)
	}
	c.turn++
	for _, p := range parts {
		model = chain(model, p.ID)
		c.age[model] = c.turn
	}
	if len(c.age) > cacheParts {
		c.forgetOlder(c.turn - cacheParts/4)
	}
}

func (c *promptCache) forgetOlder(turn uint64) {
	for hash, used := range c.age {
		if used < turn {
			delete(c.age, hash)
		}
	}
}

func (c *promptCache) clear() { c.age = nil }
