package ctl

import (
	"context"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
	"github.com/eelgrassbay/eelgrassbay/internal/placer"
	"github.com/shoenig/test/must"
)

func (f fixture) get(kind objectstore.Kind, name string) objectstore.Object {
	obj, err := f.store.Get(context.Background(), kind, name)
	must.NoError(f.t, err)
	return obj
}

// TestZoneForget checks that the shares of a lost zone are freed only with --yes
// and only while the platform lists none of its instances, that a lost reply does
// no harm, and that a repetition changes nothing.
func TestZoneForget(t *testing.T) {
	f := newFixture(t, nil)
	claimed := limit.Shares{"harbour": {RatePPM: 400_000, BurstPPM: 400_000}}
	f.put(objectstore.KindShare, limit.ClaimsName(), limit.Claims{Zones: map[string]limit.ZoneClaim{"lost": {Shares: claimed}, "north": {Shares: claimed}}})
	shares := escrow.Shares{Total: 8, Zones: map[string]int64{"lost": 5, "north": 3}}
	f.put(objectstore.KindBudget, "lab", placer.BudgetShares{Rate: shares, Models: shares, Adapters: shares})
	f.put(objectstore.KindBudget, "other", placer.BudgetShares{Models: escrow.Shares{Total: 8, Zones: map[string]int64{"north": 3}}})
	before := [2]objectstore.Object{f.get(objectstore.KindShare, limit.ClaimsName()), f.get(objectstore.KindBudget, "lab")}
	unchanged := func() {
		must.Eq(t, before, [2]objectstore.Object{f.get(objectstore.KindShare, limit.ClaimsName()), f.get(objectstore.KindBudget, "lab")})
	}

	must.StrContains(t, f.run(cli.ExitUsage, "zone", "forget", "lost"), "still runs")
	unchanged()
	list := objectstore.NewClient(objectstore.ClientOptions{BaseURL: f.url})
	engine := objectstore.Instance{Name: "e0", Zone: "lost", Role: objectstore.RoleUpstream, State: objectstore.InstanceLeaving}
	must.NoError(t, list.Register(context.Background(), engine))
	must.StrContains(t, f.run(cli.ExitFailure, "zone", "forget", "--yes", "lost"), "instance e0")
	unchanged()
	must.NoError(t, list.Deregister(context.Background(), "e0"))

	f.store.SetFaults(objectstore.Faults{LoseReplies: 1})
	must.StrContains(t, f.run(cli.ExitOK, "zone", "forget", "--yes", "lost"), "taken out of: share claims, budget lab\n")
	claims, err := limit.DecodeClaims(f.get(objectstore.KindShare, limit.ClaimsName()))
	must.NoError(t, err)
	must.Eq(t, limit.Share{RatePPM: 600_000, BurstPPM: 600_000}, claims.Unclaimed("harbour"))
	left, err := placer.DecodeShares(f.get(objectstore.KindBudget, "lab"))
	must.NoError(t, err)
	for _, s := range []escrow.Shares{left.Rate, left.Models, left.Adapters} {
		must.Eq(t, escrow.Shares{Total: 8, Zones: map[string]int64{"north": 3}}, s)
	}
	version := f.get(objectstore.KindBudget, "lab").Version
	must.StrContains(t, f.run(cli.ExitOK, "zone", "forget", "--yes", "lost"), "held nothing")
	must.Eq(t, version, f.get(objectstore.KindBudget, "lab").Version)
}
