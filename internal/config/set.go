package config

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Accepted is a document that passed its check, or the tombstone of one. It is
// what instances relay to each other; Raw is nil for a tombstone.
type Accepted struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	Raw     []byte `json:"raw,omitempty"`
}

// Rejected says why a version was not accepted.
type Rejected struct {
	Service string
	Version uint64
	Err     *settings.FieldError
}

// Result of an offered object.
type Result int

// The results of Set.Offer.
const (
	ResultOld      Result = iota // not newer than what is known
	ResultAccepted               // in force now
	ResultRejected               // failed its check; the former stays in force
)

type entry struct {
	accepted Accepted
	doc      *Service // nil for a tombstone
}

// Set holds the documents in force in one instance. It is a plain value
// without I/O and is not safe for concurrent use.
//
// Invariant: the accepted version of a service only grows, whichever source
// offers it and in whatever order.
type Set struct {
	entries  map[string]entry
	rejected map[string]Rejected
	hash     uint64 // order-independent digest of all accepted versions
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: map[string]entry{}, rejected: map[string]Rejected{}}
}

// Offer takes an object as read from the object API or from a peer.
func (s *Set) Offer(obj platform.Object) Result {
	return s.OfferAccepted(Accepted{Service: obj.Name, Version: obj.Version, Deleted: obj.Deleted, Raw: obj.Value})
}

// OfferAccepted takes a document that a peer has accepted; it is checked
// again. A version between the one in force and a newer one that failed its
// check is taken too: a newcomer may see the failed version first.
func (s *Set) OfferAccepted(a Accepted) Result {
	inForce := s.entries[a.Service].accepted.Version
	if a.Version <= inForce || a.Version == s.rejected[a.Service].Version {
		return ResultOld
	}
	return s.take(a)
}

func (s *Set) take(a Accepted) Result {
	e := entry{accepted: a}
	if !a.Deleted {
		doc, err := parseNamed(a)
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

func (s *Set) reject(a Accepted, err error) {
	if a.Version < s.rejected[a.Service].Version {
		return
	}
	fe := &settings.FieldError{File: a.Service, Want: err.Error()}
	errors.As(err, &fe)
	s.rejected[a.Service] = Rejected{Service: a.Service, Version: a.Version, Err: fe}
}

// parseNamed parses a document and holds it to the name of its object.
func parseNamed(a Accepted) (*Service, error) {
	doc, err := Parse(a.Service, a.Raw)
	if err != nil {
		return nil, err
	}
	if doc.Service != a.Service {
		return nil, &settings.FieldError{File: a.Service, Line: 1, Column: 1, Field: "service", Want: "want the object's name " + a.Service}
	}
	return doc, nil
}

// entryHash is the share of one accepted version in the set's digest.
func entryHash(a Accepted) uint64 {
	if a.Version == 0 {
		return 0
	}
	d := xxhash.NewWithSeed(a.Version)
	_, _ = d.WriteString(a.Service)
	return d.Sum64()
}

// Hash is equal in two sets that accepted the same versions.
func (s *Set) Hash() uint64 { return s.hash }

// Service returns the document in force.
func (s *Set) Service(name string) (*Service, bool) {
	e, ok := s.entries[name]
	return e.doc, ok && e.doc != nil
}

// Services returns the documents in force, by name.
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

// Accepted returns all that was accepted, by name, tombstones included.
func (s *Set) Accepted() []Accepted {
	all := make([]Accepted, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e.accepted)
	}
	slices.SortFunc(all, byService)
	return all
}

func byService(a, b Accepted) int {
	switch {
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	}
	return 0
}

// NewerThan returns what was accepted above the versions given.
func (s *Set) NewerThan(versions map[string]uint64) []Accepted {
	var newer []Accepted
	for _, a := range s.Accepted() {
		if a.Version > versions[a.Service] {
			newer = append(newer, a)
		}
	}
	return newer
}

// Rejected returns the newest version of each service that failed its check.
func (s *Set) Rejected() []Rejected {
	all := make([]Rejected, 0, len(s.rejected))
	for _, r := range s.rejected {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Rejected) int { return byService(Accepted{Service: a.Service}, Accepted{Service: b.Service}) })
	return all
}
