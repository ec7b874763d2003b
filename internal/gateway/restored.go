package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// eraCheckInterval is the interval at which an instance looks for a new era of the store.
	eraCheckInterval = 200 * time.Millisecond
	// rewriteSpread is the time over which the instances write again what an older copy of the
	// store lacks, so that they stay below its rate of writes.
	rewriteSpread = 3 * time.Second
)

// followEra writes again what this instance had in the store when the store comes back from an
// older copy, until ctx ends: its entry among the instances, and what it knows of versions and
// streams. The catalog and the lease follow eras by the versions of what they read.
func (g *Gateway) followEra(ctx context.Context) error {
	for wait.Sleep(ctx, eraCheckInterval) {
		registered := g.registeredEra.Load()
		era := objectstore.LatestEra(g.opts.Store)
		if registered == notRegistered || int64(era) <= registered || g.shutdown.began.Load() {
			continue
		}
		g.log.Warn("store came back from an older copy", "era", era, "era_before", registered)
		g.metrics.Count("store_restores")
		g.streamVersions.storeRestored()
		if !wait.Sleep(ctx, rand.N(rewriteSpread)) || g.shutdown.began.Load() {
			continue
		}
		_ = g.registerInstance(ctx) // which ends without an error, or with ctx
	}
	return nil
}

// notRegistered is the value of registeredEra before the first registration.
const notRegistered = -1

// storeRestored lets the versions of services and the records of streams be written again.
func (v *streamVersions) storeRestored() {
	v.withLock(func(time.Duration, *streamversion.Tracker) {
		clear(v.stored)
		v.segments.Lost()
	})
}
