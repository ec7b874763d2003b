package limit

import (
	"encoding/json"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

const (
	storeCallTimeout   = time.Second            // a reply that takes longer counts as lost
	storeRetryInterval = 200 * time.Millisecond // minimum interval between reads after a failed write
)

// storedObject caches one object of the store and changes it with conditional
// writes. While the outcome of a write is unknown, either value, the one before or
// the one after the write, may be stored, and callers must allow for both.
//
// Invariant: at most one write is pending, and it is repeated unchanged until a
// version above the expected one has been observed.
type storedObject[T any] struct {
	name         string
	decode       func(objectstore.Object) (T, error)
	version      uint64
	value        T
	loaded       bool // the object has been read
	pendingValue *T   // value of the pending write, nil for none
	pendingRaw   json.RawMessage
	needsRead    bool // a read is due
	inFlight     bool // a read or write has no reply yet
	calledAt     time.Duration
	observedAt   time.Duration
}

func (s *storedObject[T]) reset() {
	*s = storedObject[T]{name: s.name, decode: s.decode, needsRead: true}
}

// writable reports whether a new value may be written.
func (s *storedObject[T]) writable() bool {
	return s.loaded && !s.inFlight && !s.needsRead && s.pendingValue == nil
}

// observe records the object as read or as stored by a write.
func (s *storedObject[T]) observe(now time.Duration, obj objectstore.Object) error {
	s.inFlight, s.needsRead, s.observedAt = false, false, now
	if s.loaded && obj.Version < s.version {
		return nil
	}
	value, err := s.decode(obj)
	if err != nil {
		s.needsRead = true
		return err
	}
	if s.pendingValue != nil && obj.Version > s.version {
		s.pendingValue = nil
	}
	s.value, s.version, s.loaded = value, obj.Version, true
	return nil
}

// markFailed records that a call failed or that its outcome is unknown.
func (s *storedObject[T]) markFailed() { s.inFlight, s.needsRead = false, true }

// startWrite makes value the pending write and returns the first attempt.
func (s *storedObject[T]) startWrite(now time.Duration, value T) Action {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // structs of strings and numbers always marshal
	}
	s.pendingValue, s.pendingRaw = &value, raw
	return s.sendPendingWrite(now)
}

func (s *storedObject[T]) sendPendingWrite(now time.Duration) Action {
	s.inFlight, s.calledAt = true, now
	return Put{Name: s.name, ExpectedVersion: s.version, Value: s.pendingRaw}
}

// nextCall returns the read or the repeated write that is due, if any.
func (s *storedObject[T]) nextCall(now, pollInterval time.Duration) []Action {
	if s.inFlight && now-s.calledAt >= storeCallTimeout {
		s.markFailed()
	}
	if s.inFlight {
		return nil
	}
	if s.needsRead || now-s.observedAt >= pollInterval {
		if s.calledAt != 0 && now-s.calledAt < storeRetryInterval {
			return nil
		}
		s.inFlight, s.needsRead, s.calledAt = true, true, now
		return []Action{Get{Name: s.name}}
	}
	if s.pendingValue != nil {
		return []Action{s.sendPendingWrite(now)}
	}
	return nil
}
