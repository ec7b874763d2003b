// Package quarantine decides which requests are held back because upstreams crash under
// them. A request may hold something, such as a part of its prompt, that crashes each
// upstream that begins to answer it. No instance sees enough crashes to tell by itself,
// so every instance records the suspects of the crashes that it sees, which are the keys
// of the requests whose answers had not got beyond their beginning, and all merge what
// they record. A key is held once upstreams crashed under it several times and no
// request with it was answered in between. See Tracker for the rules.
package quarantine

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

const (
	// SuspectTime is the time since the first byte of an answer for which its request
	// may be the one that crashes the upstream.
	SuspectTime = 400 * time.Millisecond
	// SoundTime is the time since its first byte after which an answer that goes on
	// has got beyond its beginning; it also has if it ends well before.
	SoundTime = 600 * time.Millisecond
	// RepeatDelay is the time after a crash from which on a repeat of the request may be
	// sent, so that a crash under the repeat counts on its own.
	RepeatDelay = sameMoment + 10*time.Millisecond
)

const (
	// newKeyCrashes is the number of crashes after which a key is held with which no
	// answer ever got beyond its beginning, knownKeyCrashes that for other keys.
	newKeyCrashes   = 3
	knownKeyCrashes = 4
	// knownKeySpan is the time without such an answer after which a key of the latter
	// kind is held. It allows for the time until an answer is beyond its beginning and
	// until all instances know.
	knownKeySpan = 2 * time.Second
	// For every crashesPerDoubt crashes from doubtTime before the first one of a key to
	// its last one that were not under the key, one more is needed to hold a key that was
	// in no answered request, maxDoubt at most: the more upstreams crash by themselves,
	// the likelier was it there by chance.
	crashesPerDoubt = 3
	maxDoubt        = 3
	doubtTime       = 5 * time.Second
	// suspectCrashes is the number of crashes from which on a request that an upstream
	// crashed under is not repeated.
	suspectCrashes = 2
	// sameMoment is the time within which crashes count as one, because a request
	// crashes one upstream at a time; sameZoneMoment is that for upstreams of one zone,
	// which share failure domains.
	sameMoment     = 50 * time.Millisecond
	sameZoneMoment = 250 * time.Millisecond
	// brokenMemory is how long a broken attempt may be attributed to a crash that is
	// confirmed later, and how long before or after the crash it may have broken.
	brokenMemory = time.Second
	// clearedMemory is how long peers are told that a key has been cleared.
	clearedMemory = 30 * time.Second
	// suspicionMemory is how long suspicions last after the last crash or the last request
	// that was held back.
	suspicionMemory = time.Hour
	// maxSuspects is the number of keys with crashes, maxCrashes the number of crashes
	// of a key that are kept, the newest ones, and maxBroken the number of upstreams
	// with broken attempts and no confirmed crash.
	maxSuspects = 512
	maxCrashes  = 32
	maxBroken   = 256
	// maxKeysPerUpstream is the number of suspects of one crash that an instance keeps.
	maxKeysPerUpstream = 64
)

// Kind is what a key identifies.
type Kind uint8

// The kinds of keys.
const (
	// KindPart: a part of a prompt, by its ID.
	KindPart Kind = iota + 1
	// KindRequest: a whole request, by its fingerprint. It has no service, as a route may
	// send it to any.
	KindRequest
)

// Key is something that requests have in common and that may crash upstreams of a
// service.
type Key struct {
	Kind    Kind
	Service string
	ID      uint64
}

var kindNames = map[Kind]string{KindPart: "part", KindRequest: "request"}

// String returns the key as KIND/SERVICE/ID, or as KIND/ID if it has no service, with the
// ID in hexadecimal digits.
func (k Key) String() string {
	name := kindNames[k.Kind] + "/"
	if k.Service != "" {
		name += k.Service + "/"
	}
	return name + strconv.FormatUint(k.ID, 16)
}

// JoinKeys returns the texts of the keys, separated by blanks.
func JoinKeys(keys []Key) string {
	names := make([]string, 0, len(keys))
	for _, k := range keys {
		names = append(names, k.String())
	}
	return strings.Join(names, " ")
}

// ErrInvalidKey means that a text is not that of a key.
var ErrInvalidKey = errors.New("quarantine: invalid key")

// ParseKey returns the key with the given text, see Key.String. It fails with
// ErrInvalidKey.
func ParseKey(text string) (Key, error) {
	kind, rest, _ := strings.Cut(text, "/")
	at := strings.LastIndexByte(rest, '/')
	id, err := strconv.ParseUint(rest[at+1:], 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("%w: %q: %w", ErrInvalidKey, text, err)
	}
	k := Key{Service: rest[:max(at, 0)], ID: id}
	for n, name := range kindNames {
		if name == kind {
			k.Kind = n
		}
	}
	if !k.Valid() {
		return Key{}, fmt.Errorf("%w: %q", ErrInvalidKey, text)
	}
	return k, nil
}

// Valid reports whether the key is of a known kind, with a service if the kind has one.
// Peers of a later version may tell others.
func (k Key) Valid() bool {
	return kindNames[k.Kind] != "" && (k.Service == "") == (k.Kind == KindRequest)
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID          string
	StartedAtMS int64
	Zone        string
}

// crashID returns the number by which all instances know the crash of an incarnation,
// which crashes once.
func (u Upstream) crashID() uint64 { return hash(fmt.Sprint(u.ID, "/", u.StartedAtMS)) }

// zoneID returns the number by which instances tell each other the upstream's zone, 0 if it
// is not known.
func (u Upstream) zoneID() uint32 {
	if u.Zone == "" {
		return 0
	}
	return uint32(hash(u.Zone))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// Crash is the end of an incarnation of an upstream.
type Crash struct {
	ID   uint64 // see Upstream.crashID
	Zone uint32 // see Upstream.zoneID
	At   time.Duration
}

// Suspicion is what instances tell each other about a key.
type Suspicion struct {
	Key     Key
	Crashes []Crash // ordered by ID
	// SoundAt is when the last answer began that got beyond its beginning and whose
	// request has the key. It is meaningful if Sound is set.
	Sound   bool
	SoundAt time.Duration
	// Probes is the number of requests that were sent although the key was held, the
	// last one at ProbedAt.
	Probes   int
	ProbedAt time.Duration
}

// suspect is the state of a key under which upstreams crashed.
type suspect struct {
	Suspicion
	heldAt time.Duration // last request that was held back
}

// crash returns the recorded crash with an ID, nil if there is none.
func (s *suspect) crash(id uint64) *Crash {
	for i := range s.Crashes {
		if s.Crashes[i].ID == id {
			return &s.Crashes[i]
		}
	}
	return nil
}

// counts reports whether a crash counts against the key: no answer has succeeded since.
func (s *suspect) counts(c Crash) bool { return !s.Sound || c.At > s.SoundAt }

// lastCrash returns the time of the newest crash.
func (s *suspect) lastCrash() time.Duration {
	last := time.Duration(0)
	for _, c := range s.Crashes {
		last = max(last, c.At)
	}
	return last
}

// cleared reports whether no crash counts against the key.
func (s *suspect) cleared() bool {
	for _, c := range s.Crashes {
		if s.counts(c) {
			return false
		}
	}
	return true
}
