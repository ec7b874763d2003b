package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placer"
)

// Errors of ZoneForget.
var (
	// ErrUnconfirmed means that the option --yes is missing.
	ErrUnconfirmed = errors.New("ctl: nothing was changed; give --yes once every process of the zone has certainly ended")
	// ErrZoneListed means that the platform still lists instances of the zone.
	ErrZoneListed = errors.New("ctl: nothing was changed; the platform lists instances of the zone")
)

const zoneWarning = "warning: a process of zone %s that still runs, also one that is paused or cut off, goes on using what it held. " +
	"Rates, bursts and loads are then exceeded."

// ZoneForget frees the shares of a permanently lost zone for the other zones.
type ZoneForget struct {
	*Globals `no-flag:"true"`
	Yes      bool `long:"yes" description:"every process of the zone, entry instances and engines, has certainly ended"`
	Args     struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

// forgetResult is the output of ZoneForget.
type forgetResult struct {
	Zone    string   `json:"zone"`
	Warning string   `json:"warning"`
	Changed []string `json:"changed"` // kind and name of each object changed
}

func (f forgetResult) text() string {
	if len(f.Changed) == 0 {
		return f.Warning + "\nzone " + f.Zone + " held nothing"
	}
	return f.Warning + "\nzone " + f.Zone + " taken out of: " + strings.Join(f.Changed, ", ")
}

// Execute implements flags.Commander. It may be repeated after an error: it is
// idempotent, and objects already changed stay changed.
func (c *ZoneForget) Execute([]string) error {
	out := forgetResult{Zone: c.Args.Zone, Warning: fmt.Sprintf(zoneWarning, c.Args.Zone), Changed: []string{}}
	if !c.Yes {
		return fmt.Errorf("%s\n%w", out.Warning, ErrUnconfirmed)
	}
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	if err := requireUnlisted(ctx, store, c.Args.Zone); err != nil {
		return err
	}
	if err := out.removeFromLimits(ctx, store); err != nil {
		return err
	}
	if err := out.removeFromBudgets(ctx, store); err != nil {
		return err
	}
	return c.print(out, out.text())
}

// requireUnlisted returns an error if the platform lists an instance of the zone.
// Success does not prove that the zone has ended: a partitioned zone is not listed
// either.
func requireUnlisted(ctx context.Context, list objectstore.InstanceList, zone string) error {
	instances, err := list.Instances(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(instances, func(inst objectstore.Instance) bool { return inst.Zone == zone })
	if i >= 0 {
		return fmt.Errorf("%w: zone %s, instance %s", ErrZoneListed, zone, instances[i].Name)
	}
	return nil
}

// removeFromLimits removes the zone's claims on the organisations' limits.
func (f *forgetResult) removeFromLimits(ctx context.Context, store objectstore.Store) error {
	return f.update(ctx, store, objectstore.KindShare, limit.ClaimsName(), func(obj objectstore.Object) (any, bool, error) {
		claims, err := limit.DecodeClaims(obj)
		_, held := claims.Zones[f.Zone]
		return claims.WithoutZone(f.Zone), held, err
	})
}

// removeFromBudgets removes the zone's shares of the fleet-wide limits on model
// and adapter loads.
func (f *forgetResult) removeFromBudgets(ctx context.Context, store objectstore.Store) error {
	list, err := store.List(ctx, objectstore.KindBudget)
	if err != nil {
		return err
	}
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		err := f.update(ctx, store, objectstore.KindBudget, obj.Name, func(obj objectstore.Object) (any, bool, error) {
			shares, err := placer.DecodeShares(obj)
			return shares.WithoutZone(f.Zone), shares.HasZone(f.Zone), err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// update removes the zone from one object, and adds the object to Changed if it
// contained the zone. The function without returns the object's value without the
// zone, and whether the object contains the zone.
func (f *forgetResult) update(ctx context.Context, store objectstore.Store, kind objectstore.Kind, name string, without func(objectstore.Object) (value any, held bool, err error)) error {
	changed := false
	_, err := objectstore.Update(ctx, store, kind, name, objectstore.Edit{
		Apply: func(obj objectstore.Object) (json.RawMessage, error) {
			value, _, err := without(obj)
			if err != nil {
				return nil, err
			}
			changed = true
			return json.Marshal(value)
		},
		Applied: func(obj objectstore.Object) bool {
			_, held, err := without(obj)
			return err == nil && !held
		},
	})
	if err == nil && changed {
		f.Changed = append(f.Changed, fmt.Sprintf("%s %s", kind, name))
	}
	return err
}
