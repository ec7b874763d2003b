package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/evacuation"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// EvacuationSettings configure evacuations of availability zones.
type EvacuationSettings struct {
	// Within is the time from an entry in the store until no instance sends a request to
	// upstreams of its zone, 0 if evacuations are not in use.
	Within settings.Duration `json:"within"`
}

const (
	// evacuationSource is the source of sets that were read from the store.
	evacuationSource = "store"
	// evacuationMetricsInterval is the interval at which the metrics of evacuations are set.
	evacuationMetricsInterval = time.Second
)

// evacuations is what this instance knows of evacuated zones. It is safe for concurrent use.
type evacuations struct {
	g    *Gateway
	wake chan struct{} // the set of zones has changed

	mu       sync.Mutex
	set      evacuation.Set
	readyAt  time.Duration // when the catalog was first ready, 0 before
	gaveUp   bool          // served without knowing the set
	reported map[string]bool
}

func newEvacuations(g *Gateway) *evacuations {
	return &evacuations{g: g, wake: make(chan struct{}, 1), reported: map[string]bool{}}
}

// storeOptions returns the options with which the evacuations are read from the store, which
// read nothing if evacuations are not in use.
func (e *evacuations) storeOptions() storesync.EvacuationOptions {
	if e.g.settings.Load().Evacuation.Within == 0 {
		return storesync.EvacuationOptions{}
	}
	return storesync.EvacuationOptions{
		Known:       e.known,
		OnSnapshot:  func(s evacuation.Snapshot) { e.merge(s, evacuationSource) },
		OnMalformed: func() { e.g.metrics.Count("malformed_evacuations") },
	}
}

func (e *evacuations) known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Known()
}

// merge puts a set from the store or from a peer in force if it is newer.
func (e *evacuations) merge(in evacuation.Snapshot, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Equal(in.Zones, e.set.Snapshot().Zones) { // most states repeat what is known
		in.Zones = e.usableZones(in.Zones, source)
	}
	change := e.set.Merge(e.g.now(), in)
	if change.IsEmpty() {
		return
	}
	zones := map[string]bool{}
	for _, z := range e.set.Snapshot().Zones {
		zones[z] = true
	}
	e.g.dispatcher.update(func(_ time.Duration, s *assign.Scheduler) { s.SetEvacuated(zones) })
	for _, z := range change.Began {
		e.g.log.Warn("evacuation in force", "evacuated", z, "revision", in.Revision, "source", source)
	}
	for _, z := range change.Ended {
		e.g.log.Warn("evacuation ended", "evacuated", z, "revision", in.Revision, "source", source)
	}
	e.g.metrics.Count("evacuation_changes")
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// knownZones returns the names of the zones with upstreams, with this instance, or with a
// region.
func (e *evacuations) knownZones() map[string]bool {
	out := map[string]bool{e.g.self.Zone: true}
	for z := range e.g.settings.Load().Zones {
		out[z] = true
	}
	for _, u := range e.g.catalog.Usable() {
		out[u.Zone] = true
	}
	return out
}

// maxUnusableReported bounds the names that are remembered, so that each is logged once.
const maxUnusableReported = 1024

// usableZones returns the zones that a set may have and logs names that are no known zone, once
// each. They have no effect until there is such a zone.
func (e *evacuations) usableZones(zones []string, source string) []string {
	known := e.knownZones()
	kept, skipped := evacuation.Limit(zones, func(z string) bool { return known[z] })
	if !e.g.catalog.Ready() {
		return kept // the zones are not known yet
	}
	report := func(name string, kept bool) {
		if e.reported[name] || len(e.reported) >= maxUnusableReported {
			return
		}
		e.reported[name] = true
		e.g.log.Warn("evacuation of an unknown zone", "evacuated", name[:min(len(name), evacuation.MaxNameBytes)], "kept", kept, "source", source)
		e.g.metrics.Count("malformed_evacuations")
	}
	for _, z := range kept {
		if !known[z] {
			report(z, true)
		}
	}
	for _, z := range skipped {
		report(z, false)
	}
	return kept
}

// placeable returns the upstreams that may get orders.
func (e *evacuations) placeable() []fleet.Upstream {
	e.mu.Lock()
	zones := e.set.Snapshot().Zones
	e.mu.Unlock()
	list := e.g.catalog.Usable()
	if len(zones) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(u fleet.Upstream) bool { return slices.Contains(zones, u.Zone) })
}

// pending reports whether this instance may not send requests yet because it has not heard
// which zones are evacuated. Peers of an earlier build do not say so, and the store may be
// away: after EvacuationSettings.Within the instance serves all the same.
func (e *evacuations) pending() bool {
	within := e.g.settings.Load().Evacuation.Within.Std()
	if within == 0 || !e.g.catalog.Ready() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.set.Known() || e.gaveUp {
		return false
	}
	now := e.g.now()
	if e.readyAt == 0 {
		e.readyAt = now
	}
	if now-e.readyAt < within {
		return true
	}
	e.gaveUp = true
	e.g.log.Warn("evacuations not known, serving without them", "waited_ms", (now - e.readyAt).Milliseconds())
	return false
}

// toWire returns the set as it is told to peers, nil if it is not known.
func (e *evacuations) toWire() *meshpb.Evacuations {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.set.Known() {
		return nil
	}
	s := e.set.Snapshot()
	out := &meshpb.Evacuations{Zones: s.Zones}
	out.Revision, out.Era = versionToWire(s.Revision)
	return out
}

// mergeWire merges the set that a peer has told, if any.
func (e *evacuations) mergeWire(in *meshpb.Evacuations, peer string) {
	if in != nil {
		e.merge(evacuation.Snapshot{Revision: versionFromWire(in.Revision, in.Era), Zones: in.Zones}, peer)
	}
}

// announce tells peers of each change of the set at once, and sets the metrics, until ctx ends.
func (e *evacuations) announce(ctx context.Context) error {
	ticker := time.NewTicker(evacuationMetricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.setMetrics()
			continue
		case <-e.wake:
		}
		config, _, _ := e.g.catalog.Revisions()
		news := e.g.newsToWire(config, e.toWire())
		for _, p := range e.g.mesh.Sample(newsFanout, func(string) bool { return false }) {
			go e.g.announceTo(ctx, p, news)
		}
		if !wait.Sleep(ctx, newsInterval) {
			return nil
		}
	}
}

// setMetrics sets the gauges by which an operator sees that a zone is empty.
func (e *evacuations) setMetrics() {
	if e.g.settings.Load().Evacuation.Within == 0 {
		return
	}
	running := 0
	e.g.dispatcher.update(func(_ time.Duration, s *assign.Scheduler) {
		for _, n := range s.RequestsInEvacuated() {
			running += n
		}
	})
	e.mu.Lock()
	zones, known := len(e.set.Snapshot().Zones), e.set.Known()
	e.mu.Unlock()
	e.g.metrics.SetGauge("evacuated_zones", float64(zones))
	e.g.metrics.SetGauge("evacuated_zone_requests", float64(running))
	if known {
		e.g.metrics.SetGauge("evacuations_known", 1)
	}
}
