package emulator

import (
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// ExportKV returns the KV cache of the longest cached prefix of a prompt, which
// stays cached here. model includes the adapter.
func (e *Engine) ExportKV(model string, prompt []string) engine.KVPrefix {
	blocks := engine.PrefixHashes(model, prompt)
	blocks = blocks[:e.cache.longestPrefix(blocks)/engine.CacheBlockTokens]
	k := engine.KVPrefix{Model: model, Blocks: blocks}
	e.counters.KVExported += uint64(k.Tokens())
	return k
}

// Ready reports whether requests for a model can run. name includes the adapter.
func (e *Engine) Ready(name string) bool {
	model, adapter, _ := strings.Cut(name, AdapterSeparator)
	return e.memory.ready(model, adapter)
}

// importKV caches an imported prefix if its model is ready.
func (e *Engine) importKV(k engine.KVPrefix) {
	if !e.Ready(k.Model) {
		return
	}
	model, _, _ := strings.Cut(k.Model, AdapterSeparator)
	e.counters.KVImported += uint64(k.Tokens())
	e.cacheBlocks(k.Model, model, k.Blocks)
}
