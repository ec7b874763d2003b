package assign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// placementRateWindow is the time constant of the rate at which the jobs
	// of a model are placed.
	placementRateWindow = time.Second
	// maxQueuedJobs is the maximum number of jobs queued in one instance.
	maxQueuedJobs = 2000
	// giveUpMargin is the time before FirstEventDeadline from which on a job is
	// refused instead of placed, because no response could reach the caller in
	// time.
	giveUpMargin = 60 * time.Millisecond
	// lateQueueTime is how long after its objective a job stays queued in an
	// overload.
	lateQueueTime = 150 * time.Millisecond
	// defaultModelLoadTime is the assumed time until a model is ready if no
	// expected time is known.
	defaultModelLoadTime = 1500 * time.Millisecond
	// minRetryAfter is the shortest retry delay, so that callers do not retry
	// before anything has changed.
	minRetryAfter = 200 * time.Millisecond
)

// placementRate measures the rate at which the jobs of a service and model are
// placed.
type placementRate struct {
	perSecond float64 // jobs per second as of updatedAt
	updatedAt time.Duration
}

// decay decays the rate for the time since updatedAt.
func (r *placementRate) decay(now time.Duration) {
	dt := now - r.updatedAt
	if dt <= 0 {
		return
	}
	r.updatedAt = now
	if dt >= 4*placementRateWindow {
		r.perSecond = 0
		return
	}
	r.perSecond -= r.perSecond * float64(dt) / float64(dt+placementRateWindow)
}

// placementRate returns the placement rate of the job's service and model. It
// adds one if there is none.
func (s *Scheduler) placementRate(j *Job) *placementRate {
	key := j.Service
	if j.NeedsEngine { // otherwise callers may send any names
		key += "/" + j.Model
	}
	r := s.placementRates[key]
	if r == nil {
		r = &placementRate{}
		s.placementRates[key] = r
	}
	return r
}

// recordPlacement counts the job in the placement rate of its model.
func (s *Scheduler) recordPlacement(now time.Duration, j *Job) {
	r := s.placementRate(j)
	r.decay(now)
	r.perSecond += 1 / placementRateWindow.Seconds()
}

// Submit places, refuses or queues a new job. It returns a placement and a
// decision if the job is placed, only a decision if it is refused, and neither
// if it is queued.
func (s *Scheduler) Submit(now time.Duration, j *Job) (*Placement, *Decision) {
	s.prepare(j)
	s.lastSequence++
	j.sequence = s.lastSequence
	placement, decision := s.PlaceNow(now, j)
	if placement != nil {
		return placement, decision
	}
	if refusal, refused := s.checkAdmission(now, j, decision.Factors.Candidates, decision.Factors.QueueLength); refused {
		decision.Refusal = refusal
		return nil, decision
	}
	j.queued, j.queuedAt = true, now
	s.queue = append(s.queue, j)
	return nil, nil
}

// prepare sets what is derived from a job's other fields and from the end of the queue.
func (s *Scheduler) prepare(j *Job) {
	if j.prefixes == nil {
		j.prefixes = prefixesOf(modelHash(j.Model, j.Adapter), j.PromptParts)
	}
	j.Urgency = min(max(j.Urgency, 0), UrgencyLevels-1)
	if s.queueEnd != 0 && !j.InProgress {
		j.FirstEventDeadline = min(j.FirstEventDeadline, s.queueEnd)
	}
}

// PlaceNow places a job if an upstream that it has not tried can take it at once. It
// never queues the job; it returns no placement if there is no such upstream or other
// jobs go first. The job needs what Submit derives from it, as a job that was placed
// before has.
func (s *Scheduler) PlaceNow(now time.Duration, j *Job) (*Placement, *Decision) {
	ahead := s.jobsAhead(now, j)
	best, eligible := s.choose(now, j)
	decision := &Decision{Job: j, Factors: Inputs{Candidates: eligible, QueueLength: ahead, PeerAge: s.peerAge(now)}}
	if best.upstream == nil || !best.fits || ahead > 0 {
		return nil, decision
	}
	decision.setUpstream(best)
	return s.place(now, j, best), decision
}

// setUpstream sets the fields of a decision that place the job at the
// candidate.
func (d *Decision) setUpstream(c candidate) {
	entry := c.upstream.entry
	d.Upstream, d.Expected = &entry, c.expected
	d.Factors.Requests = c.upstream.requests()
}

// jobsAhead returns the number of queued jobs of the same service and model
// that go before j.
func (s *Scheduler) jobsAhead(now time.Duration, j *Job) int {
	n := 0
	for _, w := range s.queue {
		if w.Service == j.Service && w.Model == j.Model && w.competesWith(j) && s.compare(now, w, j) <= 0 {
			n++
		}
	}
	return n
}

// competesWith reports whether a queued job may need each upstream that the other needs. One
// that waits for a version or for some regions does not hold up those that others can serve.
func (j *Job) competesWith(other *Job) bool {
	if j.Regions != nil && !slices.Equal(j.Regions, other.Regions) {
		return false
	}
	return j.Version == nil || other.Version != nil && *other.Version == *j.Version
}

// compareJobs orders jobs for the queue: first those that can still meet their
// objective, then by urgency, by objective and by order of arrival.
func compareJobs(now time.Duration, a, b *Job) int {
	if la, lb := a.late(now), b.late(now); la != lb {
		if la {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.sequence, b.sequence))
}

// QueueResult is a decision on a queued job, with its placement.
type QueueResult struct {
	Decision  Decision
	Placement *Placement // nil for a refusal
}

// PlaceQueued places the queued jobs that fit at an upstream now, and refuses
// those that can no longer be served before their callers give up or that are
// shed in an overload.
func (s *Scheduler) PlaceQueued(now time.Duration) []QueueResult {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortFunc(s.queue, func(a, b *Job) int { return s.compare(now, a, b) })
	var out []QueueResult
	blocked := map[modelKey]int{}
	remaining := s.queue[:0]
	for _, j := range s.queue {
		p, d := s.tryPlace(now, j, blocked)
		if d == nil {
			s.noteLate(now, j)
			remaining = append(remaining, j)
			continue
		}
		j.queued = false
		out = append(out, QueueResult{Decision: *d, Placement: p})
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
	return out
}

// maxBlockedTries is the number of jobs of a model that may fail to be placed
// in one call of PlaceQueued before the others are skipped. Later jobs are tried
// after the first failure because one with a shorter prompt may still fit.
const maxBlockedTries = 3

// queueKey identifies the jobs that the same upstreams can serve.
func (j *Job) queueKey() modelKey {
	model := j.Service + "/" + j.Model
	if j.Version != nil {
		model += "@" + *j.Version
	}
	model += j.regionKey()
	return modelKey{model, j.Adapter}
}

// tryPlace places or refuses a queued job. It returns no decision if the job
// stays queued. blocked counts the jobs of each queueKey that could not
// be placed in this call of PlaceQueued.
func (s *Scheduler) tryPlace(now time.Duration, j *Job, blocked map[modelKey]int) (*Placement, *Decision) {
	key := j.queueKey()
	if now >= j.FirstEventDeadline-giveUpMargin || s.shouldShed(now, j, blocked[key]) {
		return nil, &Decision{
			Job: j, Refusal: s.overloadRefusal(now, j, len(s.queue)), Factors: Inputs{QueueLength: len(s.queue), PeerAge: s.peerAge(now)},
		}
	}
	if refusal, refused := s.refuseBarred(now, j); refused {
		return nil, &Decision{Job: j, Refusal: refusal, Factors: Inputs{PeerAge: s.peerAge(now)}}
	}
	if blocked[key] >= maxBlockedTries {
		return nil, nil
	}
	best, eligible := s.choose(now, j)
	if best.upstream == nil || !best.fits {
		blocked[key]++
		if refusal, refused := s.refuseUnavailable(now, j, eligible); refused {
			return nil, &Decision{Job: j, Refusal: refusal, Factors: Inputs{Candidates: eligible, PeerAge: s.peerAge(now)}}
		}
		return nil, nil
	}
	d := &Decision{Job: j, Factors: Inputs{Candidates: eligible, PeerAge: s.peerAge(now)}}
	d.setUpstream(best)
	return s.place(now, j, best), d
}

// shouldShed reports whether a late job is refused rather than left queued.
// While jobs that can still be on time cannot be placed, a late job would stay
// queued until its caller leaves. blocked is the number of jobs of its model and
// adapter that could not be placed in this call of PlaceQueued.
func (s *Scheduler) shouldShed(now time.Duration, j *Job, blocked int) bool {
	return blocked > 0 && !j.InProgress && now >= j.Objective+lateQueueTime
}

// Cancel removes from the queue a job whose caller has left. It reports whether
// the job was still queued.
func (s *Scheduler) Cancel(j *Job) bool {
	if !j.queued {
		return false
	}
	j.queued = false
	s.queue = slices.DeleteFunc(s.queue, func(w *Job) bool { return w == j })
	return true
}

// QueueLength returns the number of queued jobs.
func (s *Scheduler) QueueLength() int { return len(s.queue) }
