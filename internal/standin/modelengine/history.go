package modelengine

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
)

// sample is the load from one moment on.
type sample struct {
	from time.Duration
	load emulator.Load
}

// loadHistory keeps the load figures for as long as a report lags.
type loadHistory struct {
	lag     time.Duration
	samples []sample // oldest first
}

func (h *loadHistory) add(now time.Duration, load emulator.Load) {
	if n := len(h.samples); n > 0 && h.samples[n-1].load == load {
		return
	}
	h.samples = append(h.samples, sample{from: now, load: load})
	h.trim(now - h.lag)
}

// trim drops the samples that were replaced before a moment.
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

// maxEvents bounds the cache events that are kept.
const maxEvents = 8192

type datedEvent struct {
	at time.Duration
	ev engine.CacheEvent
}

// eventLog publishes cache events late and with gaps.
type eventLog struct {
	delay time.Duration
	gap   int
	kept  []datedEvent // oldest first
}

func (l *eventLog) add(now time.Duration, ev engine.CacheEvent) {
	if l.gap > 0 && ev.Seq%uint64(l.gap) == 0 {
		return
	}
	l.kept = append(l.kept, datedEvent{at: now, ev: ev})
	if extra := len(l.kept) - maxEvents; extra > 0 {
		l.kept = slices.Delete(l.kept, 0, extra)
	}
}

// since returns the published events above a sequence number. Next is the
// number to ask with the next time.
func (l *eventLog) since(now time.Duration, seq uint64) engine.CacheEvents {
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
