package emulator

import "github.com/eelgrassbay/eelgrassbay/internal/engine"

// setRole changes which requests the engine accepts from now on. Queued and
// running requests are not affected.
func (e *Engine) setRole(o engine.Order) string {
	switch o.Role {
	case engine.RoleMixed, engine.RolePrefill, engine.RoleDecode:
	default:
		e.memory.recordOutcome(o.ID, false)
		return ReasonUnknownRole
	}
	e.role = o.Role
	e.memory.recordOutcome(o.ID, true)
	return ""
}

// matchesRole reports whether the engine's role lets it accept a request. A prefill
// engine accepts requests that generate at most one token. A decode engine accepts
// requests whose full prompt blocks are all in the cache. A mixed engine accepts
// all requests.
func (e *Engine) matchesRole(r *request) bool {
	switch e.role {
	case engine.RolePrefill:
		return r.outputTokens <= 1
	case engine.RoleDecode:
		return e.cache.longestPrefix(r.prefixes) == len(r.prefixes)*engine.CacheBlockTokens
	}
	return true
}
