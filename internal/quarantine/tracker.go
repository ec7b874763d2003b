package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tracker is one instance's view of the keys under which upstreams crash. It is stepped
// by observations and time and is not safe for concurrent use.
//
// A crash counts against the keys of all requests at the upstream whose answers had not
// got beyond their beginning, until an answer to a request with the key does so anywhere.
// Crashes of one moment count as one. The key with the most crashes is held, together
// with the keys that have the same crashes: a request is held back if it has all of them.
// Its crashes then no longer count against other keys, which were there by chance.
//
// Invariant: what is held depends only on the time and on the crashes, the successes and
// the probes that are known, in whatever order they were learned. Instances that know the
// same hold the same.
type Tracker struct {
	name     string
	members  []string
	joinedAt time.Duration // when the members were first set, 0 if they were not
	broken   map[Upstream]*brokenAttempts
	suspects map[Key]*suspect
	history  history
	exempt   map[Key]bool
	answered map[string]time.Duration // when the last answer began that got beyond its beginning, by service
	probing  map[Key]time.Duration    // when a probe was sent whose result is not known, by the first key of its verdict
	pruned   time.Duration

	version  uint64 // of what is known, apart from what the next two count
	answers  uint64 // number of answers that may end an outage, and of reviews
	repeated uint64 // number of answers to requests with keys that had been cleared
	verdicts derived[[]Verdict]
	reviewAt time.Duration // when the verdicts change by time alone
	told     derived[[]Suspicion]
	digest   derived[uint64]
	heads    derived[map[Head]bool] // of the suspects that are requests
}

// derived is a value that was computed from a version of what is known.
type derived[T any] struct {
	version uint64
	value   T
}

// update returns the value as of a version.
func (d *derived[T]) update(version uint64, compute func() T) T {
	if d.version != version {
		d.version, d.value = version, compute()
	}
	return d.value
}

// brokenAttempts are the attempts at one upstream that broke in their beginning.
type brokenAttempts struct {
	at      time.Duration         // of the last one
	aliveAt time.Duration         // when the upstream was last seen to run
	keys    map[Key]time.Duration // when the last attempt with a key broke
	crashed bool
	crash   Crash
}

// Verdict is a set of keys that is held: requests with all of them are held back.
type Verdict struct {
	Keys      []Key // sorted
	Known     bool  // whether requests with the keys were answered before
	Outage    bool  // whether no request to the service was answered since the first crash
	Crashes   int   // that count against them
	LastCrash time.Duration
	Probes    int
	ProbedAt  time.Duration
}

// New returns a tracker of the instance with the given name, which is unique among the
// instances that run.
func New(name string) *Tracker {
	return &Tracker{
		name: name, broken: map[Upstream]*brokenAttempts{}, suspects: map[Key]*suspect{},
		answered: map[string]time.Duration{}, probing: map[Key]time.Duration{}, reviewAt: never, version: 1,
	}
}

// SetMembers sets the names of the instances that run, this one included, among which one
// probes.
func (t *Tracker) SetMembers(now time.Duration, names []string) {
	t.members = names
	if t.joinedAt == 0 {
		t.joinedAt = now
	}
}

// SetExempt sets the keys that are not held, whatever crashes.
func (t *Tracker) SetExempt(keys []Key) {
	t.exempt = make(map[Key]bool, len(keys))
	for _, k := range keys {
		t.exempt[k] = true
	}
	t.version++
}

// Broke records that an attempt at an upstream broke before its answer got beyond its
// beginning. It counts once the upstream is known to have crashed; Broke reports whether
// that is still to be found out.
func (t *Tracker) Broke(now time.Duration, u Upstream, keys []Key) (unconfirmed bool) {
	t.prune(now)
	t.endProbe(now, keys)
	b := t.broken[u]
	if b == nil {
		if len(t.broken) >= maxBroken {
			return false
		}
		b = &brokenAttempts{keys: map[Key]time.Duration{}}
		t.broken[u] = b
	}
	b.at = now
	for _, k := range keys {
		if _, known := b.keys[k]; !known && len(b.keys) >= maxKeysPerUpstream {
			break
		}
		b.keys[k] = now
		if b.crashed {
			t.addCrash(now, k, b.crash)
		}
	}
	return !b.crashed
}

// Crashed records that an upstream with broken attempts has ended. It returns the keys
// of those that broke since it was last seen to run.
func (t *Tracker) Crashed(now time.Duration, u Upstream) []Key {
	b := t.broken[u]
	if b == nil || b.crashed {
		return nil
	}
	b.crashed, b.crash = true, Crash{ID: u.crashID(), Zone: u.zoneID(), At: b.at}
	var keys []Key
	for k, at := range b.keys {
		if at >= b.aliveAt {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	for _, k := range keys {
		t.addCrash(now, k, b.crash)
	}
	return keys
}

// Alive records that an upstream runs: what broke there before did not crash it.
func (t *Tracker) Alive(now time.Duration, u Upstream) {
	if b := t.broken[u]; b != nil && !b.crashed {
		b.aliveAt = now
	}
}

// Sound records that an answer to a request with the keys, which began at beganAt, has
// got beyond its beginning.
func (t *Tracker) Sound(beganAt time.Duration, keys []Key) {
	for _, k := range keys {
		t.noteAnswered(k.Service, beganAt)
		if k.Kind == KindPart {
			t.history.record(beganAt, k)
		}
		if s := t.suspects[k]; s != nil {
			t.clear(s, beganAt)
		}
	}
}

// clear records an answer to a request with a suspect's key. One after the key had been
// cleared changes nothing but its time.
func (t *Tracker) clear(s *suspect, beganAt time.Duration) {
	if s.Sound && s.cleared() {
		t.repeated++
	} else {
		t.version++
	}
	s.sound(beganAt)
}

// noteAnswered records that an answer of a service got beyond its beginning.
func (t *Tracker) noteAnswered(service string, beganAt time.Duration) {
	if beganAt <= t.answered[service] {
		return
	}
	t.answered[service] = beganAt
	if slices.ContainsFunc(t.verdicts.value, func(v Verdict) bool { return v.Outage }) {
		t.answers++
	}
}

// HasSuspects reports whether upstreams crashed under any key.
func (t *Tracker) HasSuspects() bool { return len(t.suspects) > 0 }

// Suspects reports whether upstreams crashed under a request with this head. Only then the
// request's fingerprint matters.
func (t *Tracker) Suspects(head Head) bool {
	return t.heads.update(t.version, func() map[Head]bool {
		out := map[Head]bool{}
		for k := range t.suspects {
			if k.Kind == KindRequest {
				out[headOfID(k.ID)] = true
			}
		}
		return out
	})[head]
}

// sound records the beginning of an answer that got beyond it.
func (s *suspect) sound(beganAt time.Duration) {
	if !s.Sound || beganAt > s.SoundAt {
		s.Sound, s.SoundAt = true, beganAt
	}
}

// suspect returns the state of a key, which it adds if there is room.
func (t *Tracker) suspect(now time.Duration, k Key) *suspect {
	s := t.suspects[k]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.evict(now) {
			return nil
		}
		s = &suspect{Suspicion: Suspicion{Key: k}}
		s.SoundAt, s.Sound = t.history.lookup(k)
		t.suspects[k] = s
	}
	t.version++
	return s
}

// evict makes room for a key: it drops the one with the fewest crashes, the oldest of
// these. Held keys stay. It reports whether there is room.
func (t *Tracker) evict(now time.Duration) bool {
	var victim *suspect
	held := map[Key]bool{}
	for _, v := range t.Verdicts(now) {
		for _, k := range v.Keys {
			held[k] = true
		}
	}
	for k, s := range t.suspects {
		if !held[k] && (victim == nil || compareSuspects(s, victim) > 0) {
			victim = s
		}
	}
	if victim != nil {
		delete(t.suspects, victim.Key)
	}
	return victim != nil
}

// addCrash records a crash under a key.
func (t *Tracker) addCrash(now time.Duration, k Key, c Crash) {
	if s := t.suspect(now, k); s != nil {
		s.add(c)
	}
}

// add records a crash, with the earliest time that is told of it.
func (s *suspect) add(c Crash) {
	if known := s.crash(c.ID); known != nil {
		known.At = min(known.At, c.At)
		return
	}
	s.Crashes = append(s.Crashes, c)
	if len(s.Crashes) > maxCrashes {
		oldest := slices.MinFunc(s.Crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return c.ID == oldest.ID })
	}
	slices.SortFunc(s.Crashes, func(a, b Crash) int { return cmp.Compare(a.ID, b.ID) })
}

// Merge records what a peer has told.
func (t *Tracker) Merge(now time.Duration, told []Suspicion) {
	t.prune(now)
	for _, in := range told {
		if !in.Key.Valid() || len(in.Crashes) == 0 {
			continue
		}
		s := t.suspect(now, in.Key)
		if s == nil {
			continue
		}
		for _, c := range in.Crashes {
			s.add(c)
		}
		if in.Sound {
			s.sound(in.SoundAt)
			t.noteAnswered(in.Key.Service, in.SoundAt)
		}
		if in.Probes > s.Probes {
			s.Probes, s.ProbedAt = in.Probes, in.ProbedAt
		}
	}
}

// prune drops what is too old.
func (t *Tracker) prune(now time.Duration) {
	if now-t.pruned < brokenMemory/4 {
		return
	}
	t.pruned = now
	maps.DeleteFunc(t.probing, func(_ Key, at time.Duration) bool { return now-at > probeTimeout })
	maps.DeleteFunc(t.broken, func(_ Upstream, b *brokenAttempts) bool { return now-b.at > brokenMemory })
	maps.DeleteFunc(t.suspects, func(_ Key, s *suspect) bool {
		if s.cleared() && now-s.SoundAt > clearedMemory || now-max(s.lastCrash(), s.heldAt) > suspicionMemory {
			t.version++
			return true
		}
		return false
	})
}

// compareSuspects orders suspects by the number of crashes, most first. Those that do not
// count matter too: peers learn that they don't.
func compareSuspects(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.lastCrash(), a.lastCrash()), compareKeys(a.Key, b.Key))
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}
