// Package replica keeps one instance's copy of the documents and of the
// instance list up to date. Sources are the object API, where this instance
// reads it, and exchanges with peers, so that one reachable peer is enough.
//
// State is the decision, a plain value; Duty drives it with I/O.
package replica

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/member"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// State holds what one instance knows. Times are on its monotonic clock. It is
// not safe for concurrent use.
//
// Invariants: all documents up to revision complete are in set; that was true
// of the object API at confirmedAt.
type State struct {
	self        platform.Instance
	set         *config.Set
	view        *member.View
	complete    uint64
	confirmed   bool
	confirmedAt time.Duration
	peers       map[string]peerVersions
	viewed      uint64 // changes of the view that a Change has told of
}

// peerVersions is what a peer of this zone said last of its documents.
type peerVersions struct {
	incarnation string
	hash        uint64
	at          time.Duration
}

// NewState returns a state that knows nothing but its own instance.
func NewState(self platform.Instance) *State {
	return &State{self: self, set: config.NewSet(), view: member.NewView(self.Name), peers: map[string]peerVersions{}}
}

// Change says what a step brought.
type Change struct {
	// Accepted documents came into force.
	Accepted []config.Accepted
	// Rejected is set if a document failed its check.
	Rejected bool
	// Members is set if the view of instances has changed.
	Members bool
}

// PlatformRead takes documents read from the object API by a call sent at
// sentAt.
func (s *State) PlatformRead(sentAt time.Duration, list platform.List) Change {
	var c Change
	for _, obj := range list.Objects {
		switch s.set.Offer(obj) {
		case config.ResultAccepted:
			c.Accepted = append(c.Accepted, config.Accepted{Service: obj.Name, Version: obj.Version, Deleted: obj.Deleted, Raw: obj.Value})
		case config.ResultRejected:
			c.Rejected = true
		}
	}
	s.confirm(list.Revision, sentAt)
	return c
}

// confirm takes note that all documents up to a revision are known and that
// no newer one existed at a time.
func (s *State) confirm(revision uint64, at time.Duration) {
	s.complete = max(s.complete, revision)
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed, s.confirmedAt = true, at
	}
}

// members reports whether the view has changed since the last call.
func (s *State) members() bool {
	changed := s.view.Changes() != s.viewed
	s.viewed = s.view.Changes()
	return changed
}

// InstancesRead takes the platform's list read by a call sent at sentAt.
func (s *State) InstancesRead(now, sentAt time.Duration, list []platform.Instance) Change {
	s.view.ObserveList(now, sentAt, list)
	return Change{Members: s.members()}
}

// CallFailed takes a call to a peer that got no answer.
func (s *State) CallFailed(now time.Duration, name string) Change {
	s.view.ObserveCall(now, name, false)
	return Change{Members: s.members()}
}

// UpstreamLeaving takes an upstream's own word that it is leaving.
func (s *State) UpstreamLeaving(now time.Duration, address string) Change {
	s.view.ObserveUpstreamLeaving(now, address)
	return Change{Members: s.members()}
}

// SetSelf replaces the instance's own entry, when it starts to leave.
func (s *State) SetSelf(self platform.Instance) { s.self = self }

// Age returns how old the knowledge of documents is, and false if there is
// none.
func (s *State) Age(now time.Duration) (time.Duration, bool) {
	return now - s.confirmedAt, s.confirmed
}

// Complete returns the revision up to which all documents are known.
func (s *State) Complete() uint64 { return s.complete }

// Request returns the first request of an exchange.
func (s *State) Request(now time.Duration) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{Self: toWire(s.self), Knowledge: s.knowledge(now)}
}

// Push returns a request that carries documents the peer may lack.
func (s *State) Push(now time.Duration, docs []config.Accepted) *peerpb.ExchangeRequest {
	req := s.Request(now)
	req.Documents = documentsToWire(docs)
	return req
}

// Answer steps the state by a peer's request and returns the reply. How old
// the caller's knowledge is counts for nothing here: the request may have been
// delayed for any time.
func (s *State) Answer(now time.Duration, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, Change) {
	c := Change{Accepted: s.offerAll(req.Documents)}
	s.observePeer(now, req.Self)
	c.Members = s.members()
	s.noteVersions(now, req.Self, req.Knowledge)
	reply := &peerpb.ExchangeReply{Self: toWire(s.self), Knowledge: s.knowledge(now)}
	if req.WithVersions {
		reply.Versions = s.set.Versions()
		reply.Documents = documentsToWire(s.set.NewerThan(req.Versions))
	}
	if len(req.InstanceBuckets) > 0 && s.laterList(now, req.Knowledge) {
		buckets, instances := s.view.List().Differing(req.InstanceBuckets)
		reply.ReplacedBuckets, reply.Instances = buckets, instancesToWire(instances)
	}
	return reply, c
}

// laterList reports whether this instance read the platform's list later than
// the peer and got another one.
func (s *State) laterList(now time.Duration, peer *peerpb.Knowledge) bool {
	list := s.view.List()
	if !list.Known || list.Hash == peer.GetInstancesHash() {
		return false
	}
	return peer.GetInstancesAgeMs() < 0 || now-list.ReadAt < milliseconds(peer.GetInstancesAgeMs())
}

// Absorb steps the state by the reply to req, sent at sentAt. It returns the
// next request of the exchange, or nil when both know the same.
func (s *State) Absorb(now, sentAt time.Duration, req *peerpb.ExchangeRequest, reply *peerpb.ExchangeReply) (*peerpb.ExchangeRequest, Change) {
	c := Change{Accepted: s.offerAll(reply.Documents)}
	s.observePeer(now, reply.Self)
	s.noteVersions(now, reply.Self, reply.Knowledge)
	s.absorbList(now, sentAt, reply)
	c.Members = s.members()
	if req.WithVersions || reply.Knowledge.GetHash() == s.set.Hash() {
		s.absorbKnowledge(sentAt, reply.Knowledge)
	}
	next := s.nextDocuments(now, req, reply)
	if len(req.InstanceBuckets) == 0 && s.wantsList(sentAt, reply.Knowledge) {
		if next == nil {
			next = s.Request(now)
		}
		buckets := s.view.List().Buckets
		next.InstanceBuckets = buckets[:]
	}
	return next, c
}

// nextDocuments returns the next request of an exchange as far as documents
// are concerned.
func (s *State) nextDocuments(now time.Duration, req *peerpb.ExchangeRequest, reply *peerpb.ExchangeReply) *peerpb.ExchangeRequest {
	if !req.WithVersions {
		if reply.Knowledge.GetHash() == s.set.Hash() {
			return nil
		}
		next := s.Request(now)
		next.Versions, next.WithVersions = s.set.Versions(), true
		return next
	}
	if lacking := s.set.NewerThan(reply.Versions); len(lacking) > 0 {
		return s.Push(now, lacking)
	}
	return nil
}

// wantsList reports whether a peer has read the platform's list later than
// this instance and got another one.
func (s *State) wantsList(sentAt time.Duration, peer *peerpb.Knowledge) bool {
	list := s.view.List()
	if peer.GetInstancesAgeMs() < 0 || list.Known && list.Hash == peer.GetInstancesHash() {
		return false
	}
	return !list.Known || sentAt-milliseconds(peer.GetInstancesAgeMs()) > list.ReadAt
}

// absorbKnowledge takes over how complete and how old a peer's knowledge is.
// It may be called only when all that the peer accepted is in the set.
func (s *State) absorbKnowledge(sentAt time.Duration, k *peerpb.Knowledge) {
	if k.GetAgeMs() >= 0 {
		s.confirm(k.GetCompleteThrough(), sentAt-milliseconds(k.GetAgeMs()))
	}
}

func (s *State) absorbList(now, sentAt time.Duration, reply *peerpb.ExchangeReply) {
	k := reply.Knowledge
	if k.GetInstancesAgeMs() < 0 {
		return
	}
	readAt := sentAt - milliseconds(k.GetInstancesAgeMs())
	switch {
	case len(reply.ReplacedBuckets) > 0:
		list := s.view.List().Replaced(reply.ReplacedBuckets, instancesFromWire(reply.Instances))
		// If this instance has read another list since it asked, the parts do
		// not fit together; the next exchange asks again.
		if member.HashOf(list) == k.GetInstancesHash() {
			s.view.ObserveList(now, readAt, list)
		}
	case k.GetInstancesHash() == s.view.List().Hash:
		s.view.ObserveSameList(now, readAt)
	}
}

func (s *State) observePeer(now time.Duration, self *peerpb.Instance) {
	if self != nil {
		s.view.ObserveSelf(now, instanceFromWire(self))
	}
}

func (s *State) offerAll(docs []*peerpb.Document) []config.Accepted {
	var taken []config.Accepted
	for _, d := range docs {
		a := config.Accepted{Service: d.Service, Version: d.Version, Deleted: d.Deleted, Raw: d.Raw}
		if s.set.OfferAccepted(a) == config.ResultAccepted {
			taken = append(taken, a)
		}
	}
	return taken
}

// unknownAgeMS stands in messages for the age of knowledge that is not there.
const unknownAgeMS = -1

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

// ceilMS rounds up, so that knowledge never looks younger than it is.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
