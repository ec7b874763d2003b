package limit

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Claims is the value of the stored object that divides the limits of all
// organisations between the zones. Only the zone itself changes its entry, and
// the entry grows only by what is unclaimed.
type Claims struct {
	Zones map[string]ZoneClaim `json:"zones"`
}

// ZoneClaim is the entry of one zone in Claims.
type ZoneClaim struct {
	Fence          uint64           `json:"fence"` // of the zone leader that wrote the entry
	Shares         Shares           `json:"shares"`
	DemandPPM      map[string]int64 `json:"wants,omitempty"` // demand by organisation, parts per million of the rate
	LargeChargePPM map[string]int64 `json:"needs,omitempty"` // room for one large charge by organisation, parts per million of the burst
}

// DecodeClaims decodes the claims object. It returns empty claims for an object
// that does not exist.
func DecodeClaims(obj objectstore.Object) (Claims, error) {
	c := Claims{}
	if err := decodeObject(obj, &c); err != nil {
		return Claims{}, err
	}
	return c, nil
}

func decodeObject(obj objectstore.Object, into any) error {
	if obj.Version == 0 || obj.Deleted {
		return nil
	}
	if err := json.Unmarshal(obj.Value, into); err != nil {
		return fmt.Errorf("limit: decoding object %s %s: %w", obj.Kind, obj.Name, err)
	}
	return nil
}

// Unclaimed returns the share of an organisation's limit that no zone claims.
func (c Claims) Unclaimed(org string) Share {
	rest := Share{PPM, PPM}
	for _, z := range c.Zones {
		rest = rest.sub(z.Shares[org])
	}
	return rest.max(Share{})
}

// Target returns the share that a zone should claim. Shares follow demand, of
// which a third, plus uniformDemandPPM, counts as spread evenly over the zones.
// A zone that reports a large charge gets burst for it in addition.
func (c Claims) Target(zone, org string) Share {
	zones, totalDemandPPM, totalLargeChargePPM := int64(len(c.Zones)), int64(0), int64(0)
	for _, z := range c.Zones {
		totalDemandPPM += z.DemandPPM[org]
		totalLargeChargePPM += z.LargeChargePPM[org]
	}
	if zones == 0 {
		return Share{}
	}
	uniform := (totalDemandPPM/2+uniformDemandPPM)/zones + 1
	weight, totalWeight := c.Zones[zone].DemandPPM[org]+uniform, totalDemandPPM+zones*uniform
	const maxLargeChargePPM = PPM * 9 / 10
	largeChargePPM := c.Zones[zone].LargeChargePPM[org]
	if totalLargeChargePPM > maxLargeChargePPM {
		largeChargePPM, totalLargeChargePPM = mulDiv(largeChargePPM, maxLargeChargePPM, totalLargeChargePPM), maxLargeChargePPM
	}
	return Share{
		RatePPM:  mulDiv(PPM, weight, totalWeight),
		BurstPPM: largeChargePPM + mulDiv(PPM-totalLargeChargePPM, weight, totalWeight),
	}
}

// WithoutZone returns the claims without a zone's entry. Call it only for a zone of
// which every process has ended for good.
func (c Claims) WithoutZone(zone string) Claims {
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

// Ledger is the value of a zone's stored object: the base shares of its
// instances. It is written when members or their base shares change, so that a
// new zone leader knows them.
type Ledger struct {
	Fence   uint64            `json:"fence"`
	Members map[string]Member `json:"members"` // by incarnation
}

// Member is the ledger entry of one incarnation of an instance.
type Member struct {
	Instance string `json:"instance"`
	Base     Shares `json:"base"`
}

// DecodeLedger decodes a ledger object. It returns an empty ledger for an object
// that does not exist.
func DecodeLedger(obj objectstore.Object) (Ledger, error) {
	l := Ledger{}
	if err := decodeObject(obj, &l); err != nil {
		return Ledger{}, err
	}
	return l, nil
}
