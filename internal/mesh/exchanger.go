package mesh

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// tickPeriod and tickPeriodLarge are the intervals at which an Exchanger starts
// the exchanges that are due, in a small and in a large fleet.
const (
	tickPeriod      = 50 * time.Millisecond
	tickPeriodLarge = 125 * time.Millisecond
)

// Receiver describes the peer that a state is sent to.
type Receiver struct {
	Name string // empty if the peer is not known yet
	// SameZone is whether the peer is in this instance's zone or the fleet is
	// small.
	SameZone bool
	// IsLead is whether the peer is a lead of its zone or the fleet is small.
	IsLead bool
	// LargeFleet is whether the fleet is large, so that states are summed by
	// zone.
	LargeFleet bool
	// SenderIsLead is whether this instance is a lead of its zone in a large
	// fleet.
	SenderIsLead bool
}

// Options configure an Exchanger.
type Options struct {
	Self  *meshpb.MemberInfo
	Peers peer.Caller
	Now   func() time.Duration
	Log   *slog.Logger
	Seed  uint64
	// Seeds returns the addresses of instances to exchange states with until
	// they are known as peers.
	Seeds func() []string
	// FillState adds this instance's data for a receiver to a state.
	FillState func(now time.Duration, s *meshpb.InstanceState, to Receiver)
	// OnState is called with each new state of a peer, which is at least as new
	// as at.
	OnState func(at time.Duration, s *meshpb.InstanceState)
}

// Exchanger exchanges states with the peers.
type Exchanger struct {
	opts Options
	rng  *rand.Rand

	mu       sync.Mutex
	members  *members
	sequence uint64
	leaving  bool
}

// New returns an Exchanger without peers.
func New(opts Options) *Exchanger {
	return &Exchanger{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), members: newMembers(opts.Now(), opts.Self)}
}

// AddPeers adds the peers that the platform lists.
func (e *Exchanger) AddPeers(infos []*meshpb.MemberInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range infos {
		e.members.addReported(e.opts.Now(), i)
	}
}

// InstanceCount returns the number of instances, including this one. It counts
// the peers from which any instance has received a message within presentTimeout
// and that are not leaving.
func (e *Exchanger) InstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.presentCount(e.opts.Now())
}

// HeardCount returns the number of instances, including this one and those that are leaving, from
// which any instance has received a message within a time.
func (e *Exchanger) HeardCount(within time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, n := e.opts.Now(), 1
	for _, p := range e.members.peers {
		if now-max(p.stateAt, p.seenAt) <= within {
			n++
		}
	}
	return n
}

// Names returns the names of the known instances, including this one and those that are
// silent or leaving.
func (e *Exchanger) Names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(slices.Collect(maps.Keys(e.members.peers)), e.opts.Self.Name)
}

// IsLargeFleet reports whether the fleet is large, so that states are summed by
// zone.
func (e *Exchanger) IsLargeFleet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.large(e.opts.Now())
}

// Candidates returns the peers that may perform tasks for the whole fleet: all
// peers of a small fleet, or the zones' leads of a large one. ok reports whether
// this instance may perform them too.
func (e *Exchanger) Candidates() (peers []*meshpb.MemberInfo, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	large := e.members.large(now)
	leads := map[string][]string{} // by zone, computed once for all of its members
	isLead := func(i *meshpb.MemberInfo) bool {
		if _, ok := leads[i.Zone]; !ok {
			leads[i.Zone] = e.members.leads(now, i.Zone)
		}
		return slices.Contains(leads[i.Zone], i.Name)
	}
	for _, p := range e.members.present(now) {
		if !large || isLead(p.info) {
			peers = append(peers, p.info)
		}
	}
	return peers, !large || isLead(e.opts.Self)
}

// Sample returns n present peers at random, without those that skip returns true for. In
// a large fleet one of them is of another zone, the others are of this instance's.
func (e *Exchanger) Sample(n int, skip func(name string) bool) []*meshpb.MemberInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	return e.members.sample(now, e.rng, n, skip)
}

// Members returns the instances that run, with this one unless it is leaving.
func (e *Exchanger) Members() []*meshpb.MemberInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*meshpb.MemberInfo
	if !e.leaving {
		out = append(out, e.opts.Self)
	}
	for _, p := range e.members.present(e.opts.Now()) {
		out = append(out, p.info)
	}
	return out
}

// Address returns the address of a peer, or "" if the peer is not known.
func (e *Exchanger) Address(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.members.peers[name]; p != nil {
		return p.info.PeerAddress
	}
	return ""
}

// StoreReaderRank returns the number of peers that answer, reach the store and are
// fitter than this instance to read it on behalf of all.
func (e *Exchanger) StoreReaderRank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.storeReaderRank(e.opts.Now(), "")
}

// HasStoreReader reports whether some peer answers and reaches the store.
func (e *Exchanger) HasStoreReader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.members.storeReaders(e.opts.Now(), "")) > 0
}

// MarkLeaving marks this instance as leaving in the states that it sends.
func (e *Exchanger) MarkLeaving() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
}

// IsStoreWatcher reports whether this instance watches the store for its zone.
// storeReachable is whether this instance reaches the store.
func (e *Exchanger) IsStoreWatcher(storeReachable bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.isWatcher(e.opts.Now(), storeReachable)
}

// Run exchanges states with peers until ctx is done.
func (e *Exchanger) Run(ctx context.Context) error {
	for {
		e.exchangeDue(ctx)
		period := tickPeriod
		if e.IsLargeFleet() {
			period = tickPeriodLarge
		}
		if !wait.Sleep(ctx, period) {
			return nil
		}
	}
}

// exchangeDue starts an exchange with each peer and seed that is due, and
// removes expired peers.
func (e *Exchanger) exchangeDue(ctx context.Context) {
	now := e.opts.Now()
	e.mu.Lock()
	due := e.members.dueForExchange(now, e.rng)
	addresses := make([]string, len(due))
	for i, p := range due {
		p.inFlight, p.requestedAt, addresses[i] = true, now, p.info.PeerAddress
	}
	seeds := e.members.dueSeeds(now, e.opts.Seeds())
	expired := e.members.removeExpired(now)
	e.mu.Unlock()
	for _, i := range expired {
		e.opts.Log.Info("peer forgotten", "peer", i.Name, "incarnation", i.Incarnation, "silent_ms", forgetAfter.Milliseconds())
	}
	for i, p := range due {
		go func() {
			e.exchangeWith(ctx, addresses[i], e.buildState(now, p))
			e.mu.Lock()
			p.inFlight = false
			e.mu.Unlock()
		}()
	}
	for _, s := range seeds {
		go e.exchangeWith(ctx, s, e.buildState(now, nil))
	}
}

// buildState returns the state that this instance sends to a peer now. to is
// nil for a peer that is not known yet.
func (e *Exchanger) buildState(now time.Duration, to *member) *meshpb.InstanceState {
	e.mu.Lock()
	e.sequence++
	s := &meshpb.InstanceState{
		Name: e.opts.Self.Name, Incarnation: e.opts.Self.Incarnation, Zone: e.opts.Self.Zone,
		PeerAddress: e.opts.Self.PeerAddress, Capacity: e.opts.Self.Capacity, Sequence: e.sequence, Leaving: e.leaving,
	}
	receiver := Receiver{SameZone: true, IsLead: true, LargeFleet: e.members.large(now)}
	if receiver.LargeFleet {
		receiver.SenderIsLead = e.members.isLead(now, e.opts.Self.Name, e.opts.Self.Zone)
		receiver.SameZone = to != nil && to.info.Zone == e.opts.Self.Zone
		receiver.IsLead = to != nil && e.members.isLead(now, to.info.Name, to.info.Zone)
	}
	if to != nil {
		receiver.Name = to.info.Name
	}
	interval := memberListInterval
	if receiver.LargeFleet && !receiver.SenderIsLead {
		interval = memberListIntervalMember
	}
	if to == nil || to.memberListSentAt == 0 || now-to.memberListSentAt >= interval {
		s.Members = e.members.memberInfos(now)
		if to != nil {
			to.memberListSentAt = now
		}
	}
	e.mu.Unlock()
	e.opts.FillState(now, s, receiver)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members.observeEra(now, s.StoreEra)
	if receiver.LargeFleet && receiver.SameZone && receiver.SenderIsLead {
		s.Watchers = e.members.chosenWatchers(now, s.StoreReachable)
	}
	return s
}

// exchangeWith sends a state to an address and records the peer's state from
// the reply.
func (e *Exchanger) exchangeWith(ctx context.Context, address string, state *meshpb.InstanceState) {
	sentAt := e.opts.Now()
	err := e.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		reply, err := meshpb.NewDRPCMeshClient(conn).Exchange(ctx, state)
		if err != nil {
			return err
		}
		e.receiveState(sentAt, reply)
		return nil
	})
	if err != nil && ctx.Err() == nil {
		e.opts.Log.Debug("state exchange failed", "address", address, "error", err)
	}
}

// receiveState records a peer's state that is at least as new as at.
func (e *Exchanger) receiveState(at time.Duration, s *meshpb.InstanceState) {
	e.mu.Lock()
	previous := e.members.peers[s.Name]
	isNew := previous == nil || previous.info.Incarnation != s.Incarnation || previous.stateAt == 0
	isLeaving := previous != nil && !previous.leaving && s.Leaving
	accepted := e.members.update(at, s)
	if accepted {
		for _, i := range s.Members {
			e.members.addReported(at, i)
		}
	}
	e.mu.Unlock()
	if !accepted {
		return
	}
	if isNew {
		e.opts.Log.Info("peer met", "peer", s.Name, "incarnation", s.Incarnation, "peer_zone", s.Zone, "address", s.PeerAddress)
	}
	if isLeaving {
		e.opts.Log.Info("peer leaves", "peer", s.Name)
	}
	e.opts.OnState(at, s)
}

// Exchange records the state of a caller and returns this instance's state. The
// age of the caller's state is not known; its sequence number prevents an old
// state from replacing a newer one.
func (e *Exchanger) Exchange(s *meshpb.InstanceState) *meshpb.InstanceState {
	now := e.opts.Now()
	e.receiveState(now, s)
	e.mu.Lock()
	caller := e.members.peers[s.Name]
	e.mu.Unlock()
	return e.buildState(now, caller)
}
