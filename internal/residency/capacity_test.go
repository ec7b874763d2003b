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

// The capacity of an engine is what it can do at most, known or not, and at least
// half of that once it is known, whatever its slots and its speed.
func TestCapacityFollowsTheEngine(t *testing.T) {
	for name, e := range deployedEngines {
		t.Run(name, func(t *testing.T) {
			spec := &fleet.Engine{Slots: int(e.slots)}
			most := min(e.prefillRate, e.slots/e.step*fleet.OutputTokenWork)
			must.LessEq(t, most, engineCapacity(spec, 0))
			known := engineCapacity(spec, e.prefillRate)
			must.LessEq(t, most, known)
			must.GreaterEq(t, most/2, known)
		})
	}
}
