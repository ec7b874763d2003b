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
	"github.com/eelgrassbay/eelgrassbay/internal/placement/escrow"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Times of a budget.
const (
	budgetPeriod = time.Second
	// idleRelease is how long a zone that loads nothing keeps its share.
	idleRelease = 30 * time.Second
	// rereadPeriod spaces the reads of a zone that has too small a share: others
	// may have given theirs up.
	rereadPeriod = 5 * time.Second
)

// milli is one load a second in the units of the rate's shares.
const milli = 1000

// Shares are the zones' shares of one service's loads, as an object of
// platform.KindBudget named after the service holds them.
type Shares struct {
	// Rate is in thousandths of a model load a second.
	Rate escrow.Shares `json:"rate"`
	// Models and Adapters are loads in flight.
	Models   escrow.Shares `json:"models"`
	Adapters escrow.Shares `json:"adapters"`
}

// DecodeShares reads an object of platform.KindBudget; a deleted one is empty.
func DecodeShares(obj platform.Object) (Shares, error) {
	var s Shares
	if obj.Version == 0 || obj.Deleted {
		return s, nil
	}
	if err := json.Unmarshal(obj.Value, &s); err != nil {
		return s, fmt.Errorf("placer: object %s %s: %w", obj.Kind, obj.Name, err)
	}
	return s, nil
}

// Holds says whether a zone has an entry.
func (s Shares) Holds(zone string) bool {
	for _, part := range []escrow.Shares{s.Rate, s.Models, s.Adapters} {
		if _, ok := part.Zones[zone]; ok {
			return true
		}
	}
	return false
}

// Without returns the shares that are left once a zone is gone for good. Its
// part is free at once, so every process of the zone must have ended.
func (s Shares) Without(zone string) Shares {
	return Shares{Rate: s.Rate.Without(zone), Models: s.Models.Without(zone), Adapters: s.Adapters.Without(zone)}
}

// share is what a zone holds.
type share struct{ rate, models, adapters int64 }

func (s Shares) of(zone string) share {
	return share{s.Rate.Zones[zone], s.Models.Zones[zone], s.Adapters.Zones[zone]}
}

// smaller returns the lesser of each part.
func (s share) smaller(other share) share {
	return share{min(s.rate, other.rate), min(s.models, other.models), min(s.adapters, other.adapters)}
}

// total returns shares of a document's limits, whatever zones hold.
func (s Shares) total(l config.LoadLimits) Shares {
	s.Rate.Total = int64(l.ModelsPerS * milli)
	s.Models.Total = int64(l.ModelsInFlight)
	s.Adapters.Total = int64(l.AdaptersInFlight)
	return s
}

// target returns what a zone should hold of one total, for its need. It gives
// up what it does not use, and takes twice its equal part while as much as
// that part stays free for a zone that wakes.
func target(s escrow.Shares, zone string, zones, need int64) int64 {
	equal := max(1, s.Total/max(1, zones))
	held := s.Zones[zone]
	want := equal
	switch {
	case need == 0:
		return 0
	case need <= equal:
	case held > equal && s.Free() >= equal, held <= equal && s.Free() >= equal+2*equal-held:
		want = 2 * equal
	}
	return held + min(want-held, max(s.Free(), 0))
}

// move returns shares in which a zone holds n of one total.
func move(s escrow.Shares, zone string, n int64) escrow.Shares {
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

// budget is a zone's part in one service's Shares, during a term. A share is
// lowered here before the release is written, and raised after the claim is.
type budget struct {
	t         *term
	service   string
	known     bool
	version   uint64
	stored    Shares
	inForce   share
	releasing bool   // a release conditional on version doubt may still land
	doubt     uint64 // see releasing
	rate      escrow.Rate
	credit    int // loads that the rate allows and that have not begun
	busy      bool
	neededAt  time.Duration
	next      time.Duration
}

func (t *term) budget(doc *config.Service) *budget {
	b := t.budgets[doc.Service]
	if b == nil {
		b = &budget{t: t, service: doc.Service, neededAt: t.began}
		t.budgets[doc.Service] = b
	}
	return b
}

// loads returns how many model loads may start beside those in flight.
func (b *budget) loads(now time.Duration, inFlight int) int {
	if b.credit == 0 && b.rate.Start(now) {
		b.credit = 1
	}
	return int(max(0, min(b.inForce.models-int64(inFlight), int64(b.credit))))
}

// started counts a load against the rate.
func (b *budget) started() { b.credit-- }

// update moves the zone's shares towards its needs: used and needed model
// loads, and adapter loads, in flight.
func (b *budget) update(now time.Duration, doc *config.Service, used, needed, adapters int64) {
	if needed > 0 {
		b.neededAt = now
	}
	if b.busy || now < b.next {
		return
	}
	if !b.known {
		b.next = now + tickPeriod
		b.read()
		return
	}
	short := needed > used || adapters > b.inForce.adapters
	if needed == 0 && now-b.neededAt < idleRelease {
		needed = 1
	}
	zone := b.t.d.opts.Self.Zone
	zones := int64(len(engineZones(doc)))
	next := b.stored.total(doc.Loads)
	next.Models = move(next.Models, zone, max(target(next.Models, zone, zones, needed), used))
	next.Adapters = move(next.Adapters, zone, max(target(next.Adapters, zone, zones, max(1, adapters)), adapters))
	rateNeed := int64(0)
	if needed > 0 {
		rateNeed = 1
	}
	if needed > 1 {
		rateNeed = next.Rate.Total
	}
	next.Rate = move(next.Rate, zone, target(next.Rate, zone, zones, rateNeed))
	if equalShares(next, b.stored) {
		if short {
			b.next = now + rereadPeriod
			b.read()
		}
		return
	}
	b.next = now + budgetPeriod
	b.write(now, next)
}

func equalShares(a, b Shares) bool {
	same := func(x, y escrow.Shares) bool { return x.Total == y.Total && maps.Equal(x.Zones, y.Zones) }
	return same(a.Rate, b.Rate) && same(a.Models, b.Models) && same(a.Adapters, b.Adapters)
}

// engineZones returns the zones that hold engines of a service, in order.
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

// write puts shares in force that are lower at once, and those that are higher
// once they are stored.
func (b *budget) write(now time.Duration, next Shares) {
	value, err := json.Marshal(next)
	if err != nil {
		b.t.d.opts.Log.Error("budget", "service", b.service, "error", err)
		return
	}
	zone := b.t.d.opts.Self.Zone
	lower := b.inForce.smaller(next.of(zone))
	if lower != b.inForce {
		b.releasing, b.doubt = true, b.version
	}
	b.enforce(now, lower)
	b.busy = true
	obj := platform.Object{Kind: platform.KindBudget, Name: b.service, Version: b.version, Value: value}
	store := b.t.d.opts.Store
	b.t.start(func(ctx context.Context) func() {
		err := platform.ErrUnavailable
		var stored platform.Object
		if b.t.holds() {
			stored, err = store.Put(ctx, obj)
		}
		return func() {
			b.busy = false
			b.known = false // read again unless it was stored
			if err == nil {
				b.take(stored.Version, next)
			}
		}
	})
}

func (b *budget) enforce(now time.Duration, s share) {
	b.inForce = s
	b.rate.SetShare(now, s.rate)
}

func (b *budget) read() {
	b.busy = true
	store := b.t.d.opts.Store
	b.t.start(func(ctx context.Context) func() {
		obj, err := store.Get(ctx, platform.KindBudget, b.service)
		return func() {
			b.busy = false
			switch {
			case errors.Is(err, platform.ErrNotFound):
				b.take(0, Shares{})
			case err == nil:
				b.takeObject(obj)
			}
		}
	})
}

func (b *budget) takeObject(obj platform.Object) {
	s, err := DecodeShares(obj)
	if err != nil {
		b.t.d.opts.Log.Error("budget cannot be read", "service", b.service, "error", err)
		return
	}
	b.take(obj.Version, s)
}

// take counts a stored version. While a release may still land, conditional on
// the version that it was decided on, the lower share stays in force.
func (b *budget) take(version uint64, s Shares) {
	b.known, b.version, b.stored = true, version, s
	held := s.of(b.t.d.opts.Self.Zone)
	if b.releasing && version <= b.doubt {
		held = held.smaller(b.inForce)
	} else {
		b.releasing = false
	}
	b.enforce(b.t.d.opts.Now(), held)
	b.t.hasten()
}
