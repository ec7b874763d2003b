package ctl

import (
	"context"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
	"github.com/eelgrassbay/eelgrassbay/internal/placer"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/shoenig/test/must"
)

func (b bench) get(kind platform.Kind, name string) platform.Object {
	obj, err := b.store.Get(context.Background(), kind, name)
	must.NoError(b.t, err)
	return obj
}

// TestZoneForget frees what a lost zone held, only with --yes and while the
// platform lists none of its instances, and may be repeated.
func TestZoneForget(t *testing.T) {
	b := newBench(t, nil)
	part := limit.Shares{"harbour": {RatePPM: 400_000, BurstPPM: 400_000}}
	b.put(platform.KindShare, limit.ClaimsName(), limit.Claims{Zones: map[string]limit.ZoneClaim{"lost": {Shares: part}, "north": {Shares: part}}})
	shares := escrow.Shares{Total: 8, Zones: map[string]int64{"lost": 5, "north": 3}}
	b.put(platform.KindBudget, "lab", placer.Shares{Rate: shares, Models: shares, Adapters: shares})
	b.put(platform.KindBudget, "other", placer.Shares{Models: escrow.Shares{Total: 8, Zones: map[string]int64{"north": 3}}})
	before := [2]platform.Object{b.get(platform.KindShare, limit.ClaimsName()), b.get(platform.KindBudget, "lab")}
	unchanged := func() {
		must.Eq(t, before, [2]platform.Object{b.get(platform.KindShare, limit.ClaimsName()), b.get(platform.KindBudget, "lab")})
	}

	must.StrContains(t, b.run(cli.ExitUsage, "zone", "forget", "lost"), "still runs")
	unchanged()
	list := platform.NewClient(platform.ClientOptions{BaseURL: b.url})
	engine := platform.Instance{Name: "e0", Zone: "lost", Role: platform.RoleUpstream, State: platform.InstanceLeaving}
	must.NoError(t, list.Register(context.Background(), engine))
	must.StrContains(t, b.run(cli.ExitFailure, "zone", "forget", "--yes", "lost"), "instance e0")
	unchanged()
	must.NoError(t, list.Deregister(context.Background(), "e0"))

	b.store.SetFaults(platform.Faults{LoseReplies: 1})
	must.StrContains(t, b.run(cli.ExitOK, "zone", "forget", "--yes", "lost"), "taken out of: share claims, budget lab\n")
	claims, err := limit.DecodeClaims(b.get(platform.KindShare, limit.ClaimsName()))
	must.NoError(t, err)
	must.Eq(t, limit.Share{RatePPM: 600_000, BurstPPM: 600_000}, claims.Unclaimed("harbour"))
	left, err := placer.DecodeShares(b.get(platform.KindBudget, "lab"))
	must.NoError(t, err)
	for _, s := range []escrow.Shares{left.Rate, left.Models, left.Adapters} {
		must.Eq(t, escrow.Shares{Total: 8, Zones: map[string]int64{"north": 3}}, s)
	}
	version := b.get(platform.KindBudget, "lab").Version
	must.StrContains(t, b.run(cli.ExitOK, "zone", "forget", "--yes", "lost"), "held nothing")
	must.Eq(t, version, b.get(platform.KindBudget, "lab").Version)
}
