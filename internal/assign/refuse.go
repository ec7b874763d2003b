package assign

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// checkAdmission decides whether a new job that cannot be placed now is refused
// rather than queued; the result is true for a refusal. In a burst, a job that
// cannot be placed before its caller gives up is refused at once, while the
// caller still has time to retry.
func (s *Scheduler) checkAdmission(now time.Duration, j *Job, eligible, ahead int) (fleet.Refusal, bool) {
	if len(s.queue) >= maxQueuedJobs {
		return s.overloadRefusal(now, j, ahead), true
	}
	if len(s.services[j.Service]) == 0 && j.Version == nil {
		return fleet.Refusal{Reason: fleet.ReasonNoUpstream, RetryAfter: defaultModelLoadTime}, true
	}
	if refusal, refused := s.refuseUnavailable(now, j, eligible); refused {
		return refusal, true
	}
	if eligible == 0 {
		return fleet.Refusal{}, false // the model is expected to be ready in time
	}
	if now+s.expectedWait(now, j, ahead) >= j.FirstEventDeadline-giveUpMargin {
		return s.overloadRefusal(now, j, ahead), true
	}
	return fleet.Refusal{}, false
}

// refuseUnavailable returns a refusal and true if no upstream is eligible for
// the job and none is expected to be before its caller gives up.
func (s *Scheduler) refuseUnavailable(now time.Duration, j *Job, eligible int) (fleet.Refusal, bool) {
	if s.exceedsMemory(j) {
		return memoryRefusal(), true
	}
	if eligible > 0 {
		return fleet.Refusal{}, false
	}
	if s.versionGone(j) {
		return fleet.Refusal{Reason: fleet.ReasonVersionGone}, true
	}
	if refusal, refused := s.refuseBarred(now, j); refused {
		return refusal, true
	}
	if j.queued && now-j.queuedAt >= triedQueueTime && s.triedAll(now, j) {
		reason := fleet.ReasonOverloaded
		if !j.NeedsEngine {
			reason = fleet.ReasonNoUpstream
		}
		return fleet.Refusal{Reason: reason, RetryAfter: s.retryAfter(now, j, 0)}, true
	}
	readyAt := s.expectedReady(now, j)
	if _, loading := s.readyTimes[modelKey{model: j.Model}]; !loading && !j.InProgress {
		if at, heldOff := s.heldOff(now, j); heldOff {
			return fleet.Refusal{Reason: fleet.ReasonOverloaded, RetryAfter: s.retryAfter(now, j, s.heldOffWait(j, at-now))}, true
		}
	}
	if readyAt < j.FirstEventDeadline-giveUpMargin {
		return fleet.Refusal{}, false
	}
	reason := fleet.ReasonModelAbsent
	if !j.NeedsEngine {
		reason = fleet.ReasonNoUpstream
	}
	return fleet.Refusal{Reason: reason, RetryAfter: s.retryAfter(now, j, readyAt-now)}, true
}

// versionGone reports whether no upstream has the version that the job needs.
func (s *Scheduler) versionGone(j *Job) bool {
	return !slices.ContainsFunc(s.services[j.Service], func(u *upstream) bool { return u.hasVersion(j) })
}

// heldOffWait returns the expected time until a job can be served whose upstreams are not
// available for wait. A model may be loaded on another engine before.
func (s *Scheduler) heldOffWait(j *Job, wait time.Duration) time.Duration {
	if j.NeedsEngine || wait >= maxKnownWait {
		return min(wait, defaultModelLoadTime)
	}
	return wait
}

// maxKnownWait is the wait from which on it is not an estimate.
const maxKnownWait = time.Hour

// triedQueueTime is how long a job that was sent to all its upstreams stays queued for
// another one to appear.
const triedQueueTime = 300 * time.Millisecond

// triedAll reports whether the job was sent to every upstream that serves it, and no
// other is expected. A job in progress stays queued all the same, since its response
// would be cut.
func (s *Scheduler) triedAll(now time.Duration, j *Job) bool {
	if _, loading := s.readyTimes[modelKey{model: j.Model}]; loading || j.InProgress {
		return false
	}
	tried := false
	for _, u := range s.services[j.Service] {
		if !s.allows(u, j) || !u.takes(now, j) {
			continue
		}
		if !slices.Contains(j.TriedUpstreams, u.entry.ID) {
			return false
		}
		tried = true
	}
	return tried
}

// expectedReady returns the time at which an eligible upstream for the job is
// expected.
func (s *Scheduler) expectedReady(now time.Duration, j *Job) time.Duration {
	if !j.NeedsEngine {
		return now + baseEjectionTime
	}
	if at, ok := s.readyTimes[modelKey{model: j.Model}]; ok {
		return max(at, now+modelReportDelay)
	}
	if j.Adapter != "" && s.HasModel(now, j.Service, j.Model, "") {
		return now + adapterLoadTime
	}
	return now + defaultModelLoadTime
}

const (
	// modelReportDelay is the time from the end of a model load until instances
	// know of it.
	modelReportDelay = 150 * time.Millisecond
	// adapterLoadTime is the time from the request for an adapter until
	// instances know that it is loaded.
	adapterLoadTime = 300 * time.Millisecond
)

// expectedWait returns the expected time in the queue of a job with so many
// jobs ahead of it.
func (s *Scheduler) expectedWait(now time.Duration, j *Job, ahead int) time.Duration {
	r := s.placementRate(j)
	r.decay(now)
	if ahead == 0 {
		return 0
	}
	if r.perSecond < 1 {
		return time.Duration(ahead) * time.Second
	}
	return time.Duration(float64(ahead) / r.perSecond * float64(time.Second))
}

// overloadRefusal returns the refusal of a job that would wait too long behind
// the jobs ahead of it.
func (s *Scheduler) overloadRefusal(now time.Duration, j *Job, ahead int) fleet.Refusal {
	return fleet.Refusal{Reason: fleet.ReasonOverloaded, RetryAfter: s.retryAfter(now, j, s.expectedWait(now, j, ahead))}
}

const (
	// maxRetryAfterFraction is the longest retry delay that callers honour, as
	// a fraction of the time left to the request.
	maxRetryAfterFraction = 0.32
	// lateRetryAfterFraction is the shortest retry delay of a caller whose
	// objective can no longer be met, as a fraction of the time left. The
	// caller has few attempts, and an overload should have passed by then.
	lateRetryAfterFraction = 0.05
)

// retryAfter returns the delay after which a refused caller should retry, given
// the expected wait: as soon as it can be served if its objective can still be
// met then, else when the overload should have passed. The delay is random in
// part, so that callers do not retry together.
func (s *Scheduler) retryAfter(now time.Duration, j *Job, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	remaining := max(j.Deadline-now, 0)
	if j.Objective-now <= 2*wait {
		wait = max(wait, time.Duration(lateRetryAfterFraction*float64(remaining)))
	}
	wait += time.Duration(s.rng.Int64N(int64(wait)/2 + 1))
	return max(min(wait, time.Duration(maxRetryAfterFraction*float64(remaining))), minRetryAfter)
}
