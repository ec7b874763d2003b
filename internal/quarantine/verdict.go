package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Verdicts returns what is held now. The result must not be changed.
func (t *Tracker) Verdicts(now time.Duration) []Verdict {
	t.prune(now)
	if now >= t.reviewAt {
		t.answers++
	}
	return t.verdicts.update(t.version+t.answers, func() []Verdict { return t.decide(now) })
}

// decide computes what is held.
func (t *Tracker) decide(now time.Duration) []Verdict {
	t.reviewAt = never
	var candidates []*suspect
	for _, s := range t.suspects {
		if len(s.Crashes) >= newKeyCrashes {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *suspect) int { return compareKeys(a.Key, b.Key) })
	var out []Verdict
	unexplained := map[uint64]Crash{}
	if len(candidates) > 0 {
		unexplained = t.crashes()
	}
	for {
		worst, most, ok := t.findWorst(now, candidates, unexplained)
		if !ok {
			return out
		}
		for _, v := range t.verdictsOn(worst, most, candidates, unexplained) {
			if !slices.ContainsFunc(v.Keys, func(k Key) bool { return t.exempt[k] }) {
				out = append(out, v)
			}
		}
		for _, c := range most.crashes {
			delete(unexplained, c.ID)
		}
	}
}

// crashes returns all crashes that are known, by ID.
func (t *Tracker) crashes() map[uint64]Crash {
	out := map[uint64]Crash{}
	for _, s := range t.suspects {
		for _, c := range s.Crashes {
			out[c.ID] = c
		}
	}
	return out
}

// verdictsOn returns the verdicts on a key and on those that have the same crashes. Keys
// of which none was in an answered request are held together, until the next crash or
// answer tells them apart. Others are held each on its own, as probes tell them apart.
func (t *Tracker) verdictsOn(worst *suspect, most evidence, candidates []*suspect, unexplained map[uint64]Crash) []Verdict {
	var out []Verdict
	for _, s := range candidates {
		if s.Sound != worst.Sound || !s.evidence(unexplained).sameCrashes(most) {
			continue
		}
		if len(out) == 0 || s.Sound {
			out = append(out, Verdict{
				Known: s.Sound, Outage: s.Key.Kind == KindPart && t.answered[s.Key.Service] <= most.first,
				Crashes: len(most.crashes), LastCrash: worst.lastCrash(),
			})
		}
		v := &out[len(out)-1]
		v.Keys = append(v.Keys, s.Key)
		v.Probes, v.ProbedAt = max(v.Probes, s.Probes), max(v.ProbedAt, s.ProbedAt)
	}
	return out
}

// findWorst returns the candidate to be held first, if the evidence suffices to hold any.
func (t *Tracker) findWorst(now time.Duration, candidates []*suspect, unexplained map[uint64]Crash) (worst *suspect, most evidence, ok bool) {
	for _, s := range candidates {
		e := s.evidence(unexplained)
		at := e.sufficesAt(s.Sound, unexplained)
		if at > now {
			t.reviewAt = min(t.reviewAt, at)
			continue
		}
		if worst == nil || s.isWorse(e, worst, most) {
			worst, most = s, e
		}
	}
	return worst, most, worst != nil
}

// isWorse reports whether the key is a likelier cause than another one: a part that was in
// no answered request, then the key with the most crashes. A single request is taken before
// the known parts that it has. Of parts with as many crashes it is the one that was longest
// in no answer: those that are in most requests, and so at each crash, are in answers until
// the last moment.
func (s *suspect) isWorse(e evidence, other *suspect, otherEvidence evidence) bool {
	if s.isNewPart() != other.isNewPart() {
		return s.isNewPart()
	}
	n, m := len(e.crashes), len(otherEvidence.crashes)
	if s.Key.Kind != other.Key.Kind && max(n, m)-min(n, m) <= 1 {
		return s.Key.Kind == KindRequest
	}
	if s.Key.Kind == KindPart && n == m && s.SoundAt != other.SoundAt {
		return s.SoundAt < other.SoundAt
	}
	return cmp.Or(cmp.Compare(n, m), cmp.Compare(e.moments, otherEvidence.moments)) > 0
}

func (s *suspect) isNewPart() bool { return s.Key.Kind == KindPart && !s.Sound }

// evidence is what speaks against a key.
type evidence struct {
	crashes []Crash // those that count, ordered by ID
	moments int     // number of crashes, with those of one moment taken as one
	first   time.Duration
	last    time.Duration
}

// evidence returns what speaks against the key, among the crashes that are unexplained.
func (s *suspect) evidence(unexplained map[uint64]Crash) evidence {
	var e evidence
	for _, c := range s.Crashes {
		if _, ok := unexplained[c.ID]; ok && s.counts(c) {
			e.crashes = append(e.crashes, c)
		}
	}
	if len(e.crashes) == 0 {
		return e
	}
	ordered := slices.Clone(e.crashes)
	slices.SortFunc(ordered, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	e.first, e.last = ordered[0].At, ordered[len(ordered)-1].At
	var moments []Crash // the first crash of each
	for _, c := range ordered {
		if !slices.ContainsFunc(moments, func(m Crash) bool { return isSameMoment(m, c) }) {
			moments = append(moments, c)
		}
	}
	e.moments = len(moments)
	return e
}

// isSameMoment reports whether a crash and one that is not before it may have the same
// cause outside of the upstreams.
func isSameMoment(first, c Crash) bool {
	apart := c.At - first.At
	return apart <= sameMoment || apart <= sameZoneMoment && c.Zone == first.Zone && c.Zone != 0
}

func (e evidence) sameCrashes(other evidence) bool {
	return slices.EqualFunc(e.crashes, other.crashes, func(a, b Crash) bool { return a.ID == b.ID })
}

// sufficesAt returns the time from which on a key is held for this. known is whether an
// answer to a request with the key ever got beyond its beginning: news of such an answer
// may be on the way.
func (e evidence) sufficesAt(known bool, unexplained map[uint64]Crash) time.Duration {
	switch {
	case known && e.moments >= knownKeyCrashes:
		return e.first + knownKeySpan
	case known || e.moments < newKeyCrashes:
		return never
	case len(e.crashes) >= newKeyCrashes+maxDoubt || e.moments >= newKeyCrashes+e.doubt(unexplained):
		return 0
	}
	return never
}

// doubt returns the number of additional crashes that are needed because of unexplained
// crashes elsewhere.
func (e evidence) doubt(unexplained map[uint64]Crash) int {
	others := -len(e.crashes)
	for _, c := range unexplained {
		if c.At >= e.first-doubtTime && c.At <= e.last {
			others++
		}
	}
	return min(max(others, 0)/crashesPerDoubt, maxDoubt)
}

// Suspected reports whether upstreams crashed repeatedly under a key that no answer has
// cleared, so that a request under which one crashed is not sent again.
func (t *Tracker) Suspected(now time.Duration, keys []Key) bool {
	t.prune(now)
	return slices.ContainsFunc(keys, func(k Key) bool {
		s := t.suspects[k]
		return s != nil && !s.Sound && !t.exempt[k] && len(s.Crashes) >= suspectCrashes
	})
}

// matches reports whether a request with the keys is held back by the verdict.
func (v *Verdict) matches(keys []Key) bool {
	for _, k := range v.Keys {
		if !slices.Contains(keys, k) {
			return false
		}
	}
	return true
}
