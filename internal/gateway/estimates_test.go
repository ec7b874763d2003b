package gateway

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

// Each kind and scope of estimate must come out of a message as it went in; a kind that is
// confused with another would make upstreams appear slow or failing.
func TestEstimatesSurviveTheWire(t *testing.T) {
	for scope := range estimateOrigins {
		for kind := range estimateOrigins[scope] {
			in := upstreamstats.Estimate{
				Key:    upstreamstats.Key{Subject: "engine-in-zone-1-047", StartedAtMS: 1_780_000_000_000, Kind: upstreamstats.Kind(kind)},
				Weight: 8.5, Mean: 0.75, Sequence: 123_456, Age: 250 * time.Millisecond,
			}
			data, err := proto.Marshal(estimateToWire(upstreamstats.Scope(scope), &in))
			must.NoError(t, err)
			must.LessEq(t, 64, len(data))
			var m meshpb.UpstreamEstimate
			must.NoError(t, proto.Unmarshal(data, &m))
			out, gotScope, ok := estimateFromWire(&m)
			must.True(t, ok)
			must.Eq(t, upstreamstats.Scope(scope), gotScope)
			must.Eq(t, in, out)
			t.Logf("%d bytes", len(data))
		}
	}
	_, _, ok := estimateFromWire(&meshpb.UpstreamEstimate{Origin: "of a later build"})
	must.False(t, ok)
}

// In a large fleet estimates must travel on from members to leads, from leads to those of other
// zones and from there to members; a hop without a scope would cut off all behind it.
func TestEachHopOfALargeFleetTellsEstimates(t *testing.T) {
	for _, hop := range []struct {
		to    mesh.Receiver
		scope upstreamstats.Scope
		tells bool
	}{
		{mesh.Receiver{SameZone: true, IsLead: true}, upstreamstats.ScopeOwn, true}, // a small fleet
		{mesh.Receiver{LargeFleet: true, SameZone: true, IsLead: true}, upstreamstats.ScopeOwn, true},
		{mesh.Receiver{LargeFleet: true, SameZone: true, IsLead: true, SenderIsLead: true}, upstreamstats.ScopeOwn, true},
		{mesh.Receiver{LargeFleet: true, IsLead: true, SenderIsLead: true}, upstreamstats.ScopeZone, true},
		{mesh.Receiver{LargeFleet: true, SameZone: true, SenderIsLead: true}, upstreamstats.ScopeFleet, true},
		{mesh.Receiver{LargeFleet: true, SameZone: true}, 0, false},
		{mesh.Receiver{LargeFleet: true, IsLead: true}, 0, false},
	} {
		scope, tells := estimateScope(hop.to)
		must.Eq(t, hop.tells, tells)
		if tells {
			must.Eq(t, hop.scope, scope)
		}
	}
}

// Reservations of memory travel with the loads of instances; without them, peers would fill
// engines by slots alone.
func TestReservedTokensAreReported(t *testing.T) {
	l := assign.Load{Running: 2, ReservedTokens: 9000}
	must.Eq(t, l, loadFromWire(loadToWire("e0", &l)))
	sum := newWorkSummary(0)
	sum.add(&workSummary{instances: 1, loads: map[string]assign.Load{"e0": l}})
	sum.add(&workSummary{instances: 1, loads: map[string]assign.Load{"e0": l}})
	must.Eq(t, 18_000, sum.loads["e0"].ReservedTokens)
}
