package limit

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Claims is the value of the object that divides the limits of all
// organisations between the zones. A zone's entry is changed by that zone
// alone, and grows only by what no zone claims.
type Claims struct {
	Zones map[string]ZoneClaim `json:"zones"`
}

// ZoneClaim is the entry of one zone.
type ZoneClaim struct {
	Fence  uint64           `json:"fence"` // of the duty holder that wrote it
	Shares Shares           `json:"shares"`
	Wants  map[string]int64 `json:"wants,omitempty"` // demand, parts per million of the rate
	Needs  map[string]int64 `json:"needs,omitempty"` // parts per million of the burst for one large charge
}

// DecodeClaims reads the claims object; one that does not exist is empty.
func DecodeClaims(obj platform.Object) (Claims, error) {
	c := Claims{}
	if err := decodeObject(obj, &c); err != nil {
		return Claims{}, err
	}
	return c, nil
}

func decodeObject(obj platform.Object, into any) error {
	if obj.Version == 0 || obj.Deleted {
		return nil
	}
	if err := json.Unmarshal(obj.Value, into); err != nil {
		return fmt.Errorf("limit: object %s %s: %w", obj.Kind, obj.Name, err)
	}
	return nil
}

// Unclaimed returns what no zone claims of an organisation's limit.
func (c Claims) Unclaimed(org string) Share {
	rest := Share{PPM, PPM}
	for _, z := range c.Zones {
		rest = rest.sub(z.Shares[org])
	}
	return rest.max(Share{})
}

// Target returns the share that a zone should claim: by demand, with a
// third of it and evenDemand spread evenly, and room for one large charge where
// a zone asks for it.
func (c Claims) Target(zone, org string) Share {
	zones, wants, needs := int64(len(c.Zones)), int64(0), int64(0)
	for _, z := range c.Zones {
		wants += z.Wants[org]
		needs += z.Needs[org]
	}
	if zones == 0 {
		return Share{}
	}
	uniform := (wants/2+uniformDemandPPM)/zones + 1
	weight, totalWeight := c.Zones[zone].Wants[org]+uniform, wants+zones*uniform
	const maxNeedsPPM = PPM * 9 / 10
	need := c.Zones[zone].Needs[org]
	if needs > maxNeedsPPM {
		need, needs = mulDiv(need, maxNeedsPPM, needs), maxNeedsPPM
	}
	return Share{
		RatePPM:  mulDiv(PPM, weight, totalWeight),
		BurstPPM: need + mulDiv(PPM-needs, weight, totalWeight),
	}
}

// Without returns the claims without a zone, for an operator who knows that
// every process of that zone has ended for good.
func (c Claims) Without(zone string) Claims {
	zones := maps.Clone(c.Zones)
	delete(zones, zone)
	return Claims{Zones: zones}
}

// with returns the claims with a zone's entry replaced.
func (c Claims) with(zone string, entry ZoneClaim) Claims {
	zones := maps.Clone(c.Zones)
	if zones == nil {
		zones = map[string]ZoneClaim{}
	}
	zones[zone] = entry
	return Claims{Zones: zones}
}

// Ledger is the value of a zone's object: the base shares of its instances.
// It changes with the membership, so a new duty holder knows them.
type Ledger struct {
	Fence   uint64            `json:"fence"`
	Members map[string]Member `json:"members"` // by incarnation
}

// Member is one incarnation of an instance.
type Member struct {
	Instance string `json:"instance"`
	Base     Shares `json:"base"`
}

// DecodeLedger reads a ledger object; one that does not exist is empty.
func DecodeLedger(obj platform.Object) (Ledger, error) {
	l := Ledger{}
	if err := decodeObject(obj, &l); err != nil {
		return Ledger{}, err
	}
	return l, nil
}
