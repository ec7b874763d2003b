package placer

import (
	"context"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// orphan is an engine of this zone that has a ledger, as read at the start of
// the term, and that the documents may no longer name.
type orphan struct {
	target  inventory.Target
	version uint64 // of the ledger
	boot    string // boot ID of the engine's run that the ledger saw last
}

// findOrphans reads the ledgers once, to find engines that were removed from
// their document while there was no lease holder or a different one.
func (t *term) findOrphans() {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		list, err := t.d.opts.Store.List(ctx, platform.KindLedger)
		cancel()
		if err == nil {
			_ = t.d.post(t.ctx, func() { t.runStep(func() { t.orphans = t.orphansIn(list) }) })
			return
		}
		sleep(t.ctx, retryPeriod)
	}
}

// orphansIn returns the candidates in a list of ledgers: engines of this zone
// with residents or orders.
func (t *term) orphansIn(list platform.List) []orphan {
	var orphans []orphan
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		l, err := ledger.Decode(obj.Value)
		if err != nil || l.Place.Zone != t.d.opts.Self.Zone || !l.Observed() || len(l.Resident)+len(l.Orders) == 0 {
			continue
		}
		name := strings.Replace(obj.Name, ":", "/", 1)
		_, short := inventory.SplitName(name)
		orphans = append(orphans, orphan{version: obj.Version, boot: l.Boot, target: inventory.Target{Name: name, Retired: true, Upstream: config.Upstream{
			Name: short, Zone: l.Place.Zone, Kind: config.UpstreamEngine, Address: l.Place.Address, MemoryMB: l.MemoryMB,
			Fencing:        l.DurableFence,
			MaxOrderDelayS: int(time.Duration(l.Place.MaxOrderDelayMS) * time.Millisecond / time.Second),
		}}})
	}
	return orphans
}

// adoptOrphans takes over the orphans that the documents no longer name, once
// the documents are known to be as new as the ledgers. An address that a
// document assigns to another upstream is left to that upstream.
func (t *term) adoptOrphans(now time.Duration, known *replica.Snapshot, named, addresses map[string]bool) {
	var undecided []orphan
	for _, s := range t.orphans {
		service, _ := inventory.SplitName(s.target.Name)
		switch {
		case named[s.target.Name] || addresses[s.target.Upstream.Address]:
		case !documentsCurrent(known, service, s.version):
			undecided = append(undecided, s)
		default:
			u := newUpstream(t, s.target, len(t.upstreams))
			u.retired, u.retiredAt, u.expectedBoot = true, now, s.boot
			t.upstreams[s.target.Name] = u
			t.d.opts.Log.Info("orphaned upstream adopted", "upstream", s.target.Name)
		}
	}
	t.orphans = undecided
}
