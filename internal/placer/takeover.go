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

// stray is an engine of this zone that has a ledger, as read at the beginning
// of the term.
type stray struct {
	target  inventory.Target
	version uint64 // of the ledger
	boot    string // the run that the ledger last saw
}

// findStrays reads the ledgers once, for engines that left their document
// while no holder, or another one, looked on.
func (t *term) findStrays() {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		list, err := t.d.opts.Store.List(ctx, platform.KindLedger)
		cancel()
		if err == nil {
			_ = t.d.post(t.ctx, func() { t.step(func() { t.strays = t.straysOf(list) }) })
			return
		}
		sleep(t.ctx, retryPeriod)
	}
}

func (t *term) straysOf(list platform.List) []stray {
	var strays []stray
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
		strays = append(strays, stray{version: obj.Version, boot: l.Boot, target: inventory.Target{Name: name, Retired: true, Upstream: config.Upstream{
			Name: short, Zone: l.Place.Zone, Kind: config.UpstreamEngine, Address: l.Place.Address, MemoryMB: l.MemoryMB,
			Fencing:        l.DurableFence,
			MaxOrderDelayS: int(time.Duration(l.Place.MaxOrderDelayMS) * time.Millisecond / time.Second),
		}}})
	}
	return strays
}

// adoptStrays takes over the strays that the documents name no more, once the
// documents are known to be as new as the ledgers. An address that a document
// gives to another upstream is that one's to order about.
func (t *term) adoptStrays(now time.Duration, known *replica.Snapshot, named, addresses map[string]bool) {
	var rest []stray
	for _, s := range t.strays {
		service, _ := inventory.SplitName(s.target.Name)
		switch {
		case named[s.target.Name] || addresses[s.target.Upstream.Address]:
		case !current(known, service, s.version):
			rest = append(rest, s)
		default:
			u := newUpstream(t, s.target, len(t.upstreams))
			u.retired, u.retiredAt, u.expect = true, now, s.boot
			t.upstreams[s.target.Name] = u
			t.d.opts.Log.Info("upstream taken over that no document names", "upstream", s.target.Name)
		}
	}
	t.strays = rest
}
