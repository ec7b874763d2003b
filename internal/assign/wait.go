package assign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// drainWindow is the time constant of the rate at which waiting jobs of a
	// model are placed.
	drainWindow = time.Second
	// maxWaiting bounds the jobs that wait in one instance.
	maxWaiting = 2000
	// giveUpMargin is how long before the caller's patience ends a job is
	// turned away instead of placed: no answer could reach the caller.
	giveUpMargin = 60 * time.Millisecond
	// lateHold is how long after its objective a job waits on in an overload.
	lateHold = 150 * time.Millisecond
	// defaultLoad is how long a model takes to be ready when nothing is known.
	defaultLoad = 1500 * time.Millisecond
	// minRetryAfter keeps callers from coming back before anything changed.
	minRetryAfter = 200 * time.Millisecond
)

// drain measures how fast the jobs of a service and model are placed.
type drain struct {
	rate float64 // jobs a second, decaying
	at   time.Duration
}

func (d *drain) decay(now time.Duration) {
	dt := now - d.at
	if dt <= 0 {
		return
	}
	d.at = now
	if dt >= 4*drainWindow {
		d.rate = 0
		return
	}
	d.rate -= d.rate * float64(dt) / float64(dt+drainWindow)
}

func (s *Scheduler) drain(j *Job) *drain {
	key := j.Service + "/" + j.Model
	d := s.drains[key]
	if d == nil {
		d = &drain{}
		s.drains[key] = d
	}
	return d
}

func (s *Scheduler) started(now time.Duration, j *Job) {
	d := s.drain(j)
	d.decay(now)
	d.rate += 1 / drainWindow.Seconds()
}

// Submit takes in a job: it is placed, turned away or left to wait. Exactly
// one of the results is set unless the job waits.
func (s *Scheduler) Submit(now time.Duration, j *Job) (*Placement, *Verdict) {
	j.modelHash = modelHash(j.Model, j.Adapter)
	j.Urgency = min(max(j.Urgency, 0), Urgencies-1)
	if s.closing != 0 {
		j.GiveUp = min(j.GiveUp, s.closing)
	}
	ahead := s.ahead(now, j)
	best, holders := s.choose(now, j)
	verdict := &Verdict{Job: j, Inputs: Inputs{Candidates: holders, Queue: ahead, PeerAge: s.peerAge(now)}}
	if best.u != nil && best.fits && ahead == 0 {
		verdict.take(best)
		return s.place(now, j, best), verdict
	}
	if refusal, refused := s.refuse(now, j, holders, ahead); refused {
		verdict.Refusal = refusal
		return nil, verdict
	}
	j.waiting = true
	s.turn++
	j.order = s.turn
	s.waiting = append(s.waiting, j)
	return nil, nil
}

func (v *Verdict) take(c candidate) {
	entry := c.u.entry
	v.Upstream, v.Expected = &entry, c.expected
	v.Inputs.Requests = c.u.requests()
}

// ahead counts the waiting jobs that compete with j and go first.
func (s *Scheduler) ahead(now time.Duration, j *Job) int {
	n := 0
	for _, w := range s.waiting {
		if w.Service == j.Service && w.Model == j.Model && before(now, w, j) <= 0 {
			n++
		}
	}
	return n
}

// before orders jobs: those that can still meet their objective first, by
// urgency, then by how soon the objective is due.
func before(now time.Duration, a, b *Job) int {
	if la, lb := a.late(now), b.late(now); la != lb {
		if la {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.order, b.order))
}

// Placed is a verdict with the place that it gave.
type Placed struct {
	Verdict   Verdict
	Placement *Placement // nil for a refusal
}

// Step places waiting jobs where there is room by now, and turns away those
// that have waited in vain.
func (s *Scheduler) Step(now time.Duration) []Placed {
	if len(s.waiting) == 0 {
		return nil
	}
	slices.SortFunc(s.waiting, func(a, b *Job) int { return before(now, a, b) })
	var out []Placed
	blocked := map[modelKey]int{}
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		p, v := s.retry(now, j, blocked)
		if v == nil {
			kept = append(kept, j)
			continue
		}
		j.waiting = false
		out = append(out, Placed{Verdict: *v, Placement: p})
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return out
}

// blockedTries is how many jobs of a model are tried in one step after the
// first that found no room: one with a shorter prompt may still fit.
const blockedTries = 3

func (s *Scheduler) retry(now time.Duration, j *Job, blocked map[modelKey]int) (*Placement, *Verdict) {
	key := modelKey{j.Service + "/" + j.Model, j.Adapter}
	if now >= j.GiveUp-giveUpMargin || s.crowdedOut(now, j, blocked[key]) {
		return nil, &Verdict{
			Job: j, Refusal: s.overloaded(now, j, len(s.waiting)), Inputs: Inputs{Queue: len(s.waiting), PeerAge: s.peerAge(now)},
		}
	}
	if blocked[key] >= blockedTries {
		return nil, nil
	}
	best, holders := s.choose(now, j)
	if best.u == nil || !best.fits {
		blocked[key]++
		if refusal, refused := s.hopeless(now, j, holders); refused {
			return nil, &Verdict{Job: j, Refusal: refusal, Inputs: Inputs{Candidates: holders, PeerAge: s.peerAge(now)}}
		}
		return nil, nil
	}
	v := &Verdict{Job: j, Inputs: Inputs{Candidates: holders, PeerAge: s.peerAge(now)}}
	v.take(best)
	return s.place(now, j, best), v
}

// crowdedOut reports whether a late job is better told to come back: others
// that can still be on time find no place either, so that it would wait until
// its caller leaves. blocked is how many of those found none in this step.
func (s *Scheduler) crowdedOut(now time.Duration, j *Job, blocked int) bool {
	return blocked > 0 && now >= j.Objective+lateHold
}

// Withdraw takes a job whose caller has left out of the queue. It reports
// whether the job was still waiting.
func (s *Scheduler) Withdraw(j *Job) bool {
	if !j.waiting {
		return false
	}
	j.waiting = false
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Job) bool { return w == j })
	return true
}

// Waiting returns how many jobs wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }
