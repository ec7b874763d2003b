package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func entry(readAt time.Duration, boot string, seq uint64) Entry {
	return Entry{Upstream: "s/u", ReadAt: readAt, Report: engine.Report{Boot: boot, Seq: seq}}
}

func TestObserve(t *testing.T) {
	for _, tc := range []struct {
		name string
		next Entry
		want Changes
	}{
		{"earlier read", entry(1, "a", 9), Changes{}},
		{"lower sequence number", entry(9, "a", 3), Changes{}},
		{"same", entry(9, "a", 5), Changes{}},
		{"higher sequence number", entry(9, "a", 6), Changes{Any: true, Residency: true}},
		{"restarted", entry(9, "b", 1), Changes{Any: true, Residency: true}},
	} {
		s := NewState()
		must.Eq(t, Changes{Any: true, Residency: true}, s.Observe(entry(5, "a", 5)))
		must.Eq(t, tc.want, s.Observe(tc.next), must.Sprint(tc.name))
	}
}

// TestRelaysInAnyOrderKeepTheNewest relays the reports of one run of an engine late,
// more than once and out of order: the state always holds the newest received.
func TestRelaysInAnyOrderKeepTheNewest(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "reports")
		s := NewState()
		seqs := rapid.SliceOfN(rapid.IntRange(1, n), 0, 60).Draw(t, "arrivals")
		highest := uint64(0)
		for _, seq := range append(seqs, n) {
			highest = max(highest, uint64(seq))
			sent := entryToWire(100, entry(time.Duration(seq)*time.Millisecond, "a", uint64(seq)))
			s.Observe(entryFromWire(time.Second, sent))
			e, _ := s.Entry("s/u")
			must.Eq(t, highest, e.Report.Seq)
		}
	})
}

// TestCompactRelaysAgreeWithReader relays to a peer only what changed at the reader,
// with lost messages: the peer never combines load figures with a residency they
// were not reported with, and after a whole report it agrees with the reader.
func TestCompactRelaysAgreeWithReader(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		reader, peer := NewState(), NewState()
		reported := map[[2]uint64]int{} // number of reports by residency and running
		seq := uint64(1)
		for i := range rapid.IntRange(1, 40).Draw(t, "reads") {
			now := time.Duration(i+1) * time.Second
			if rapid.IntRange(0, 4).Draw(t, "moved") == 0 {
				seq++
			}
			e := entry(now, "a", seq)
			e.Report.Running = rapid.IntRange(0, 3).Draw(t, "running")
			reported[[2]uint64{seq, uint64(e.Report.Running)}]++
			changes := reader.Observe(e)
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				continue
			}
			known, ok := peer.EntryByDigest(e.digest())
			switch {
			case changes.Residency:
				peer.Observe(entryFromWire(now, entryToWire(now, e)))
			case changes.Any && ok:
				peer.Observe(known.withLoad(now, loadToWire(now, e)))
			}
			if have, ok := peer.Entry("s/u"); ok {
				must.Positive(t, reported[[2]uint64{have.Report.Seq, uint64(have.Report.Running)}], must.Sprint("never reported"))
			}
		}
		last, _ := reader.Entry("s/u")
		peer.Observe(entryFromWire(time.Hour, entryToWire(time.Hour, last)))
		must.Eq(t, reader.BucketHashes(), peer.BucketHashes())
	})
}

// TestPullTransfersDifferingBuckets checks that a pull by a state that lacks some
// reports or holds older ones transfers all of these, and no report of a bucket
// without a difference.
func TestPullTransfersDifferingBuckets(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		from, to := NewState(), NewState()
		differing := map[uint64]bool{}
		for i := range rapid.IntRange(0, 300).Draw(t, "upstreams") {
			e := entry(time.Second, "a", 5)
			e.Upstream = fmt.Sprint("s/u", i)
			from.Observe(e)
			switch rapid.IntRange(0, 9).Draw(t, "peer") {
			case 0:
				differing[bucketOf(e.Upstream)] = true
				continue
			case 1:
				differing[bucketOf(e.Upstream)] = true
				e.Report.Seq = 4
			}
			to.Observe(e)
		}
		before := to.BucketHashes()
		for _, e := range from.DifferingEntries(before[:]) {
			must.True(t, differing[bucketOf(e.Upstream)], must.Sprint(e.Upstream))
			to.Observe(entryFromWire(2*time.Second, entryToWire(2*time.Second, e)))
		}
		must.Eq(t, from.BucketHashes(), to.BucketHashes())
	})
}

// TestRemovedMemberReassignsOnlyItsUpstreams also checks that 3 members share 300
// upstreams about evenly.
func TestRemovedMemberReassignsOnlyItsUpstreams(t *testing.T) {
	members := []objectstore.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	count := map[string]int{}
	for i := range 300 {
		name := fmt.Sprint("s/u", i)
		before := ReaderOf(name, members)
		count[before]++
		if before != "c" {
			must.Eq(t, before, ReaderOf(name, members[:2]))
		}
	}
	for _, m := range members {
		must.Between(t, 60, count[m.Name], 140)
	}
}
