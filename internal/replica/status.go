package replica

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Status says which documents are in force in a zone. The zone's reader keeps
// it in an object of platform.KindStatus, named by the zone.
type Status struct {
	Zone     string            `json:"zone"`
	Reader   string            `json:"reader"` // instance that wrote it
	Versions map[string]uint64 `json:"versions"`
	// InForce counts the instances of the zone that hold all these versions,
	// of Instances; Lagging names the others.
	InForce   int        `json:"in_force"`
	Instances int        `json:"instances"`
	Lagging   []string   `json:"lagging,omitempty"`
	Rejected  []Rejected `json:"rejected,omitempty"`
}

// Rejected is a document that failed its check. Former is the document that
// stays in force; it is kept here because no instance has a disk.
type Rejected struct {
	Service string           `json:"service"`
	Version uint64           `json:"version"`
	Line    int              `json:"line"`
	Field   string           `json:"field"`
	Want    string           `json:"want"`
	Former  *config.Accepted `json:"former,omitempty"`
}

// versionsKept is how long what a peer said of its versions counts.
const versionsKept = 10 * time.Second

func (s *State) noteVersions(now time.Duration, self *peerpb.Instance, k *peerpb.Knowledge) {
	if self.GetZone() == s.self.Zone && self != nil {
		s.peers[self.Name] = peerVersions{incarnation: self.Incarnation, hash: k.GetHash(), at: now}
	}
}

// HeardPeer returns when an instance of this zone last told of its documents.
func (s *State) HeardPeer(name string) (time.Duration, bool) {
	p, ok := s.peers[name]
	return p.at, ok
}

// Status returns what is in force in the zone, as far as this instance knows.
func (s *State) Status(now time.Duration) Status {
	st := Status{Zone: s.self.Zone, Reader: s.self.Name, Versions: s.set.Versions(), InForce: 1, Instances: 1}
	for _, p := range s.view.Peers() {
		if p.Zone != s.self.Zone {
			continue
		}
		st.Instances++
		said, ok := s.peers[p.Name]
		if ok && said.incarnation == p.Incarnation && said.hash == s.set.Hash() && now-said.at <= versionsKept {
			st.InForce++
			continue
		}
		st.Lagging = append(st.Lagging, p.Name)
	}
	for _, r := range s.set.Rejected() {
		st.Rejected = append(st.Rejected, Rejected{
			Service: r.Service, Version: r.Version, Line: r.Err.Line, Field: r.Err.Field, Want: r.Err.Want,
			Former: s.former(r.Service),
		})
	}
	return st
}

func (s *State) former(service string) *config.Accepted {
	for _, a := range s.set.Accepted() {
		if a.Service == service {
			return &a
		}
	}
	return nil
}

// Orphans returns the services of which only a version that failed its check
// is known.
func (s *State) Orphans() []string {
	var names []string
	versions := s.set.Versions()
	for _, r := range s.set.Rejected() {
		if versions[r.Service] == 0 {
			names = append(names, r.Service)
		}
	}
	return names
}

// FormersRead takes the status objects of all zones: a newcomer finds in them
// the documents that stay in force behind failed ones.
func (s *State) FormersRead(list platform.List) (Change, error) {
	var c Change
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		var st Status
		if err := json.Unmarshal(obj.Value, &st); err != nil {
			return c, fmt.Errorf("replica: status object %s: %w", obj.Name, err)
		}
		for _, r := range st.Rejected {
			if r.Former != nil && s.set.OfferAccepted(*r.Former) == config.ResultAccepted {
				c.Accepted = append(c.Accepted, *r.Former)
			}
		}
	}
	return c, nil
}
