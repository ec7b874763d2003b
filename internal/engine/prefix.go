package engine

import (
	"encoding/binary"
	"hash/fnv"
)

// CacheBlockTokens is the number of prompt tokens in one block of the prefix
// cache.
const CacheBlockTokens = 16

// PrefixHashes returns the hash of each prefix of a prompt that ends at a block
// boundary, shortest first. Cache events identify prefixes by these hashes.
func PrefixHashes(model string, prompt []string) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	var hashes []uint64
	var length [4]byte
	for i, token := range prompt {
		binary.LittleEndian.PutUint32(length[:], uint32(len(token)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(token))
		if (i+1)%CacheBlockTokens == 0 {
			hashes = append(hashes, h.Sum64())
		}
	}
	return hashes
}
