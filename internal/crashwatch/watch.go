// Package crashwatch finds out whether upstreams crash under requests and which requests are
// held back for it. A Watch is one instance's; Exchanger lets watches tell each other where
// no other message between instances carries what they know.
package crashwatch

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// firstCheckWait is how long a repeat waits for the check.
	firstCheckWait = 50 * time.Millisecond
	// secondCheckDelay is the time after which an upstream that still accepted
	// connections after an attempt broke is asked once more: a process that ends closes
	// its sockets one after the other.
	secondCheckDelay = 100 * time.Millisecond
	// checkTimeout bounds both checks of an upstream.
	checkTimeout = 700 * time.Millisecond
	// maxRetryAfter is the retry-after time of requests that are held back for good.
	maxRetryAfter = 10 * time.Minute
)

// Options are the dependencies of a Watch. They must not change once it is in use.
type Options struct {
	Name    string // of the instance
	Now     func() time.Duration
	Log     *slog.Logger
	Metrics *metrics.Metrics
	// Refuses reports whether an upstream refuses connections at its address.
	Refuses func(ctx context.Context, u quarantine.Upstream, address string) bool
	// OnHeld is called when more requests are held back than before. It may be nil.
	OnHeld func()
	// OnCrash is called when an upstream is known to have ended. It may be nil.
	OnCrash func(quarantine.Upstream)
}

// Watch is one instance's quarantine.Tracker with the checks of upstreams that feed it. It
// is safe for concurrent use.
type Watch struct {
	Options

	anySuspects atomic.Bool   // whether upstreams crashed under any request
	changed     chan struct{} // receives when there is something new to tell

	mu       sync.Mutex
	tracker  *quarantine.Tracker
	checks   map[quarantine.Upstream]chan struct{} // closed when the first answer is known
	digest   uint64                                // of what is known
	digests  map[string]uint64                     // what peers have told last, by name
	verdicts map[string]quarantine.Verdict         // as logged last, by keys
}

// New returns a watch that knows of no crash.
func New(opts Options) *Watch {
	return &Watch{
		Options: opts, changed: make(chan struct{}, 1), tracker: quarantine.New(opts.Name),
		checks: map[quarantine.Upstream]chan struct{}{}, digests: map[string]uint64{}, verdicts: map[string]quarantine.Verdict{},
	}
}

// update changes the tracker and logs and carries out what follows.
func (w *Watch) update(change func(now time.Duration, t *quarantine.Tracker)) {
	w.mu.Lock()
	now := w.Now()
	change(now, w.tracker)
	more := w.logVerdicts(now)
	w.anySuspects.Store(w.tracker.HasSuspects())
	w.noteChange(now)
	w.mu.Unlock()
	if more && w.OnHeld != nil {
		w.OnHeld()
	}
}

// noteChange signals if there is something new to tell.
func (w *Watch) noteChange(now time.Duration) {
	digest := w.tracker.Digest(now)
	if digest == w.digest {
		return
	}
	w.digest = digest
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// logVerdicts logs the verdicts that are new and those that have ended. It reports
// whether there are new ones.
func (w *Watch) logVerdicts(now time.Duration) (more bool) {
	current := w.tracker.Verdicts(now)
	if len(current) == 0 && len(w.verdicts) == 0 {
		return false
	}
	listed := map[string]quarantine.Verdict{}
	for _, v := range current {
		name := quarantine.JoinKeys(v.Keys)
		listed[name] = v
		if before, ok := w.verdicts[name]; !ok || before.Probes != v.Probes {
			more = more || !ok
			w.Log.Warn("requests quarantined", "keys", name, "crashes", v.Crashes, "last_crash_ago_ms", (now - v.LastCrash).Milliseconds(), "probes", v.Probes)
		}
	}
	for name := range w.verdicts {
		if _, ok := listed[name]; !ok {
			w.Log.Warn("quarantine ended", "keys", name)
		}
	}
	w.verdicts = listed
	w.Metrics.SetGauge("quarantine_verdicts", float64(len(listed)))
	return more
}

// Suspects reports whether upstreams crashed under a request with this head, which is
// computed only if upstreams crashed under any request.
func (w *Watch) Suspects(head func() quarantine.Head) bool {
	if !w.anySuspects.Load() {
		return false
	}
	h := head()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Suspects(h)
}

// Held returns the verdict by which a request with the keys is held back, if one does.
func (w *Watch) Held(keys []quarantine.Key) (quarantine.Verdict, bool) {
	if len(keys) == 0 {
		return quarantine.Verdict{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Held(w.Now(), keys)
}

// Take reports whether a request with the keys may be sent now.
func (w *Watch) Take(keys []quarantine.Key) bool {
	if len(keys) == 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Take(w.Now(), keys)
}

// Suspected reports whether a request with the keys, under which an upstream may have
// crashed, should not be sent again.
func (w *Watch) Suspected(keys []quarantine.Key) bool {
	if len(keys) == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Suspected(w.Now(), keys)
}

// Sound records that the answer to a request with the keys, which began at beganAt, has
// got beyond its beginning.
func (w *Watch) Sound(beganAt time.Duration, keys []quarantine.Key) {
	if len(keys) > 0 {
		w.update(func(_ time.Duration, t *quarantine.Tracker) { t.Sound(beganAt, keys) })
	}
}

// Alive records that an upstream answers.
func (w *Watch) Alive(u quarantine.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Alive(w.Now(), u)
}

// Broke records that an attempt with the keys broke in the beginning of its answer. It
// returns once it is known whether the upstream refuses connections, as one that has
// crashed does, so that a repeat takes it into account, or after firstCheckWait.
func (w *Watch) Broke(u quarantine.Upstream, address string, keys []quarantine.Key) {
	if len(keys) == 0 {
		return
	}
	var first chan struct{}
	unconfirmed, begun := false, false
	w.update(func(now time.Duration, t *quarantine.Tracker) {
		if unconfirmed = t.Broke(now, u, keys); !unconfirmed {
			return
		}
		if first = w.checks[u]; first == nil {
			begun, first = true, make(chan struct{})
			w.checks[u] = first
		}
	})
	if !unconfirmed {
		return
	}
	if begun {
		go w.check(u, address, first)
	}
	select {
	case <-first:
	case <-time.After(firstCheckWait):
	}
}

// check finds out whether an upstream with broken attempts has ended. It closes first when
// the first answer is known.
func (w *Watch) check(u quarantine.Upstream, address string, first chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	crashed := w.Refuses(ctx, u, address)
	if crashed {
		w.recordCrash(u)
	}
	close(first)
	if !crashed && wait.Sleep(ctx, secondCheckDelay) && w.Refuses(ctx, u, address) {
		w.recordCrash(u)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.checks, u)
}

func (w *Watch) recordCrash(u quarantine.Upstream) {
	if w.OnCrash != nil {
		w.OnCrash(u)
	}
	w.update(func(now time.Duration, t *quarantine.Tracker) {
		w.Log.Info("upstream crashed", "upstream", u.ID, "born", u.StartedAtMS, "suspects", quarantine.JoinKeys(t.Crashed(now, u)))
		w.Metrics.Count("quarantine_crashes")
	})
}

// RetryAfter returns the time after which a request that is held back may be sent again.
func (w *Watch) RetryAfter(v *quarantine.Verdict) time.Duration {
	if at, ok := v.NextProbe(); ok {
		return max(at-w.Now(), time.Second)
	}
	return maxRetryAfter
}

// SetExempt sets the keys that are not held.
func (w *Watch) SetExempt(keys []quarantine.Key) {
	w.update(func(_ time.Duration, t *quarantine.Tracker) { t.SetExempt(keys) })
}

// SetMembers sets the names of the instances that run.
func (w *Watch) SetMembers(names []string) {
	w.update(func(now time.Duration, t *quarantine.Tracker) {
		t.SetMembers(now, names)
		maps.DeleteFunc(w.digests, func(peer string, _ uint64) bool { return !slices.Contains(names, peer) })
	})
}
