package gateway

import (
	"sync"
	"time"
)

const (
	// runTimeWeight and deviationWeight are the weights of one request in the mean run time of
	// its kind and in the mean deviation from that.
	runTimeWeight   = 0.125
	deviationWeight = 0.25
	// runTimeDeviations is how many mean deviations above the mean a run time is expected to
	// be at most.
	runTimeDeviations = 4
	// maxRunKinds bounds the kinds whose run times are kept. Beyond it, all are learned anew.
	maxRunKinds = 4096
)

// runKind is a kind of requests with similar run times. Without a model it stands for all
// requests of the route.
type runKind struct{ route, model string }

// runTime is what was measured of the run time of one kind.
type runTime struct{ mean, deviation time.Duration }

func (r *runTime) observe(d time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = max(d, 1), d/2
		return
	}
	off := d - r.mean
	r.deviation += time.Duration(deviationWeight * float64(max(off, -off)-r.deviation))
	r.mean += time.Duration(runTimeWeight * float64(off))
}

func (r *runTime) bound() time.Duration { return r.mean + runTimeDeviations*r.deviation }

// runTimes learns how long upstreams take for requests, from sending to the end of the answer.
// It is safe for concurrent use.
type runTimes struct {
	mu    sync.Mutex
	kinds map[runKind]*runTime
}

func newRunTimes() *runTimes { return &runTimes{kinds: map[runKind]*runTime{}} }

// observe records that a request took d, or, if ended is false, that it had not ended after d,
// which counts if others took less.
func (t *runTimes) observe(k runKind, d time.Duration, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeOne(k, d, ended)
	if k.model != "" {
		t.observeOne(runKind{route: k.route}, d, ended)
	}
}

func (t *runTimes) observeOne(k runKind, d time.Duration, ended bool) {
	r := t.kinds[k]
	if r == nil && !ended {
		return
	}
	if r == nil {
		if len(t.kinds) >= maxRunKinds {
			clear(t.kinds)
		}
		r = &runTime{}
		t.kinds[k] = r
	}
	if ended || d > r.mean {
		r.observe(d)
	}
}

// expected returns within what time a request can be expected to end after it is sent. known is
// false if none of its route was measured.
func (t *runTimes) expected(k runKind) (d time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, kind := range []runKind{k, {route: k.route}} {
		if r := t.kinds[kind]; r != nil {
			return r.bound(), true
		}
	}
	return 0, false
}
