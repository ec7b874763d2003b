package permit

import (
	"math"
	"time"
)

// Upstream is an upstream of a service as the arbiter knows it.
type Upstream struct {
	ID          string
	StartedAtMS int64 // of its incarnation, in Unix milliseconds
	Slots       int   // requests that it runs at a time
	Full        bool  // has just rejected a request
	Requests    int   // at the upstream, as all instances reported, with or without permits
}

const (
	// transitDivisor is the inverse of the part of its slots that an upstream may have in
	// addition. A permit is in use for some milliseconds before its request reaches the
	// upstream and after the answer has left it, in which the slot would be idle.
	transitDivisor = 8
	// cutFactor is the part of an upstream's bound that is left by a rejection.
	cutFactor = 0.75
	// cutInterval is the time for which the rejections by an upstream count as one.
	cutInterval = 100 * time.Millisecond
	// raiseInterval is the time without a rejection after which a lowered bound is raised
	// by one request.
	raiseInterval = 200 * time.Millisecond
	// durationWeight is the weight of one request in the mean durations.
	durationWeight = 0.1
	// slowFactor is the multiple of the mean duration of the fastest upstream from which on
	// an upstream counts as slow. It has requests of others, or its queue is not empty.
	slowFactor = 2.5
	// slowFraction is the part of the slots that are used of a slow upstream.
	slowFraction = 0.5
	// slowMemory is how long an upstream counts as slow after its last request that ended.
	slowMemory = 500 * time.Millisecond
	// failureLimit is the number of failures in a row, each of another instance than the one
	// before, after which an upstream gets no request for ejectTime, and then one at a time
	// until one is answered. The failures of one instance may be those of its link; with a
	// third of the instances partitioned from it, 1 in 243 runs of five are theirs alone.
	failureLimit = 5
	ejectTime    = 250 * time.Millisecond
	// reportWindow is the time constant of the means of requests that are reported and of
	// permits in use, the age of reports in a large fleet.
	reportWindow = 500 * time.Millisecond
	// reportSlack is the number of reported requests without a permit that are not counted,
	// since reports are not as of one time.
	reportSlack = 1
)

// room is what the arbiter knows of one upstream.
type room struct {
	Upstream
	granted   int     // permits in use
	left      float64 // part of the bound that may be used after rejections
	cutAt     time.Duration
	raisedAt  time.Duration
	mean      time.Duration // duration of requests that were answered, 0 before the first
	endedAt   time.Duration // of the last request that ended
	failures  int           // in a row, of changing instances
	failedAt  string        // instance of the last failure
	reported  float64       // mean number of requests that instances report
	permitted float64       // mean number of permits in use
	meansAt   time.Duration // of both means
	takenOver int           // requests at the upstream when this arbiter took over
	takenAt   time.Duration
	takenFor  time.Duration // after which they have ended
}

// observeReport updates the means of reported requests and of permits in use. They begin a
// window after a takeover, when the reports are of this arbiter's time.
func (r *room) observeReport(now time.Duration) {
	dt := now - r.meansAt
	r.meansAt = now
	if now < r.takenAt+2*reportWindow {
		return
	}
	weight := 1 - math.Exp(-float64(dt)/float64(reportWindow))
	r.reported += weight * (float64(r.Requests) - r.reported)
	r.permitted += weight * (float64(r.granted) - r.permitted)
}

// others returns the number of requests at the upstream that were sent without a permit of
// this arbiter, at most half of the slots: by instances that bypass it, or do not know permits.
func (r *room) others() int {
	return min(max(int(r.reported-r.permitted-reportSlack), 0), max(r.Slots, 1)/2)
}

// rest returns how many of the requests that were at the upstream at the takeover are
// assumed to be there still. They end evenly over takenFor.
func (r *room) rest(now time.Duration) int {
	if r.takenOver == 0 || now >= r.takenAt+r.takenFor {
		return 0
	}
	left := float64(r.takenAt+r.takenFor-now) / float64(r.takenFor)
	return int(float64(r.takenOver)*left + 0.5)
}

// bound returns the number of permits that may be in use, 0 if the upstream fails. fastest is the mean duration at the
// fastest upstream of the service.
func (r *room) bound(now, fastest time.Duration) int {
	slots := max(r.Slots, 1)
	full := slots + max(slots/transitDivisor, 1)
	recent := now-r.endedAt <= slowMemory
	switch {
	case r.failures < failureLimit:
	case now-r.endedAt < ejectTime:
		return 0
	default:
		return 1
	}
	if recent && fastest > 0 && float64(r.mean) > slowFactor*float64(fastest) {
		full = max(int(slowFraction*float64(slots)), 1)
	}
	for r.left < 1 && now-r.raisedAt >= raiseInterval {
		r.left, r.raisedAt = min(r.left+1/float64(slots), 1), r.raisedAt+raiseInterval
	}
	return max(int(float64(full)*r.left), 1)
}

// free returns the number of permits that may be granted.
func (r *room) free(now, fastest time.Duration) int {
	if r.Full {
		return 0
	}
	return r.bound(now, fastest) - r.granted - r.rest(now) - r.others()
}

// recordEnd records how the request of a permit of an instance ended.
func (r *room) recordEnd(now time.Duration, instance string, e Ended) {
	switch {
	case e.Rejected:
		if r.cutAt == 0 || now-r.cutAt >= cutInterval {
			r.left, r.cutAt = r.left*cutFactor, now
		}
		r.raisedAt = now
	case e.Failed:
		if instance != r.failedAt {
			r.failures, r.failedAt = r.failures+1, instance
		}
	case e.Served > 0:
		r.failures, r.failedAt = 0, ""
		r.mean = movingMean(r.mean, e.Served)
	default:
		return // the permit was not used
	}
	r.endedAt = now
}

// movingMean returns the mean after one more value; 0 stands for no value before.
func movingMean(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(durationWeight*float64(value-mean))
}
