package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Errors of operations on the record of home zones.
var (
	ErrLastHomeZone = errors.New("placement: the model has no other home zone")
	ErrSuperseded   = errors.New("placement: superseded by a later owner of the zone")
)

// HomeZone is a home zone of a model: a zone that has to keep a ready replica of
// it.
type HomeZone struct {
	Zone string `json:"zone"`
	// Lost is set if the zone lost its replicas and cannot restore one.
	Lost bool `json:"lost,omitempty"`
}

// HomeZones is one shard of the record of home zones, stored as an object of
// objectstore.KindHomeZones. A zone writes only its own entries, by conditional
// update: it adds itself once a replica is ready, and removes itself only while
// another home zone remains; only after that may it unload its last replica.
// The updates are serialised, so the last two home zones cannot both remove
// themselves.
type HomeZones struct {
	// Owners holds, by zone, the fencing token of its placement lease.
	Owners map[string]uint64     `json:"owners"`
	Models map[string][]HomeZone `json:"models"`
}

// ShardName returns the name of the object that records the home zones of a
// model, given the number of shards n.
func ShardName(model string, n uint32) string {
	h := fnv.New32a()
	h.Write([]byte(model))
	return fmt.Sprintf("homes-%02d", h.Sum32()%n)
}

// DecodeHomeZones decodes a shard from JSON.
func DecodeHomeZones(value []byte) (HomeZones, error) {
	var h HomeZones
	if err := json.Unmarshal(value, &h); err != nil {
		return HomeZones{}, fmt.Errorf("placement: decoding home zones: %w", err)
	}
	return h, nil
}

// Encode returns the JSON encoding of the shard.
func (h HomeZones) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("placement: encoding home zones: %w", err)
	}
	return value, nil
}

// HasHome reports whether a zone is recorded as a home zone of a model, lost or
// not.
func (h HomeZones) HasHome(model, zone string) bool {
	return slices.ContainsFunc(h.Models[model], func(home HomeZone) bool { return home.Zone == zone })
}

// CountElsewhere returns the number of home zones of a model, other than the
// given zone, that are not lost and that the callback reports alive.
func (h HomeZones) CountElsewhere(model, zone string, alive func(zone string) bool) int {
	n := 0
	for _, home := range h.Models[model] {
		if home.Zone != zone && !home.Lost && alive(home.Zone) {
			n++
		}
	}
	return n
}

// isLost reports whether a zone is recorded as a lost home zone of a model.
func (h HomeZones) isLost(model, zone string) bool {
	return slices.Contains(h.Models[model], HomeZone{Zone: zone, Lost: true})
}

// Designate returns a copy of the shard with a zone as a home zone of a model.
func (h HomeZones) Designate(model, zone string) HomeZones {
	return h.withHomes(model, append(h.homesWithout(model, zone), HomeZone{Zone: zone}))
}

// MarkLost returns a copy of the shard with a home zone of a model marked as
// lost, or the shard itself if the zone is not a home zone of it.
func (h HomeZones) MarkLost(model, zone string) HomeZones {
	if !h.HasHome(model, zone) {
		return h
	}
	return h.withHomes(model, append(h.homesWithout(model, zone), HomeZone{Zone: zone, Lost: true}))
}

// RemoveHome returns a copy of the shard in which a zone is no longer a home
// zone of a model. It fails with ErrLastHomeZone if CountElsewhere counts no
// other home zone.
func (h HomeZones) RemoveHome(model, zone string, alive func(zone string) bool) (HomeZones, error) {
	if h.CountElsewhere(model, zone, alive) == 0 {
		return h, fmt.Errorf("model %q, zone %q: %w", model, zone, ErrLastHomeZone)
	}
	return h.withHomes(model, h.homesWithout(model, zone)), nil
}

// RemoveDeleted returns a copy of the shard in which a zone is no longer a home
// zone of a deleted model, even if it was the last one.
func (h HomeZones) RemoveDeleted(model, zone string) HomeZones {
	next := h.withHomes(model, h.homesWithout(model, zone))
	if len(next.Models[model]) == 0 {
		delete(next.Models, model)
	}
	return next
}

// homesWithout returns the home zones of a model other than the given one.
func (h HomeZones) homesWithout(model, zone string) []HomeZone {
	return slices.DeleteFunc(slices.Clone(h.Models[model]), func(home HomeZone) bool { return home.Zone == zone })
}

// withHomes returns a copy of the shard with the given home zones of a model.
func (h HomeZones) withHomes(model string, homes []HomeZone) HomeZones {
	models := maps.Clone(h.Models)
	if models == nil {
		models = map[string][]HomeZone{}
	}
	models[model] = homes
	return HomeZones{Owners: h.Owners, Models: models}
}

// withOwner returns a copy of the shard in which a zone has the given owner.
func (h HomeZones) withOwner(zone string, owner uint64) HomeZones {
	owners := maps.Clone(h.Owners)
	if owners == nil {
		owners = map[string]uint64{}
	}
	owners[zone] = owner
	return HomeZones{Owners: owners, Models: h.Models}
}
