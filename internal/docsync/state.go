// Package docsync keeps one instance's copy of the service documents and of the
// instance list up to date. Its sources are the platform's object API, which
// mainly the zone leader reads, and exchanges with peers; one reachable peer is
// enough to obtain everything. It provides immutable snapshots to the rest of
// the instance, and the zone leader publishes the zone's status to the platform.
//
// State holds the logic without I/O; Controller is the controller that performs the
// I/O and updates the State.
package docsync

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/member"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
)

// State holds one instance's copy of the documents and its view of the other
// instances. Times are on its monotonic clock. It is not safe for concurrent use.
//
// Invariants: set holds all documents up to revision complete, and at confirmedAt
// the object API held no newer revision.
type State struct {
	self            objectstore.Instance
	set             *config.Set
	view            *member.View
	complete        uint64
	confirmed       bool
	confirmedAt     time.Duration
	peerReports     map[string]peerReport
	reportedChanges uint64 // value of view.ChangeCount at the last call of membersChanged
}

// peerReport is the last information from a peer of this zone about its
// documents.
type peerReport struct {
	incarnation string
	hash        uint64
	receivedAt  time.Duration
}

// NewState returns a state without documents or other instances.
func NewState(self objectstore.Instance) *State {
	return &State{self: self, set: config.NewSet(), view: member.NewView(self.Name), peerReports: map[string]peerReport{}}
}

// Change describes what an update of the State changed.
type Change struct {
	// Accepted holds the documents that came into force.
	Accepted []config.Accepted
	// AnyRejected is set if a document failed validation.
	AnyRejected bool
	// MembersChanged is set if the view of instances has changed.
	MembersChanged bool
}

// ApplyDocuments applies the documents returned by a call to the object API that
// was sent at sentAt.
func (s *State) ApplyDocuments(sentAt time.Duration, list objectstore.List) Change {
	var c Change
	for _, obj := range list.Objects {
		switch s.set.Offer(obj) {
		case config.ResultAccepted:
			c.Accepted = append(c.Accepted, config.Accepted{Service: obj.Name, Version: obj.Version, Deleted: obj.Deleted, Raw: obj.Value})
		case config.ResultRejected:
			c.AnyRejected = true
		}
	}
	s.confirm(list.Revision, sentAt)
	return c
}

// confirm records that all documents up to revision are known and that no newer
// revision existed at the given time.
func (s *State) confirm(revision uint64, at time.Duration) {
	s.complete = max(s.complete, revision)
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed, s.confirmedAt = true, at
	}
}

// membersChanged reports whether the view has changed since the previous call of
// membersChanged.
func (s *State) membersChanged() bool {
	changed := s.view.ChangeCount() != s.reportedChanges
	s.reportedChanges = s.view.ChangeCount()
	return changed
}

// ApplyInstances applies the platform's instance list, returned by a call that was
// sent at sentAt.
func (s *State) ApplyInstances(now, sentAt time.Duration, list []objectstore.Instance) Change {
	s.view.ObserveList(now, sentAt, list)
	return Change{MembersChanged: s.membersChanged()}
}

// RecordCallFailure records that a call to the named peer got no reply.
func (s *State) RecordCallFailure(now time.Duration, name string) Change {
	s.view.ObserveCall(now, name, false)
	return Change{MembersChanged: s.membersChanged()}
}

// RecordUpstreamLeaving records that the upstream at address has reported that it
// is leaving.
func (s *State) RecordUpstreamLeaving(now time.Duration, address string) Change {
	s.view.ObserveUpstreamLeaving(now, address)
	return Change{MembersChanged: s.membersChanged()}
}

// SetSelf replaces the entry of this instance; used when it starts to leave.
func (s *State) SetSelf(self objectstore.Instance) { s.self = self }

// Age returns the time since the documents were last known to be complete, and
// false if they never were.
func (s *State) Age(now time.Duration) (time.Duration, bool) {
	return now - s.confirmedAt, s.confirmed
}

// CompleteRevision returns the revision up to which all documents are known.
func (s *State) CompleteRevision() uint64 { return s.complete }

// NewRequest returns the first request of an exchange. It describes this instance's
// data but carries no documents.
func (s *State) NewRequest(now time.Duration) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{Self: instanceToWire(s.self), Knowledge: s.knowledge(now)}
}

// NewPushRequest returns a request that carries documents which the peer may lack.
func (s *State) NewPushRequest(now time.Duration, docs []config.Accepted) *peerpb.ExchangeRequest {
	req := s.NewRequest(now)
	req.Documents = documentsToWire(docs)
	return req
}

// HandleRequest applies a peer's request and returns the reply. It does not use
// the age of the documents that the request states, because the request may have
// been delayed by any time.
func (s *State) HandleRequest(now time.Duration, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, Change) {
	c := Change{Accepted: s.offerAll(req.Documents)}
	s.observePeer(now, req.Self)
	c.MembersChanged = s.membersChanged()
	s.recordPeerReport(now, req.Self, req.Knowledge)
	reply := &peerpb.ExchangeReply{Self: instanceToWire(s.self), Knowledge: s.knowledge(now)}
	if req.WithVersions {
		reply.Versions = s.set.Versions()
		reply.Documents = documentsToWire(s.set.NewerThan(req.Versions))
	}
	if len(req.InstanceBuckets) > 0 && s.hasNewerList(now, req.Knowledge) {
		buckets, instances := s.view.List().DifferingBuckets(req.InstanceBuckets)
		reply.ReplacedBuckets, reply.Instances = buckets, instancesToWire(instances)
	}
	return reply, c
}

// hasNewerList reports whether this instance's list differs from the peer's and was
// read from the platform later.
func (s *State) hasNewerList(now time.Duration, peer *peerpb.Knowledge) bool {
	list := s.view.List()
	if !list.Known || list.Hash == peer.GetInstancesHash() {
		return false
	}
	return peer.GetInstancesAgeMs() < 0 || now-list.ReadAt < milliseconds(peer.GetInstancesAgeMs())
}

// HandleReply applies the reply to req, which was sent at sentAt. It returns the
// next request of the exchange, or nil if both instances hold the same data.
func (s *State) HandleReply(now, sentAt time.Duration, req *peerpb.ExchangeRequest, reply *peerpb.ExchangeReply) (*peerpb.ExchangeRequest, Change) {
	c := Change{Accepted: s.offerAll(reply.Documents)}
	s.observePeer(now, reply.Self)
	s.recordPeerReport(now, reply.Self, reply.Knowledge)
	s.mergeList(now, sentAt, reply)
	c.MembersChanged = s.membersChanged()
	if req.WithVersions || reply.Knowledge.GetHash() == s.set.Hash() {
		s.mergeKnowledge(sentAt, reply.Knowledge)
	}
	next := s.nextDocumentRequest(now, req, reply)
	if len(req.InstanceBuckets) == 0 && s.needsList(sentAt, reply.Knowledge) {
		if next == nil {
			next = s.NewRequest(now)
		}
		buckets := s.view.List().BucketHashes
		next.InstanceBuckets = buckets[:]
	}
	return next, c
}

// nextDocumentRequest returns the next request that the exchange of documents
// needs, or nil if it needs none.
func (s *State) nextDocumentRequest(now time.Duration, req *peerpb.ExchangeRequest, reply *peerpb.ExchangeReply) *peerpb.ExchangeRequest {
	if !req.WithVersions {
		if reply.Knowledge.GetHash() == s.set.Hash() {
			return nil
		}
		next := s.NewRequest(now)
		next.Versions, next.WithVersions = s.set.Versions(), true
		return next
	}
	if lacking := s.set.NewerThan(reply.Versions); len(lacking) > 0 {
		return s.NewPushRequest(now, lacking)
	}
	return nil
}

// needsList reports whether the peer's list differs from this instance's and was
// read from the platform later.
func (s *State) needsList(sentAt time.Duration, peer *peerpb.Knowledge) bool {
	list := s.view.List()
	if peer.GetInstancesAgeMs() < 0 || list.Known && list.Hash == peer.GetInstancesHash() {
		return false
	}
	return !list.Known || sentAt-milliseconds(peer.GetInstancesAgeMs()) > list.ReadAt
}

// mergeKnowledge adopts the revision and age up to which a peer's documents are
// complete. It may be called only if the set holds all versions that the peer has
// accepted.
func (s *State) mergeKnowledge(sentAt time.Duration, k *peerpb.Knowledge) {
	if k.GetAgeMs() >= 0 {
		s.confirm(k.GetCompleteThrough(), sentAt-milliseconds(k.GetAgeMs()))
	}
}

// mergeList applies the changed buckets of a peer's instance list, or records that
// the peer has read the same list.
func (s *State) mergeList(now, sentAt time.Duration, reply *peerpb.ExchangeReply) {
	k := reply.Knowledge
	if k.GetInstancesAgeMs() < 0 {
		return
	}
	readAt := sentAt - milliseconds(k.GetInstancesAgeMs())
	switch {
	case len(reply.ReplacedBuckets) > 0:
		list := s.view.List().ReplaceBuckets(reply.ReplacedBuckets, instancesFromWire(reply.Instances))
		// If this instance has read another list since the request, the merged
		// hash differs; the next exchange requests the buckets again.
		if member.HashOf(list) == k.GetInstancesHash() {
			s.view.ObserveList(now, readAt, list)
		}
	case k.GetInstancesHash() == s.view.List().Hash:
		s.view.ObserveSameList(now, readAt)
	}
}

// observePeer updates the view by the entry that a peer sent of itself.
func (s *State) observePeer(now time.Duration, self *peerpb.Instance) {
	if self != nil {
		s.view.ObservePeer(now, instanceFromWire(self))
	}
}

// offerAll offers documents received from a peer to the set and returns those that
// came into force.
func (s *State) offerAll(docs []*peerpb.Document) []config.Accepted {
	var accepted []config.Accepted
	for _, d := range docs {
		a := config.Accepted{Service: d.Service, Version: d.Version, Deleted: d.Deleted, Raw: d.Raw}
		if s.set.OfferAccepted(a) == config.ResultAccepted {
			accepted = append(accepted, a)
		}
	}
	return accepted
}

// unknownAgeMS is the age that a message states for data not yet received.
const unknownAgeMS = -1

// knowledge returns the hashes, revision and ages that describe this instance's
// data to a peer.
func (s *State) knowledge(now time.Duration) *peerpb.Knowledge {
	k := &peerpb.Knowledge{Hash: s.set.Hash(), CompleteThrough: s.complete, AgeMs: unknownAgeMS, InstancesAgeMs: unknownAgeMS}
	if s.confirmed {
		k.AgeMs = ceilMS(now - s.confirmedAt)
	}
	if list := s.view.List(); list.Known {
		k.InstancesHash = list.Hash
		k.InstancesAgeMs = ceilMS(now - list.ReadAt)
	}
	return k
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ceilMS converts d to milliseconds and rounds up, so that a stated age is never
// lower than the actual one.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
