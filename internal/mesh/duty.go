package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"storj.io/drpc"
)

// tickPeriod is how often the duty looks for peers to ask.
const tickPeriod = 50 * time.Millisecond

// Options configure a Duty.
type Options struct {
	Self  *meshpb.MemberInfo
	Peers peer.Caller
	Now   func() time.Duration
	Log   *slog.Logger
	Seed  uint64
	// Seeds returns addresses to ask when peers are not known.
	Seeds func() []string
	// Fill adds to a state what this instance says of itself.
	Fill func(now time.Duration, s *meshpb.InstanceState)
	// Heard takes in a peer's state.
	Heard func(now time.Duration, s *meshpb.InstanceState)
	// Gone takes in that a peer was forgotten or says that it leaves.
	Gone func(name, incarnation string)
}

// Duty swaps states with the peers.
type Duty struct {
	opts Options
	rng  *rand.Rand

	mu       sync.Mutex
	members  *members
	sequence uint64
	leaving  bool
}

// New returns a duty that knows no peer.
func New(opts Options) *Duty {
	return &Duty{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), members: newMembers(opts.Self)}
}

// Learn takes in peers that the platform lists.
func (d *Duty) Learn(infos []*meshpb.MemberInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range infos {
		d.members.learn(d.opts.Now(), i)
	}
}

// Members returns this instance and the peers that answer, by name.
func (d *Duty) Members() []*meshpb.MemberInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.infos(d.opts.Now())
}

// Reaching returns the names of the peers that answer and say that they reach
// the store, in order.
func (d *Duty) Reaching() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.reaching(d.opts.Now())
}

// Leave tells the peers that this instance stops.
func (d *Duty) Leave() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
}

// Run swaps states until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		d.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Duty) round(ctx context.Context) {
	now := d.opts.Now()
	d.mu.Lock()
	due := d.members.due(now, d.rng)
	for _, p := range due {
		p.asking, p.asked = true, now
	}
	seeds := d.members.dueSeeds(now, d.opts.Seeds())
	gone := d.members.forget(now)
	d.mu.Unlock()
	for _, g := range gone {
		d.opts.Log.Info("peer forgotten", "peer", g.Name, "incarnation", g.Incarnation, "silent_for", forgetAfter)
		d.opts.Gone(g.Name, g.Incarnation)
	}
	if len(due)+len(seeds) == 0 {
		return
	}
	state := d.state(now)
	for _, p := range due {
		go func() {
			d.swap(ctx, p.info.PeerAddress, state)
			d.mu.Lock()
			p.asking = false
			d.mu.Unlock()
		}()
	}
	for _, s := range seeds {
		go d.swap(ctx, s, state)
	}
}

// state returns what this instance says of itself now.
func (d *Duty) state(now time.Duration) *meshpb.InstanceState {
	d.mu.Lock()
	d.sequence++
	s := &meshpb.InstanceState{
		Name: d.opts.Self.Name, Incarnation: d.opts.Self.Incarnation, Zone: d.opts.Self.Zone,
		PeerAddress: d.opts.Self.PeerAddress, Sequence: d.sequence, Leaving: d.leaving,
	}
	s.Members = d.members.infos(now)
	d.mu.Unlock()
	d.opts.Fill(now, s)
	return s
}

func (d *Duty) swap(ctx context.Context, address string, state *meshpb.InstanceState) {
	sentAt := d.opts.Now()
	err := d.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		reply, err := meshpb.NewDRPCMeshClient(conn).Exchange(ctx, state)
		if err != nil {
			return err
		}
		d.take(sentAt, reply)
		return nil
	})
	if err != nil && ctx.Err() == nil {
		d.opts.Log.Debug("swap states", "address", address, "error", err)
	}
}

// take takes in a state that is at least as new as at.
func (d *Duty) take(at time.Duration, s *meshpb.InstanceState) {
	d.mu.Lock()
	before := d.members.peers[s.Name]
	met := before == nil || before.info.Incarnation != s.Incarnation
	left := before != nil && !before.leaving && s.Leaving
	replaced := ""
	if before != nil && met {
		replaced = before.info.Incarnation
	}
	news := d.members.heard(at, s)
	if news {
		for _, i := range s.Members {
			d.members.learn(at, i)
		}
	}
	d.mu.Unlock()
	if !news {
		return
	}
	if met {
		d.opts.Log.Info("peer met", "peer", s.Name, "incarnation", s.Incarnation, "zone", s.Zone, "address", s.PeerAddress)
	}
	if replaced != "" {
		d.opts.Gone(s.Name, replaced)
	}
	if left {
		d.opts.Log.Info("peer leaves", "peer", s.Name)
	}
	d.opts.Heard(at, s)
}

// Exchange implements meshpb.DRPCMeshServer's part of the duty. The age of
// the caller's state is not known; its sequence keeps an old one from
// replacing a newer one.
func (d *Duty) Exchange(s *meshpb.InstanceState) *meshpb.InstanceState {
	now := d.opts.Now()
	d.take(now, s)
	return d.state(now)
}
