package route

import "time"

// maxRecentEvents limits the events kept per upstream between two reports.
const maxRecentEvents = 32

// loadEvent is the start (countDelta +1) or end (countDelta -1) of an attempt
// of this instance.
type loadEvent struct {
	at            time.Duration
	prefillTokens int32
	kvDelta       int32 // KV cache in tokens, with the sign of countDelta
	countDelta    int8
}

// load estimates the current load of an upstream from its last report, which
// lags, and from this instance's own events that the report cannot contain.
type load struct {
	nsPerToken float64 // nanoseconds to compute one prompt token

	reported       bool
	reportTime     time.Duration // time at which the last report was accurate
	reportedCount  int           // sequences running and queued, as reported
	reportedFreeKV int64         // free KV cache in tokens, as reported

	ownInFlight     int           // attempts of this instance in flight
	queuedPrefill   float64       // prompt tokens queued at queuedPrefillAt
	queuedPrefillAt time.Duration // time at which queuedPrefill was accurate

	recentEvents [maxRecentEvents]loadEvent // ring buffer of own events after the report
	firstEvent   int
	eventCount   int
	countDelta   int   // sum of countDelta over recentEvents
	kvDelta      int64 // sum of kvDelta over recentEvents

	nominalNsPerToken float64 // nsPerToken at the nominal rate, Upstream.PrefillRate
	correction        float64 // nsPerToken divided by nominalNsPerToken, 0 before any answer

	// Moving averages in nanoseconds: expected times to the first token, and
	// measured times multiplied by the correction that the expectation used.
	meanExpected, meanMeasured float64

	meanDuration time.Duration // moving average of the duration of an attempt
}

const (
	defaultDuration = 2 * time.Second
	durationDivisor = 8 // a new duration has a weight of 1/durationDivisor in the average
)

// Limits of the correction, and the weight of a new observation.
const (
	minCorrection         = 0.5
	maxCorrection         = 4
	correctionWeight      = 1.0 / 32
	initialFirstTokenMean = 500 * time.Millisecond // time to the first token before any answer
)

// setNominalRate sets the prefill rate of the upstream's description, in tokens
// per second.
func (l *load) setNominalRate(rate float64) {
	l.nominalNsPerToken = 0
	if rate > 0 {
		l.nominalNsPerToken = float64(time.Second) / rate
	}
	l.setCorrection(l.correction)
}

func (l *load) setCorrection(correction float64) {
	l.correction = correction
	l.nsPerToken = l.nominalNsPerToken
	if correction > 0 {
		l.nsPerToken *= correction
	}
}

// observeFirstToken moves the correction towards the value at which the expected
// times would have been right on average. It divides the averages, because short
// expected times bias an average of quotients upwards.
func (l *load) observeFirstToken(expected, measured time.Duration) {
	if expected <= 0 || l.nominalNsPerToken == 0 {
		return
	}
	if l.correction == 0 {
		l.setCorrection(1)
		l.meanExpected, l.meanMeasured = float64(initialFirstTokenMean), float64(initialFirstTokenMean)
	}
	l.meanMeasured += correctionWeight * (float64(measured)*l.correction - l.meanMeasured)
	l.meanExpected += correctionWeight * (float64(expected) - l.meanExpected)
	l.setCorrection(min(maxCorrection, max(minCorrection, l.meanMeasured/l.meanExpected)))
}

// applyReport sets the state as of now-r.Age and replays later own events on
// it. A report older than the last one applied is ignored, because events that
// it lacks have already been dropped.
func (l *load) applyReport(now time.Duration, r Load) {
	reportTime := now - r.Age
	if l.reported && reportTime < l.reportTime {
		return
	}
	l.reported = true
	l.reportTime = reportTime
	l.reportedCount = r.Running + r.Queued
	l.reportedFreeKV = r.FreeKVTokens
	l.dropEventsUntil(reportTime)
	l.queuedPrefill = float64(r.QueuedPrefillTokens)
	l.queuedPrefillAt = reportTime
	for i := range l.eventCount {
		e := &l.recentEvents[(l.firstEvent+i)%maxRecentEvents]
		l.advanceQueue(e.at)
		l.queuedPrefill += float64(e.prefillTokens)
	}
	l.advanceQueue(now)
}

// dropEventsUntil drops the events that a report as of t contains.
func (l *load) dropEventsUntil(t time.Duration) {
	for l.eventCount > 0 && l.recentEvents[l.firstEvent].at <= t {
		l.popEvent()
	}
}

func (l *load) popEvent() loadEvent {
	e := l.recentEvents[l.firstEvent]
	l.firstEvent = (l.firstEvent + 1) % maxRecentEvents
	l.eventCount--
	l.countDelta -= int(e.countDelta)
	l.kvDelta -= int64(e.kvDelta)
	return e
}

// pushEvent adds an event. If the ring buffer is full, its oldest event is
// added to the reported figures.
func (l *load) pushEvent(e loadEvent) {
	if l.eventCount == maxRecentEvents {
		old := l.popEvent()
		l.reportedCount += int(old.countDelta)
		l.reportedFreeKV -= int64(old.kvDelta)
	}
	l.recentEvents[(l.firstEvent+l.eventCount)%maxRecentEvents] = e
	l.eventCount++
	l.countDelta += int(e.countDelta)
	l.kvDelta += int64(e.kvDelta)
}

func (l *load) advanceQueue(now time.Duration) {
	if now <= l.queuedPrefillAt {
		return
	}
	if l.nsPerToken > 0 {
		l.queuedPrefill = max(0, l.queuedPrefill-float64(now-l.queuedPrefillAt)/l.nsPerToken)
	}
	l.queuedPrefillAt = now
}

func (l *load) attemptStarted(now time.Duration, prefillTokens, kvTokens int) {
	l.advanceQueue(now)
	l.ownInFlight++
	l.queuedPrefill += float64(prefillTokens)
	l.pushEvent(loadEvent{at: now, prefillTokens: int32(prefillTokens), kvDelta: int32(kvTokens), countDelta: 1})
}

func (l *load) attemptEnded(now time.Duration, kvTokens int) {
	l.ownInFlight = max(0, l.ownInFlight-1)
	l.pushEvent(loadEvent{at: now, kvDelta: int32(-kvTokens), countDelta: -1})
}

func (l *load) observeDuration(d time.Duration) {
	if l.meanDuration == 0 {
		l.meanDuration = d
		return
	}
	l.meanDuration += (d - l.meanDuration) / durationDivisor
}

// sequences returns the expected number of sequences running and queued. It is
// never below this instance's attempts in flight.
func (l *load) sequences() int {
	return max(l.ownInFlight, l.reportedCount+l.countDelta)
}

// freeKV returns the expected free KV cache in tokens; ok is false without a
// report.
func (l *load) freeKV() (tokens int64, ok bool) {
	return l.reportedFreeKV - l.kvDelta, l.reported
}

// prefillWait returns the time that the prompts queued at time now take.
func (l *load) prefillWait(now time.Duration) time.Duration {
	return max(0, time.Duration(l.queuedPrefill*l.nsPerToken)-(now-l.queuedPrefillAt))
}

// slotWait returns how long a further request waits for a free slot.
func (l *load) slotWait(maxRunning int) time.Duration {
	excess := l.sequences() + 1 - maxRunning
	if maxRunning <= 0 || excess <= 0 {
		return 0
	}
	duration := l.meanDuration
	if duration == 0 {
		duration = defaultDuration
	}
	return time.Duration(excess) * duration / time.Duration(maxRunning)
}
