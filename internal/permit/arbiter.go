package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Key identifies a request for a permit.
type Key struct {
	Instance    string
	Incarnation string // of the instance
	ID          uint64 // unique within the incarnation
}

// Request asks for a permit. Times are on the arbiter's clock.
type Request struct {
	Key
	Service      string
	Urgency      int // 0 is served first
	Organisation string
	Objective    time.Duration // by which an answer is on time
	GiveUpAt     time.Duration // from which on the holder has no use for a permit
	ExpireAt     time.Duration // at which a permit ends that nobody released
	Exclude      []string      // IDs of upstreams that the request must not be sent to
}

// Decision is a permit or a refusal.
type Decision struct {
	Key         Key
	Granted     bool
	Upstream    string // ID
	StartedAtMS int64  // of the upstream's incarnation
	RetryAfter  time.Duration
}

// Ended is how the request of a permit ended.
type Ended struct {
	Rejected bool          // the upstream had no room
	Failed   bool          // the upstream failed
	Served   time.Duration // duration of the request, 0 if it was not answered
}

const (
	// maxWaiting is the number of requests that may wait for one service.
	maxWaiting = 4000
	// maxReleased is the number of released keys that are remembered, so that a request
	// that arrives after its own release is not granted.
	maxReleased = 4096
	// defaultTakenFor is how long requests at upstreams at a takeover last if the duration
	// of requests is not known.
	defaultTakenFor = 200 * time.Millisecond
)

// held is a permit in use.
type held struct {
	Request
	room      *room
	grantedAt time.Duration
}

// Arbiter holds the queues and permits of the services for which this instance is the
// arbiter. It is not safe for concurrent use.
//
// Invariant: the permits in use at an upstream never exceed its bound at the time of the last
// grant.
type Arbiter struct {
	queues   map[string]*queue
	held     map[Key]*held
	waits    map[Key]*waiting
	released map[Key]bool // released or withdrawn lately
	former   map[Key]bool // the generation before released
	sequence uint64
}

// New returns an arbiter without services.
func New() *Arbiter {
	return &Arbiter{queues: map[string]*queue{}, held: map[Key]*held{}, waits: map[Key]*waiting{}, released: map[Key]bool{}}
}

func (a *Arbiter) queue(service string) *queue {
	q := a.queues[service]
	if q == nil {
		q = &queue{served: map[string]float64{}}
		a.queues[service] = q
	}
	return q
}

// Knows reports whether SetUpstreams was called for a service, and Resign was not since.
func (a *Arbiter) Knows(service string) bool {
	return a.queues[service] != nil && a.queues[service].updated
}

// SetUpstreams replaces the upstreams of a service. Permits at one that is gone, or has a new
// incarnation, stay in use but count no longer.
func (a *Arbiter) SetUpstreams(now time.Duration, service string, list []Upstream) {
	q := a.queue(service)
	q.updated = true
	var rooms []*room
	for _, u := range list {
		i := slices.IndexFunc(q.rooms, func(r *room) bool { return r.ID == u.ID && r.StartedAtMS == u.StartedAtMS })
		if i < 0 {
			rooms = append(rooms, &room{Upstream: u, left: 1, meansAt: now, takenAt: now})
			continue
		}
		q.rooms[i].Upstream = u
		q.rooms[i].observeReport(now)
		rooms = append(rooms, q.rooms[i])
	}
	q.rooms = rooms
}

// TakeOver records that this instance becomes the arbiter of a service whose upstreams are
// set; duration is that of the service's requests, 0 if it is not known. The former arbiter's permits are not known one by one, so these requests are
// assumed to end evenly over twice the duration.
func (a *Arbiter) TakeOver(now time.Duration, service string, duration time.Duration) {
	takenFor := 2 * duration
	if takenFor == 0 {
		takenFor = defaultTakenFor
	}
	q := a.queue(service)
	for _, r := range q.rooms {
		r.takenOver, r.takenAt, r.takenFor = max(r.Requests-r.granted, 0), now, takenFor
		r.reported, r.permitted = 0, 0
	}
	if q.duration == 0 {
		q.duration, q.holding = duration, duration
	}
}

// Submit asks for a permit. It returns the decision, or decided is false and the request
// waits. A request that is known keeps its place or its permit.
func (a *Arbiter) Submit(now time.Duration, r Request) (d Decision, decided bool) {
	if h := a.held[r.Key]; h != nil {
		return h.decision(), true
	}
	if a.waits[r.Key] != nil {
		return Decision{}, false
	}
	if a.released[r.Key] || a.former[r.Key] {
		return Decision{Key: r.Key, RetryAfter: minRetryAfter}, true
	}
	q := a.queue(r.Service)
	q.decay(now)
	w := &waiting{Request: r, since: now}
	a.sequence++
	w.sequence = a.sequence
	// Step has granted what others could get, so a free upstream is free for this request.
	if room := q.bestRoom(now, w); room != nil {
		return a.grant(now, q, w, room), true
	}
	retryAfter, refused := q.refusal(now, w)
	if refused || len(q.waiting) >= maxWaiting {
		return Decision{Key: r.Key, RetryAfter: retryAfter}, true
	}
	q.waiting = append(q.waiting, w)
	a.waits[r.Key] = w
	return Decision{}, false
}

func (a *Arbiter) grant(now time.Duration, q *queue, w *waiting, r *room) Decision {
	h := &held{Request: w.Request, room: r, grantedAt: now}
	a.held[w.Key] = h
	r.granted++
	q.held++
	q.served[w.Organisation]++
	return h.decision()
}

func (h *held) decision() Decision {
	return Decision{Key: h.Key, Granted: true, Upstream: h.room.ID, StartedAtMS: h.room.StartedAtMS}
}

// Release ends a permit, or withdraws a request that waits. It may come twice, and before
// the request.
func (a *Arbiter) Release(now time.Duration, key Key, e Ended) {
	if w := a.waits[key]; w != nil {
		a.withdraw(w)
	}
	a.remember(key)
	h := a.held[key]
	if h == nil {
		return
	}
	a.end(h)
	q := a.queue(h.Service)
	h.room.recordEnd(now, h.Instance, e)
	if e.Served > 0 && !e.Failed {
		q.recordServed(e.Served, now-h.grantedAt)
	}
}

// remember keeps the keys of two generations.
func (a *Arbiter) remember(key Key) {
	if len(a.released) >= maxReleased {
		a.former, a.released = a.released, map[Key]bool{}
	}
	a.released[key] = true
}

func (a *Arbiter) withdraw(w *waiting) {
	delete(a.waits, w.Key)
	q := a.queue(w.Service)
	q.waiting = slices.DeleteFunc(q.waiting, func(o *waiting) bool { return o == w })
}

func (a *Arbiter) end(h *held) {
	delete(a.held, h.Key)
	h.room.granted--
	a.queue(h.Service).held--
}

// Step grants the permits of a service that are free, in order, and refuses waiting requests
// that cannot be served in time.
func (a *Arbiter) Step(now time.Duration, service string) []Decision {
	q := a.queues[service]
	if q == nil || len(q.waiting) == 0 {
		return nil
	}
	q.decay(now)
	var out []Decision
	for w, r := q.next(now); w != nil; w, r = q.next(now) {
		a.withdraw(w)
		out = append(out, a.grant(now, q, w, r))
	}
	return append(out, a.shed(now, q)...)
}

// shed refuses the waiting requests whose callers give up, and late ones while requests wait
// that can be on time.
func (a *Arbiter) shed(now time.Duration, q *queue) (out []Decision) {
	onTime := slices.ContainsFunc(q.waiting, func(w *waiting) bool { return !q.late(now, w) })
	for _, w := range slices.Clone(q.waiting) {
		if now < w.GiveUpAt && (!onTime || now+q.duration < w.Objective+lateWait) {
			continue
		}
		a.withdraw(w)
		retryAfter := max(time.Duration(len(q.waiting)+1)*q.interval(now, w.Exclude), minRetryAfter)
		out = append(out, Decision{Key: w.Key, RetryAfter: retryAfter})
	}
	return out
}

// Expire ends the permits whose time is over, and all permits and waiting requests of holders
// for which isLive is false. It returns the number of permits that it ended and the waiting
// requests that it withdrew.
func (a *Arbiter) Expire(now time.Duration, isLive func(instance, incarnation string) bool) (ended int, withdrawn []Key) {
	for _, h := range a.held {
		if now >= h.ExpireAt || !isLive(h.Instance, h.Incarnation) {
			a.end(h)
			ended++
		}
	}
	for _, w := range a.waits {
		if !isLive(w.Instance, w.Incarnation) {
			withdrawn = append(withdrawn, w.Key)
		}
	}
	maps.DeleteFunc(a.queues, func(_ string, q *queue) bool { return !q.updated && q.held == 0 })
	slices.SortFunc(withdrawn, compareKeys)
	for _, key := range withdrawn {
		a.withdraw(a.waits[key])
	}
	return ended, withdrawn
}

func compareKeys(x, y Key) int {
	return cmp.Or(cmp.Compare(x.Instance, y.Instance), cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.ID, y.ID))
}

// Resign ends the role of the arbiter of a service. It returns the requests that waited.
// Permits in use are kept until their end, in case this instance becomes the arbiter again.
func (a *Arbiter) Resign(service string) (waited []Key) {
	q := a.queues[service]
	if q == nil {
		return nil
	}
	for _, w := range q.waiting {
		waited = append(waited, w.Key)
		delete(a.waits, w.Key)
	}
	q.waiting, q.updated = nil, false
	return waited
}

// Services returns the services of which this instance is the arbiter, sorted.
func (a *Arbiter) Services() []string {
	var out []string
	for service, q := range a.queues {
		if q.updated {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// Figures are the state of a service, for logs and metrics.
type Figures struct {
	Held, Waiting int
	// Duration is the mean duration of the requests.
	Duration time.Duration
}

// Figures returns the state of a service.
func (a *Arbiter) Figures(service string) Figures {
	q := a.queues[service]
	if q == nil {
		return Figures{}
	}
	return Figures{Held: q.held, Waiting: len(q.waiting), Duration: q.duration}
}
