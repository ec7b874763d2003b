package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Buckets is the number of parts of a list that are compared one by one, so
// that two instances exchange only the parts that differ.
const Buckets = 128

// List is one read of the platform's list of instances.
type List struct {
	Instances []platform.Instance
	ReadAt    time.Duration   // on the local clock
	Hash      uint64          // equal for equal lists
	Buckets   [Buckets]uint64 // hash of each bucket
	Known     bool            // false before the first read
}

func newList(readAt time.Duration, instances []platform.Instance) List {
	l := List{Instances: instances, ReadAt: readAt, Known: true}
	d := xxhash.New()
	for _, inst := range instances {
		h := hashInstance(d, inst)
		l.Hash ^= h
		l.Buckets[bucketOf(inst.Name)] ^= h
	}
	return l
}

// bucketOf returns the bucket of the instance with a name.
func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % Buckets) }

func hashInstance(d *xxhash.Digest, inst platform.Instance) uint64 {
	d.Reset()
	for _, part := range [...]string{inst.Name, inst.Incarnation, inst.Zone, string(inst.Role), inst.Address, inst.PeerAddress, string(inst.State)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Differing returns the buckets whose hashes differ from those of another
// list, and their instances. Hashes that are missing differ.
func (l List) Differing(other []uint64) (buckets []uint32, instances []platform.Instance) {
	differs := [Buckets]bool{}
	for i := range uint32(Buckets) {
		if int(i) >= len(other) || other[i] != l.Buckets[i] {
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

// Replaced returns the instances, by name, of a list in which whole buckets
// are replaced by others.
func (l List) Replaced(buckets []uint32, instances []platform.Instance) []platform.Instance {
	gone := [Buckets]bool{}
	for _, b := range buckets {
		if b < Buckets {
			gone[b] = true
		}
	}
	merged := slices.Clone(instances)
	for _, inst := range l.Instances {
		if !gone[bucketOf(inst.Name)] {
			merged = append(merged, inst)
		}
	}
	slices.SortFunc(merged, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

// HashOf returns the Hash of a list of instances.
func HashOf(instances []platform.Instance) uint64 { return newList(0, instances).Hash }
