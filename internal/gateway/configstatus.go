package gateway

import (
	"log/slog"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
)

// publishConfigStatus sets the gauges of the configuration in force. Those of the store's
// revisions are without the era.
func (g *Gateway) publishConfigStatus() {
	s := g.catalog.ConfigStatus()
	g.metrics.SetGauge("config_version", float64(s.Version))
	g.metrics.SetGauge("config_revision", float64(objectstore.RevisionOf(s.Stored)))
	g.metrics.SetGauge("config_newest_revision", float64(objectstore.RevisionOf(g.newestConfig(s))))
	g.metrics.SetGauge("config_skipped_items", float64(s.Skipped))
	g.metrics.SetGauge("config_held_back", boolGauge(s.Held > s.Stored))
	g.metrics.SetGauge("config_refused", boolGauge(s.Refused != 0))
	g.metrics.SetGauge("store_era", float64(objectstore.LatestEra(g.opts.Store)))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// newestConfig returns the latest version of the configuration that the store or a peer told of.
func (g *Gateway) newestConfig(s storesync.ConfigStatus) uint64 {
	return max(s.Newest, g.configLag.told())
}

// refusedByConfig reports whether a request was refused for what the configuration lacks.
func (r *requestRecord) refusedByConfig() bool {
	return r.refusal.Reason == fleet.ReasonNoRoute || r.refusal.Reason == fleet.ReasonBadKey
}

// configAttrs describe the configuration by which a request was refused, so that its line
// tells a version that is not in force from an item that was skipped and from a request that
// no version allows.
func (g *Gateway) configAttrs() []slog.Attr {
	s := g.catalog.ConfigStatus()
	return []slog.Attr{
		slog.Uint64("config_revision", s.Stored), slog.Uint64("config_era", objectstore.EraOf(s.Stored)),
		slog.Int64("config_age_ms", s.InForce.Milliseconds()), slog.String("config_source", s.Source), slog.Int("config_skipped", s.Skipped),
		slog.Uint64("config_held", s.Held), slog.Uint64("config_refused", s.Refused), slog.Uint64("config_newest", g.newestConfig(s)),
		slog.Int64("store_age_ms", s.StoreAge.Milliseconds()),
	}
}
