package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// BucketCount is the number of buckets into which a list is divided by name. Two
// instances compare the hash of each bucket and exchange only those that differ.
const BucketCount = 128

// List is one read of the platform's list of instances.
type List struct {
	Instances    []objectstore.Instance
	ReadAt       time.Duration       // monotonic time on the local clock
	Hash         uint64              // equal for equal lists
	BucketHashes [BucketCount]uint64 // hash of each bucket
	Known        bool                // false before the first read
}

// newList returns a list with the hashes of its instances.
func newList(readAt time.Duration, instances []objectstore.Instance) List {
	l := List{Instances: instances, ReadAt: readAt, Known: true}
	d := xxhash.New()
	for _, inst := range instances {
		h := hashInstance(d, inst)
		l.Hash ^= h
		l.BucketHashes[bucketOf(inst.Name)] ^= h
	}
	return l
}

// bucketOf returns the bucket index of the named instance.
func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % BucketCount) }

func hashInstance(d *xxhash.Digest, inst objectstore.Instance) uint64 {
	d.Reset()
	for _, part := range [...]string{inst.Name, inst.Incarnation, inst.Zone, string(inst.Role), inst.Address, inst.PeerAddress, string(inst.State)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// DifferingBuckets returns the indexes of the buckets whose hashes differ from
// other, the bucket hashes of another list, and the instances in these buckets. A
// hash that other lacks counts as different.
func (l List) DifferingBuckets(other []uint64) (buckets []uint32, instances []objectstore.Instance) {
	differs := [BucketCount]bool{}
	for i := range uint32(BucketCount) {
		if int(i) >= len(other) || other[i] != l.BucketHashes[i] {
			differs[i] = true
			buckets = append(buckets, i)
		}
	}
	for _, inst := range l.Instances {
		if differs[bucketOf(inst.Name)] {
			instances = append(instances, inst)
		}
	}
	return buckets, instances
}

// ReplaceBuckets returns the instances of the list after the given buckets have
// been replaced by instances, sorted by name. The list itself is not changed.
func (l List) ReplaceBuckets(buckets []uint32, instances []objectstore.Instance) []objectstore.Instance {
	replaced := [BucketCount]bool{}
	for _, b := range buckets {
		if b < BucketCount {
			replaced[b] = true
		}
	}
	merged := slices.Clone(instances)
	for _, inst := range l.Instances {
		if !replaced[bucketOf(inst.Name)] {
			merged = append(merged, inst)
		}
	}
	slices.SortFunc(merged, func(a, b objectstore.Instance) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

// HashOf returns the List.Hash of the given instances.
func HashOf(instances []objectstore.Instance) uint64 { return newList(0, instances).Hash }
