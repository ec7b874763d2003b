package entry

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// tableFeed turns documents, members and reports into updates of the routing
// table.
type tableFeed struct {
	dispatch *dispatch.Duty
	log      *slog.Logger
	// latest returns the latest report of an upstream.
	latest func(name string) (inventory.Entry, bool)
	// targets returns the upstreams to route to, retired engines included.
	targets func() []inventory.Target
	// draining says whether a model leaves an upstream.
	draining func(upstream, model string) bool
	mu       sync.Mutex
	known    map[string]route.Upstream
	retired  atomic.Pointer[map[string]bool]
}

func newTableFeed(d *dispatch.Duty, log *slog.Logger) *tableFeed {
	f := &tableFeed{dispatch: d, log: log, known: map[string]route.Upstream{}}
	f.retired.Store(&map[string]bool{})
	return f
}

// sync adds, changes and removes upstreams by the documents in force.
func (f *tableFeed) sync(known *replica.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := map[string]route.Upstream{}
	targets := f.targets()
	former := f.retire(targets)
	for _, t := range targets {
		u := describe(t, known.Leaving[t.Upstream.Address])
		wanted[t.Name] = u
		if f.known[t.Name] != u || former[t.Name] != t.Retired {
			f.set(t, u)
		}
	}
	for name := range f.known {
		if _, ok := wanted[name]; !ok {
			f.update(func(_ time.Duration, table *route.Table) { table.RemoveUpstream(name) })
		}
	}
	f.known = wanted
}

// retire notes the engines that no document names any more, and returns those
// noted before.
func (f *tableFeed) retire(targets []inventory.Target) map[string]bool {
	next := map[string]bool{}
	for _, t := range targets {
		if t.Retired {
			next[t.Name] = true
		}
	}
	return *f.retired.Swap(&next)
}

func describe(t inventory.Target, leaving bool) route.Upstream {
	u := route.Upstream{
		Name: t.Name, Zone: t.Upstream.Zone,
		PrefillRate: float64(t.Upstream.PrefillTokensPerS), MaxRunning: t.Upstream.MaxRunning,
	}
	if leaving {
		u.State = route.StateLeaving
	}
	return u
}

func (f *tableFeed) set(t inventory.Target, u route.Upstream) {
	service, _ := inventory.SplitName(t.Name)
	f.update(func(_ time.Duration, table *route.Table) {
		table.SetUpstream(u)
		if t.Upstream.Kind == config.UpstreamPlain {
			table.SetResident(t.Name, []route.Resident{{Model: plainModel(service), Ready: true}})
		}
	})
	// A report may have come before the document that names the upstream.
	if e, ok := f.latest(t.Name); ok {
		f.report(e, inventory.News{Load: true, Residency: true})
	}
}

// report takes news from the inventory.
func (f *tableFeed) report(e inventory.Entry, news inventory.News) {
	service, _ := inventory.SplitName(e.Upstream)
	f.update(func(now time.Duration, table *route.Table) {
		if news.Residency {
			table.SetResident(e.Upstream, f.residents(service, e))
		}
		age := now - e.ReadAt + time.Duration(e.Report.AgeMS)*time.Millisecond
		table.Report(now, e.Upstream, route.Load{
			Running: e.Report.Running, Queued: e.Report.Queued, QueuedPrefill: e.Report.QueuedPrefill,
			FreeKV: e.Report.FreeKVTokens, Age: age,
		})
	})
}

// refresh brings upstreams in step after other models drain on them.
func (f *tableFeed) refresh(upstreams []string) {
	for _, name := range upstreams {
		if e, ok := f.latest(name); ok {
			f.report(e, inventory.News{Load: true, Residency: true})
		}
	}
}

// residents groups a report's models with their adapters. All models drain on
// a retired engine.
func (f *tableFeed) residents(service string, e inventory.Entry) []route.Resident {
	r := e.Report
	retired := (*f.retired.Load())[e.Upstream]
	var list []route.Resident
	at := map[string]int{}
	for _, res := range r.Resident {
		if res.Adapter != "" || res.State == engine.ResidencyUnloading {
			continue
		}
		at[res.Model] = len(list)
		list = append(list, route.Resident{
			Model: service + "/" + res.Model, Ready: res.State == engine.ResidencyReady,
			Draining: retired || f.draining(e.Upstream, res.Model),
		})
	}
	for _, res := range r.Resident {
		i, ok := at[res.Model]
		if ok && res.Adapter != "" && res.State == engine.ResidencyReady {
			list[i].Adapters = append(list[i].Adapters, res.Adapter)
		}
	}
	return list
}

func (f *tableFeed) update(u func(time.Duration, *route.Table)) {
	if err := f.dispatch.Update(u); err != nil {
		f.log.Debug("update routing table", "error", err)
	}
}
