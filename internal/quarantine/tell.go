package quarantine

import (
	"slices"
	"time"
)

// maxTold is the number of keys that peers are told of, those with the most crashes.
const maxTold = 32

// Suspicions returns what peers are told, ordered by the number of crashes. The result
// must not be changed.
func (t *Tracker) Suspicions(now time.Duration) []Suspicion {
	t.prune(now)
	return t.told.update(t.version+t.repeated, t.tell)
}

func (t *Tracker) tell() []Suspicion {
	suspects := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		suspects = append(suspects, s)
	}
	slices.SortFunc(suspects, compareSuspects)
	var out []Suspicion
	for _, s := range suspects[:min(len(suspects), maxTold)] {
		told := s.Suspicion
		told.Crashes = slices.Clone(s.Crashes)
		out = append(out, told)
	}
	return out
}

// Digest identifies what Suspicions returns apart from times. Instances with the same
// digest have nothing to tell each other. It is 0 if there is nothing to tell.
func (t *Tracker) Digest(now time.Duration) uint64 {
	t.prune(now)
	return t.digest.update(t.version, func() uint64 { return digestOf(t.Suspicions(now)) })
}

func digestOf(told []Suspicion) uint64 {
	sum := uint64(0)
	for _, s := range told {
		h := hash(s.Key.String())
		for _, c := range s.Crashes {
			h = mix(h, c.ID)
		}
		h = mix(h, uint64(s.Probes))
		if s.Sound {
			h = mix(h, 1)
		}
		if (&suspect{Suspicion: s}).cleared() {
			h = mix(h, 2)
		}
		sum += h
	}
	return sum
}

// mix returns the hash of a sequence with the hash h extended by v.
func mix(h, v uint64) uint64 {
	h = (h ^ v) * 0xff51afd7ed558ccd
	return h ^ h>>33
}
