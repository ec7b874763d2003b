package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// newVersionedFleet starts instances in two zones and lists upstreams of the versions.
func newVersionedFleet(t *testing.T, size int, versions ...string) (*testFleet, []*testNode) {
	f := newTestFleet(t)
	f.putConfig(1, 1)
	nodes := f.startFleet(size)
	for i, version := range versions {
		f.putUpstream(fmt.Sprintf("u%d", i), fleet.Upstream{Version: version, Slots: 4})
	}
	time.Sleep(3 * time.Second)
	return f, nodes
}

// startFleet starts instances in two zones.
func (f *testFleet) startFleet(size int) (nodes []*testNode) {
	for i := range size {
		nodes = append(nodes, f.start(fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2), 1, 0, []string{"n0:1", "n1:1"}))
	}
	return nodes
}

// stopAll ends instances and waits for calls that are still under way.
func stopAll(nodes []*testNode) {
	for _, n := range nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

// resumed returns an exchange of a caller at an instance who resumes a stream.
func resumed(n *testNode, request string) *exchange {
	x := newTestExchange(0)
	x.g, x.route.Kind, x.route.Resumable = n.g, fleet.KindStream, true
	x.req = fleet.Request{AttemptID: "next", Resumes: request, LastEventID: "4"}
	return x
}

// A stream is found at every instance, also when the one at which it began has ended.
func TestVersionOfAStreamIsKnownAtEachInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := newVersionedFleet(t, 6, "v1", "v2")
		nodes[0].g.streamVersions.began("", "first", "app", "v2")
		time.Sleep(time.Second)
		nodes[0].stop()
		for _, n := range nodes[1:] {
			x := resumed(n, "first")
			must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
			must.NotNil(t, x.job.Version)
			must.Eq(t, "v2", *x.job.Version)
		}
		stopAll(nodes[1:])
	})
}

// A stream of which nobody knows is rejected while there are several versions, and may go
// on anywhere while there is one.
func TestUnknownStreamIsRejectedWhileThereAreSeveralVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		versions []string
		want     fleet.Reason
	}{
		"one version":      {[]string{"v1", "v1"}, fleet.ReasonNone},
		"no version":       {[]string{"", ""}, fleet.ReasonNone},
		"several versions": {[]string{"v1", "v2"}, fleet.ReasonVersionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, nodes := newVersionedFleet(t, 6, tc.versions...)
				x := resumed(nodes[3], "nobody knows")
				must.Eq(t, tc.want, x.resolveVersion(context.Background()).Reason)
				must.Nil(t, x.job.Version)
				x = resumed(nodes[3], "") // without the header nothing changes
				must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
				stopAll(nodes)
			})
		})
	}
}

// A stream that began while there was one version is found once there are two.
func TestStreamOfTheTimeBeforeASecondVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newVersionedFleet(t, 6, "v1")
		nodes[0].g.streamVersions.began("", "first", "app", "v1")
		time.Sleep(2 * time.Second)
		f.putUpstream("u1", fleet.Upstream{Version: "v2", Slots: 4})
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			x := resumed(n, "first")
			must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
			must.NotNil(t, x.job.Version)
			must.Eq(t, "v1", *x.job.Version)
		}
		stopAll(nodes)
	})
}

// An instance that stops hands its records over.
func TestPlannedStopHandsTheVersionsOfStreamsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := newVersionedFleet(t, 6, "v1", "v2")
		for i := range 20 {
			nodes[0].g.streamVersions.began("", fmt.Sprint(i), "app", "v1")
		}
		time.Sleep(time.Second)
		for _, n := range nodes[1:4] { // one after the other, all that may have the records
			n.g.mesh.MarkLeaving()
			n.g.streamVersions.handOver(context.Background())
			time.Sleep(time.Second)
			n.stop()
		}
		nodes[0].stop()
		time.Sleep(time.Second)
		for i := range 20 {
			x := resumed(nodes[5], fmt.Sprint(i))
			must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
			must.NotNil(t, x.job.Version)
		}
		stopAll(nodes[4:])
	})
}

// An instance that is out of touch, as it was cut off or frozen, must not let a stream go on at
// the one version that it lists: another one may have been listed since, and the instances that
// know the stream are not reached (issue 47, "out of step during a release").
func TestInstanceOutOfTouchDoesNotResumeUnknownStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newVersionedFleet(t, 6, "v1", "v1")
		cut := nodes[3]
		cut.side.Store(1)
		f.store.SetFaults(objectstore.Faults{Outage: true})
		time.Sleep(listConfirmedFor + 500*time.Millisecond)
		nodes[0].g.streamVersions.began("", "first", "app", "v2") // at an upstream that cut does not know
		time.Sleep(time.Second)
		must.Eq(t, fleet.ReasonVersionUnknown, resumed(cut, "first").resolveVersion(context.Background()).Reason)
		x := resumed(nodes[4], "first")
		must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
		must.Eq(t, "v2", *x.job.Version)
		// Those in touch with each other go on as before, though a keeper is silent.
		must.Eq(t, fleet.ReasonNone, resumed(nodes[4], "nobody knows").resolveVersion(context.Background()).Reason)
		cut.side.Store(0)
		f.store.SetFaults(objectstore.Faults{})
		time.Sleep(5 * time.Second)
		x = resumed(cut, "first")
		must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
		must.Eq(t, "v2", *x.job.Version)
		stopAll(nodes)
	})
}

// An instance whose peers have all ended, and that reaches the store, resumes streams.
func TestLastInstanceResumesUnknownStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := newVersionedFleet(t, 4, "v1", "v1")
		for _, n := range nodes[1:] {
			n.stop()
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, fleet.ReasonNone, resumed(nodes[0], "nobody knows").resolveVersion(context.Background()).Reason)
		stopAll(nodes[:1])
	})
}
