package placer

import (
	"context"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
)

// orphan is an engine of this zone that had a ledger at the start of the
// leadership and that the documents may no longer name.
type orphan struct {
	target  inventory.Target
	version uint64 // of the ledger
	boot    string // boot ID of the engine that the ledger recorded last
}

// findOrphans reads the ledgers once, to find engines that were removed from
// their document while another instance, or none, was the zone leader.
func (l *leadership) findOrphans() {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		list, err := l.controller.opts.Store.List(ctx, objectstore.KindLedger)
		cancel()
		if err == nil {
			_ = l.controller.post(l.ctx, func() { l.runStep(func() { l.orphans = l.orphansIn(list) }) })
			return
		}
		sleep(l.ctx, retryPeriod)
	}
}

// orphansIn returns the possible orphans in a list of ledgers: engines of this
// zone whose ledger lists resident models or orders.
func (l *leadership) orphansIn(list objectstore.List) []orphan {
	var orphans []orphan
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		found, err := ledger.Decode(obj.Value)
		if err != nil || found.Location.Zone != l.controller.opts.Self.Zone || !found.HasReport() || len(found.Resident)+len(found.Orders) == 0 {
			continue
		}
		name := strings.Replace(obj.Name, ":", "/", 1)
		_, shortName := inventory.SplitName(name)
		orphans = append(orphans, orphan{version: obj.Version, boot: found.Boot, target: inventory.Target{Name: name, Removed: true, Upstream: config.Upstream{
			Name: shortName, Zone: found.Location.Zone, Kind: config.UpstreamEngine, Address: found.Location.Address, MemoryMB: found.MemoryMB,
			SupportsFencing: found.DurableFencing,
			MaxOrderDelayS:  int(time.Duration(found.Location.MaxOrderDelayMS) * time.Millisecond / time.Second),
		}}})
	}
	return orphans
}

// adoptOrphans takes over the orphans that the documents no longer name, once
// the documents are known to be as new as the ledgers. An address that a
// document assigns to another upstream is left to that upstream.
func (l *leadership) adoptOrphans(now time.Duration, known *docsync.Snapshot, named, addresses map[string]bool) {
	var undecided []orphan
	for _, o := range l.orphans {
		service, _ := inventory.SplitName(o.target.Name)
		switch {
		case named[o.target.Name] || addresses[o.target.Upstream.Address]:
		case !documentsCurrent(known, service, o.version):
			undecided = append(undecided, o)
		default:
			u := newUpstream(l, o.target, len(l.upstreams))
			u.retired, u.retiredAt, u.expectedBoot = true, now, o.boot
			l.upstreams[o.target.Name] = u
			l.controller.opts.Log.Info("orphaned upstream adopted", "upstream", o.target.Name)
		}
	}
	l.orphans = undecided
}
