// Package inventory maintains what one instance knows about upstreams: which models
// they hold and how loaded they are. Each engine's report is read by one instance
// of its zone, the reader, which is chosen by rendezvous hashing. The reader relays
// changes to the other instances of the zone; other zones receive only changes of
// residency (the resident models, a restart, or leaving).
//
// State holds the logic without I/O; Controller performs the I/O and updates the
// State.
package inventory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
)

// Entry is the latest report of one upstream. ReadAt is the time, on the local
// monotonic clock, at which this instance or the one that relayed it read the
// report.
type Entry struct {
	Upstream string // service/upstream
	Report   engine.Report
	ReadAt   time.Duration
}

// State holds the latest report of each upstream. It is not safe for concurrent
// use.
type State struct {
	entries          map[string]Entry
	upstreamByDigest map[uint64]string // name by Entry.digest
}

// NewState returns a state without reports.
func NewState() *State {
	return &State{entries: map[string]Entry{}, upstreamByDigest: map[uint64]string{}}
}

// Changes describes what an observed entry changed.
type Changes struct {
	Any       bool // load figures or residency
	Residency bool // resident models, a restart or leaving
}

// Observe stores an entry and returns what it changed. An entry that was read
// before the stored one, or that has a lower sequence number of the same boot, is
// ignored.
func (s *State) Observe(e Entry) Changes {
	old, known := s.entries[e.Upstream]
	sameBoot := known && old.Report.Boot == e.Report.Boot
	if known && e.ReadAt < old.ReadAt || sameBoot && e.Report.Seq < old.Report.Seq {
		return Changes{}
	}
	if known {
		delete(s.upstreamByDigest, old.digest())
	}
	s.entries[e.Upstream] = e
	s.upstreamByDigest[e.digest()] = e.Upstream
	return Changes{
		Any:       !known || loadDiffers(old.Report, e.Report) || !sameBoot || e.Report.Seq != old.Report.Seq,
		Residency: !sameBoot || e.Report.Seq != old.Report.Seq || e.Report.Leaving != old.Report.Leaving,
	}
}

// loadDiffers reports whether the load figures or leaving differ.
func loadDiffers(a, b engine.Report) bool {
	return a.Running != b.Running || a.Queued != b.Queued || a.QueuedPrefill != b.QueuedPrefill ||
		a.FreeKVTokens != b.FreeKVTokens || a.Leaving != b.Leaving
}

// RemoveExcept removes the reports of upstreams that are not in names.
func (s *State) RemoveExcept(names map[string]bool) {
	maps.DeleteFunc(s.entries, func(name string, e Entry) bool {
		if names[name] {
			return false
		}
		delete(s.upstreamByDigest, e.digest())
		return true
	})
}

// EntryByDigest returns the latest report of the upstream whose name and
// residency have the given digest, and false if this instance knows another
// residency.
func (s *State) EntryByDigest(digest uint64) (Entry, bool) {
	e, ok := s.entries[s.upstreamByDigest[digest]]
	return e, ok
}

// Entry returns the latest report of an upstream.
func (s *State) Entry(upstream string) (Entry, bool) {
	e, ok := s.entries[upstream]
	return e, ok
}

// Entries returns the latest report of each upstream, sorted by name.
func (s *State) Entries() []Entry {
	all := make([]Entry, 0, len(s.entries))
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		all = append(all, s.entries[name])
	}
	return all
}

// buckets is the number of buckets into which upstreams are divided by name, so
// that two instances exchange only the buckets that differ.
const buckets = 128

func bucketOf(upstream string) uint64 { return xxhash.Sum64String(upstream) % buckets }

// BucketHashes returns the hash of each bucket. It is equal in two states that
// know the same residency of the bucket's upstreams.
func (s *State) BucketHashes() [buckets]uint64 {
	var sums [buckets]uint64
	for name, e := range s.entries {
		sums[bucketOf(name)] ^= e.digest()
	}
	return sums
}

// DifferingEntries returns the reports, sorted by name, of the buckets whose
// hashes differ from other, the bucket hashes of another state. A hash that other
// lacks counts as different.
func (s *State) DifferingEntries(other []uint64) []Entry {
	own := s.BucketHashes()
	var entries []Entry
	for _, e := range s.Entries() {
		b := bucketOf(e.Upstream)
		if b >= uint64(len(other)) || other[b] != own[b] {
			entries = append(entries, e)
		}
	}
	return entries
}

// digest returns a hash of the upstream's name and residency.
func (e Entry) digest() uint64 {
	d := xxhash.NewWithSeed(e.Report.Seq)
	_, _ = d.WriteString(e.Upstream)
	_, _ = d.WriteString(e.Report.Boot)
	if e.Report.Leaving {
		_, _ = d.WriteString("leaving")
	}
	return d.Sum64()
}

// ReaderOf returns the name of the instance that reads an upstream's report, or
// "" if there are no members. It uses rendezvous hashing: the reader is the
// member with the highest hash of both names. All instances that see the same
// members agree, and removing a member reassigns only its own upstreams.
func ReaderOf(upstream string, members []objectstore.Instance) string {
	var best uint64
	var reader string
	for _, m := range members {
		h := xxhash.Sum64String(m.Name + "\x00" + upstream)
		if reader == "" || h > best || h == best && m.Name < reader {
			best, reader = h, m.Name
		}
	}
	return reader
}

// entryToWire encodes an entry that is relayed at now.
func entryToWire(now time.Duration, e Entry) *peerpb.UpstreamReport {
	r := e.Report
	w := &peerpb.UpstreamReport{
		Upstream: e.Upstream, Boot: r.Boot, Seq: r.Seq, Running: int64(r.Running), Queued: int64(r.Queued),
		QueuedPrefillTokens: r.QueuedPrefill, FreeKvTokens: r.FreeKVTokens, Leaving: r.Leaving,
		LoadAgeMs: r.AgeMS, ReadAgeMs: (now - e.ReadAt).Milliseconds(),
	}
	for _, res := range r.Resident {
		w.Resident = append(w.Resident, &peerpb.Resident{Model: res.Model, Adapter: res.Adapter, Ready: res.State == engine.ResidencyReady})
	}
	return w
}

// loadToWire encodes the load figures of an entry that is relayed at now.
func loadToWire(now time.Duration, e Entry) *peerpb.UpstreamLoad {
	r := e.Report
	return &peerpb.UpstreamLoad{
		Digest: e.digest(), Running: int64(r.Running), Queued: int64(r.Queued),
		QueuedPrefillTokens: r.QueuedPrefill, FreeKvTokens: r.FreeKVTokens,
		LoadAgeMs: r.AgeMS, ReadAgeMs: (now - e.ReadAt).Milliseconds(),
	}
}

// withLoad returns the entry with the relayed load figures w, received at now.
func (e Entry) withLoad(now time.Duration, w *peerpb.UpstreamLoad) Entry {
	e.ReadAt = now - time.Duration(w.ReadAgeMs)*time.Millisecond
	r := &e.Report
	r.Running, r.Queued = int(w.Running), int(w.Queued)
	r.QueuedPrefill, r.FreeKVTokens, r.AgeMS = w.QueuedPrefillTokens, w.FreeKvTokens, w.LoadAgeMs
	return e
}

// entryFromWire decodes a relayed entry received at now.
func entryFromWire(now time.Duration, w *peerpb.UpstreamReport) Entry {
	r := engine.Report{
		Boot: w.Boot, Seq: w.Seq, Running: int(w.Running), Queued: int(w.Queued),
		QueuedPrefill: w.QueuedPrefillTokens, FreeKVTokens: w.FreeKvTokens, Leaving: w.Leaving, AgeMS: w.LoadAgeMs,
	}
	for _, res := range w.Resident {
		state := engine.ResidencyLoading
		if res.Ready {
			state = engine.ResidencyReady
		}
		r.Resident = append(r.Resident, engine.Resident{Model: res.Model, Adapter: res.Adapter, State: state})
	}
	return Entry{Upstream: w.Upstream, Report: r, ReadAt: now - time.Duration(w.ReadAgeMs)*time.Millisecond}
}

// SplitName splits a name of the form service/upstream into its parts.
func SplitName(name string) (service, upstream string) {
	service, upstream, _ = strings.Cut(name, "/")
	return service, upstream
}
