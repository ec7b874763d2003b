package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
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
		want News
	}{
		{"older read", entry(1, "a", 9), News{}},
		{"older count", entry(9, "a", 3), News{}},
		{"same", entry(9, "a", 5), News{}},
		{"moved on", entry(9, "a", 6), News{Load: true, Residency: true}},
		{"restarted", entry(9, "b", 1), News{Load: true, Residency: true}},
	} {
		s := NewState()
		must.Eq(t, News{Load: true, Residency: true}, s.Observe(entry(5, "a", 5)))
		must.Eq(t, tc.want, s.Observe(tc.next), must.Sprint(tc.name))
	}
}

// TestRelaysInAnyOrderKeepTheNewest relays the reports of one run of an engine
// late, twice and out of order: the state ends with the newest.
func TestRelaysInAnyOrderKeepTheNewest(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "reports")
		s := NewState()
		seqs := rapid.SliceOfN(rapid.IntRange(1, n), 0, 60).Draw(t, "arrivals")
		highest := uint64(0)
		for _, seq := range append(seqs, n) {
			highest = max(highest, uint64(seq))
			sent := toWire(100, entry(time.Duration(seq)*time.Millisecond, "a", uint64(seq)))
			s.Observe(fromWire(time.Second, sent))
			e, _ := s.Entry("s/u")
			must.Eq(t, highest, e.Report.Seq)
		}
	})
}

// TestCompactRelaysFollowTheReader relays to a peer only what the reader found
// new, with messages lost: the peer never holds load figures of one residency
// beside another, and after a whole report it agrees with the reader.
func TestCompactRelaysFollowTheReader(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		reader, peer := NewState(), NewState()
		truth := map[[2]uint64]int{} // residency and running: how often reported
		seq := uint64(1)
		for i := range rapid.IntRange(1, 40).Draw(t, "reads") {
			now := time.Duration(i+1) * time.Second
			if rapid.IntRange(0, 4).Draw(t, "moved") == 0 {
				seq++
			}
			e := entry(now, "a", seq)
			e.Report.Running = rapid.IntRange(0, 3).Draw(t, "running")
			truth[[2]uint64{seq, uint64(e.Report.Running)}]++
			news := reader.Observe(e)
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				continue
			}
			known, ok := peer.Known(e.digest())
			switch {
			case news.Residency:
				peer.Observe(fromWire(now, toWire(now, e)))
			case news.Load && ok:
				peer.Observe(known.withLoad(now, loadToWire(now, e)))
			}
			if have, ok := peer.Entry("s/u"); ok {
				must.Positive(t, truth[[2]uint64{have.Report.Seq, uint64(have.Report.Running)}], must.Sprint("never reported"))
			}
		}
		last, _ := reader.Entry("s/u")
		peer.Observe(fromWire(time.Hour, toWire(time.Hour, last)))
		must.Eq(t, reader.Buckets(), peer.Buckets())
	})
}

// TestPullMendsWhatDiffers: whatever two states know, a pull by the one that
// knows less brings every upstream that it lacks or knows older, and none that
// is in a part without a difference.
func TestPullMendsWhatDiffers(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		from, to := NewState(), NewState()
		lacking := map[uint64]bool{}
		for i := range rapid.IntRange(0, 300).Draw(t, "upstreams") {
			e := entry(time.Second, "a", 5)
			e.Upstream = fmt.Sprint("s/u", i)
			from.Observe(e)
			switch rapid.IntRange(0, 9).Draw(t, "peer") {
			case 0:
				lacking[bucketOf(e.Upstream)] = true
				continue
			case 1:
				lacking[bucketOf(e.Upstream)] = true
				e.Report.Seq = 4
			}
			to.Observe(e)
		}
		before := to.Buckets()
		for _, e := range from.Differing(before[:]) {
			must.True(t, lacking[bucketOf(e.Upstream)], must.Sprint(e.Upstream))
			to.Observe(fromWire(2*time.Second, toWire(2*time.Second, e)))
		}
		must.Eq(t, from.Buckets(), to.Buckets())
	})
}

func TestReaderMovesOnlyTheUpstreamsOfAMemberThatGoes(t *testing.T) {
	members := []platform.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	count := map[string]int{}
	for i := range 300 {
		name := fmt.Sprint("s/u", i)
		before := Reader(name, members)
		count[before]++
		if before != "c" {
			must.Eq(t, before, Reader(name, members[:2]))
		}
	}
	for _, m := range members {
		must.Between(t, 60, count[m.Name], 140)
	}
}
