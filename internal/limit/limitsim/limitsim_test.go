package limitsim

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
)

func scenario(policy limit.Policy) Scenario {
	const zones, perZone = 3, 3
	return Scenario{
		Options: limit.Options{Policy: policy, Instances: zones * perZone},
		Seed:    20261203, Zones: zones, InstancesPerZone: perZone,
		WarmUp: time.Minute, Duration: 9 * time.Minute, HotspotInterval: 3 * time.Minute,
		Orgs: []Org{
			{Name: "even", Limit: limit.Limit{Rate: 20_000, Burst: 200_000}, LoadFraction: 0.8, Charge: 1500, UsedFraction: 0.6, RequestDuration: 4 * time.Second},
			{Name: "skewed", Limit: limit.Limit{Rate: 20_000, Burst: 200_000}, LoadFraction: 0.8, Charge: 1500, UsedFraction: 0.6, RequestDuration: 4 * time.Second, Skew: 0.6},
			{Name: "greedy", Limit: limit.Limit{Rate: 5_000, Burst: 50_000}, LoadFraction: 5, Charge: 1500, UsedFraction: 0.6, RequestDuration: 4 * time.Second},
			{Name: "large", Limit: limit.Limit{Rate: 5_000, Burst: 50_000}, LoadFraction: 0.3, Charge: 8000, UsedFraction: 0.6, RequestDuration: 4 * time.Second},
		},
	}
}

// TestWrongfulRefusals: escrow refuses no more requests wrongfully than equal
// static division does, and neither exceeds rate and burst in any window.
func TestWrongfulRefusals(t *testing.T) {
	escrow, static := Run(scenario(limit.Escrow)), Run(scenario(limit.StaticDivision))
	for i := range escrow {
		t.Logf("%-7s offered %6d wrongful: static division %6d, escrow %6d; admitted %6d, %6d",
			escrow[i].Org, escrow[i].Offered, static[i].FalseRefusals, escrow[i].FalseRefusals, static[i].Admitted, escrow[i].Admitted)
		must.Zero(t, escrow[i].Excess)
		must.Zero(t, static[i].Excess)
		must.LessEq(t, static[i].FalseRefusals, escrow[i].FalseRefusals)
	}
}

// TestChargeAboveAnyShare sends charges of 0.2 to 0.6 of the burst, 10,000 to
// 30,000 tokens of 50,000. Those above half of it exceed what any zone claims
// initially: a zone must claim more burst for them to be admitted.
func TestChargeAboveAnyShare(t *testing.T) {
	s := scenario(limit.Escrow)
	s.Orgs = []Org{{Name: "huge", Limit: limit.Limit{Rate: 5_000, Burst: 50_000}, LoadFraction: 0.2, Charge: 20_000, UsedFraction: 1}}
	got := Run(s)[0]
	t.Logf("%+v", got)
	must.Positive(t, got.Admitted)
	must.Zero(t, got.Excess)
}
