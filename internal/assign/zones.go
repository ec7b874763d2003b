package assign

import (
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// SetEvacuated replaces the zones whose upstreams get no request.
func (s *Scheduler) SetEvacuated(zones map[string]bool) { s.evacuated = zones }

// allows reports whether the job may be sent to the upstream's zone at all: it is not
// evacuated, and its region is one of those of the job.
func (s *Scheduler) allows(u *upstream, j *Job) bool {
	return !s.evacuated[u.entry.Zone] && inRegions(s.opts.Regions, u.entry.Zone, j.Regions)
}

// inRegions reports whether a zone is in one of the allowed regions, nil for any. A zone
// without a known region is in none.
func inRegions(regionOf map[string]string, zone string, allowed []string) bool {
	if allowed == nil {
		return true
	}
	region, ok := regionOf[zone]
	return ok && slices.Contains(allowed, region)
}

// MayCarry reports whether an instance of the zone carrier may get the body of a request, to
// relay it, that a caller has sent to an instance of the zone own: it is in one of the allowed
// regions, nil for any, or in the region of the caller's instance. regionOf is the region of
// each zone.
func MayCarry(regionOf map[string]string, allowed []string, own, carrier string) bool {
	if own == carrier || inRegions(regionOf, carrier, allowed) {
		return true
	}
	region, ok := regionOf[carrier]
	ownRegion, ownOK := regionOf[own]
	return ok && ownOK && region == ownRegion
}

// barred reports whether the zones of all upstreams that the job could be sent to are
// evacuated or outside its regions. evacuated is whether some are only evacuated.
func (s *Scheduler) barred(j *Job) (barred, evacuated bool) {
	for _, u := range s.services[j.Service] {
		if !u.hasVersion(j) {
			continue
		}
		if s.allows(u, j) {
			return false, false
		}
		barred = true
		evacuated = evacuated || inRegions(s.opts.Regions, u.entry.Zone, j.Regions)
	}
	return barred, evacuated
}

// refuseBarred returns a refusal and true if no upstream is in a zone to which the job may be
// sent.
func (s *Scheduler) refuseBarred(now time.Duration, j *Job) (fleet.Refusal, bool) {
	if len(s.evacuated) == 0 && j.Regions == nil {
		return fleet.Refusal{}, false
	}
	barred, evacuated := s.barred(j)
	switch {
	case !barred:
		return fleet.Refusal{}, false
	case evacuated:
		return fleet.Refusal{Reason: fleet.ReasonEvacuated, RetryAfter: s.retryAfter(now, j, defaultModelLoadTime)}, true
	}
	return fleet.Refusal{Reason: fleet.ReasonRegion}, true
}

// RequestsInEvacuated returns the number of requests of this instance that are still running
// at upstreams of evacuated zones, by zone.
func (s *Scheduler) RequestsInEvacuated() map[string]int {
	out := map[string]int{}
	for _, u := range s.byID {
		if n := u.ownLoad.Requests(); n > 0 && s.evacuated[u.entry.Zone] {
			out[u.entry.Zone] += n
		}
	}
	return out
}

// regionKey identifies the regions of a job in a queueKey.
func (j *Job) regionKey() string {
	if j.Regions == nil {
		return ""
	}
	return "#" + strings.Join(j.Regions, ",")
}
