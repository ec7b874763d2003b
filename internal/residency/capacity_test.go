package residency

import (
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

// deployedEngines are the figures of the engines of known deployments: slots, prompt
// tokens read per second and time of a decoding step in seconds.
var deployedEngines = map[string]struct{ slots, prefillRate, step float64 }{
	"lsct-fogline":       {64, 29_400, 0.0051},
	"bbgoods-shop":       {64, 22_100, 0.0068},
	"lsct-fogline-large": {12, 29_400, 0.0051},
	"few slots":          {2, 29_400, 0.0051},
}

// The capacity of an engine is at most what it can do and at least half of that,
// whatever its slots and its speed.
func TestCapacityFollowsTheEngine(t *testing.T) {
	for name, e := range deployedEngines {
		t.Run(name, func(t *testing.T) {
			most := min(e.prefillRate, e.slots/e.step*fleet.OutputTokenWork)
			capacity := engineCapacity(&fleet.Engine{Slots: int(e.slots)})
			must.LessEq(t, most, capacity)
			must.GreaterEq(t, most/2, capacity)
		})
	}
}
