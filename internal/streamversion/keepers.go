package streamversion

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance that may keep records.
type Member struct{ Name, Zone string }

const (
	// keeperCount is the number of instances that keep the record of a stream, besides the
	// one at which it began.
	keeperCount = 2
	// askedZones is the number of zones, besides that of the asking instance, whose keepers
	// of a stream are asked; askedPerZone is the number of instances of a zone.
	askedZones   = 3
	askedPerZone = 2
)

// ranked is the order of the members for one stream: the zones by their first member, and
// the members of each zone. Instances that know the same members get the same order, and a
// member that joins or leaves changes little in it (rendezvous hashing).
type ranked struct {
	zones  []string
	byZone map[string][]string
}

func rank(key Key, members []Member) ranked {
	r := ranked{byZone: map[string][]string{}}
	weights := make(map[string]uint64, len(members))
	for _, m := range members {
		weights[m.Name] = weight(key, m.Name)
		r.byZone[m.Zone] = append(r.byZone[m.Zone], m.Name)
	}
	higher := func(a, b string) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) }
	for zone, names := range r.byZone {
		slices.SortFunc(names, higher)
		r.zones = append(r.zones, zone)
	}
	slices.SortFunc(r.zones, func(a, b string) int { return higher(r.byZone[a][0], r.byZone[b][0]) })
	return r
}

func weight(key Key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key[:])     // never fails
	_, _ = d.WriteString(name) // never fails
	return mix(d.Sum64() ^ binary.LittleEndian.Uint64(key[:8]))
}

// mix spreads a hash over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Keepers returns the names of the members that keep the record of a stream which began in
// a zone: one of that zone, which finds it there also while the zone is cut off, and one of
// another zone. In a single zone there are two.
func Keepers(key Key, members []Member, zone string) []string {
	r := rank(key, members)
	own := r.byZone[zone]
	out := slices.Clone(own[:min(len(own), 1)])
	for _, other := range r.zones {
		if other != zone && len(out) < keeperCount {
			out = append(out, r.byZone[other][0])
		}
	}
	if len(out) < keeperCount && len(own) > 1 {
		out = append(out, own[1])
	}
	return out
}

// Asked returns the names of the members that an instance of a zone asks for the record of a
// stream. They include the keepers wherever the stream began, as far as both instances know
// the same members, and those that take their places when a keeper ends.
func Asked(key Key, members []Member, zone string) []string {
	r := rank(key, members)
	take := func(zone string) []string { return r.byZone[zone][:min(askedPerZone, len(r.byZone[zone]))] }
	out := slices.Clone(take(zone))
	zones := 0
	for _, other := range r.zones {
		if other != zone && zones < askedZones {
			out = append(out, take(other)...)
			zones++
		}
	}
	return out
}
