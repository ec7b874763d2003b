package once

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Limits of idempotency keys.
const (
	MaxKeyBytes = 255
	// MaxKeyClockSkew is how far the timestamp in a key may be ahead of the
	// instance's wall clock. It protects the keys of other callers from a
	// caller whose clock is wrong; at-most-once execution does not depend on it.
	MaxKeyClockSkew = time.Minute
)

// Errors of ParseKey.
var (
	ErrKeyMalformed   = errors.New("once: Idempotency-Key malformed")
	ErrKeyNoTimestamp = errors.New("once: Idempotency-Key carries no time")
	ErrKeyInFuture    = errors.New("once: Idempotency-Key lies in the future")
)

// digestBytes is the length of a Digest: 128 bits of SHA-256.
const digestBytes = 16

// Digest identifies an idempotency key within its service and organisation.
type Digest [digestBytes]byte

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != digestBytes {
		return fmt.Errorf("once: digest %q: not %d bytes in base64url", text, digestBytes)
	}
	copy(d[:], raw)
	return nil
}

// Key is a caller's idempotency key in its scope.
type Key struct {
	Digest Digest
	// TimeMS is the Unix time in milliseconds in a UUIDv7, or 0 for any other
	// key. It is only compared with the times of other keys.
	TimeMS int64
}

// KeyOptions configures which keys a service accepts.
type KeyOptions struct {
	// RequireTimestamp rejects keys other than UUIDv7. Without it, a key without
	// a timestamp is remembered only for the window.
	RequireTimestamp bool
}

// ParseKey validates the value of an Idempotency-Key header and returns its key
// in the scope of the service and organisation. wallMS is the instance's wall
// clock in Unix milliseconds.
func ParseKey(service, organisation, value string, wallMS int64, opts KeyOptions) (Key, error) {
	if value == "" || len(value) > MaxKeyBytes {
		return Key{}, fmt.Errorf("%w: want 1 to %d bytes, got %d", ErrKeyMalformed, MaxKeyBytes, len(value))
	}
	key := Key{Digest: digest(service, organisation, value)}
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 {
		if opts.RequireTimestamp {
			return Key{}, fmt.Errorf("%w: want a UUID of version 7", ErrKeyNoTimestamp)
		}
		return key, nil
	}
	key.Digest = digest(service, organisation, id.String())
	key.TimeMS = uuidMillis(id)
	if key.TimeMS > wallMS+MaxKeyClockSkew.Milliseconds() {
		return Key{}, fmt.Errorf("%w: more than %v ahead", ErrKeyInFuture, MaxKeyClockSkew)
	}
	return key, nil
}

func digest(parts ...string) Digest {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

// uuidMillis returns the timestamp of a UUIDv7 in Unix milliseconds, which is
// its first 48 bits (RFC 9562).
func uuidMillis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Shard returns the shard of a key, from 0 to shards-1.
func (d Digest) Shard(shards int) int {
	return int(xxhash.Sum64(d[:]) % uint64(shards))
}
