package member

import (
	"math/rand"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func entry(name, incarnation string, state objectstore.InstanceState) objectstore.Instance {
	return objectstore.Instance{Name: name, Incarnation: incarnation, Zone: "north", Role: objectstore.RoleEntry, State: state}
}

func TestStaleListDoesNotReviveLeavingInstance(t *testing.T) {
	v := NewView("self")
	v.ObserveList(1, 1, []objectstore.Instance{entry("a", "1", objectstore.InstanceLive)})
	v.ObservePeer(2, entry("a", "1", objectstore.InstanceLeaving))
	v.ObserveList(3, 3, []objectstore.Instance{entry("a", "1", objectstore.InstanceLive)})
	must.Len(t, 0, v.Peers())
	v.ObserveList(4, 4, nil)
	v.ObserveList(5, 5, []objectstore.Instance{entry("a", "1", objectstore.InstanceLive)})
	must.Len(t, 0, v.Peers())
	v.ObserveList(6, 6, []objectstore.Instance{entry("a", "2", objectstore.InstanceLive)})
	must.Len(t, 1, v.Peers())
}

// TestInstanceKnownBeforeListed covers a new instance that calls while the list
// lags behind: reads of the list without it must not exclude it once the list
// contains it.
func TestInstanceKnownBeforeListed(t *testing.T) {
	v := NewView("self")
	v.ObservePeer(1, entry("a", "1", objectstore.InstanceLive))
	v.ObserveList(2, 2, nil)
	v.ObserveList(3, 3, nil)
	v.ObserveList(4, 4, []objectstore.Instance{entry("a", "1", objectstore.InstanceLive)})
	must.Len(t, 1, v.Peers())
}

func TestLeavingUpstreamAndSample(t *testing.T) {
	v := NewView("self")
	up := objectstore.Instance{Name: "u", Role: objectstore.RoleUpstream, Address: "127.0.0.1:1", State: objectstore.InstanceLive}
	v.ObserveList(1, 1, []objectstore.Instance{up, entry("a", "1", objectstore.InstanceLive), entry("b", "1", objectstore.InstanceLive)})
	v.ObserveUpstreamLeaving(2, "127.0.0.1:1")
	must.True(t, v.LeavingUpstreams()["127.0.0.1:1"])
	v.ObserveCall(3, "a", false)
	any := func(objectstore.Instance) bool { return true }
	sample := v.Sample(rand.New(rand.NewSource(1)), 1, any)
	must.Eq(t, "b", sample[0].Name)
	must.Len(t, 2, v.Sample(rand.New(rand.NewSource(1)), 5, any))
}

// TestLeavingIsFinalForAnIncarnation applies random reads of the list, some of them
// late, and random call results: after the first report that an incarnation is
// leaving it is never returned as a peer again.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		v := NewView("self")
		left := map[string]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Second
			inc := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "incarnation")
			state := rapid.SampledFrom([]objectstore.InstanceState{objectstore.InstanceLive, objectstore.InstanceLeaving}).Draw(t, "state")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				readAt := now - time.Duration(rapid.IntRange(0, 5).Draw(t, "lag"))*time.Second
				fresh := readAt > v.list.ReadAt || !v.list.Known
				v.ObserveList(now, readAt, []objectstore.Instance{entry("a", inc, state)})
				left[inc] = left[inc] || (fresh && state == objectstore.InstanceLeaving)
			case 1:
				v.ObservePeer(now, entry("a", inc, state))
				left[inc] = left[inc] || state == objectstore.InstanceLeaving
			case 2:
				v.ObserveCall(now, "a", rapid.Bool().Draw(t, "ok"))
			case 3:
				v.ObserveList(now, now, nil)
			}
			for _, p := range v.Peers() {
				must.False(t, left[p.Incarnation])
			}
		}
	})
}
