package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/lease"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Status prints which versions of the documents are in force in how many
// instances, and the holders of leases and shares.
type Status struct {
	*Globals `no-flag:"true"`
}

// statusReport is the output of Status.
type statusReport struct {
	Services []serviceStatus  `json:"services"`
	Zones    []docsync.Status `json:"zones"`
	Leases   []leaseStatus    `json:"duties"`
	Shares   []shareStatus    `json:"shares"`
}

// leaseStatus names the instance that held a lease when the lease was last
// written. FencingToken is the version of the lease object.
type leaseStatus struct {
	Lease        string `json:"lease"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	Released     bool   `json:"released,omitempty"`
}

// shareStatus is the share of an organisation's limit that a zone claims, in
// percent.
type shareStatus struct {
	Organisation string  `json:"organisation"`
	Zone         string  `json:"zone"`
	RatePercent  float64 `json:"rate_percent"`
	BurstPercent float64 `json:"burst_percent"`
}

// serviceStatus is the status of one service across all zones. A zone that is
// partitioned from the platform cannot report which version is in force there.
type serviceStatus struct {
	Service string `json:"service"`
	Stored  uint64 `json:"stored"` // version in the object API
	Deleted bool   `json:"deleted,omitempty"`
	// InForce is the number of instances that use the stored version.
	InForce   int `json:"in_force"`
	Instances int `json:"instances"`
}

// Execute implements flags.Commander.
func (c *Status) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	services, err := store.List(ctx, objectstore.KindService)
	if err != nil {
		return err
	}
	zones, err := store.List(ctx, objectstore.KindStatus)
	if err != nil {
		return err
	}
	report, err := newStatusReport(services, zones)
	if err != nil {
		return err
	}
	if err := report.addLeases(ctx, store); err != nil {
		return err
	}
	if err := report.addShares(ctx, store); err != nil {
		return err
	}
	return c.print(report, report.text())
}

// addLeases adds the leases in the platform, in order of their names.
func (r *statusReport) addLeases(ctx context.Context, store objectstore.Store) error {
	list, err := store.List(ctx, objectstore.KindLease)
	if err != nil {
		return err
	}
	for _, obj := range list.Objects {
		v, err := lease.Decode(obj)
		if err != nil {
			return err
		}
		r.Leases = append(r.Leases, leaseStatus{Lease: obj.Name, Holder: v.Holder, FencingToken: obj.Version, Released: v.Released})
	}
	slices.SortFunc(r.Leases, func(a, b leaseStatus) int { return strings.Compare(a.Lease, b.Lease) })
	return nil
}

// ppmPerPercent is the number of parts per million in one percent.
const ppmPerPercent = limit.PPM / 100

// addShares adds the zones' claims on the limits, by zone and organisation.
func (r *statusReport) addShares(ctx context.Context, store objectstore.Store) error {
	obj, err := store.Get(ctx, objectstore.KindShare, limit.ClaimsName())
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	claims, err := limit.DecodeClaims(obj)
	if err != nil {
		return err
	}
	for _, zone := range slices.Sorted(maps.Keys(claims.Zones)) {
		shares := claims.Zones[zone].Shares
		for _, org := range slices.Sorted(maps.Keys(shares)) {
			r.Shares = append(r.Shares, shareStatus{
				Organisation: org, Zone: zone,
				RatePercent:  float64(shares[org].RatePPM) / ppmPerPercent,
				BurstPercent: float64(shares[org].BurstPPM) / ppmPerPercent,
			})
		}
	}
	return nil
}

// newStatusReport returns a report on the documents in services and the status
// objects in zones, without leases and shares.
func newStatusReport(services, zones objectstore.List) (statusReport, error) {
	report := statusReport{Services: []serviceStatus{}, Zones: []docsync.Status{}}
	for _, obj := range zones.Objects {
		var st docsync.Status
		if err := json.Unmarshal(obj.Value, &st); err != nil {
			return report, fmt.Errorf("ctl: status object %s: %w", obj.Name, err)
		}
		report.Zones = append(report.Zones, st)
	}
	slices.SortFunc(report.Zones, func(a, b docsync.Status) int { return strings.Compare(a.Zone, b.Zone) })
	for _, obj := range services.Objects {
		report.Services = append(report.Services, report.service(obj))
	}
	slices.SortFunc(report.Services, func(a, b serviceStatus) int { return strings.Compare(a.Service, b.Service) })
	return report, nil
}

// service returns the status of one document. The report must contain all zones.
func (r statusReport) service(obj objectstore.Object) serviceStatus {
	s := serviceStatus{Service: obj.Name, Stored: obj.Version, Deleted: obj.Deleted}
	for _, z := range r.Zones {
		s.Instances += z.Instances
		if z.Versions[obj.Name] == obj.Version {
			s.InForce += z.InForce
		}
	}
	return s
}

func (r statusReport) text() string {
	var b strings.Builder
	for _, s := range r.Services {
		deleted := ""
		if s.Deleted {
			deleted = " (deleted)"
		}
		fmt.Fprintf(&b, "service %s: version %d%s in force in %d of %d instances\n", s.Service, s.Stored, deleted, s.InForce, s.Instances)
	}
	for _, z := range r.Zones {
		fmt.Fprintf(&b, "zone %s: read by %s, %d of %d instances up to date\n", z.Zone, z.ZoneLeader, z.InForce, z.Instances)
		for _, name := range z.Lagging {
			fmt.Fprintf(&b, "  lagging: %s\n", name)
		}
		for _, rej := range z.Rejected {
			fmt.Fprintf(&b, "  service %s: version %d failed its check: line %d, field %s: %s\n", rej.Service, rej.Version, rej.Line, rej.Field, rej.Message)
		}
	}
	for _, l := range r.Leases {
		fmt.Fprintf(&b, "duty %s: %s, fence %d\n", l.Lease, l.Holder, l.FencingToken)
	}
	for _, sh := range r.Shares {
		fmt.Fprintf(&b, "limit %s: zone %s claims %.1f%% of the rate, %.1f%% of the burst\n", sh.Organisation, sh.Zone, sh.RatePercent, sh.BurstPercent)
	}
	return strings.TrimRight(b.String(), "\n")
}
