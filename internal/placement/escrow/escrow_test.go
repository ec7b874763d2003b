package escrow

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// TestSharesInForceNeverExceedTotal runs zones that write from stale copies;
// the conditional update accepts only a write based on the latest version.
func TestSharesInForceNeverExceedTotal(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		const total = 64
		names := []string{"a", "b", "c"}
		stored, version := EqualShares(total, names), 0
		type view struct {
			shares  Shares
			version int
			limiter InFlight
		}
		views := map[string]*view{}
		for _, n := range names {
			views[n] = &view{shares: stored}
			views[n].limiter.SetShare(stored.Zones[n])
		}
		for range 200 {
			zone := rapid.SampledFrom(names).Draw(rt, "zone")
			v := views[zone]
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				v.shares, v.version = stored, version
				v.limiter.SetShare(stored.Zones[zone])
			case 1:
				for range 10 {
					v.limiter.Start()
				}
			case 2:
				v.limiter.Finish()
			default:
				demand := rapid.Int64Range(0, total).Draw(rt, "demand")
				change := v.shares.Change(zone, demand, 2)
				next := v.shares.Release(zone, -change)
				if change > 0 {
					next, _ = v.shares.Claim(zone, change)
				}
				v.limiter.SetShare(min(next.Zones[zone], v.shares.Zones[zone]))
				if v.version == version && v.limiter.WithinShare() {
					stored, version = next, version+1
					v.shares, v.version = stored, version
					v.limiter.SetShare(stored.Zones[zone])
				}
			}
			var inFlight int64
			for _, n := range names {
				inFlight += views[n].limiter.used
			}
			if inFlight > total || stored.Free() < 0 {
				rt.Fatalf("%d in flight of %d, shares %v", inFlight, total, stored)
			}
		}
	})
}

func TestClaimIsLimitedToFreeShare(t *testing.T) {
	s := EqualShares(8, []string{"a", "b", "c"})
	must.Eq(t, 2, s.Free())
	_, err := s.Claim("a", 3)
	must.ErrorIs(t, err, ErrNotFree)
	s, err = s.Release("b", 1).Claim("a", 3)
	must.NoError(t, err)
	must.Eq(t, "map[a:5 b:1 c:2]", fmt.Sprint(s.Zones))
}

func TestRateKeepsToShare(t *testing.T) {
	var r Rate
	r.SetShare(0, 2*unitsPerOperation)
	started := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if r.Start(now) {
			started++
		}
	}
	must.Eq(t, 19, started)
}
