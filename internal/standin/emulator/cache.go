package emulator

import (
	"container/list"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// block is one cached block of a prompt, named by the prefix that ends there.
type block struct {
	name   string // model, or model:adapter
	model  string
	prefix uint64
	tokens int // length of the prefix
}

// cache holds blocks of prompt prefixes; the least recently used goes first.
type cache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
	seq      uint64
}

func newCache(tokens int) cache {
	return cache{
		capacity: tokens / engine.CacheBlockTokens,
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// longest returns the tokens of the longest cached prefix.
func (c *cache) longest(prefixes []uint64) int {
	tokens := 0
	for _, p := range prefixes {
		el, ok := c.blocks[p]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		tokens = el.Value.(block).tokens
	}
	return tokens
}

// cachePrompt keeps the blocks of a prompt that was computed.
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
			c.order.MoveToFront(el)
			continue
		}
		b := block{name: name, model: model, prefix: p, tokens: (i + 1) * engine.CacheBlockTokens}
		c.blocks[p] = c.order.PushFront(b)
		e.emitCached(b, false)
		if c.order.Len() > c.capacity {
			e.evict(c.order.Back())
		}
	}
}

func (e *Engine) evict(el *list.Element) {
	b := e.cache.order.Remove(el).(block)
	delete(e.cache.blocks, b.prefix)
	e.emitCached(b, true)
}

// evictModel drops all blocks of a model that left the memory.
func (e *Engine) evictModel(model string) {
	for el := e.cache.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(block).model == model {
			e.evict(el)
		}
		el = next
	}
}

func (e *Engine) emitCached(b block, evicted bool) {
	e.cache.seq++
	e.emit(Cached{Event: engine.CacheEvent{
		Seq:     e.cache.seq,
		Model:   b.name,
		Prefix:  b.prefix,
		Tokens:  b.tokens,
		Evicted: evicted,
	}})
}
