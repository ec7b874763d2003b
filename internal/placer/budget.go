package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
)

// Timing of budget updates.
const (
	budgetWritePeriod = time.Second
	// idleReleaseDelay is how long a zone that loads no models keeps its share.
	idleReleaseDelay = 30 * time.Second
	// budgetRereadPeriod is the time between reads while the zone's share is too
	// small: other zones may have released theirs.
	budgetRereadPeriod = 5 * time.Second
)

// rateUnitsPerLoad is the value of BudgetShares.Rate for one load per second.
const rateUnitsPerLoad = 1000

// BudgetShares holds the zones' shares of one service's load limits. It is
// stored as an object of objectstore.KindBudget that is named after the
// service.
type BudgetShares struct {
	// Rate is in thousandths of a model load per second.
	Rate escrow.Shares `json:"rate"`
	// Models and Adapters are numbers of loads in flight.
	Models   escrow.Shares `json:"models"`
	Adapters escrow.Shares `json:"adapters"`
}

// DecodeShares decodes an object of objectstore.KindBudget. It returns empty
// shares for an object that was deleted or never written.
func DecodeShares(obj objectstore.Object) (BudgetShares, error) {
	var s BudgetShares
	if obj.Version == 0 || obj.Deleted {
		return s, nil
	}
	if err := json.Unmarshal(obj.Value, &s); err != nil {
		return s, fmt.Errorf("placer: decoding object %s %s: %w", obj.Kind, obj.Name, err)
	}
	return s, nil
}

// HasZone reports whether a zone has an entry in any of the shares.
func (s BudgetShares) HasZone(zone string) bool {
	for _, part := range []escrow.Shares{s.Rate, s.Models, s.Adapters} {
		if _, ok := part.Zones[zone]; ok {
			return true
		}
	}
	return false
}

// WithoutZone returns the shares without those of a zone that was removed for
// good. The zone's share is free at once, so every process of the zone must have
// ended.
func (s BudgetShares) WithoutZone(zone string) BudgetShares {
	return BudgetShares{Rate: s.Rate.RemoveZone(zone), Models: s.Models.RemoveZone(zone), Adapters: s.Adapters.RemoveZone(zone)}
}

// zoneShare is one zone's part of BudgetShares, in the same units.
type zoneShare struct{ rate, models, adapters int64 }

// forZone returns a zone's part.
func (s BudgetShares) forZone(zone string) zoneShare {
	return zoneShare{s.Rate.Zones[zone], s.Models.Zones[zone], s.Adapters.Zones[zone]}
}

// smaller returns the minimum of each field.
func (s zoneShare) smaller(other zoneShare) zoneShare {
	return zoneShare{min(s.rate, other.rate), min(s.models, other.models), min(s.adapters, other.adapters)}
}

// withTotals returns the shares with the totals set from a document's limits.
// The zones' shares are unchanged and may exceed the new totals.
func (s BudgetShares) withTotals(l config.LoadingLimits) BudgetShares {
	s.Rate.Total = int64(l.ModelsPerS * rateUnitsPerLoad)
	s.Models.Total = int64(l.ModelsInFlight)
	s.Adapters.Total = int64(l.AdaptersInFlight)
	return s
}

// targetShare returns the share of one total that a zone should hold, given its
// need: 0 if it needs nothing, otherwise the total divided equally by the number
// of zones. A zone that needs more than this equal part may hold twice as much,
// provided that one equal part stays free for a zone that becomes active. The
// share is raised by at most what is free.
func targetShare(s escrow.Shares, zone string, zones, need int64) int64 {
	equal := max(1, s.Total/max(1, zones))
	held := s.Zones[zone]
	target := equal
	switch {
	case need == 0:
		return 0
	case need <= equal:
	case held > equal && s.Free() >= equal, held <= equal && s.Free() >= equal+2*equal-held:
		target = 2 * equal
	}
	return held + min(target-held, max(s.Free(), 0))
}

// withZoneShare returns shares in which a zone holds n of one total, or s
// unchanged if too little is free.
func withZoneShare(s escrow.Shares, zone string, n int64) escrow.Shares {
	held := s.Zones[zone]
	if n < held {
		return s.Release(zone, held-n)
	}
	next, err := s.Claim(zone, n-held)
	if err != nil {
		return s
	}
	return next
}

// zoneBudget enforces the zone's part of one service's BudgetShares during a
// leadership. A share is lowered here before the release is written, and raised
// only after the claim is stored.
type zoneBudget struct {
	leadership     *leadership
	service        string
	synced         bool // version and stored are current; if not, read before the next write
	version        uint64
	stored         BudgetShares
	enforced       zoneShare
	releasePending bool   // a release written against releaseVersion may still be applied
	releaseVersion uint64 // version that the pending release is conditional on
	rate           escrow.Rate
	startCredit    int // loads that the rate has admitted and that have not started
	callPending    bool
	lastNeeded     time.Duration
	nextUpdate     time.Duration
}

// budget returns the budget of a document's service. It creates it at first use.
func (l *leadership) budget(doc *config.Service) *zoneBudget {
	b := l.budgets[doc.Service]
	if b == nil {
		b = &zoneBudget{leadership: l, service: doc.Service, lastNeeded: l.startedAt}
		l.budgets[doc.Service] = b
	}
	return b
}

// allowedStarts returns how many model loads may start in addition to those in
// flight.
func (b *zoneBudget) allowedStarts(now time.Duration, inFlight int) int {
	if b.startCredit == 0 && b.rate.Start(now) {
		b.startCredit = 1
	}
	return int(max(0, min(b.enforced.models-int64(inFlight), int64(b.startCredit))))
}

// recordStart counts a started load against the rate.
func (b *zoneBudget) recordStart() { b.startCredit-- }

// update adjusts the zone's shares to its needs. used is the number of model
// loads in flight, needed is used plus the loads that the budget denied, and
// adapters is the number of adapter loads in flight or waited for.
func (b *zoneBudget) update(now time.Duration, doc *config.Service, used, needed, adapters int64) {
	if needed > 0 {
		b.lastNeeded = now
	}
	if b.callPending || now < b.nextUpdate {
		return
	}
	if !b.synced {
		b.nextUpdate = now + tickPeriod
		b.read()
		return
	}
	shareTooSmall := needed > used || adapters > b.enforced.adapters
	if needed == 0 && now-b.lastNeeded < idleReleaseDelay {
		needed = 1
	}
	zone := b.leadership.controller.opts.Self.Zone
	zones := int64(len(engineZones(doc)))
	next := b.stored.withTotals(doc.Loads)
	next.Models = withZoneShare(next.Models, zone, max(targetShare(next.Models, zone, zones, needed), used))
	next.Adapters = withZoneShare(next.Adapters, zone, max(targetShare(next.Adapters, zone, zones, max(1, adapters)), adapters))
	rateNeed := int64(0)
	if needed > 0 {
		rateNeed = 1
	}
	if needed > 1 {
		rateNeed = next.Rate.Total
	}
	next.Rate = withZoneShare(next.Rate, zone, targetShare(next.Rate, zone, zones, rateNeed))
	if equalShares(next, b.stored) {
		if shareTooSmall {
			b.nextUpdate = now + budgetRereadPeriod
			b.read()
		}
		return
	}
	b.nextUpdate = now + budgetWritePeriod
	b.write(now, next)
}

func equalShares(a, b BudgetShares) bool {
	same := func(x, y escrow.Shares) bool { return x.Total == y.Total && maps.Equal(x.Zones, y.Zones) }
	return same(a.Rate, b.Rate) && same(a.Models, b.Models) && same(a.Adapters, b.Adapters)
}

// engineZones returns the zones that have engines of a service, sorted.
func engineZones(doc *config.Service) []string {
	var zones []string
	for _, u := range doc.Upstreams {
		if u.Kind == config.UpstreamEngine {
			zones = append(zones, u.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// write stores next. Lowered shares take effect at once, raised shares only
// after they are stored.
func (b *zoneBudget) write(now time.Duration, next BudgetShares) {
	value, err := json.Marshal(next)
	if err != nil {
		b.leadership.controller.opts.Log.Error("budget", "service", b.service, "error", err)
		return
	}
	zone := b.leadership.controller.opts.Self.Zone
	lower := b.enforced.smaller(next.forZone(zone))
	if lower != b.enforced {
		b.releasePending, b.releaseVersion = true, b.version
	}
	b.enforce(now, lower)
	b.callPending = true
	obj := objectstore.Object{Kind: objectstore.KindBudget, Name: b.service, Version: b.version, Value: value}
	store := b.leadership.controller.opts.Store
	b.leadership.startCall(func(ctx context.Context) func() {
		err := objectstore.ErrUnavailable
		var stored objectstore.Object
		if b.leadership.holdsLease() {
			stored, err = store.Put(ctx, obj)
		}
		return func() {
			b.callPending = false
			b.synced = false // read again, unless the write succeeded
			if err == nil {
				b.applyStored(stored.Version, next)
			}
		}
	})
}

// enforce limits the zone's loads to s from now on.
func (b *zoneBudget) enforce(now time.Duration, s zoneShare) {
	b.enforced = s
	b.rate.SetShare(now, s.rate)
}

// read reads the stored shares from the platform.
func (b *zoneBudget) read() {
	b.callPending = true
	store := b.leadership.controller.opts.Store
	b.leadership.startCall(func(ctx context.Context) func() {
		obj, err := store.Get(ctx, objectstore.KindBudget, b.service)
		return func() {
			b.callPending = false
			switch {
			case errors.Is(err, objectstore.ErrNotFound):
				b.applyStored(0, BudgetShares{})
			case err == nil:
				b.applyObject(obj)
			}
		}
	})
}

func (b *zoneBudget) applyObject(obj objectstore.Object) {
	s, err := DecodeShares(obj)
	if err != nil {
		b.leadership.controller.opts.Log.Error("decoding budget failed", "service", b.service, "error", err)
		return
	}
	b.applyStored(obj.Version, s)
}

// applyStored records a stored version. While a pending release, conditional on
// releaseVersion, may still be applied, the lower share stays in effect.
func (b *zoneBudget) applyStored(version uint64, s BudgetShares) {
	b.synced, b.version, b.stored = true, version, s
	held := s.forZone(b.leadership.controller.opts.Self.Zone)
	if b.releasePending && version <= b.releaseVersion {
		held = held.smaller(b.enforced)
	} else {
		b.releasePending = false
	}
	b.enforce(b.leadership.controller.opts.Now(), held)
	b.leadership.planAtNextTick()
}
