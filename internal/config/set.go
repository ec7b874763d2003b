package config

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Accepted is a document that passed validation, or the tombstone of a deleted
// document, for which Raw is nil. Instances send it to each other.
type Accepted struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	Raw     []byte `json:"raw,omitempty"`
}

// Rejected describes why a version was not accepted.
type Rejected struct {
	Service string
	Version uint64
	Err     *settings.FieldError
}

// Result is the result of offering an object to a Set.
type Result int

// The results of Set.Offer and Set.OfferAccepted.
const (
	ResultNotNewer Result = iota // not newer than the known versions
	ResultAccepted               // now in force
	ResultRejected               // failed validation; the previous version stays in force
)

// entry is the accepted version of one service.
type entry struct {
	accepted Accepted
	doc      *Service // nil for a tombstone
}

// Set holds the documents in force in one instance. It does no I/O and is not safe
// for concurrent use.
//
// Invariant: the accepted version of a service never decreases, whatever the source
// and order of the offers.
type Set struct {
	entries  map[string]entry
	rejected map[string]Rejected
	hash     uint64 // order-independent digest of all accepted versions
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: map[string]entry{}, rejected: map[string]Rejected{}}
}

// Offer validates an object read from the object API or received from a peer, and
// puts it in force if its version is newer than the accepted one and not rejected
// before.
func (s *Set) Offer(obj objectstore.Object) Result {
	return s.OfferAccepted(Accepted{Service: obj.Name, Version: obj.Version, Deleted: obj.Deleted, Raw: obj.Value})
}

// OfferAccepted is like Offer for a document that a peer has accepted; it is
// validated again. A version between the one in force and a newer rejected one is
// accepted too, because a new instance may receive the rejected version first.
func (s *Set) OfferAccepted(a Accepted) Result {
	inForce := s.entries[a.Service].accepted.Version
	if a.Version <= inForce || a.Version == s.rejected[a.Service].Version {
		return ResultNotNewer
	}
	return s.accept(a)
}

// accept validates a version and puts it in force or records the rejection.
func (s *Set) accept(a Accepted) Result {
	e := entry{accepted: a}
	if !a.Deleted {
		doc, err := parseForObject(a)
		if err != nil {
			s.reject(a, err)
			return ResultRejected
		}
		e.doc = doc
	}
	s.hash ^= entryHash(s.entries[a.Service].accepted)
	s.hash ^= entryHash(a)
	s.entries[a.Service] = e
	if a.Version > s.rejected[a.Service].Version {
		delete(s.rejected, a.Service)
	}
	return ResultAccepted
}

// reject records a version that failed validation with err, unless a newer one is
// recorded.
func (s *Set) reject(a Accepted, err error) {
	if a.Version < s.rejected[a.Service].Version {
		return
	}
	fe := &settings.FieldError{File: a.Service, Message: err.Error()}
	errors.As(err, &fe)
	s.rejected[a.Service] = Rejected{Service: a.Service, Version: a.Version, Err: fe}
}

// parseForObject parses a document and checks that it names the same service as its
// object.
func parseForObject(a Accepted) (*Service, error) {
	doc, err := Parse(a.Service, a.Raw)
	if err != nil {
		return nil, err
	}
	if doc.Service != a.Service {
		return nil, &settings.FieldError{File: a.Service, Line: 1, Column: 1, Field: "service", Message: "want the object's name " + a.Service}
	}
	return doc, nil
}

// entryHash returns the contribution of one accepted version to the set's digest.
func entryHash(a Accepted) uint64 {
	if a.Version == 0 {
		return 0
	}
	d := xxhash.NewWithSeed(a.Version)
	_, _ = d.WriteString(a.Service)
	return d.Sum64()
}

// Hash returns the digest of all accepted versions, tombstones included. It is equal
// in two sets with the same versions.
func (s *Set) Hash() uint64 { return s.hash }

// Service returns the document in force of the named service, and false if there is
// none.
func (s *Set) Service(name string) (*Service, bool) {
	e, ok := s.entries[name]
	return e.doc, ok && e.doc != nil
}

// Services returns the documents in force, sorted by service name.
func (s *Set) Services() []*Service {
	var docs []*Service
	for _, a := range s.Accepted() {
		if doc := s.entries[a.Service].doc; doc != nil {
			docs = append(docs, doc)
		}
	}
	return docs
}

// Versions returns the accepted version of every service, tombstones included.
func (s *Set) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(s.entries))
	for name, e := range s.entries {
		versions[name] = e.accepted.Version
	}
	return versions
}

// Accepted returns the accepted version of every service, sorted by service name,
// tombstones included.
func (s *Set) Accepted() []Accepted {
	all := make([]Accepted, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e.accepted)
	}
	slices.SortFunc(all, byService)
	return all
}

// byService compares two accepted versions by service name.
func byService(a, b Accepted) int {
	switch {
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	}
	return 0
}

// NewerThan returns the accepted versions that are newer than those in versions.
func (s *Set) NewerThan(versions map[string]uint64) []Accepted {
	var newer []Accepted
	for _, a := range s.Accepted() {
		if a.Version > versions[a.Service] {
			newer = append(newer, a)
		}
	}
	return newer
}

// Rejected returns, for each service with a rejected version newer than the one in
// force, the newest of them, sorted by service name.
func (s *Set) Rejected() []Rejected {
	all := make([]Rejected, 0, len(s.rejected))
	for _, r := range s.rejected {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Rejected) int { return byService(Accepted{Service: a.Service}, Accepted{Service: b.Service}) })
	return all
}
