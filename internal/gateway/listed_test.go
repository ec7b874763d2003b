package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
	"github.com/shoenig/test/must"
)

// The upstream of a request to relay is found without a copy of the whole list: with 140
// upstreams that were 140 allocations and a sort for each request.
func TestUpstreamOfARelayedRequestIsFoundWithoutCopyingTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := newVersionedFleet(t, 1)
		for i := range 140 {
			f.putUpstream(fmt.Sprintf("u%03d", i), fleet.Upstream{Slots: 4})
		}
		time.Sleep(3 * time.Second)
		links := nodes[0].g.links
		u, ok := links.listed(reach.Upstream{ID: "u139", StartedAtMS: 1})
		must.True(t, ok)
		must.Eq(t, "u139", u.ID)
		_, ok = links.listed(reach.Upstream{ID: "u139", StartedAtMS: 2}) // another incarnation
		must.False(t, ok)
		must.LessEq(t, 1, testing.AllocsPerRun(100, func() { links.listed(reach.Upstream{ID: "u139", StartedAtMS: 1}) }))
		nodes[0].g.catalog.MarkDraining("u139", 1)
		_, ok = links.listed(reach.Upstream{ID: "u139", StartedAtMS: 1})
		must.False(t, ok)
		stopAll(nodes)
	})
}
