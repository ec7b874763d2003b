package modelengine

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
)

// loadSample holds the load figures from one time until the next sample.
type loadSample struct {
	from time.Duration
	load emulator.Load
}

// loadHistory keeps the load figures of the last lag, so that reports can show
// figures of that age.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample // oldest first
}

// add records the load at now if it changed.
func (h *loadHistory) add(now time.Duration, load emulator.Load) {
	if n := len(h.samples); n > 0 && h.samples[n-1].load == load {
		return
	}
	h.samples = append(h.samples, loadSample{from: now, load: load})
	h.trim(now - h.lag)
}

// trim drops the samples that were replaced at moment or before.
func (h *loadHistory) trim(moment time.Duration) {
	keep := 0
	for keep+1 < len(h.samples) && h.samples[keep+1].from <= moment {
		keep++
	}
	h.samples = slices.Delete(h.samples, 0, keep)
}

// at returns the figures that a report shows at now, and their age.
func (h *loadHistory) at(now time.Duration) (emulator.Load, time.Duration) {
	h.trim(now - h.lag)
	return h.samples[0].load, min(h.lag, now)
}

// maxCacheEvents is the number of cache events that are kept.
const maxCacheEvents = 8192

type timedEvent struct {
	at time.Duration
	ev engine.CacheEvent
}

// cacheEventLog publishes cache events after a delay and omits one in gap of them,
// or none if gap is 0.
type cacheEventLog struct {
	delay time.Duration
	gap   int
	kept  []timedEvent // oldest first
}

// add records an event that happened at now, unless it is one to omit.
func (l *cacheEventLog) add(now time.Duration, ev engine.CacheEvent) {
	if l.gap > 0 && ev.Seq%uint64(l.gap) == 0 {
		return
	}
	l.kept = append(l.kept, timedEvent{at: now, ev: ev})
	if extra := len(l.kept) - maxCacheEvents; extra > 0 {
		l.kept = slices.Delete(l.kept, 0, extra)
	}
}

// since returns the published events with a sequence number above seq. Next in the
// result is the seq to pass in the next call.
func (l *cacheEventLog) since(now time.Duration, seq uint64) engine.CacheEvents {
	out := engine.CacheEvents{Next: seq, Events: []engine.CacheEvent{}}
	for _, d := range l.kept {
		if d.ev.Seq <= seq || d.at+l.delay > now {
			continue
		}
		out.Events = append(out.Events, d.ev)
		out.Next = d.ev.Seq
	}
	return out
}
