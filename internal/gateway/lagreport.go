package gateway

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// lagReportInterval is the interval between reports of an instance that is behind.
	lagReportInterval = time.Second
	// maxStateAge is the age of the last state of any peer beyond which it is reported. An
	// instance that hears of nobody does not learn of new revisions either.
	maxStateAge = time.Second
)

// reportLag logs until ctx ends which documents this instance lacks and for how long, and
// that no peer has been heard from.
func (g *Gateway) reportLag(ctx context.Context) error {
	for wait.Sleep(ctx, lagReportInterval) {
		now := g.now()
		g.publishConfigStatus()
		stateAge := now - max(time.Duration(g.lastStateAt.Load()), g.started)
		config, roster, storeReachable := g.catalog.Revisions()
		if stateAge > maxStateAge && g.mesh.InstanceCount() > 1 {
			g.log.Warn("no state of a peer", "age_ms", stateAge.Milliseconds(), "store_reachable", storeReachable)
		}
		for _, d := range []struct {
			document
			own uint64
		}{{configDocument{g}, config}, {rosterDocument{g}, roster}} {
			if target, late := d.lag().lacks(now, d.own); late >= lagReportInterval {
				g.log.Warn("document behind", "kind", d.String(), "revision", d.own, "lacks", target, "behind_ms", late.Milliseconds(),
					"state_age_ms", stateAge.Milliseconds(), "store_reachable", storeReachable)
			}
		}
	}
	return nil
}
