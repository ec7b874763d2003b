// Package escrow divides a fleet-wide limit among zones, so that the zones'
// shares never add up to more than the total. The limits are the loads per
// second from the weight store, the loads in flight and the adapter loads in
// flight.
//
// A Shares value is stored in an object of objectstore.KindBudget and changed
// by conditional update. A zone reduces only its own share, and enforces the
// lower share before it writes it; other zones then claim what is free. After a
// release whose outcome is unknown, the zone enforces the lower share until it
// sees a later version of the object. InFlight and Rate enforce a zone's share
// locally without the platform.
package escrow

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ErrNotFree means that a claim asks for more than is free.
var ErrNotFree = errors.New("escrow: share is not free")

// Shares is a total and each zone's share of it. The caller chooses the unit: a
// number of operations in flight, or thousandths of an operation per second.
type Shares struct {
	Total int64            `json:"total"`
	Zones map[string]int64 `json:"zones"`
}

// EqualShares returns a total divided evenly among zones; the remainder stays
// free.
func EqualShares(total int64, zones []string) Shares {
	s := Shares{Total: total, Zones: make(map[string]int64, len(zones))}
	for _, z := range zones {
		s.Zones[z] = total / int64(len(zones))
	}
	return s
}

// Free returns the part of the total that no zone holds. It is negative after
// the total was lowered until zones have released the difference.
func (s Shares) Free() int64 {
	free := s.Total
	for _, n := range s.Zones {
		free -= n
	}
	return free
}

// Claim returns the shares with a zone's share increased by n. It fails with
// ErrNotFree if n is negative or exceeds what is free.
func (s Shares) Claim(zone string, n int64) (Shares, error) {
	if n < 0 || n > s.Free() {
		return s, fmt.Errorf("zone %q claiming %d of %d free: %w", zone, n, s.Free(), ErrNotFree)
	}
	return s.withShare(zone, s.Zones[zone]+n), nil
}

// Release returns the shares with a zone's share reduced by n, but not below
// zero. Before it writes the result, the zone calls SetShare on its InFlight or
// Rate with the lower share and waits until InFlight.WithinShare returns true.
func (s Shares) Release(zone string, n int64) Shares {
	held := s.Zones[zone]
	return s.withShare(zone, held-min(max(n, 0), held))
}

// RemoveZone returns the shares without a zone that was removed permanently; its
// share becomes free.
func (s Shares) RemoveZone(zone string) Shares {
	zones := maps.Clone(s.Zones)
	delete(zones, zone)
	return Shares{Total: s.Total, Zones: zones}
}

// withShare returns a copy of the shares in which a zone's share is n.
func (s Shares) withShare(zone string, n int64) Shares {
	zones := maps.Clone(s.Zones)
	if zones == nil {
		zones = map[string]int64{}
	}
	zones[zone] = n
	return Shares{Total: s.Total, Zones: zones}
}

// Change returns the change that brings a zone's share to demand, or to floor if
// that is more. An increase is limited to what is free; a negative result is
// the amount to release.
func (s Shares) Change(zone string, demand, floor int64) int64 {
	change := max(demand, floor) - s.Zones[zone]
	return min(change, max(s.Free(), 0))
}

// ZoneNames returns the names of the zones, sorted.
func (s Shares) ZoneNames() []string { return slices.Sorted(maps.Keys(s.Zones)) }

// InFlight limits the number of operations in flight to a share. The zero value
// allows none.
type InFlight struct {
	share int64
	used  int64
}

// SetShare sets the limit. Operations in flight beyond it run to completion.
func (f *InFlight) SetShare(n int64) { f.share = n }

// WithinShare reports whether the operations in flight do not exceed the share.
func (f *InFlight) WithinShare() bool { return f.used <= f.share }

// Free returns how many operations may start.
func (f *InFlight) Free() int64 { return max(f.share-f.used, 0) }

// Start takes one slot and reports whether one was free.
func (f *InFlight) Start() bool {
	if f.Free() == 0 {
		return false
	}
	f.used++
	return true
}

// Finish returns one slot.
func (f *InFlight) Finish() {
	if f.used > 0 {
		f.used--
	}
}

// unitsPerOperation is one operation in the unit of Rate, thousandths of an
// operation.
const unitsPerOperation = 1000

// Rate is a token bucket that limits operations to a share in thousandths of an
// operation per second, with a burst of one operation. It starts empty, so that
// a share that moves between zones does not allow an extra burst.
type Rate struct {
	share  int64
	tokens int64 // thousandths of an operation times nanoseconds per second
	last   time.Duration
}

// SetShare sets the rate, in thousandths of an operation per second.
func (r *Rate) SetShare(now time.Duration, share int64) {
	r.refill(now)
	r.share = share
}

// Start reports whether the rate allows one operation now and, if so, consumes
// its tokens. The time is on the instance's own clock.
func (r *Rate) Start(now time.Duration) bool {
	r.refill(now)
	const cost = unitsPerOperation * int64(time.Second)
	if r.tokens < cost {
		return false
	}
	r.tokens -= cost
	return true
}

// refill adds the tokens for the time since the last refill, at most one hour.
func (r *Rate) refill(now time.Duration) {
	const capacity = unitsPerOperation * int64(time.Second)
	elapsed := min(max(now-r.last, 0), time.Hour)
	r.last = max(r.last, now)
	if r.share <= 0 {
		return
	}
	if int64(elapsed) >= (capacity-r.tokens)/r.share {
		r.tokens = capacity
		return
	}
	r.tokens += int64(elapsed) * r.share
}
