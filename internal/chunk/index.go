package chunk

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// The sizes of blocks, in bytes. A block ends after the bytes whose rolling hash has
// blockEndBits leading zeros, which makes blocks of 4 KB beyond the least size on average.
const (
	minBlockBytes = 1 << 10
	maxBlockBytes = 16 << 10
	blockEndBits  = 12
	// MaxBlocks is the maximum number of blocks of a document.
	MaxBlocks = MaxSize / minBlockBytes
	// maxCollectedBytes bounds what a Collector keeps.
	maxCollectedBytes = 16 << 20
)

// gear has a random number for each byte, from which the rolling hash is made. All
// instances need the same ones.
var gear = func() (table [256]uint64) {
	x := uint64(0x9e3779b97f4a7c15)
	for i := range table { // splitmix64
		x += 0x9e3779b97f4a7c15
		z := (x ^ x>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}()

// Index names the blocks of a document by their hashes, in order. Two revisions of a
// document share the blocks in which they do not differ.
type Index struct {
	Digest uint64 // of the whole document
	Size   int    // of the whole document, in bytes
	Blocks []uint64
}

// Indexed is a document with its blocks.
type Indexed struct {
	Index
	blocks map[uint64][]byte
}

// NewIndexed divides a document into blocks. The document must not change afterwards.
func NewIndexed(raw []byte) *Indexed {
	d := &Indexed{Index: Index{Digest: xxhash.Sum64(raw), Size: len(raw)}, blocks: map[uint64][]byte{}}
	for len(raw) > 0 {
		n := blockEnd(raw)
		hash := xxhash.Sum64(raw[:n])
		d.Blocks = append(d.Blocks, hash)
		d.blocks[hash] = raw[:n:n]
		raw = raw[n:]
	}
	return d
}

// blockEnd returns the size of the first block of raw.
func blockEnd(raw []byte) int {
	end := min(len(raw), maxBlockBytes)
	hash := uint64(0)
	for i := range end {
		hash = hash<<1 + gear[raw[i]]
		if i+1 >= minBlockBytes && hash>>(64-blockEndBits) == 0 {
			return i + 1
		}
	}
	return end
}

// Block returns the block with a hash, nil if the document has none.
func (d *Indexed) Block(hash uint64) []byte { return d.blocks[hash] }

// Pack compresses blocks one after another until they take maxBytes, and returns how
// many it took: at least one, if there is one.
func Pack(blocks [][]byte, maxBytes int) (data []byte, n int, err error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	for n < len(blocks) && (n == 0 || out.Len() < maxBytes) {
		if _, err := w.Write(blocks[n]); err != nil {
			return nil, 0, fmt.Errorf("chunk: compressing blocks: %w", err)
		}
		if err := w.Flush(); err != nil {
			return nil, 0, fmt.Errorf("chunk: compressing blocks: %w", err)
		}
		n++
	}
	if err := w.Close(); err != nil {
		return nil, 0, fmt.Errorf("chunk: compressing blocks: %w", err)
	}
	return out.Bytes(), n, nil
}

// Collector collects blocks until it has all of a document, whichever senders and
// revisions they come from. Its zero value is empty.
type Collector struct {
	blocks map[uint64][]byte
	bytes  int
}

// Missing returns the hashes of the blocks of a document that neither the collector nor
// the document at hand has, each once. have may be nil.
func (c *Collector) Missing(index Index, have *Indexed) []uint64 {
	var out []uint64
	seen := map[uint64]bool{}
	for _, hash := range index.Blocks {
		if !seen[hash] && c.find(hash, have) == nil {
			out = append(out, hash)
		}
		seen[hash] = true
	}
	return out
}

func (c *Collector) find(hash uint64, have *Indexed) []byte {
	if b := c.blocks[hash]; b != nil {
		return b
	}
	if have != nil {
		return have.Block(hash)
	}
	return nil
}

// Add adds packed blocks of the given sizes. It returns how many of them are new; those
// before an error stay.
func (c *Collector) Add(data []byte, sizes []uint32) (added int, err error) {
	r := flate.NewReader(bytes.NewReader(data))
	for _, size := range sizes {
		if size == 0 || size > maxBlockBytes {
			return added, fmt.Errorf("chunk: %w: a block of %d bytes", ErrMalformed, size)
		}
		block := make([]byte, size)
		if _, err := io.ReadFull(r, block); err != nil {
			return added, fmt.Errorf("chunk: decompressing a block: %w", err)
		}
		if c.put(block) {
			added++
		}
	}
	return added, nil
}

func (c *Collector) put(block []byte) bool {
	if c.blocks == nil || c.bytes > maxCollectedBytes {
		*c = Collector{blocks: map[uint64][]byte{}}
	}
	hash := xxhash.Sum64(block)
	if c.blocks[hash] != nil {
		return false
	}
	c.blocks[hash] = block
	c.bytes += len(block)
	return true
}

// ErrIncomplete means that blocks of a document are missing.
var ErrIncomplete = errors.New("blocks are missing")

// Assemble returns the document of an index and empties the collector. It fails with
// ErrIncomplete while blocks are missing, and with ErrMalformed if the blocks do not make
// the document; the collector is then empty, too.
func (c *Collector) Assemble(index Index, have *Indexed) ([]byte, error) {
	if index.Size < 0 || index.Size > MaxSize || len(index.Blocks) > MaxBlocks {
		return nil, fmt.Errorf("chunk: %w: %d blocks of %d bytes", ErrMalformed, len(index.Blocks), index.Size)
	}
	raw := make([]byte, 0, index.Size)
	for _, hash := range index.Blocks {
		b := c.find(hash, have)
		if b == nil {
			return nil, fmt.Errorf("chunk: %w", ErrIncomplete)
		}
		if len(raw)+len(b) > index.Size {
			break
		}
		raw = append(raw, b...)
	}
	*c = Collector{}
	if len(raw) != index.Size || xxhash.Sum64(raw) != index.Digest {
		return nil, fmt.Errorf("chunk: %w: the digest differs", ErrMalformed)
	}
	return raw, nil
}
