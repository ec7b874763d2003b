package emulator

import (
	"container/list"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// block is one cached block of a prompt, identified by the hash of the prefix
// that ends with it.
type block struct {
	name   string // model, or model:adapter
	model  string
	prefix uint64
	tokens int // length of the prefix
}

// cache is the prefix cache. It evicts the least recently used block.
type cache struct {
	capacity int                      // in blocks
	lru      *list.List               // of block; the most recently used is at the front
	blocks   map[uint64]*list.Element // by hash of the prefix
	eventSeq uint64                   // sequence number of the last cache event
}

// newCache returns a cache for a number of tokens, rounded down to whole blocks.
func newCache(tokens int) cache {
	return cache{
		capacity: tokens / engine.CacheBlockTokens,
		lru:      list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// longestPrefix returns the length in tokens of the longest cached prefix and
// marks its blocks as recently used.
func (c *cache) longestPrefix(prefixes []uint64) int {
	tokens := 0
	for _, p := range prefixes {
		el, ok := c.blocks[p]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		tokens = el.Value.(block).tokens
	}
	return tokens
}

// cachePrompt puts the blocks of a prefilled prompt into the cache.
func (e *Engine) cachePrompt(r *request) {
	e.cacheBlocks(r.name, r.model, r.prefixes)
}

func (e *Engine) cacheBlocks(name, model string, prefixes []uint64) {
	c := &e.cache
	if c.capacity == 0 {
		return
	}
	for i, p := range prefixes {
		if el, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		b := block{name: name, model: model, prefix: p, tokens: (i + 1) * engine.CacheBlockTokens}
		c.blocks[p] = c.lru.PushFront(b)
		e.emitCached(b, false)
		if c.lru.Len() > c.capacity {
			e.evict(c.lru.Back())
		}
	}
}

func (e *Engine) evict(el *list.Element) {
	b := e.cache.lru.Remove(el).(block)
	delete(e.cache.blocks, b.prefix)
	e.emitCached(b, true)
}

// evictModel evicts all blocks of a model that was unloaded.
func (e *Engine) evictModel(model string) {
	for el := e.cache.lru.Front(); el != nil; {
		next := el.Next()
		if el.Value.(block).model == model {
			e.evict(el)
		}
		el = next
	}
}

func (e *Engine) emitCached(b block, evicted bool) {
	e.cache.eventSeq++
	e.emit(CacheChanged{Event: engine.CacheEvent{
		Seq:     e.cache.eventSeq,
		Model:   b.name,
		Prefix:  b.prefix,
		Tokens:  b.tokens,
		Evicted: evicted,
	}})
}
