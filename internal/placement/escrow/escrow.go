// Package escrow divides a fleet-wide total among zones, so that the zones'
// shares never sum to more than the total: loads a second from the weight
// store, loads in flight, and adapter loads in flight.
//
// A Shares value lives in an object of platform.KindBudget and changes by
// conditional update. A zone reduces only its own share, after the lower
// share is in force inside it; others then claim what is free. After a release
// whose outcome is unknown, the lower share stays in force until a later
// version of the object is seen. InFlight and Rate enforce a zone's share
// locally and need no platform.
package escrow

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ErrNotFree means that other zones hold what a claim asks for.
var ErrNotFree = errors.New("escrow: share is not free")

// Shares is a total and what each zone holds of it, in units that the caller
// chooses: a count in flight, or thousandths of an operation a second.
type Shares struct {
	Total int64            `json:"total"`
	Zones map[string]int64 `json:"zones"`
}

// Equal returns a total divided evenly; what does not divide stays free.
func Equal(total int64, zones []string) Shares {
	s := Shares{Total: total, Zones: make(map[string]int64, len(zones))}
	for _, z := range zones {
		s.Zones[z] = total / int64(len(zones))
	}
	return s
}

// Free returns what no zone holds. It is negative while zones have yet to
// give up what a lowered total took away.
func (s Shares) Free() int64 {
	free := s.Total
	for _, n := range s.Zones {
		free -= n
	}
	return free
}

// Claim returns shares with n more for a zone. It fails with ErrNotFree.
func (s Shares) Claim(zone string, n int64) (Shares, error) {
	if n < 0 || n > s.Free() {
		return s, fmt.Errorf("zone %q, %d of %d free: %w", zone, n, s.Free(), ErrNotFree)
	}
	return s.with(zone, s.Zones[zone]+n), nil
}

// Release returns shares with n less for a zone, at most all that it holds.
// The zone calls SetShare of its uses first, and writes only once they are
// Within the lower share.
func (s Shares) Release(zone string, n int64) Shares {
	held := s.Zones[zone]
	return s.with(zone, held-min(max(n, 0), held))
}

// Without returns shares in which a zone that is gone for good holds nothing.
func (s Shares) Without(zone string) Shares {
	zones := maps.Clone(s.Zones)
	delete(zones, zone)
	return Shares{Total: s.Total, Zones: zones}
}

func (s Shares) with(zone string, n int64) Shares {
	zones := maps.Clone(s.Zones)
	if zones == nil {
		zones = map[string]int64{}
	}
	zones[zone] = n
	return Shares{Total: s.Total, Zones: zones}
}

// Wish returns how a zone should change its share: towards demand, but not
// below floor, and upwards at most by what is free. A negative result is a
// release.
func (s Shares) Wish(zone string, demand, floor int64) int64 {
	change := max(demand, floor) - s.Zones[zone]
	return min(change, max(s.Free(), 0))
}

// Names returns the zones in order.
func (s Shares) Names() []string { return slices.Sorted(maps.Keys(s.Zones)) }

// InFlight limits operations under way to a share. The zero value allows none.
type InFlight struct {
	share int64
	used  int64
}

// SetShare puts a share in force. Operations beyond it run to their end.
func (f *InFlight) SetShare(n int64) { f.share = n }

// Within says whether no more than the share is under way.
func (f *InFlight) Within() bool { return f.used <= f.share }

// Free returns how many operations may start.
func (f *InFlight) Free() int64 { return max(f.share-f.used, 0) }

// Start takes one slot if there is one.
func (f *InFlight) Start() bool {
	if f.Free() == 0 {
		return false
	}
	f.used++
	return true
}

// End gives one slot back.
func (f *InFlight) End() {
	if f.used > 0 {
		f.used--
	}
}

// milli is one operation in the units of Rate.
const milli = 1000

// Rate limits operations to a share in thousandths a second, with a burst of
// one operation. It starts empty, so a share that moves brings no burst.
type Rate struct {
	share int64
	level int64 // thousandths of an operation, times nanoseconds a second
	last  time.Duration
}

// SetShare puts a share in force, in thousandths of an operation a second.
func (r *Rate) SetShare(now time.Duration, share int64) {
	r.refill(now)
	r.share = share
}

// Start takes one operation if the rate allows it at the instance's time.
func (r *Rate) Start(now time.Duration) bool {
	r.refill(now)
	const one = milli * int64(time.Second)
	if r.level < one {
		return false
	}
	r.level -= one
	return true
}

func (r *Rate) refill(now time.Duration) {
	const full = milli * int64(time.Second)
	passed := min(max(now-r.last, 0), time.Hour)
	r.last = max(r.last, now)
	if r.share <= 0 {
		return
	}
	if int64(passed) >= (full-r.level)/r.share {
		r.level = full
		return
	}
	r.level += int64(passed) * r.share
}
