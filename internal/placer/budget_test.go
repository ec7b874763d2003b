package placer

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
	"github.com/shoenig/test/must"
)

// TestShareOfALostZoneIsClaimedOnceItIsRemoved lets a lost zone hold the whole
// budget. Nothing may load until its share is removed; the other zone must then
// notice and claim it.
func TestShareOfALostZoneIsClaimedOnceItIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(2, "north"))
		defer s.close()
		all := func(n int64) escrow.Shares { return escrow.Shares{Total: n, Zones: map[string]int64{"lost": n}} }
		shares := BudgetShares{Rate: all(2000), Models: all(8), Adapters: all(8)}
		put := func(version uint64) {
			raw, err := json.Marshal(shares)
			must.NoError(t, err)
			_, err = s.store.Put(context.Background(), objectstore.Object{Kind: objectstore.KindBudget, Name: "lab", Version: version, Value: raw})
			must.NoError(t, err)
		}
		put(0)
		s.grantLease(s.addInstance("north", "n1"))
		time.Sleep(10 * time.Minute)
		must.True(t, s.isEmpty("e0"))
		obj, err := s.store.Get(context.Background(), objectstore.KindBudget, "lab")
		must.NoError(t, err)
		shares = shares.WithoutZone("lost")
		put(obj.Version)
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
	})
}
