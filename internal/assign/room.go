package assign

import (
	"slices"
	"time"
)

const (
	// holdWeight is the weight of one request in the mean time for which a request occupies
	// a slot.
	holdWeight = 0.05
	// maxPromises bounds the retries of a model that are remembered.
	maxPromises = 512
)

// room is what an instance knows about how fast the upstreams of a service and model free
// their slots, and to which callers it has promised them.
type room struct {
	meanHold time.Duration // for which a request occupies a slot; 0 before the first one ended
	promises []promise     // retries that are not due yet
}

// promise is a refused request whose caller was told when to retry.
type promise struct{ due, deadline time.Duration }

// room returns what is known of the job's service and model.
func (s *Scheduler) room(j *Job) *room {
	key := j.Service + "/" + j.Model
	r := s.roomRates[key]
	if r == nil {
		r = &room{}
		s.roomRates[key] = r
	}
	return r
}

// recordHold records for how long a request that ran to its end occupied a slot.
func (s *Scheduler) recordHold(now time.Duration, p *Placement) {
	r := s.room(p.job)
	if r.meanHold == 0 {
		r.meanHold = now - p.sentAt
		return
	}
	r.meanHold += time.Duration(holdWeight * float64(now-p.sentAt-r.meanHold))
}

// roomRate returns the requests of the job's model per second that this instance can
// place: its share of the rate at which the requests of all instances end, or the rate of its
// placements if that is higher. For plain services, whose requests may also wait at the
// upstream, it is the rate of the placements.
func (s *Scheduler) roomRate(now time.Duration, j *Job) float64 {
	placed := s.placementRate(j)
	placed.decay(now)
	r := s.room(j)
	if r.meanHold <= 0 || !j.NeedsEngine {
		return placed.perSecond
	}
	var totals slotTotals
	for _, u := range s.services[j.Service] {
		if u.takes(now, j) {
			totals.add(u)
		}
	}
	ending := float64(min(totals.requests, totals.slots)) / r.meanHold.Seconds()
	return max(placed.perSecond, ending*s.shareOfSlots(j, totals))
}

// promiseRetry returns the time after which the room for a refused job is expected to be free:
// after the jobs ahead of it in the queue and the promised retries that have less time left.
func (s *Scheduler) promiseRetry(now time.Duration, j *Job, ahead int) time.Duration {
	r := s.room(j)
	r.promises = slices.DeleteFunc(r.promises, func(p promise) bool { return p.due <= now })
	for _, p := range r.promises {
		if p.deadline <= j.Deadline {
			ahead++
		}
	}
	return s.waitBehind(now, j, ahead+1)
}

// recordPromise records when the caller of a refused job was told to retry.
func (s *Scheduler) recordPromise(now time.Duration, j *Job, after time.Duration) {
	if r := s.room(j); len(r.promises) < maxPromises {
		r.promises = append(r.promises, promise{due: now + after, deadline: j.Deadline})
	}
}

// waitBehind returns the time in which this instance can place so many requests of the job's
// model.
func (s *Scheduler) waitBehind(now time.Duration, j *Job, requests int) time.Duration {
	if rate := s.roomRate(now, j); rate > minRoomRate {
		return time.Duration(float64(requests) / rate * float64(time.Second))
	}
	return time.Duration(float64(requests) / minRoomRate * float64(time.Second))
}

// minRoomRate is the lowest rate, per second, at which room is assumed to become free.
const minRoomRate = 1

// canBeServed reports whether the caller still waits when the first token is expected.
func (j *Job) canBeServed(now, expected time.Duration) bool {
	return j.InProgress || now+expected < j.FirstEventDeadline-giveUpMargin
}

// waitLimit returns the time at which a queued job is refused while others cannot be placed.
func (j *Job) waitLimit() time.Duration {
	return min(j.FirstEventDeadline-giveUpMargin, j.Objective+lateQueueTime)
}
