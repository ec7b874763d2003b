// Package chunk splits a document into parts that are sent one by one, so that a
// transfer over a slow link ends only if no part comes through, and goes on where
// it stopped, also with another sender of the same document.
//
// It also divides a document into blocks at places that its content determines, so that a
// receiver fetches those that it lacks, from any sender and across revisions.
//
// Invariants:
//   - An Assembly holds a prefix of one encoded document. A part of another
//     document, or one that does not follow the prefix, never becomes part of it.
//   - A document is decoded only when its size and digest are those that the
//     sender stated.
//   - A block is kept under the hash of what was received, so a Collector never makes
//     another document than the one that its Index names.
package chunk

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// MaxSize is the maximum size of an encoded and of a decoded document, in bytes. It
// bounds the memory that a sender can make a receiver use.
const MaxSize = 64 << 20

// Document is an encoded document: its compressed bytes and their digest. All
// senders that run the same build encode a document in the same way.
type Document struct {
	Digest uint64
	data   []byte
}

// compressors are unused *flate.Writer, each of which holds several hundred KB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// Encode returns the encoded document of raw.
func Encode(raw []byte) (*Document, error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("chunk: compressing a document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("chunk: compressing a document: %w", err)
	}
	return &Document{Digest: xxhash.Sum64(out.Bytes()), data: out.Bytes()}, nil
}

// Part is a part of an encoded document.
type Part struct {
	Digest uint64 // of the whole encoded document
	Size   int    // of the whole encoded document, in bytes
	Offset int    // of Data in the encoded document
	Data   []byte
}

// Part returns the part from offset on, of at most maxBytes. digest is that of the
// document whose first offset bytes the receiver has; if it is another document, the
// first part is returned.
func (d *Document) Part(digest uint64, offset, maxBytes int) Part {
	if digest != d.Digest || offset < 0 || offset > len(d.data) {
		offset = 0
	}
	end := min(offset+max(maxBytes, 1), len(d.data))
	return Part{Digest: d.Digest, Size: len(d.data), Offset: offset, Data: d.data[offset:end]}
}

// Assembly collects the parts of a document. Its zero value is empty.
type Assembly struct {
	digest uint64
	data   []byte
}

// Next returns the digest of the document that is being collected and the offset of
// the part that is missing next.
func (a *Assembly) Next() (digest uint64, offset int) { return a.digest, len(a.data) }

// Errors of Add.
var (
	ErrOutOfOrder = errors.New("part does not follow the ones before")
	ErrMalformed  = errors.New("malformed part")
)

// Add adds a part. It returns the decoded document once all parts are there; the
// assembly is then empty again, as after an error. The part of another document
// replaces what was collected.
func (a *Assembly) Add(p Part) (raw []byte, complete bool, err error) {
	if p.Digest != a.digest || p.Offset == 0 {
		a.digest, a.data = p.Digest, nil
	}
	switch {
	case p.Size <= 0 || p.Size > MaxSize || len(p.Data) == 0 || p.Offset+len(p.Data) > p.Size:
		*a = Assembly{}
		return nil, false, fmt.Errorf("chunk: %w: %d bytes at %d of %d", ErrMalformed, len(p.Data), p.Offset, p.Size)
	case p.Offset != len(a.data):
		*a = Assembly{}
		return nil, false, fmt.Errorf("chunk: %w: offset %d", ErrOutOfOrder, p.Offset)
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) < p.Size {
		return nil, false, nil
	}
	data := a.data
	*a = Assembly{}
	if xxhash.Sum64(data) != p.Digest {
		return nil, false, fmt.Errorf("chunk: %w: the digest differs", ErrMalformed)
	}
	raw, err = decode(data)
	return raw, err == nil, err
}

func decode(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("chunk: decompressing a document: %w", err)
	}
	if len(raw) > MaxSize {
		return nil, fmt.Errorf("chunk: %w: over %d bytes", ErrMalformed, MaxSize)
	}
	return raw, nil
}
