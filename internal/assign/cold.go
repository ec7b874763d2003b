package assign

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
)

// coldControlReserve is the number of requests in any second that a cold engine is left for
// reports and orders: the holder of the lease makes one such call a second.
const coldControlReserve = 2

// SetCold records for how long the upstreams of the list stay cold by their entries, where
// their services limit cold upstreams. It follows each call of SetUpstreams with the same
// arguments, and returns the IDs of the upstreams that have become cold.
func (s *Scheduler) SetCold(now time.Duration, config *fleet.Config, list []fleet.Upstream) (cold []string) {
	for _, entry := range list {
		u, svc := s.byID[entry.ID], config.Services[entry.Service]
		if u == nil {
			continue
		}
		if svc == nil || svc.ColdRatePerS <= 0 {
			s.limits.ForgetCold(u.limitKey())
			u.listedWarm = true
			continue
		}
		rule := upstreamlimit.ColdRule{RatePerS: svc.ColdRatePerS, StartTime: svc.ColdTime}
		if svc.Engine != nil {
			rule.Reserved = coldControlReserve
		}
		// An upstream in use does not start when the service begins to limit cold upstreams.
		known := entry.HasColdLeft || u.listedWarm
		if s.limits.SetCold(now, u.limitKey(), rule, upstreamlimit.ColdEntry{Revision: entry.Revision, Known: known, Left: entry.ColdLeft}) {
			cold = append(cold, entry.ID)
		}
	}
	return cold
}

// MergeCold records the cold upstreams that a peer has told, as far as this instance knows
// them, and returns those that have become cold by it.
func (s *Scheduler) MergeCold(now time.Duration, told []upstreamlimit.ColdUpstream) []upstreamlimit.Upstream {
	told = slices.DeleteFunc(told, func(c upstreamlimit.ColdUpstream) bool {
		u := s.byID[c.Upstream.ID]
		return u == nil || u.limitKey() != c.Upstream
	})
	return s.limits.MergeCold(now, told)
}

// ColdTimes returns for how long upstreams count as cold, by upstream ID.
func (s *Scheduler) ColdTimes(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for u, left := range s.limits.Cold(now) {
		out[u.ID] = left
	}
	return out
}
