package docsync

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
)

// Status describes which documents are in force in a zone. The zone leader writes
// it to an object of objectstore.KindStatus that is named after the zone.
type Status struct {
	Zone       string            `json:"zone"`
	ZoneLeader string            `json:"reader"` // instance that wrote it
	Versions   map[string]uint64 `json:"versions"`
	// InForce is the number of the zone's Instances that hold all these
	// versions; Lagging names the others.
	InForce   int        `json:"in_force"`
	Instances int        `json:"instances"`
	Lagging   []string   `json:"lagging,omitempty"`
	Rejected  []Rejected `json:"rejected,omitempty"`
}

// Rejected is a document that failed validation. LastAccepted is the last accepted
// version, which stays in force; it is stored here because no instance has a disk.
type Rejected struct {
	Service      string           `json:"service"`
	Version      uint64           `json:"version"`
	Line         int              `json:"line"`
	Field        string           `json:"field"`
	Message      string           `json:"want"`
	LastAccepted *config.Accepted `json:"former,omitempty"`
}

// peerReportTTL is the time for which a peer's report about its versions is valid.
const peerReportTTL = 10 * time.Second

// recordPeerReport stores the document hash that a peer of this zone has sent.
func (s *State) recordPeerReport(now time.Duration, self *peerpb.Instance, k *peerpb.Knowledge) {
	if self.GetZone() == s.self.Zone && self != nil {
		s.peerReports[self.Name] = peerReport{incarnation: self.Incarnation, hash: k.GetHash(), receivedAt: now}
	}
}

// LastPeerMessage returns the time of the last message from the named instance of
// this zone about its documents, and false if there was none.
func (s *State) LastPeerMessage(name string) (time.Duration, bool) {
	p, ok := s.peerReports[name]
	return p.receivedAt, ok
}

// Status returns the status of the zone as known to this instance.
func (s *State) Status(now time.Duration) Status {
	st := Status{Zone: s.self.Zone, ZoneLeader: s.self.Name, Versions: s.set.Versions(), InForce: 1, Instances: 1}
	for _, p := range s.view.Peers() {
		if p.Zone != s.self.Zone {
			continue
		}
		st.Instances++
		report, ok := s.peerReports[p.Name]
		if ok && report.incarnation == p.Incarnation && report.hash == s.set.Hash() && now-report.receivedAt <= peerReportTTL {
			st.InForce++
			continue
		}
		st.Lagging = append(st.Lagging, p.Name)
	}
	for _, r := range s.set.Rejected() {
		st.Rejected = append(st.Rejected, Rejected{
			Service: r.Service, Version: r.Version, Line: r.Err.Line, Field: r.Err.Field, Message: r.Err.Message,
			LastAccepted: s.lastAccepted(r.Service),
		})
	}
	return st
}

// lastAccepted returns the document of service that is in force, or nil.
func (s *State) lastAccepted(service string) *config.Accepted {
	for _, a := range s.set.Accepted() {
		if a.Service == service {
			return &a
		}
	}
	return nil
}

// ServicesWithoutAccepted returns the services of which only a version that
// failed validation is known.
func (s *State) ServicesWithoutAccepted() []string {
	var names []string
	versions := s.set.Versions()
	for _, r := range s.set.Rejected() {
		if versions[r.Service] == 0 {
			names = append(names, r.Service)
		}
	}
	return names
}

// StatusesRead applies the status objects of all zones. A new instance finds in
// them the last accepted versions of documents whose newest version was rejected.
func (s *State) StatusesRead(list objectstore.List) (Change, error) {
	var c Change
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		var st Status
		if err := json.Unmarshal(obj.Value, &st); err != nil {
			return c, fmt.Errorf("docsync: decoding status object %s: %w", obj.Name, err)
		}
		for _, r := range st.Rejected {
			if r.LastAccepted != nil && s.set.OfferAccepted(*r.LastAccepted) == config.ResultAccepted {
				c.Accepted = append(c.Accepted, *r.LastAccepted)
			}
		}
	}
	return c, nil
}
