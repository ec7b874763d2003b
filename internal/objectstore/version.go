package objectstore

import (
	"errors"
	"fmt"
)

// A version states how new something is: the era of the store and, within the era, its
// revision. A store that comes back from an older copy begins an era and gives out again
// revisions that it gave out before, with other content. Versions are ordered by era, then by
// revision, and are plain numbers, so that they are compared, kept and sent as such. A store
// that never went back has era 0, and its versions equal its revisions.
const (
	revisionBits = 40
	// MaxRevision is the greatest revision of an era.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the greatest era. All versions are exact in a JSON number, which has 53 bits.
	MaxEra = 1<<(53-revisionBits) - 1
)

// ErrVersionOutOfBounds means that an era or a revision is too large to be part of a version.
var ErrVersionOutOfBounds = errors.New("objectstore: version out of bounds")

// VersionOf returns the version of a revision of an era. It fails with ErrVersionOutOfBounds.
func VersionOf(era, revision uint64) (uint64, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, fmt.Errorf("%w: era %d, revision %d", ErrVersionOutOfBounds, era, revision)
	}
	return era<<revisionBits | revision, nil
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the store's revision of a version.
func RevisionOf(version uint64) uint64 { return version & MaxRevision }

// EraStore is a Store that may come back from an older copy. Its versions have the era. A
// watch since a version of an earlier era fails with ErrHistoryGone, and a write on the
// condition of such a version with ErrConflict. Answers of an era before the latest one known
// are dropped.
type EraStore interface {
	Store
	// Era returns the latest era known, 0 if none.
	Era() uint64
	// ObserveEra records an era that another instance has seen.
	ObserveEra(era uint64)
}

// LatestEra returns the latest era of a store that is known, 0 for one without eras.
func LatestEra(s Store) uint64 {
	if e, ok := s.(EraStore); ok {
		return e.Era()
	}
	return 0
}

// ObserveEra tells a store of an era that another instance has seen. A store without eras
// ignores it.
func ObserveEra(s Store, era uint64) {
	if e, ok := s.(EraStore); ok {
		e.ObserveEra(era)
	}
}
