// Package streamversion records at which software version of the upstreams a stream began,
// so that it goes on at that version only, whichever instance it is resumed at.
//
// The version of a stream is that of the upstream which brought its first event. The
// instance that relayed the event records it and, once a service has several versions, tells
// a few instances that follow from the stream's key: its keepers. An instance at which a
// caller resumes the stream asks them.
//
// Invariants:
//   - A record is found only under the organisation and the request that made it.
//   - The memory for records is bounded in number and age.
//   - While a service has several versions, nothing is assumed of a stream without a record:
//     an instance whose records are lost, or that is not reached, may have had one.
package streamversion

import (
	"crypto/sha256"
	"time"
)

// Key identifies a stream by the organisation and the ID of the request that brought its
// first event. It is a cryptographic hash, so that no caller can choose an ID with the key
// of another stream.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(organisation, request string) Key {
	sum := sha256.Sum256([]byte(organisation + "\x00" + request))
	return Key(sum[:16])
}

// Record is the version at which a stream began.
type Record struct {
	Key     Key
	Service string
	Version string
	Until   time.Duration // when the stream can no longer be resumed
}

// Doubtful is the version of a stream of which it is not known which one of two began it. No
// upstream has it, so the stream goes on nowhere.
const Doubtful = "\x00"

// maxRecords bounds the records of a Book.
const maxRecords = 1 << 15

// Book holds records. It is not safe for concurrent use.
type Book struct {
	byKey map[Key]Record
	order []Key // those of byKey, by the time at which they were first put
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byKey: map[Key]Record{}} }

// Put adds a record, or replaces the one with its key unless that is doubtful. Beyond maxRecords, the
// record that was put first is dropped.
func (b *Book) Put(now time.Duration, r Record) {
	if now >= r.Until {
		return
	}
	before, known := b.byKey[r.Key]
	if known && before.Version == Doubtful {
		return
	}
	if !known {
		b.order = append(b.order, r.Key)
	}
	b.byKey[r.Key] = r
	b.trim(now)
}

// trim drops records from the beginning while they have expired or are too many.
func (b *Book) trim(now time.Duration) {
	dropped := 0
	for dropped < len(b.order) {
		if now < b.byKey[b.order[dropped]].Until && len(b.byKey) <= maxRecords {
			break
		}
		delete(b.byKey, b.order[dropped])
		dropped++
	}
	b.order = b.order[dropped:]
}

// Version returns the version at which a stream of a service began, if that is known.
func (b *Book) Version(now time.Duration, key Key, service string) (version string, ok bool) {
	r, ok := b.byKey[key]
	if !ok || now >= r.Until || r.Service != service {
		return "", false
	}
	return r.Version, true
}

// Records returns the records that have not expired, in the order in which they were put.
func (b *Book) Records(now time.Duration) []Record {
	var out []Record
	for _, key := range b.order {
		if r := b.byKey[key]; now < r.Until {
			out = append(out, r)
		}
	}
	return out
}

// Len returns the number of records, with expired ones that were not dropped yet.
func (b *Book) Len() int { return len(b.byKey) }
