package route

import "time"

// recentEvents bounds the own events kept per upstream between two reports.
const recentEvents = 32

// event is an own start (count +1) or end (count -1) of an attempt.
type event struct {
	at     time.Duration
	tokens int32 // prefill
	kv     int32 // with the sign of count
	count  int8
}

// load estimates the work in an upstream now, from its last report, which
// lags, and from own events that the report cannot contain.
type load struct {
	tokenTime float64 // nanoseconds to compute one prompt token

	reported bool
	taken    time.Duration // when the state last reported was true
	base     int           // running and queued, as reported
	baseKV   int64         // free cache, as reported

	own     int           // own attempts in flight
	backlog float64       // prefill tokens queued at time at
	at      time.Duration // when backlog was true

	recent  [recentEvents]event // ring of own events after the report
	first   int
	n       int
	pending int   // sum of count over recent
	kv      int64 // sum of kv over recent

	describedTime float64 // tokenTime by the described rate
	pace          float64 // tokenTime over describedTime, 0 before any answer

	// Moving averages in nanoseconds: expected times to the first token, and
	// the times taken, multiplied by the pace that they were expected at.
	meanExpected, meanTook float64

	meanRun time.Duration // moving average of the time an attempt takes
}

const (
	defaultRun = 2 * time.Second
	runWeight  = 8 // a new run has 1/runWeight of the average
)

// Bounds of the pace, and the weight of a new observation.
const (
	minPace    = 0.5
	maxPace    = 4
	paceWeight = 1.0 / 32
	firstMean  = 500 * time.Millisecond // time to the first token before any answer
)

// describe takes the described prefill rate in tokens per second.
func (l *load) describe(rate float64) {
	l.describedTime = 0
	if rate > 0 {
		l.describedTime = float64(time.Second) / rate
	}
	l.setPace(l.pace)
}

func (l *load) setPace(pace float64) {
	l.pace = pace
	l.tokenTime = l.describedTime
	if pace > 0 {
		l.tokenTime *= pace
	}
}

// firstToken moves the pace towards the one at which the expectations would
// have been right on average. It compares averages, since the average of the
// quotients is drawn up by short expectations.
func (l *load) firstToken(expected, took time.Duration) {
	if expected <= 0 || l.describedTime == 0 {
		return
	}
	if l.pace == 0 {
		l.setPace(1)
		l.meanExpected, l.meanTook = float64(firstMean), float64(firstMean)
	}
	l.meanTook += paceWeight * (float64(took)*l.pace - l.meanTook)
	l.meanExpected += paceWeight * (float64(expected) - l.meanExpected)
	l.setPace(min(maxPace, max(minPace, l.meanTook/l.meanExpected)))
}

// report takes the state as of now-r.Age and replays own later events on it. A
// report that was overtaken by a later one is dropped: the events that it lacks
// are gone.
func (l *load) report(now time.Duration, r Load) {
	taken := now - r.Age
	if l.reported && taken < l.taken {
		return
	}
	l.reported = true
	l.taken = taken
	l.base = r.Running + r.Queued
	l.baseKV = r.FreeKV
	l.dropUntil(taken)
	l.backlog = float64(r.QueuedPrefill)
	l.at = taken
	for i := range l.n {
		e := &l.recent[(l.first+i)%recentEvents]
		l.drain(e.at)
		l.backlog += float64(e.tokens)
	}
	l.drain(now)
}

// dropUntil forgets the events that a report taken at t contains.
func (l *load) dropUntil(t time.Duration) {
	for l.n > 0 && l.recent[l.first].at <= t {
		l.pop()
	}
}

func (l *load) pop() event {
	e := l.recent[l.first]
	l.first = (l.first + 1) % recentEvents
	l.n--
	l.pending -= int(e.count)
	l.kv -= int64(e.kv)
	return e
}

// push adds an event; a full ring folds its oldest event into the report.
func (l *load) push(e event) {
	if l.n == recentEvents {
		old := l.pop()
		l.base += int(old.count)
		l.baseKV -= int64(old.kv)
	}
	l.recent[(l.first+l.n)%recentEvents] = e
	l.n++
	l.pending += int(e.count)
	l.kv += int64(e.kv)
}

func (l *load) drain(now time.Duration) {
	if now <= l.at {
		return
	}
	if l.tokenTime > 0 {
		l.backlog = max(0, l.backlog-float64(now-l.at)/l.tokenTime)
	}
	l.at = now
}

func (l *load) started(now time.Duration, prefill, kv int) {
	l.drain(now)
	l.own++
	l.backlog += float64(prefill)
	l.push(event{at: now, tokens: int32(prefill), kv: int32(kv), count: 1})
}

func (l *load) ended(now time.Duration, kv int) {
	l.own = max(0, l.own-1)
	l.push(event{at: now, kv: int32(-kv), count: -1})
}

func (l *load) ran(d time.Duration) {
	if l.meanRun == 0 {
		l.meanRun = d
		return
	}
	l.meanRun += (d - l.meanRun) / runWeight
}

// running is the expected number of sequences running and queued. It is never
// below the own attempts in flight.
func (l *load) running() int {
	return max(l.own, l.base+l.pending)
}

// freeKV is the expected free cache in tokens; ok is false without a report.
func (l *load) freeKV() (tokens int64, ok bool) {
	return l.baseKV - l.kv, l.reported
}

// prefillWait is how long the queued prompts take at time now.
func (l *load) prefillWait(now time.Duration) time.Duration {
	return max(0, time.Duration(l.backlog*l.tokenTime)-(now-l.at))
}

// slotWait is how long a further request waits for a sequence to end.
func (l *load) slotWait(maxRunning int) time.Duration {
	over := l.running() + 1 - maxRunning
	if maxRunning <= 0 || over <= 0 {
		return 0
	}
	run := l.meanRun
	if run == 0 {
		run = defaultRun
	}
	return time.Duration(over) * run / time.Duration(maxRunning)
}
