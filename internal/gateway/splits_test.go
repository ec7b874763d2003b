package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/eventstream"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// putRoute stores a configuration with one route of streams.
func (f *testFleet) putRoute(version int64, targets ...fleet.Target) *fleet.Route {
	r := &fleet.Route{Name: "stream", Host: "h", PathPrefix: "/", Kind: fleet.KindStream, Resumable: true, Timeout: 3 * time.Second, MaxAttempts: 2, Targets: targets}
	old, err := f.store.Get(context.Background(), objectstore.KindConfig, "main")
	must.NoError(f.t, err)
	raw, err := json.Marshal(fleet.Config{Version: version, Routes: []*fleet.Route{r}})
	must.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), objectstore.Object{Kind: objectstore.KindConfig, Name: "main", Version: old.Version, Value: raw})
	must.NoError(f.t, err)
	return r
}

func (f *testFleet) putUpstreamOf(service, id, version string) {
	raw, err := json.Marshal(fleet.Upstream{ID: id, Service: service, Address: "10.0.0.1:80", Version: version, Slots: 4, StartedAtMS: 1})
	must.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), objectstore.Object{Kind: objectstore.KindUpstream, Name: id, Value: raw})
	must.NoError(f.t, err)
}

// A stream that began before its route was moved was unknown at every instance but one, so that
// it went on at another version.
func TestStreamOfAMovedRouteIsKnownAtEachInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newVersionedFleet(t, 6, "v1")
		f.putUpstreamOf("other", "u9", "v2")
		f.putRoute(2, fleet.Target{Service: "app", Weight: 1})
		time.Sleep(2 * time.Second)
		nodes[0].g.streamVersions.began("", "first", "app", "v1")
		time.Sleep(time.Second)
		moved := f.putRoute(3, fleet.Target{Service: "other", Weight: 1})
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			x := resumed(n, "first")
			x.route, x.service, x.config = moved, "other", n.g.catalog.Config()
			must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
			must.NotNil(t, x.job.Version)
			must.Eq(t, "v1", *x.job.Version)
			must.Eq(t, "other", x.service) // the former one may not run it
		}
		time.Sleep(2 * nodes[0].g.streamVersions.horizon)
		x := resumed(nodes[1], "nobody knows")
		x.route, x.service = moved, "other"
		must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
		stopAll(nodes)
	})
}

// The order of a stream that went to the service at which it began expected the steps of the one
// that was picked before.
func TestStreamThatIsMovedExpectsTheStepsOfItsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := newVersionedFleet(t, 1, "v1")
		g := nodes[0].g
		for service, step := range map[string]int{"app": 10, "other": 1} {
			for _, upstream := range []string{"a", "b"} { // a step is learnt from two
				o := eventstream.NewOrder("", false, eventstream.Steps{}, 1<<10)
				o.Begin(upstream)
				for i := 1; i <= 3; i++ {
					id := fmt.Sprint(i * step)
					_, err := o.Next(eventstream.Event{Raw: []byte("data: x\n\n"), ID: []byte(id)})
					must.NoError(t, err)
				}
				_, err := o.End()
				must.NoError(t, err)
				g.numberings.learn(service, o)
			}
		}
		must.Eq(t, 10, g.numberings.steps("app").Step)
		must.Eq(t, 1, g.numberings.steps("other").Step)
		g.streamVersions.began("", "first", "other", "v1")
		x := resumed(nodes[0], "first")
		x.route.Targets = []fleet.Target{{Service: "app", Weight: 1}, {Service: "other", Weight: 1}}
		x.service, x.config = "app", g.catalog.Config()
		x.rec.stream = x.newStreamState()
		must.Eq(t, fleet.ReasonNone, x.resolveVersion(context.Background()).Reason)
		must.Eq(t, "other", x.service)
		x.rec.stream.order.Begin("a")
		_, err := x.rec.stream.order.Next(eventstream.Event{Raw: []byte("data: 6\n\n"), ID: []byte("6")}) // 5 is left out
		stopAll(nodes)
		must.Error(t, err)
	})
}

// IDs are spread by weight, and other weights move no more of them than they have to.
func TestServiceOfAnIDFollowsTheWeights(t *testing.T) {
	const n = 10000
	at := func(app, other int, id string) string {
		return pickService(&fleet.Route{Targets: []fleet.Target{{Service: "app", Weight: app}, {Service: "other", Weight: other}, {Service: "app", Weight: app}}}, id)
	}
	apps, moved := 0, 0
	for i := range n {
		id := fmt.Sprint(i)
		before, after := at(1, 2, id), at(3, 2, id)
		if before == "app" {
			apps++
		}
		if before != after {
			moved++
			must.Eq(t, "app", after)
		}
	}
	must.Between(t, n*45/100, apps, n*55/100)
	must.Between(t, n*20/100, moved, n*30/100) // from half to three quarters
}
