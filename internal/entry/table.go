package entry

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// tableUpdater updates the routing table from documents, the instance list and
// reports of engines.
type tableUpdater struct {
	dispatch *dispatch.Controller
	log      *slog.Logger
	// latestReport returns the latest report of an upstream.
	latestReport func(name string) (inventory.Entry, bool)
	// targets returns the upstreams to keep in the table, including retired
	// engines.
	targets func() []inventory.Target
	// draining reports whether a model is being drained on an upstream.
	draining  func(upstream, model string) bool
	mu        sync.Mutex
	upstreams map[string]route.Upstream // as last written to the table
	retired   atomic.Pointer[map[string]bool]
}

func newTableUpdater(d *dispatch.Controller, log *slog.Logger) *tableUpdater {
	up := &tableUpdater{dispatch: d, log: log, upstreams: map[string]route.Upstream{}}
	up.retired.Store(&map[string]bool{})
	return up
}

// sync adds, changes and removes upstreams according to the documents in force.
func (up *tableUpdater) sync(snapshot *docsync.Snapshot) {
	up.mu.Lock()
	defer up.mu.Unlock()
	upstreams := map[string]route.Upstream{}
	targets := up.targets()
	formerRetired := up.swapRetired(targets)
	for _, t := range targets {
		u := routeUpstream(t, snapshot.LeavingUpstreams[t.Upstream.Address])
		upstreams[t.Name] = u
		if up.upstreams[t.Name] != u || formerRetired[t.Name] != t.Removed {
			up.setUpstream(t, u)
		}
	}
	for name := range up.upstreams {
		if _, ok := upstreams[name]; !ok {
			up.updateTable(func(_ time.Duration, table *route.Table) { table.RemoveUpstream(name) })
		}
	}
	up.upstreams = upstreams
}

// swapRetired stores the set of engines that no document names any more, and
// returns the previous set.
func (up *tableUpdater) swapRetired(targets []inventory.Target) map[string]bool {
	retired := map[string]bool{}
	for _, t := range targets {
		if t.Removed {
			retired[t.Name] = true
		}
	}
	return *up.retired.Swap(&retired)
}

// routeUpstream returns the routing table's description of an upstream.
func routeUpstream(t inventory.Target, leaving bool) route.Upstream {
	u := route.Upstream{
		Name: t.Name, Zone: t.Upstream.Zone,
		PrefillRate: float64(t.Upstream.PrefillTokensPerS), MaxRunning: t.Upstream.MaxRunning,
	}
	if leaving {
		u.State = route.StateLeaving
	}
	return u
}

// setUpstream writes an upstream to the table together with its latest report.
func (up *tableUpdater) setUpstream(t inventory.Target, u route.Upstream) {
	service, _ := inventory.SplitName(t.Name)
	up.updateTable(func(_ time.Duration, table *route.Table) {
		table.SetUpstream(u)
		if t.Upstream.Kind == config.UpstreamPlain {
			table.SetResident(t.Name, []route.ResidentModel{{Model: plainModel(service), Ready: true}})
		}
	})
	// A report may have arrived before the document that names the upstream.
	if e, ok := up.latestReport(t.Name); ok {
		up.applyReport(e, inventory.Changes{Any: true, Residency: true})
	}
}

// applyReport writes a report of an upstream from the inventory to the table.
func (up *tableUpdater) applyReport(e inventory.Entry, changes inventory.Changes) {
	service, _ := inventory.SplitName(e.Upstream)
	up.updateTable(func(now time.Duration, table *route.Table) {
		if changes.Residency {
			table.SetResident(e.Upstream, up.residents(service, e))
		}
		age := now - e.ReadAt + time.Duration(e.Report.AgeMS)*time.Millisecond
		table.Report(now, e.Upstream, route.Load{
			Running: e.Report.Running, Queued: e.Report.Queued, QueuedPrefillTokens: e.Report.QueuedPrefill,
			FreeKVTokens: e.Report.FreeKVTokens, Age: age,
		})
	})
}

// reapplyReports applies the latest reports of upstreams again after the set of
// models that drain on them has changed.
func (up *tableUpdater) reapplyReports(upstreams []string) {
	for _, name := range upstreams {
		if e, ok := up.latestReport(name); ok {
			up.applyReport(e, inventory.Changes{Any: true, Residency: true})
		}
	}
}

// residents returns the models of a report, each with its ready adapters. On a
// retired engine all models count as draining.
func (up *tableUpdater) residents(service string, e inventory.Entry) []route.ResidentModel {
	r := e.Report
	retired := (*up.retired.Load())[e.Upstream]
	var residents []route.ResidentModel
	indexByModel := map[string]int{}
	for _, resident := range r.Resident {
		if resident.Adapter != "" || resident.State == engine.ResidencyUnloading {
			continue
		}
		indexByModel[resident.Model] = len(residents)
		residents = append(residents, route.ResidentModel{
			Model: service + "/" + resident.Model, Ready: resident.State == engine.ResidencyReady,
			Draining: retired || up.draining(e.Upstream, resident.Model),
		})
	}
	for _, resident := range r.Resident {
		i, ok := indexByModel[resident.Model]
		if ok && resident.Adapter != "" && resident.State == engine.ResidencyReady {
			residents[i].Adapters = append(residents[i].Adapters, resident.Adapter)
		}
	}
	return residents
}

func (up *tableUpdater) updateTable(u func(time.Duration, *route.Table)) {
	if err := up.dispatch.Update(u); err != nil {
		up.log.Debug("updating the routing table failed", "error", err)
	}
}
