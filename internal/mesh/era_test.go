package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// While instances are replaced, one that knows the store's era does not hear of changes from
// readers of a build that knows no eras: it read the store no more, and lacked each change.
func TestReaderOfAnEarlierEraDoesNotReadForOthers(t *testing.T) {
	for _, size := range []int{2, 6} { // instances of each of four zones
		m := newFleet(0, 4, size, size-1)
		tell := func(now time.Duration, sequence, era uint64) {
			for _, p := range m.present(now) {
				s := newState(p.info, sequence)
				s.StoreEra = era
				if size > 2 && p.info.Zone == "z0" {
					s.Watchers = []string{"z0-00"}
				}
				m.update(now, s)
			}
		}
		now := 4 * time.Second
		tell(now, 1, 0)
		must.False(t, m.isWatcher(now, true))
		m.observeEra(now, 1)
		must.False(t, m.isWatcher(now, true)) // peers hear of the era first
		now += silentAfter
		tell(now, 2, 0)
		must.True(t, m.isWatcher(now, true))
		must.Eq(t, 0, m.storeReaderRank(now, ""))
		tell(now, 3, 1)
		must.False(t, m.isWatcher(now, true))
		must.Positive(t, m.storeReaderRank(now, ""))
	}
}
