package assign

import (
	"math"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// An engine holds the prompts and outputs of its running requests in a cache of
// fleet.Engine.KVTokens tokens. One that accepts more than it can hold preempts requests in
// the middle of their streams. A placement therefore reserves, for the whole of its run, the
// memory that its request takes when it is complete.

const (
	// outputWeight is the weight of one complete stream in the statistics of outputLengths.
	outputWeight = 1.0 / 64
	// outputStep is the change of the estimated median per stream, as a logarithm.
	outputStep = 1.0 / 32
	// minOutputCorrection and maxOutputCorrection bound the correction of length hints. The
	// mean of a log-normal distribution with a spread of 0.9 is 1.5 times its median.
	minOutputCorrection = 0.8
	maxOutputCorrection = 1.6
	// staleDeviations is the reserve of staleReserve in standard deviations.
	staleDeviations = 1.0
	// minOutputEvidence is the number of complete streams before which hints are not corrected.
	minOutputEvidence = 16
)

// runTimes learns how long requests of one model occupy an engine.
type runTimes struct{ mean time.Duration }

func (r *runTimes) observe(d time.Duration) {
	if r.mean == 0 {
		r.mean = d
		return
	}
	r.mean += time.Duration(observationWeight * float64(d-r.mean))
}

// defaultRunTime is the assumed time that a request occupies an engine.
const defaultRunTime = 2 * time.Second

// recordRunTime records how long a complete response occupied its engine.
func (s *Scheduler) recordRunTime(now time.Duration, p *Placement) {
	key := modelKey{p.job.Service, p.job.Model}
	if s.runTimes[key] == nil {
		s.runTimes[key] = &runTimes{}
	}
	s.runTimes[key].observe(now - p.sentAt)
}

// prepareMemory sets what choose needs of the job for each upstream. Requests last for the mean run
// time of their model, so that the part of them that ended since the load reports follows.
func (s *Scheduler) prepareMemory(now time.Duration, j *Job) {
	mean := defaultRunTime
	if r := s.runTimes[modelKey{j.Service, j.Model}]; r != nil {
		mean = max(r.mean, time.Millisecond)
	}
	j.output, j.unseen = s.expectedOutput(j), float64(s.reportAge(now))/float64(mean)
}

// reportAge returns the age of the load reports, at least minReportAge.
func (s *Scheduler) reportAge(now time.Duration) time.Duration {
	return max(s.peerAge(now), minReportAge)
}

// minReportAge is the shortest time within which peers act on a load report before the next one
// shows what they did: the interval of exchanges in a small fleet.
const minReportAge = 150 * time.Millisecond

// memoryStale reports whether peers have probably placed a request at the engines of a job since
// their load reports.
func (j *Job) memoryStale(u *upstream, t slotTotals) bool {
	return u.hasLimitedMemory() && float64(t.requests-t.ownRequests)*j.unseen >= 1
}

// staleReserve returns the memory to be left at an engine for what peers may have placed since
// their load reports, in tokens. That is as many requests as ended meanwhile, which free as much
// on average; the reserve is the standard deviation of the difference, in requests of the same
// size. The rate of this instance's own placements says too little where each places a request
// in some seconds.
func (s *Scheduler) staleReserve(u *upstream, j *Job, reservation int) int {
	if len(s.peers) == 0 || !u.hasLimitedMemory() {
		return 0
	}
	return int(staleDeviations * math.Sqrt(2*j.unseen*float64(u.peerLoad.Requests())) * float64(reservation))
}

// outputLengths learns, for one model, by how much the mean length of outputs exceeds the
// length hints. Hints are accurate at the median, while memory is taken by the sum of the
// outputs, which follows the mean. Only the quotient of mean and median is used, so that the
// unit in which outputs are counted does not matter: an event may carry several tokens.
type outputLengths struct {
	observed  int
	mean      float64 // of the length divided by the hint
	logMedian float64 // of the same, natural logarithm
}

func (o *outputLengths) observe(length, hint int) {
	ratio := min(max(float64(length)/float64(hint), 1.0/64), 64)
	o.observed++
	if o.observed == 1 {
		o.mean, o.logMedian = ratio, math.Log(ratio)
		return
	}
	weight := max(1/float64(o.observed), outputWeight)
	o.mean += weight * (ratio - o.mean)
	o.logMedian += math.Copysign(max(outputStep, 1/float64(o.observed)), math.Log(ratio)-o.logMedian)
}

// correction returns the factor by which hints are multiplied.
func (o *outputLengths) correction() float64 {
	if o == nil || o.observed < minOutputEvidence {
		return 1
	}
	return min(max(o.mean/math.Exp(o.logMedian), minOutputCorrection), maxOutputCorrection)
}

// RecordOutput records that the response to a placement was complete after so many events.
func (s *Scheduler) RecordOutput(p *Placement, events int) {
	if p.job.LengthHint <= 0 || events <= 0 {
		return
	}
	key := modelKey{p.job.Service, p.job.Model}
	o := s.outputs[key]
	if o == nil {
		o = &outputLengths{}
		s.outputs[key] = o
	}
	o.observe(events, p.job.LengthHint)
}

// expectedOutput returns the number of output tokens that the job is expected to need: the
// corrected length hint, at most the stated maximum.
func (s *Scheduler) expectedOutput(j *Job) int {
	if j.LengthHint <= 0 {
		return j.OutputTokens
	}
	expected := int(math.Ceil(float64(j.LengthHint) * s.outputs[modelKey{j.Service, j.Model}].correction()))
	if j.OutputTokens > 0 {
		expected = min(expected, j.OutputTokens)
	}
	return expected
}

// reservation returns the tokens of memory that the job reserves at the upstream, 0 at a plain
// service. uncached is the number of prompt tokens that the upstream does not hold. A request
// that states no length reserves what an even part of a full batch has.
func (u *upstream) reservation(j *Job, uncached int) int {
	if u.engine == nil {
		return 0
	}
	tokens := uncached + j.output
	if j.PromptTokens == 0 && j.OutputTokens == 0 {
		tokens = u.engine.KVTokens / max(u.slots(), 1)
	}
	if u.engine.KVTokens > 0 {
		tokens = min(tokens, u.engine.KVTokens)
	}
	return tokens
}

// hasLimitedMemory reports whether the memory of the upstream is known.
func (u *upstream) hasLimitedMemory() bool {
	return u.countsMemory && u.engine != nil && u.engine.KVTokens > 0
}

// hasMemory reports whether the upstream has memory left for a reservation. An engine without
// requests takes every reservation, whatever estimates say, so that none stays idle.
func (u *upstream) hasMemory(reservation, reserve int) bool {
	if !u.hasLimitedMemory() || u.requests() == 0 {
		return true
	}
	return u.reserved()+reservation+reserve <= u.engine.KVTokens
}

// reserved returns the tokens of memory reserved at the upstream, over all instances.
func (u *upstream) reserved() int { return u.ownLoad.ReservedTokens + u.peerLoad.ReservedTokens }

// fullness returns the part of the upstream's slots or memory that is in use, whichever is more.
func (u *upstream) fullness() float64 {
	slots := float64(u.requests()) / float64(u.slots())
	if !u.hasLimitedMemory() {
		return slots
	}
	return max(slots, float64(u.reserved())/float64(u.engine.KVTokens))
}

// exceedsMemory reports whether the job needs more memory than any engine of its service has.
// It counts the shortest output that the job may be expected to need, so that an estimate that
// is too high refuses nothing. A job in progress fitted already.
func (s *Scheduler) exceedsMemory(j *Job) bool {
	if !j.NeedsEngine || j.InProgress {
		return false
	}
	output := s.expectedOutput(j)
	if j.LengthHint > 0 {
		output = min(output, j.LengthHint)
	}
	upstreams := s.services[j.Service]
	for _, u := range upstreams {
		if !u.hasLimitedMemory() || j.PromptTokens+output <= u.engine.KVTokens {
			return false
		}
	}
	return len(upstreams) > 0
}

// memoryRefusal is the refusal of a job that exceeds the memory of engines. It has no time to
// retry, since no engine will be larger.
func memoryRefusal() fleet.Refusal { return fleet.Refusal{Reason: fleet.ReasonExceedsMemory} }

// fitsEmpty reports whether a job that is late or in progress may be placed at an engine
// without requests although its estimate exceeds the limit for such jobs: the engine would
// be idle otherwise, and the caller still waits.
func (s *Scheduler) fitsEmpty(now time.Duration, u *upstream, j *Job, expected time.Duration) bool {
	return u.countsMemory && u.engine != nil && u.requests() == 0 && (j.InProgress || j.late(now)) && j.isWithinPatience(now+expected)
}

// chooseByMemory chooses among the candidates of chooseStale by the memory that remains, while
// load reports are stale. All instances see the same remainder, so each draws an engine with a
// chance in proportion to it.
func (s *Scheduler) chooseByMemory(now time.Duration, j *Job, best candidate, t slotTotals) candidate {
	total := 0
	for _, c := range s.candidates {
		total += s.memoryWeight(c, best)
	}
	if total == 0 {
		return best
	}
	n := s.rng.IntN(total)
	for _, c := range s.candidates {
		if n -= s.memoryWeight(c, best); n < 0 {
			c.fits = c.fits && (!j.queued || s.claimsMemory(now, c, t))
			return c
		}
	}
	return best
}

// claimsMemory reports whether this instance may take memory of an engine for a queued job.
// While jobs wait at many instances, all of them see the same memory become free. Within the age
// of load reports they together claim as many requests as fit, each in proportion to its share
// of the requests that run.
func (s *Scheduler) claimsMemory(now time.Duration, c candidate, t slotTotals) bool {
	u := c.upstream
	age := s.reportAge(now)
	if len(s.peers) == 0 || u.requests() == 0 {
		return true
	}
	elapsed := min(now-u.claimedAt, age)
	u.claimedAt = now
	share := max(float64(t.ownRequests)/max(float64(t.requests), 1), 1/s.instanceCount())
	free := float64(u.engine.KVTokens-u.reserved()-c.reserve) / float64(max(c.reservation, 1))
	return s.rng.Float64() < free*share*float64(elapsed)/float64(age)
}

// memoryWeight returns the weight of a candidate in the random choice: the memory that would
// remain there, in tokens.
func (s *Scheduler) memoryWeight(c, best candidate) int {
	if !c.fits || c.score > 2*best.score+spreadScoreMargin {
		return 0
	}
	weight := max(c.upstream.engine.KVTokens-c.upstream.reserved()-c.reservation, 0) + 1
	if c.upstream.entry.Zone == s.opts.Zone {
		weight *= sameZoneWeight
	}
	return weight
}

// MemoryUse is the memory of all engines, and what is reserved there by all instances, in tokens.
type MemoryUse struct{ Tokens, Reserved int }

// MemoryUse returns the memory of the engines and what is reserved.
func (s *Scheduler) MemoryUse() MemoryUse {
	var out MemoryUse
	for _, u := range s.byID {
		if u.hasLimitedMemory() {
			out.Tokens += u.engine.KVTokens
			out.Reserved += u.reserved()
		}
	}
	return out
}
