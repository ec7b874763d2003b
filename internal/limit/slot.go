package limit

import (
	"encoding/json"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

const (
	slotTimeout = time.Second            // after which a reply counts as lost
	slotRetry   = 200 * time.Millisecond // between reads after a failed write
)

// slot follows one object with conditional writes. While the outcome of a
// write is open both values, before and after, have to be reckoned with.
//
// Invariant: at most one write is open, and it is repeated unchanged until a
// version above the one it expects has been seen.
type slot[T any] struct {
	name     string
	decode   func(platform.Object) (T, error)
	version  uint64
	value    T
	known    bool
	pending  *T
	raw      json.RawMessage
	stale    bool // a read is due
	inFlight bool
	askedAt  time.Duration
	readAt   time.Duration
}

func (s *slot[T]) reset() { *s = slot[T]{name: s.name, decode: s.decode, stale: true} }

// idle reports whether a new value may be written.
func (s *slot[T]) idle() bool { return s.known && !s.inFlight && !s.stale && s.pending == nil }

// observe takes in the object as read or as stored by a write.
func (s *slot[T]) observe(now time.Duration, obj platform.Object) error {
	s.inFlight, s.stale, s.readAt = false, false, now
	if s.known && obj.Version < s.version {
		return nil
	}
	value, err := s.decode(obj)
	if err != nil {
		s.stale = true
		return err
	}
	if s.pending != nil && obj.Version > s.version {
		s.pending = nil
	}
	s.value, s.version, s.known = value, obj.Version, true
	return nil
}

func (s *slot[T]) failed() { s.inFlight, s.stale = false, true }

// put starts the write of a value.
func (s *slot[T]) put(now time.Duration, value T) Action {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // structs of strings and numbers always encode
	}
	s.pending, s.raw = &value, raw
	return s.send(now)
}

func (s *slot[T]) send(now time.Duration) Action {
	s.inFlight, s.askedAt = true, now
	return Put{Name: s.name, ExpectedVersion: s.version, Value: s.raw}
}

// poll returns the read or repeated write that is due.
func (s *slot[T]) poll(now, every time.Duration) []Action {
	if s.inFlight && now-s.askedAt >= slotTimeout {
		s.failed()
	}
	if s.inFlight {
		return nil
	}
	if s.stale || now-s.readAt >= every {
		if s.askedAt != 0 && now-s.askedAt < slotRetry {
			return nil
		}
		s.inFlight, s.stale, s.askedAt = true, true, now
		return []Action{Get{Name: s.name}}
	}
	if s.pending != nil {
		return []Action{s.send(now)}
	}
	return nil
}
