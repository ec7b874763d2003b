package assign

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// refuse decides on arrival whether a job that finds no place is turned away
// at once rather than left to wait. It answers bursts: what cannot be placed
// before its caller's patience ends is better told so while the caller can
// still come back.
func (s *Scheduler) refuse(now time.Duration, j *Job, holders, ahead int) (fleet.Refusal, bool) {
	if len(s.waiting) >= maxWaiting {
		return s.overloaded(now, j, ahead), true
	}
	if len(s.services[j.Service]) == 0 {
		return fleet.Refusal{Reason: fleet.ReasonNoUpstream, RetryAfter: defaultLoad}, true
	}
	if refusal, refused := s.hopeless(now, j, holders); refused {
		return refusal, true
	}
	if holders == 0 {
		return fleet.Refusal{}, false // the model will be ready in time
	}
	if now+s.expectedWait(now, j, ahead) >= j.GiveUp-giveUpMargin {
		return s.overloaded(now, j, ahead), true
	}
	return fleet.Refusal{}, false
}

// hopeless reports whether nothing holds what the job needs, and nothing will
// before its caller's patience ends.
func (s *Scheduler) hopeless(now time.Duration, j *Job, holders int) (fleet.Refusal, bool) {
	if holders > 0 {
		return fleet.Refusal{}, false
	}
	ready := s.ready(now, j)
	if ready < j.GiveUp-giveUpMargin {
		return fleet.Refusal{}, false
	}
	reason := fleet.ReasonModelAbsent
	if !j.Engine {
		reason = fleet.ReasonNoUpstream
	}
	return fleet.Refusal{Reason: reason, RetryAfter: s.comeBack(now, j, ready-now)}, true
}

// ready returns when an upstream for the job can be expected.
func (s *Scheduler) ready(now time.Duration, j *Job) time.Duration {
	if !j.Engine {
		return now + ejectBase
	}
	if at, ok := s.coming[modelKey{model: j.Model}]; ok {
		return max(at, now+loadReport)
	}
	if j.Adapter != "" && s.Holder(now, j.Service, j.Model, "") {
		return now + adapterWait
	}
	return now + defaultLoad
}

const (
	// loadReport is how long the news of a finished load takes.
	loadReport = 150 * time.Millisecond
	// adapterWait is how long an adapter takes from the request for it until
	// instances know of it.
	adapterWait = 300 * time.Millisecond
)

func (s *Scheduler) expectedWait(now time.Duration, j *Job, ahead int) time.Duration {
	d := s.drain(j)
	d.decay(now)
	if ahead == 0 {
		return 0
	}
	if d.rate < 1 {
		return time.Duration(ahead) * time.Second
	}
	return time.Duration(float64(ahead) / d.rate * float64(time.Second))
}

func (s *Scheduler) overloaded(now time.Duration, j *Job, ahead int) fleet.Refusal {
	return fleet.Refusal{Reason: fleet.ReasonOverloaded, RetryAfter: s.comeBack(now, j, s.expectedWait(now, j, ahead))}
}

const (
	// honoured is the part of the time left up to which callers wait as told.
	honoured = 0.32
	// lateReturn is the part of the time left after which a caller who can no
	// longer be on time comes back at the earliest: it has few tries, and an
	// overload passes by then.
	lateReturn = 0.05
)

// comeBack tells a caller when to return: as soon as it can be served if its
// objective can still be met then, else when the overload should have passed.
// Callers are spread so that they do not return together.
func (s *Scheduler) comeBack(now time.Duration, j *Job, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	left := max(j.Final-now, 0)
	if j.Objective-now <= 2*wait {
		wait = max(wait, time.Duration(lateReturn*float64(left)))
	}
	wait += time.Duration(s.rng.Int64N(int64(wait)/2 + 1))
	return max(min(wait, time.Duration(honoured*float64(left))), minRetryAfter)
}
