package quarantine

import "time"

// maxHistory is the number of keys in one generation of a history.
const maxHistory = 4096

// history remembers when the last answer began that got beyond its beginning, by the keys
// of its request. It keeps the keys that were used last, in two generations, so that its size
// is bounded and a flood of keys that are used once does not drop those in use.
type history struct {
	current, previous map[Key]time.Duration
}

// record notes that a key was in such a request, whose answer began at beganAt.
func (h *history) record(beganAt time.Duration, k Key) {
	if h.current == nil || len(h.current) >= maxHistory {
		h.current, h.previous = make(map[Key]time.Duration, maxHistory/4), h.current
	}
	h.current[k] = max(beganAt, h.current[k])
}

// lookup returns when the last such answer to a request with the key began.
func (h *history) lookup(k Key) (at time.Duration, ok bool) {
	if at, ok = h.current[k]; ok {
		return at, true
	}
	at, ok = h.previous[k]
	return at, ok
}
