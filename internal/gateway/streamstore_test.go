package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
	"github.com/shoenig/test/must"
)

// countedStreams counts the writes of records, which it fails while the store is away.
type countedStreams struct {
	objectstore.Store
	writes *atomic.Int64
	away   *atomic.Bool
}

var errAway = errors.New("away")

// Put implements objectstore.Store.
func (s countedStreams) Put(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	if _, _, ok := parseSegmentName(o.Name); ok {
		s.writes.Add(1)
		if s.away.Load() {
			return objectstore.Object{}, errAway
		}
	}
	return s.Store.Put(ctx, o)
}

// newStreamFleet starts a fleet with upstreams of the versions, of which the writes of records
// are counted.
func newStreamFleet(t *testing.T, size int, versions ...string) (*testFleet, []*testNode, countedStreams) {
	c := countedStreams{writes: &atomic.Int64{}, away: &atomic.Bool{}}
	f := newTestFleet(t)
	f.wrapStore = func(s objectstore.Store) objectstore.Store { return countedStreams{s, c.writes, c.away} }
	f.putConfig(1, 1)
	nodes := f.startFleet(size)
	for i, version := range versions {
		f.putUpstream(fmt.Sprintf("u%d", i), fleet.Upstream{Version: version, Slots: 4})
	}
	time.Sleep(5 * time.Second)
	return f, nodes, c
}

// beginStreams begins perSecond streams a second, in turns at the instances and the versions.
// Their requests are numbered from first on.
func beginStreams(nodes []*testNode, d time.Duration, first, perSecond int) (next int) {
	for range int(d.Seconds() * float64(perSecond)) {
		nodes[first%len(nodes)].g.streamVersions.began("", fmt.Sprint(first), "app", versionOf(first))
		first++
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return first
}

func versionOf(stream int) string { return fmt.Sprintf("v%d", 1+stream/7%2) }

// countKnown resumes streams at all instances in turn. It returns the number of those that go on
// and checks that none goes on at another version.
func countKnown(t *testing.T, nodes []*testNode, from, to int) (known int) {
	for i := from; i < to; i++ {
		x := resumed(nodes[i%len(nodes)], fmt.Sprint(i))
		refusal := x.resolveVersion(context.Background())
		if refusal.Reason == fleet.ReasonNone {
			must.NotNil(t, x.job.Version)
			must.Eq(t, versionOf(i), *x.job.Version)
			known++
		}
	}
	return known
}

// All instances die at once with two versions in service. All but the streams of the last two
// seconds are known afterwards, and an unknown stream is rejected.
func TestStreamsAreKnownAfterAllInstancesDied(t *testing.T) {
	for _, size := range []int{6, 61} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, nodes, c := newStreamFleet(t, size, "v1", "v2")
				next := beginStreams(nodes, 10*time.Second, 0, 40)
				// A write a second from each writer: one of a small fleet, one of each zone of a large one.
				t.Logf("%d writes in 10 s", c.writes.Load())
				must.LessEq(t, map[int]int64{6: 11, 61: 22}[size], c.writes.Load())
				nodes = f.restartAll(nodes, size, time.Second)
				time.Sleep(2 * time.Second)
				known := countKnown(t, nodes, 0, next)
				t.Logf("%d of %d streams known", known, next)
				must.GreaterEq(t, next-2*40, known)
				must.Eq(t, fleet.ReasonVersionUnknown, decide(nodes[3]))
				stopAll(nodes)
			})
		})
	}
}

// An instance that has met no other takes itself for the writer. After a restart of all they
// must not all call the store: they meet before the first write is due.
func TestInstancesThatHaveJustStartedDoNotAllWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes, c := newStreamFleet(t, 24, "v1", "v2")
		nodes = f.restartAll(nodes, 24, time.Second)
		beginStreams(nodes, 5*time.Second, 0, 60)
		t.Logf("%d writes in the first 5 s", c.writes.Load())
		must.LessEq(t, 10, c.writes.Load()) // two writers, one a second each
		must.Positive(t, c.writes.Load())
		stopAll(nodes)
	})
}

// With one version nothing is written, and after a time with two the records are removed, so
// that instances that start do not read what is of no use.
func TestNothingIsStoredOfStreamsWithOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes, c := newStreamFleet(t, 6, "v1", "v1")
		next := beginStreams(nodes, 5*time.Second, 0, 20)
		must.Eq(t, 0, c.writes.Load())
		f.putUpstream("u1", fleet.Upstream{Version: "v2", Slots: 4})
		time.Sleep(time.Second)
		next = beginStreams(nodes, 5*time.Second, next, 20)
		must.Positive(t, c.writes.Load())
		must.Positive(t, f.segments())
		f.removeUpstream("u1")
		time.Sleep(nodes[0].g.streamVersions.horizon + 10*time.Second)
		must.Eq(t, 0, f.segments())
		writes := c.writes.Load()
		beginStreams(nodes, 5*time.Second, next, 20)
		must.Eq(t, writes, c.writes.Load())
		// A second release uses the objects again, of which tombstones remain.
		f.putUpstream("u1", fleet.Upstream{Version: "v2", Slots: 4})
		time.Sleep(time.Second)
		beginStreams(nodes, 5*time.Second, next, 20)
		must.Positive(t, f.segments())
		stopAll(nodes)
	})
}

// Stored records show that a service had other versions, also if these were not stored by
// themselves. Otherwise an unknown stream of one of them would go on at the version that is listed.
func TestStoredRecordsShowThatThereWereSeveralVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.putConfig(1, 1)
		f.putUpstream("u2", fleet.Upstream{Version: "v2", Slots: 4})
		key := streamversion.KeyOf("", "known")
		value, err := streamversion.EncodeSegment([]streamversion.Record{{Key: key, Service: "app", Version: "v1"}})
		must.NoError(t, err)
		_, err = f.store.Put(context.Background(), objectstore.Object{Kind: objectstore.KindSoftware, Name: segmentName("z0", 3), Value: value})
		must.NoError(t, err)
		nodes := f.startFleet(1)
		time.Sleep(2 * time.Second)
		must.Eq(t, fleet.ReasonVersionUnknown, decide(nodes[0]))
		x := resumed(nodes[0], "known")
		must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
		must.Eq(t, "v1", *x.job.Version)
		must.Eq(t, versionFromStore, x.rec.versionFrom)
		time.Sleep(nodes[0].g.streamVersions.horizon + 10*time.Second)
		must.Eq(t, fleet.ReasonNone, decide(nodes[0]))
		must.Eq(t, 0, f.segments())
		stopAll(nodes)
	})
}

// segments returns the number of objects with records in the store.
func (f *testFleet) segments() int {
	list, err := f.store.List(context.Background(), objectstore.KindSoftware)
	must.NoError(f.t, err)
	return len(segmentsOf(list.Objects))
}

// The writer dies, then the store takes no writes for a while: the next instance writes, and
// what waited is stored later. Without a new writer or a retry the streams of that time would be
// unknown.
func TestStreamsOfATimeWithoutAWriterAreStoredLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes, c := newStreamFleet(t, 6, "v1", "v2")
		next := beginStreams(nodes, 4*time.Second, 0, 20)
		must.Eq(t, "n0", nodes[1].g.mesh.StoreWriter(true)) // equal capacity, the first by name
		nodes[0].stop()
		rest := nodes[1:]
		next = beginStreams(rest, 4*time.Second, next, 20)
		c.away.Store(true)
		before := c.writes.Load()
		next = beginStreams(rest, 10*time.Second, next, 20)
		must.LessEq(t, 6, c.writes.Load()-before) // a pause follows each failure
		c.away.Store(false)
		time.Sleep(8 * time.Second)
		for _, n := range rest {
			n.stop()
		}
		nodes = f.startFleet(6)
		time.Sleep(2 * time.Second)
		known := countKnown(t, nodes, 0, next)
		t.Logf("%d of %d streams known", known, next)
		must.GreaterEq(t, next*9/10, known)
		stopAll(nodes)
	})
}

// While the store is away nothing gets worse: the keepers of a stream know it.
func TestKeepersKnowStreamsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes, c := newStreamFleet(t, 6, "v1", "v2")
		c.away.Store(true)
		next := beginStreams(nodes, 5*time.Second, 0, 20)
		time.Sleep(time.Second)
		nodes[0].stop()
		must.Eq(t, next, countKnown(t, nodes[1:], 0, next))
		stopAll(nodes[1:])
	})
}
