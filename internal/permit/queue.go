package permit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the time constant with which the grants of organisations are forgotten
	// in the order between them.
	shareWindow = 2 * time.Second
	// servingMargin is the factor by which the time that is left to a request must exceed
	// the expected wait, since requests that go first may come later.
	servingMargin = 1.1
	// tailDeviations is the number of mean deviations by which the duration of a request may
	// exceed the mean where it is decided whether it can be on time. With 0, 8 in 100 of the
	// requests were late under overload; their work differed by half of its mean.
	tailDeviations = 2
	// lateWait is how long a late request waits while others that can be on time wait too.
	lateWait = 50 * time.Millisecond
)

// waiting is a request without a permit.
type waiting struct {
	Request
	since    time.Duration
	sequence uint64
}

// late reports whether a request can no longer be answered by its objective.
func (q *queue) late(now time.Duration, w *waiting) bool { return now+q.duration >= w.Objective }

// queue is the state of one service.
type queue struct {
	rooms    []*room
	waiting  []*waiting
	held     int           // permits in use
	duration time.Duration // mean duration of the requests, 0 before the first
	// deviation is the mean absolute deviation of the duration.
	deviation time.Duration
	holding   time.Duration // mean time from grant to release, 0 before the first
	served    map[string]float64
	servedAt  time.Duration // to which served is decayed
	updated   bool          // SetUpstreams was called
}

// recordServed records the duration of a request and for how long its permit was in use.
func (q *queue) recordServed(served, holding time.Duration) {
	if q.duration > 0 {
		q.deviation += time.Duration(durationWeight * float64((served-q.duration).Abs()-q.deviation))
	}
	q.duration, q.holding = movingMean(q.duration, served), movingMean(q.holding, holding)
}

// decay forgets grants of organisations.
func (q *queue) decay(now time.Duration) {
	dt := now - q.servedAt
	if dt < shareWindow/100 {
		return
	}
	q.servedAt = now
	factor := math.Exp(-float64(dt) / float64(shareWindow))
	for org, n := range q.served {
		if n *= factor; n < 0.01 {
			delete(q.served, org)
		} else {
			q.served[org] = n
		}
	}
}

// compare orders requests for permits: those that can be on time first, then by urgency, then
// those of the organisation with the fewest recent grants, then by objective and arrival.
func (q *queue) compare(now time.Duration, a, b *waiting) int {
	if la, lb := q.late(now, a), q.late(now, b); la != lb {
		if la {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.Urgency, b.Urgency); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(q.served[a.Organisation], q.served[b.Organisation]), cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.sequence, b.sequence))
}

// fastest returns the mean duration at the fastest upstream, 0 if none is known.
func (q *queue) fastest() (fastest time.Duration) {
	for _, r := range q.rooms {
		if r.mean > 0 && (fastest == 0 || r.mean < fastest) {
			fastest = r.mean
		}
	}
	return fastest
}

// bestRoom returns the upstream with the largest free part that the request may be sent to,
// nil if none is free.
func (q *queue) bestRoom(now time.Duration, w *waiting) *room {
	fastest := q.fastest()
	var best *room
	bestPart := 0.0
	for _, r := range q.rooms {
		free := r.free(now, fastest)
		if free <= 0 || slices.Contains(w.Exclude, r.ID) {
			continue
		}
		if part := float64(free) / float64(max(r.Slots, 1)); best == nil || part > bestPart {
			best, bestPart = r, part
		}
	}
	return best
}

// next returns the waiting request that goes first of those that a free upstream may serve,
// with that upstream; nil if there is none.
func (q *queue) next(now time.Duration) (w *waiting, r *room) {
	if len(q.waiting) == 0 || q.freeTotal(now) <= 0 {
		return nil, nil
	}
	for _, c := range q.waiting {
		if w != nil && q.compare(now, w, c) <= 0 {
			continue
		}
		if best := q.bestRoom(now, c); best != nil {
			w, r = c, best
		}
	}
	return w, r
}

// freeTotal returns the number of permits that may be granted.
func (q *queue) freeTotal(now time.Duration) (n int) {
	fastest := q.fastest()
	for _, r := range q.rooms {
		n += max(r.free(now, fastest), 0)
	}
	return n
}

// boundTotal returns the number of permits that may be in use at the upstreams that are not in
// exclude.
func (q *queue) boundTotal(now time.Duration, exclude []string) (n int) {
	fastest := q.fastest()
	for _, r := range q.rooms {
		if !slices.Contains(exclude, r.ID) {
			n += r.bound(now, fastest)
		}
	}
	return n
}

// ahead returns the number of waiting requests that get a permit before w, as far as is known
// now. Within an urgency level, the grants alternate between organisations.
func (q *queue) ahead(now time.Duration, w *waiting) int {
	n := 0
	own := q.served[w.Organisation]
	others := map[string]int{}
	late := q.late(now, w)
	for _, o := range q.waiting {
		if o == w {
			continue
		}
		if lo := q.late(now, o); lo != late {
			if late {
				n++
			}
			continue
		}
		switch {
		case o.Urgency < w.Urgency:
			n++
		case o.Urgency > w.Urgency:
		case o.Organisation != w.Organisation:
			others[o.Organisation]++
		case o.Objective <= w.Objective:
			n, own = n+1, own+1
		}
	}
	for org, waits := range others { // a sum, so the order does not matter
		n += min(max(int(own-q.served[org])+1, 0), waits)
	}
	return n
}

// interval returns the mean time between two permits that become free, 0 if it is not known.
func (q *queue) interval(now time.Duration, exclude []string) time.Duration {
	bound := q.boundTotal(now, exclude)
	if bound == 0 {
		return 0
	}
	return q.holding / time.Duration(bound)
}

// expectedWait returns the expected time until a request with so many ahead gets a permit.
func (q *queue) expectedWait(now time.Duration, w *waiting, ahead int) time.Duration {
	return time.Duration(ahead+1) * q.interval(now, w.Exclude)
}

// refusal reports whether a request without a permit cannot be served in time, and when a
// permit is expected.
func (q *queue) refusal(now time.Duration, w *waiting) (retryAfter time.Duration, refused bool) {
	if q.boundTotal(now, w.Exclude) == 0 { // all upstreams fail
		return ejectTime, true
	}
	ahead := q.ahead(now, w)
	wait := q.expectedWait(now, w, ahead)
	retryAfter = max(time.Duration(len(q.waiting)+1)*q.interval(now, w.Exclude), minRetryAfter)
	left := w.GiveUpAt - now
	if !q.late(now, w) {
		left = min(left, w.Objective-q.duration-tailDeviations*q.deviation-now)
	} else {
		left = min(left, lateWait)
	}
	return retryAfter, float64(wait)*servingMargin > float64(left)
}

// minRetryAfter is the shortest retry-after time, since before it nothing has changed.
const minRetryAfter = 20 * time.Millisecond
