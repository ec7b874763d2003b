package emulator

import "github.com/eelgrassbay/eelgrassbay/internal/engine"

// setRole changes what requests the engine takes from now on. Those that wait
// or run go on.
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

// inRole reports whether a request is for an engine of this role.
func (e *Engine) inRole(r *request) bool {
	switch e.role {
	case engine.RolePrefill:
		return r.length <= 1
	case engine.RoleDecode:
		return e.cache.longest(r.prefixes) == len(r.prefixes)*engine.CacheBlockTokens
	}
	return true
}
