// Package permit decides who may send requests to the upstreams of a plain service, one
// without engines, that has fewer slots than there are instances. One instance, the arbiter
// of the service, holds the queue of all instances' requests and counts what is at each
// upstream. It grants permits, each for one request at one upstream; the holder sends the
// request itself and releases the permit at its end.
//
// The package does no I/O and reads no clock: the caller passes in the time, a duration on
// the instance's monotonic clock.
package permit

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance that may be the arbiter of a service.
type Member struct {
	Name     string
	Capacity uint32 // of its machine, 0 if unknown
}

// Choose returns the name of the member that is the arbiter of a service, "" if there are
// none. It uses weighted rendezvous hashing, so that members with the same list agree, and a
// member that joins or leaves moves only services that it gets or had. The weight is the
// square of the capacity: where a few large machines are among many small ones, in proportion
// to the capacity the small ones would still be chosen in 1 of 10 cases.
func Choose(service string, members []Member) string {
	best, lowest := "", math.Inf(1)
	for _, m := range members {
		weight := float64(max(m.Capacity, 1))
		cost := -math.Log(unitHash(service, m.Name)) / (weight * weight)
		if cost < lowest || cost == lowest && m.Name < best {
			best, lowest = m.Name, cost
		}
	}
	return best
}

// unitHash returns a hash of a service and a member as a number above 0 and below 1.
func unitHash(service, member string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}
