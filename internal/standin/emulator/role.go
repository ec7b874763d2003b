package emulator

import "github.com/eelgrassbay/eelgrassbay/internal/engine"

// setRole changes which requests the engine accepts from now on. Queued and
// running requests are not affected.
func (e *Engine) setRole(o engine.Order) string {
	switch o.Role {
	case engine.RoleMixed, engine.RolePrefill, engine.RoleDecode:
	default:
		e.memory.settle(o.ID, false)
		return ReasonNoRole
	}
	e.role = o.Role
	e.memory.settle(o.ID, true)
	return ""
}

// matchesRole reports whether an engine of this role accepts a request: a prefill
// engine those of at most one output token, a decode engine those
// with all full blocks of the prompt in the cache, a mixed engine all.
func (e *Engine) matchesRole(r *request) bool {
	switch e.role {
	case engine.RolePrefill:
		return r.outputTokens <= 1
	case engine.RoleDecode:
		return e.cache.longestPrefix(r.prefixes) == len(r.prefixes)*engine.CacheBlockTokens
	}
	return true
}
