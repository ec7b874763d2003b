package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// tickPeriod and tickPeriodLarge are the intervals at which an Exchanger starts the
// exchanges that are due, in a small and in a large fleet.
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
	// LargeFleet is whether the fleet is large, so that states are summed by zone.
	LargeFleet bool
	// SenderIsLead is whether this instance is a lead of its zone in a large fleet.
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
	// OnState is called with each new state of a peer, as of at.
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
func (d *Exchanger) AddPeers(infos []*meshpb.MemberInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range infos {
		d.members.addReported(d.opts.Now(), i)
	}
}

// InstanceCount returns the number of instances, including this one. It counts
// the peers from which any instance has received a message within presentTimeout
// and that are not leaving.
func (d *Exchanger) InstanceCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.presentCount(d.opts.Now())
}

// IsLargeFleet reports whether the fleet is large, so that states are summed by
// zone.
func (d *Exchanger) IsLargeFleet() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.large(d.opts.Now())
}

// Candidates returns the peers that may perform tasks for the whole fleet: all
// peers of a small fleet, or the zones' leads of a large one. ok reports whether
// this instance may perform them too.
func (d *Exchanger) Candidates() (peers []*meshpb.MemberInfo, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	large := d.members.large(now)
	for _, p := range d.members.present(now) {
		if !large || d.members.isLead(now, p.info.Name, p.info.Zone) {
			peers = append(peers, p.info)
		}
	}
	return peers, !large || d.members.isLead(now, d.opts.Self.Name, d.opts.Self.Zone)
}

// Address returns the address of a peer, or "" if the peer is not known.
func (d *Exchanger) Address(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.members.peers[name]; p != nil {
		return p.info.PeerAddress
	}
	return ""
}

// PeersReachingStore returns the sorted names of the peers that answer and report
// that they reach the store. If zone is not empty, only peers of that zone are
// returned.
func (d *Exchanger) PeersReachingStore(zone string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.withStoreReachable(d.opts.Now(), zone)
}

// MarkLeaving marks this instance as leaving in the states that it sends.
func (d *Exchanger) MarkLeaving() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
}

// IsStoreWatcher reports whether this instance watches the store for its zone.
// storeReachable is whether this instance reaches the store.
func (d *Exchanger) IsStoreWatcher(storeReachable bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.isWatcher(d.opts.Now(), storeReachable)
}

// Run exchanges states with peers until ctx is done.
func (d *Exchanger) Run(ctx context.Context) error {
	for {
		d.exchangeDue(ctx)
		period := tickPeriod
		if d.IsLargeFleet() {
			period = tickPeriodLarge
		}
		if !wait.Sleep(ctx, period) {
			return nil
		}
	}
}

// exchangeDue starts an exchange with each peer and seed that is due, and
// removes expired peers.
func (d *Exchanger) exchangeDue(ctx context.Context) {
	now := d.opts.Now()
	d.mu.Lock()
	due := d.members.dueForExchange(now, d.rng)
	for _, p := range due {
		p.inFlight, p.requestedAt = true, now
	}
	seeds := d.members.dueSeeds(now, d.opts.Seeds())
	expired := d.members.removeExpired(now)
	d.mu.Unlock()
	for _, e := range expired {
		d.opts.Log.Info("peer forgotten", "peer", e.Name, "incarnation", e.Incarnation, "silent_ms", forgetAfter.Milliseconds())
	}
	for _, p := range due {
		go func() {
			d.exchangeWith(ctx, p.info.PeerAddress, d.buildState(now, p))
			d.mu.Lock()
			p.inFlight = false
			d.mu.Unlock()
		}()
	}
	for _, s := range seeds {
		go d.exchangeWith(ctx, s, d.buildState(now, nil))
	}
}

// buildState returns the state that this instance sends to a peer now. to is
// nil for a peer that is not known yet.
func (d *Exchanger) buildState(now time.Duration, to *member) *meshpb.InstanceState {
	d.mu.Lock()
	d.sequence++
	s := &meshpb.InstanceState{
		Name: d.opts.Self.Name, Incarnation: d.opts.Self.Incarnation, Zone: d.opts.Self.Zone,
		PeerAddress: d.opts.Self.PeerAddress, Sequence: d.sequence, Leaving: d.leaving,
	}
	receiver := Receiver{SameZone: true, IsLead: true, LargeFleet: d.members.large(now)}
	if receiver.LargeFleet {
		receiver.SenderIsLead = d.members.isLead(now, d.opts.Self.Name, d.opts.Self.Zone)
		receiver.SameZone = to != nil && to.info.Zone == d.opts.Self.Zone
		receiver.IsLead = to != nil && d.members.isLead(now, to.info.Name, to.info.Zone)
	}
	if to != nil {
		receiver.Name = to.info.Name
	}
	if to == nil || to.memberListSentAt == 0 || now-to.memberListSentAt >= memberListInterval {
		s.Members = d.members.memberInfos(now)
		if to != nil {
			to.memberListSentAt = now
		}
	}
	d.mu.Unlock()
	d.opts.FillState(now, s, receiver)
	if receiver.LargeFleet && receiver.SameZone && receiver.SenderIsLead {
		d.mu.Lock()
		s.Watchers = d.members.chosenWatchers(now, s.StoreReachable)
		d.mu.Unlock()
	}
	return s
}

// exchangeWith sends a state to an address and records the peer's state from
// the reply.
func (d *Exchanger) exchangeWith(ctx context.Context, address string, state *meshpb.InstanceState) {
	sentAt := d.opts.Now()
	err := d.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		reply, err := meshpb.NewDRPCMeshClient(conn).Exchange(ctx, state)
		if err != nil {
			return err
		}
		d.receiveState(sentAt, reply)
		return nil
	})
	if err != nil && ctx.Err() == nil {
		d.opts.Log.Debug("state exchange failed", "address", address, "error", err)
	}
}

// receiveState records a peer's state that is at least as new as at.
func (d *Exchanger) receiveState(at time.Duration, s *meshpb.InstanceState) {
	d.mu.Lock()
	previous := d.members.peers[s.Name]
	isNew := previous == nil || previous.info.Incarnation != s.Incarnation || previous.stateAt == 0
	isLeaving := previous != nil && !previous.leaving && s.Leaving
	accepted := d.members.update(at, s)
	if accepted {
		for _, i := range s.Members {
			d.members.addReported(at, i)
		}
	}
	d.mu.Unlock()
	if !accepted {
		return
	}
	if isNew {
		d.opts.Log.Info("peer met", "peer", s.Name, "incarnation", s.Incarnation, "peer_zone", s.Zone, "address", s.PeerAddress)
	}
	if isLeaving {
		d.opts.Log.Info("peer leaves", "peer", s.Name)
	}
	d.opts.OnState(at, s)
}

// Exchange records the state of a caller and returns this instance's state. The
// age of the caller's state is not known; its sequence number prevents an old
// state from replacing a newer one.
func (d *Exchanger) Exchange(s *meshpb.InstanceState) *meshpb.InstanceState {
	now := d.opts.Now()
	d.receiveState(now, s)
	d.mu.Lock()
	caller := d.members.peers[s.Name]
	d.mu.Unlock()
	return d.buildState(now, caller)
}
