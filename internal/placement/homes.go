package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Errors of the record of homes.
var (
	ErrLastHome   = errors.New("placement: the model has no other home")
	ErrSuperseded = errors.New("placement: a later owner of the zone has taken over")
)

// Home is a zone that is bound to keep a ready replica of a model.
type Home struct {
	Zone string `json:"zone"`
	// Lost says that the zone lost its replicas and cannot restore one.
	Lost bool `json:"lost,omitempty"`
}

// Homes is one shard of the record, an object of platform.KindHomes. A zone writes only its own entries, by
// conditional update: it adds itself once a replica is ready, and removes
// itself only while another home remains; only then may it unload its last
// replica. The updates are serial, so the last two homes cannot both leave.
type Homes struct {
	// Owners holds, for each zone, the fencing number of its placement lease.
	Owners map[string]uint64 `json:"owners"`
	Models map[string][]Home `json:"models"`
}

// ShardName returns the name of the object that holds a model, of n shards.
func ShardName(model string, n uint32) string {
	h := fnv.New32a()
	h.Write([]byte(model))
	return fmt.Sprintf("homes-%02d", h.Sum32()%n)
}

// DecodeHomes reads a shard.
func DecodeHomes(value []byte) (Homes, error) {
	var h Homes
	if err := json.Unmarshal(value, &h); err != nil {
		return Homes{}, fmt.Errorf("placement: homes: %w", err)
	}
	return h, nil
}

// Encode returns the JSON value of the shard.
func (h Homes) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("placement: homes: %w", err)
	}
	return value, nil
}

// Has says whether a zone is recorded as a home of a model, lost or not.
func (h Homes) Has(model, zone string) bool {
	return slices.ContainsFunc(h.Models[model], func(x Home) bool { return x.Zone == zone })
}

// Elsewhere counts the homes of a model in other zones that are not lost and
// that the caller holds alive.
func (h Homes) Elsewhere(model, zone string, alive func(zone string) bool) int {
	n := 0
	for _, x := range h.Models[model] {
		if x.Zone != zone && !x.Lost && alive(x.Zone) {
			n++
		}
	}
	return n
}

// lost says whether a zone's home is recorded as lost.
func (h Homes) lost(model, zone string) bool {
	return slices.Contains(h.Models[model], Home{Zone: zone, Lost: true})
}

// Designate returns the shard with a zone as a home of a model.
func (h Homes) Designate(model, zone string) Homes {
	return h.with(model, append(h.without(model, zone), Home{Zone: zone}))
}

// MarkLost returns the shard with a zone's home marked as lost.
func (h Homes) MarkLost(model, zone string) Homes {
	if !h.Has(model, zone) {
		return h
	}
	return h.with(model, append(h.without(model, zone), Home{Zone: zone, Lost: true}))
}

// Retire returns the shard without a zone's home. It fails with ErrLastHome
// if no other home remains that is not lost and that the caller holds alive.
func (h Homes) Retire(model, zone string, alive func(zone string) bool) (Homes, error) {
	if h.Elsewhere(model, zone, alive) == 0 {
		return h, fmt.Errorf("model %q, zone %q: %w", model, zone, ErrLastHome)
	}
	return h.with(model, h.without(model, zone)), nil
}

// Forget returns the shard without a zone's home of a model that was deleted.
func (h Homes) Forget(model, zone string) Homes {
	next := h.with(model, h.without(model, zone))
	if len(next.Models[model]) == 0 {
		delete(next.Models, model)
	}
	return next
}

func (h Homes) without(model, zone string) []Home {
	return slices.DeleteFunc(slices.Clone(h.Models[model]), func(x Home) bool { return x.Zone == zone })
}

func (h Homes) with(model string, homes []Home) Homes {
	models := maps.Clone(h.Models)
	if models == nil {
		models = map[string][]Home{}
	}
	models[model] = homes
	return Homes{Owners: h.Owners, Models: models}
}

// own returns the shard with a zone's owner.
func (h Homes) own(zone string, owner uint64) Homes {
	owners := maps.Clone(h.Owners)
	if owners == nil {
		owners = map[string]uint64{}
	}
	owners[zone] = owner
	return Homes{Owners: owners, Models: h.Models}
}
