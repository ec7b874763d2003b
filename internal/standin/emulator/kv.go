package emulator

import (
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// ExportKV returns the KV cache of the longest cached prefix of a prompt. The
// cache keeps it. Model is named with its adapter.
func (e *Engine) ExportKV(model string, prompt []string) engine.KVPrefix {
	blocks := engine.PrefixHashes(model, prompt)
	blocks = blocks[:e.cache.longest(blocks)/engine.CacheBlockTokens]
	k := engine.KVPrefix{Model: model, Blocks: blocks}
	e.counters.KVExported += uint64(k.Tokens())
	return k
}

// Ready reports whether requests for a model, named with its adapter, can run.
func (e *Engine) Ready(name string) bool {
	model, adapter, _ := strings.Cut(name, AdapterSeparator)
	return e.memory.ready(model, adapter)
}

func (e *Engine) importKV(k engine.KVPrefix) {
	if !e.Ready(k.Model) {
		return
	}
	model, _, _ := strings.Cut(k.Model, AdapterSeparator)
	e.counters.KVImported += uint64(k.Tokens())
	e.cacheBlocks(k.Model, model, k.Blocks)
}
