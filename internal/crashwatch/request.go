package crashwatch

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
)

// Request is what a Watch knows one request by: the keys of the parts of its prompt and,
// once it matters, its own. The body is hashed only after an attempt broke or if upstreams
// crashed under a request with the same head. It is not safe for concurrent use.
type Request struct {
	// Verdict is the one by which the request was held back last, nil if it was not.
	Verdict *quarantine.Verdict

	watch  *Watch
	keys   []quarantine.Key
	hashed bool // keys has that of the request itself
	head   func() quarantine.Head
	body   [][]byte // in parts
}

// NewRequest returns a request with the keys of its parts.
func (w *Watch) NewRequest(parts []quarantine.Key, head func() quarantine.Head, body ...[]byte) *Request {
	return &Request{watch: w, keys: parts, head: head, body: body}
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() uint64 { return quarantine.Fingerprint(r.head(), r.body...) }

// suspectKeys returns the keys by which the request may be held back.
func (r *Request) suspectKeys() []quarantine.Key {
	if !r.hashed && r.watch.Suspects(r.head) {
		r.addOwnKey()
	}
	return r.keys
}

func (r *Request) addOwnKey() {
	if !r.hashed {
		r.hashed = true
		r.keys = append(r.keys, quarantine.Key{Kind: quarantine.KindRequest, ID: r.Fingerprint()})
	}
}

// Held reports whether the request is held back, and if so the time after which it may be
// sent again.
func (r *Request) Held() (retryAfter time.Duration, held bool) {
	v, held := r.watch.Held(r.suspectKeys())
	if !held {
		return 0, false
	}
	r.Verdict = &v
	return r.watch.RetryAfter(&v), true
}

// Take reports whether the request may be sent now.
func (r *Request) Take() bool { return r.watch.Take(r.suspectKeys()) }

// Suspected reports whether the request should not be sent again after an attempt that an
// upstream may have crashed under.
func (r *Request) Suspected() bool { return r.watch.Suspected(r.suspectKeys()) }

// RepeatDelay returns the least time from an attempt that broke until the next one.
func (r *Request) RepeatDelay() time.Duration {
	if !r.watch.Suspects(r.head) {
		return 0
	}
	return quarantine.RepeatDelay
}

// Broke records that an attempt at an upstream broke in the beginning of its answer, see
// Watch.Broke.
func (r *Request) Broke(u quarantine.Upstream, address string) {
	r.addOwnKey()
	r.watch.Broke(u, address, r.keys)
}

// Sound records that an answer, which began at beganAt, has got beyond its beginning.
func (r *Request) Sound(beganAt time.Duration) { r.watch.Sound(beganAt, r.suspectKeys()) }
