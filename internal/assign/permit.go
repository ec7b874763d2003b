package assign

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// ServiceUpstream is an upstream of a plain service as the arbiter of its permits needs it.
type ServiceUpstream struct {
	ID          string
	StartedAtMS int64
	Slots       int
	Requests    int  // at the upstream, over all instances, as far as known
	Full        bool // it has rejected a request of this instance just now
}

// ServiceUpstreams returns the upstreams of a service in the order of the list.
func (s *Scheduler) ServiceUpstreams(now time.Duration, service string) []ServiceUpstream {
	var out []ServiceUpstream
	for _, u := range s.services[service] {
		out = append(out, ServiceUpstream{
			ID: u.entry.ID, StartedAtMS: u.entry.StartedAtMS, Slots: u.slots(), Requests: max(u.requests(), 0),
			Full: now < u.fullUntil,
		})
	}
	return out
}

// ServiceTime returns the mean duration of the requests of a plain service, 0 if none is known.
func (s *Scheduler) ServiceTime(service string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, u := range s.services[service] {
		if s.opts.OwnEstimates {
			if u.ownLatency.meanServiceTime > 0 {
				sum, n = sum+u.ownLatency.meanServiceTime, n+1
			}
		} else if mean, weight := u.latency.series.Value(); weight > 0 {
			sum, n = sum+time.Duration(mean*float64(time.Millisecond)), n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// PermitTerms is what a request for a permit depends on at this instance.
type PermitTerms struct {
	Slots    int      // of all upstreams of the service
	Brittle  bool     // an upstream of the service is brittle
	Exclude  []string // IDs of upstreams that this instance must not send the job to now
	Eligible int      // upstreams that are not excluded
}

// PermitTerms prepares a job for a permit and returns its terms.
func (s *Scheduler) PermitTerms(now time.Duration, j *Job) PermitTerms {
	s.prepare(j)
	var t PermitTerms
	lowestRate := s.lowestFailureRate(j.Service)
	for _, u := range s.services[j.Service] {
		t.Slots += max(u.slots(), 0)
		_, brittle := s.rooms.Share(now, u.limitKey(), u.entry.Service, u.slots())
		t.Brittle = t.Brittle || brittle
		if s.mayPlaceAt(now, u, j, lowestRate) {
			t.Eligible++
		} else {
			t.Exclude = append(t.Exclude, u.entry.ID)
		}
	}
	return t
}

// mayPlaceAt reports whether a job with a permit may be placed at an upstream. The permit
// replaces the count of requests there and nothing else.
func (s *Scheduler) mayPlaceAt(now time.Duration, u *upstream, j *Job, lowestRate float64) bool {
	hasRoom, _ := s.roomFor(now, u)
	return hasRoom && s.allows(u, j) && u.isEligible(now, j, j.TriedUpstreams, lowestRate) && s.availableAt(now, u) <= now
}

// PlaceAt places a job at an incarnation of an upstream for which it has a permit. It returns
// no placement if the upstream is gone, or may not get the job by what PlaceNow requires
// besides free slots.
func (s *Scheduler) PlaceAt(now time.Duration, j *Job, id string, startedAtMS int64) (*Placement, *Decision) {
	s.prepare(j)
	decision := &Decision{Job: j, Factors: Inputs{PeerAge: s.peerAge(now)}}
	lowestRate := s.lowestFailureRate(j.Service)
	i := slices.IndexFunc(s.services[j.Service], func(u *upstream) bool { return u.entry.ID == id && u.entry.StartedAtMS == startedAtMS })
	if i < 0 || !s.mayPlaceAt(now, s.services[j.Service][i], j, lowestRate) {
		return nil, decision
	}
	c := s.newCandidate(now, s.services[j.Service][i], j, lowestRate)
	decision.Factors.Candidates = 1
	decision.setUpstream(c)
	return s.place(now, j, c), decision
}

// PermitRefusal returns the decision on a job that gets no permit. wait is the expected time
// until a permit is free.
func (s *Scheduler) PermitRefusal(now time.Duration, j *Job, wait time.Duration) *Decision {
	return &Decision{
		Job: j, Refusal: fleet.Refusal{Reason: fleet.ReasonOverloaded, RetryAfter: s.retryAfter(now, j, wait)}, Factors: Inputs{PeerAge: s.peerAge(now)},
	}
}

// GivesUpAt returns the time from which on a job is refused instead of placed.
func (j *Job) GivesUpAt() time.Duration { return j.FirstEventDeadline - giveUpMargin }
