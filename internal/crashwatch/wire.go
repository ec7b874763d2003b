package crashwatch

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine/quarantinepb"
)

const (
	// maxMergedSuspicions is the number of suspicions that are read of one message.
	maxMergedSuspicions = 64
	// maxAgeMS bounds the ages that are told, so that the arithmetic on times does not
	// overflow.
	maxAgeMS = uint64(24 * time.Hour / time.Millisecond)
)

// ToWire returns what a peer is told: the digest of what this instance knows and, unless
// the peer has told the same one, what that is.
func (w *Watch) ToWire(peer string) (digest uint64, out []*quarantinepb.Suspicion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	digest = w.tracker.Digest(now)
	if theirs, known := w.digests[peer]; known && theirs == digest {
		return digest, nil
	}
	return digest, suspicionsToWire(now, w.tracker.Suspicions(now))
}

// tell returns what an instance is told that knows what the digest identifies.
func (w *Watch) tell(digest uint64) *quarantinepb.Suspicions {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	out := &quarantinepb.Suspicions{Name: w.Name, Digest: w.tracker.Digest(now)}
	if out.Digest != digest {
		out.Suspicions = suspicionsToWire(now, w.tracker.Suspicions(now))
	}
	return out
}

// knownDigest returns the digest of what this instance knows.
func (w *Watch) knownDigest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Digest(w.Now())
}

// toldBy returns the digest that a peer has told last, 0 if it has told none.
func (w *Watch) toldBy(peer string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digests[peer]
}

func suspicionsToWire(now time.Duration, told []quarantine.Suspicion) (out []*quarantinepb.Suspicion) {
	for _, s := range told {
		m := &quarantinepb.Suspicion{Kind: uint32(s.Key.Kind), Service: s.Key.Service, Id: s.Key.ID, Sound: s.Sound, Probes: uint32(s.Probes)}
		if s.Sound {
			m.SoundAgeMs = ageMS(now, s.SoundAt)
		}
		if s.Probes > 0 {
			m.ProbeAgeMs = ageMS(now, s.ProbedAt)
		}
		for _, c := range s.Crashes {
			m.Crashes = append(m.Crashes, &quarantinepb.UpstreamCrash{Incarnation: c.ID, Zone: c.Zone, AgeMs: ageMS(now, c.At)})
		}
		out = append(out, m)
	}
	return out
}

func ageMS(now, at time.Duration) uint64 { return uint64(max(now-at, 0).Milliseconds()) }

// Merge records what a peer has told as of at.
func (w *Watch) Merge(at time.Duration, peer string, digest uint64, in []*quarantinepb.Suspicion) {
	w.mu.Lock()
	w.digests[peer] = digest
	w.mu.Unlock()
	if len(in) == 0 {
		return
	}
	before := func(ms uint64) time.Duration { return at - time.Duration(min(ms, maxAgeMS))*time.Millisecond }
	told := make([]quarantine.Suspicion, 0, len(in))
	for _, m := range in[:min(len(in), maxMergedSuspicions)] {
		s := quarantine.Suspicion{
			Key:   quarantine.Key{Kind: quarantine.Kind(m.Kind), Service: m.Service, ID: m.Id},
			Sound: m.Sound, SoundAt: before(m.SoundAgeMs), Probes: int(m.Probes), ProbedAt: before(m.ProbeAgeMs),
		}
		for _, c := range m.Crashes {
			s.Crashes = append(s.Crashes, quarantine.Crash{ID: c.Incarnation, Zone: c.Zone, At: before(c.AgeMs)})
		}
		told = append(told, s)
	}
	w.update(func(now time.Duration, t *quarantine.Tracker) { t.Merge(now, told) })
}
