package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"strconv"
)

// Head identifies a request without its body, so that the bodies of few requests have to be
// hashed.
type Head uint32

// HeadOf returns the head of a request: by the organisation whose key came with it, empty
// on public routes, the method, the host, the path with the query, and the length of the
// body. Headers that differ between repetitions, such as IDs and deadlines, are left out.
func HeadOf(organisation, method, host, uri string, bodyBytes int) Head {
	h := fnv.New32a()
	for _, text := range []string{organisation, method, host, uri, strconv.Itoa(bodyBytes)} {
		_, _ = h.Write([]byte(text)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return Head(h.Sum32())
}

// headOfID returns the head of the request with a fingerprint.
func headOfID(fingerprint uint64) Head { return Head(fingerprint >> 32) }

// Fingerprint identifies a request by its head and its body.
func Fingerprint(head Head, body ...[]byte) uint64 {
	hash := sha256.New()
	for _, part := range body {
		hash.Write(part)
	}
	return uint64(head)<<32 | uint64(binary.BigEndian.Uint32(hash.Sum(nil)))
}
