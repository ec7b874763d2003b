// Package reach decides, for each upstream, whether an instance sends requests to it itself
// or through a peer. Its input is what connections and answers show, and what peers say of
// the same upstreams in the same second; its output is the upstreams that are relayed, those
// on which peers should be asked and those whose link should be tried again.
//
// Invariants:
//   - An upstream is relayed only once connecting to it failed here, or once it is silent or
//     breaks connections here and a peer has had its answers in that time. An upstream that
//     is silent for all is not.
//   - A relayed upstream is tried again until it is reached or no longer listed.
package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	// silentAfter is how long an upstream with requests may be silent until peers are asked
	// for it.
	silentAfter = 500 * time.Millisecond
	// silentAlone is how long an upstream has to be silent unless others of its service are,
	// too, and none answers here: a sound one may take a second or so.
	silentAlone = 1500 * time.Millisecond
	// minBreaks is the number of connections in a row that break before an answer until
	// peers are asked for an upstream.
	minBreaks = 2
	// askInterval is the minimum time between two questions on one upstream.
	askInterval = 300 * time.Millisecond
	// minRetryInterval is the time until the link to a relayed upstream is tried for the
	// first time. It doubles up to maxRetryInterval.
	minRetryInterval = 500 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// minDeadFor is how long an upstream that no relay reached either is sent to directly. It
	// doubles with each further time, up to maxDeadFor.
	minDeadFor = time.Second
	maxDeadFor = 4 * time.Second
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID          string
	StartedAtMS int64
}

// link is what is known of the link to one upstream.
type link struct {
	service    string
	waiting    map[*Wait]bool // requests without an answer yet
	answeredAt time.Duration  // last answer over the link, 0 for none
	breaks     int            // requests whose connection broke since
	brokenFrom time.Duration  // when the first of these was sent
	relayed    bool
	failedDial bool // it is relayed since a connection to it failed, not since it is silent
	trial      bool // a connection was opened since; a request may try it
	retryAt    time.Duration
	retries    int
	askedAt    time.Duration
	deadUntil  time.Duration
	deaths     int // times in a row that no relay reached it
}

// Wait is one request that waits for its answer. It is made by Tracker.Sent.
type Wait struct {
	link   *link
	sentAt time.Duration
}

// Tracker is what one instance knows of its links. Times are durations on its clock. It is
// not safe for concurrent use.
type Tracker struct{ links map[Upstream]*link }

// New returns a tracker that knows of no upstream.
func New() *Tracker { return &Tracker{links: map[Upstream]*link{}} }

// Keep sets the upstreams that are listed, with their services, and forgets all others.
func (t *Tracker) Keep(services map[Upstream]string) {
	for u := range t.links {
		if _, ok := services[u]; !ok {
			delete(t.links, u)
		}
	}
	for u, service := range services {
		if t.links[u] == nil {
			t.links[u] = &link{waiting: map[*Wait]bool{}}
		}
		t.links[u].service = service
	}
}

// Sent records a request that was sent over the link to an upstream. It returns nil for an
// upstream that is not listed.
func (t *Tracker) Sent(now time.Duration, u Upstream) *Wait {
	l := t.links[u]
	if l == nil {
		return nil
	}
	w := &Wait{l, now}
	l.waiting[w] = true
	return w
}

// Answered records that bytes of an answer came over the link. It reports whether the
// upstream was relayed until then.
func (t *Tracker) Answered(now time.Duration, w *Wait) (restored bool) {
	if w == nil {
		return false
	}
	delete(w.link.waiting, w)
	w.link.answeredAt, w.link.breaks, w.link.deaths = now, 0, 0
	if w.link.failedDial { // a connection from before; new ones may still fail
		return false
	}
	return w.link.restore()
}

// Broke records that the connection of a request broke before an answer.
func (t *Tracker) Broke(w *Wait) {
	if w == nil {
		return
	}
	delete(w.link.waiting, w)
	if w.link.breaks++; w.link.breaks == 1 {
		w.link.brokenFrom = w.sentAt
	}
}

// Ended records that a request is over, answered or not.
func (t *Tracker) Ended(w *Wait) {
	if w != nil {
		delete(w.link.waiting, w)
	}
}

func (l *link) restore() bool {
	was := l.relayed
	l.relayed, l.failedDial, l.trial, l.retries, l.breaks = false, false, false, 0, 0
	return was
}

// DialFailed records that no connection to an upstream could be opened. It reports whether
// the upstream is relayed from now on and was not before.
func (t *Tracker) DialFailed(now time.Duration, u Upstream) bool {
	l := t.links[u]
	if l == nil || now < l.deadUntil {
		return false
	}
	l.failedDial = true
	return l.relay(now)
}

func (l *link) relay(now time.Duration) bool {
	was := l.relayed
	l.relayed, l.trial = true, false
	l.retryAt = now + min(minRetryInterval<<min(l.retries, 8), maxRetryInterval)
	return !was
}

// PeerAnswered records that a peer had an answer of an upstream age ago. It reports whether
// the upstream is relayed from now on and was not before.
func (t *Tracker) PeerAnswered(now time.Duration, u Upstream, age time.Duration) bool {
	l := t.links[u]
	if l == nil || l.relayed {
		return false
	}
	if l.breaks >= minBreaks && age < now-l.brokenFrom {
		return l.relay(now)
	}
	silent := l.silent(now)
	if age >= silent || silent < silentAfter || silent < silentAlone && !t.serviceSilent(now, l.service) {
		return false
	}
	return l.relay(now)
}

// RelayAnswered records that an upstream answers through a relay.
func (t *Tracker) RelayAnswered(u Upstream) {
	if l := t.links[u]; l != nil {
		l.deaths = 0
	}
}

// RelayFailed records that a relay did not reach an upstream either.
func (t *Tracker) RelayFailed(now time.Duration, u Upstream) {
	if l := t.links[u]; l != nil {
		l.restore()
		l.deadUntil = now + min(minDeadFor<<min(l.deaths, 8), maxDeadFor)
		l.deaths++
	}
}

// silent returns how long requests sent after the last answer have waited. One sent before it
// may hang on a connection from before the link was back.
func (l *link) silent(now time.Duration) time.Duration {
	silent := time.Duration(0)
	for w := range l.waiting {
		if w.sentAt >= l.answeredAt {
			silent = max(silent, now-w.sentAt)
		}
	}
	return silent
}

// serviceSilent reports whether several upstreams of a service are silent here and none has
// just answered.
func (t *Tracker) serviceSilent(now time.Duration, service string) bool {
	n := 0
	for _, l := range t.links {
		if l.service != service {
			continue
		}
		if l.answeredAt > 0 && now-l.answeredAt < silentAfter {
			return false
		}
		if l.relayed || l.silent(now) >= silentAfter {
			n++
		}
	}
	return n > 1
}

// Ask returns the upstreams on which peers are to be asked now, sorted by ID.
func (t *Tracker) Ask(now time.Duration) []Upstream {
	var out []Upstream
	for u, l := range t.links {
		if !l.relayed && (l.breaks >= minBreaks || l.silent(now) >= silentAfter) && (l.askedAt == 0 || now-l.askedAt >= askInterval) {
			l.askedAt = now
			out = append(out, u)
		}
	}
	return sorted(out)
}

// Age returns how long ago an upstream answered over the link, if it ever did.
func (t *Tracker) Age(now time.Duration, u Upstream) (time.Duration, bool) {
	l := t.links[u]
	if l == nil || l.answeredAt == 0 {
		return 0, false
	}
	return now - l.answeredAt, true
}

// Relayed reports whether requests to an upstream are sent through a peer.
func (t *Tracker) Relayed(u Upstream) bool {
	l := t.links[u]
	return l != nil && l.relayed
}

// Trial reports whether a request that may be repeated should try the link of a relayed
// upstream, and takes that trial.
func (t *Tracker) Trial(now time.Duration, u Upstream) bool {
	l := t.links[u]
	if l == nil || !l.relayed || !l.trial {
		return false
	}
	l.retries++
	l.relay(now)
	return true
}

// Retry returns the relayed upstreams to which a connection is to be opened now, n at most.
func (t *Tracker) Retry(now time.Duration, n int) []Upstream {
	var out []Upstream
	for u, l := range t.links {
		if l.relayed && !l.trial && now >= l.retryAt {
			out = append(out, u)
		}
	}
	out = sorted(out)
	out = out[:min(n, len(out))]
	for _, u := range out {
		t.links[u].retries++
		t.links[u].relay(now)
	}
	return out
}

// Connected records that a connection to a relayed upstream could be opened. It reports
// whether the upstream is no longer relayed: one that was silent over connections that
// could be opened has to answer a request first.
func (t *Tracker) Connected(u Upstream) (restored bool) {
	l := t.links[u]
	if l == nil || !l.relayed {
		return false
	}
	if l.failedDial {
		return l.restore()
	}
	l.trial = true
	return false
}

// CutOff reports whether more than half of the listed upstreams are relayed.
func (t *Tracker) CutOff() bool {
	n := 0
	for _, l := range t.links {
		if l.relayed {
			n++
		}
	}
	return 2*n > len(t.links)
}

// Listed returns the upstreams that are listed, sorted by ID.
func (t *Tracker) Listed() []Upstream {
	out := make([]Upstream, 0, len(t.links))
	for u := range t.links {
		out = append(out, u)
	}
	return sorted(out)
}

func sorted(list []Upstream) []Upstream {
	slices.SortFunc(list, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAtMS, b.StartedAtMS))
	})
	return list
}
