package ctl

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// Status prints which versions are in force where.
type Status struct {
	*Globals `no-flag:"true"`
}

// statusReport is the output of Status.
type statusReport struct {
	Services []serviceStatus  `json:"services"`
	Zones    []replica.Status `json:"zones"`
}

// serviceStatus is one service across all zones. Zones that are cut off from
// the platform cannot say what is in force in them.
type serviceStatus struct {
	Service string `json:"service"`
	Stored  uint64 `json:"stored"` // version in the object API
	Deleted bool   `json:"deleted,omitempty"`
	// InForce counts the instances that hold the stored version.
	InForce   int `json:"in_force"`
	Instances int `json:"instances"`
}

// Execute implements flags.Commander.
func (c *Status) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	store := c.store()
	services, err := store.List(ctx, platform.KindService)
	if err != nil {
		return err
	}
	zones, err := store.List(ctx, platform.KindStatus)
	if err != nil {
		return err
	}
	report, err := newStatusReport(services, zones)
	if err != nil {
		return err
	}
	return c.print(report, report.text())
}

func newStatusReport(services, zones platform.List) (statusReport, error) {
	report := statusReport{Services: []serviceStatus{}, Zones: []replica.Status{}}
	for _, obj := range zones.Objects {
		var st replica.Status
		if err := json.Unmarshal(obj.Value, &st); err != nil {
			return report, fmt.Errorf("ctl: status object %s: %w", obj.Name, err)
		}
		report.Zones = append(report.Zones, st)
	}
	slices.SortFunc(report.Zones, func(a, b replica.Status) int { return strings.Compare(a.Zone, b.Zone) })
	for _, obj := range services.Objects {
		report.Services = append(report.Services, report.service(obj))
	}
	slices.SortFunc(report.Services, func(a, b serviceStatus) int { return strings.Compare(a.Service, b.Service) })
	return report, nil
}

func (r statusReport) service(obj platform.Object) serviceStatus {
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
		fmt.Fprintf(&b, "zone %s: read by %s, %d of %d instances up to date\n", z.Zone, z.Reader, z.InForce, z.Instances)
		for _, name := range z.Lagging {
			fmt.Fprintf(&b, "  lagging: %s\n", name)
		}
		for _, rej := range z.Rejected {
			fmt.Fprintf(&b, "  service %s: version %d failed its check: line %d, field %s: %s\n", rej.Service, rej.Version, rej.Line, rej.Field, rej.Want)
		}
	}
	return strings.TrimRight(b.String(), "\n")
}
