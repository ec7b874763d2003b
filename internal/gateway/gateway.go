package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/catalog"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/leader"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/placing"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
	"github.com/google/uuid"
	"storj.io/drpc"
)

const (
	// leaseName is the object of the lease for orders to engines.
	leaseName = "placement"
	// peerCallTimeout bounds a call to a peer.
	peerCallTimeout = 400 * time.Millisecond
	// dialTimeout bounds the opening of a connection to an upstream.
	dialTimeout = 300 * time.Millisecond
	// idlePerUpstream bounds the idle connections to one upstream.
	idlePerUpstream = 6
)

// Options join a Gateway to the outside.
type Options struct {
	Settings *Settings
	Format   Format
	Store    platform.Store
	Engines  placing.Engines
	Decoder  catalog.Decoder
	Now      func() time.Duration
	Log      *slog.Logger
}

// Gateway is one entry instance.
type Gateway struct {
	opts     Options
	settings atomic.Pointer[Settings]
	format   Format
	log      *slog.Logger
	now      func() time.Duration
	self     *meshpb.MemberInfo
	started  time.Duration

	catalog  *catalog.Duty
	dispatch *dispatcher
	pool     *httpconn.Pool
	limits   *limiter
	demand   *demandCounter
	retries  *retryBudget
	adapters *adapterAsker
	metrics  *metrics.Metrics
	okLines  *lineLimit

	peers   *peer.Client
	peerSrv *peer.Server
	mesh    *mesh.Duty
	leader  *leader.Duty
	placing *placing.Duty

	residency atomic.Pointer[meshpb.Residency] // of this instance, while it is the holder
	fetching  atomic.Bool
	stopping  atomic.Bool
}

// New builds an instance from checked settings; it listens for peers.
func New(opts Options) (*Gateway, error) {
	s := opts.Settings
	g := &Gateway{opts: opts, format: opts.Format, now: opts.Now, started: opts.Now()}
	g.settings.Store(s)
	g.self = &meshpb.MemberInfo{Name: s.Name, Incarnation: uuid.NewString(), PeerAddress: s.PeerListen, Zone: s.Zone}
	g.log = opts.Log.With("instance", s.Name, "zone", s.Zone)
	srv, err := peer.NewServer(s.PeerListen, nil)
	if err != nil {
		return nil, err
	}
	g.peerSrv = srv
	g.peers = peer.NewClient(peer.ClientOptions{CallTimeout: peerCallTimeout})
	g.buildParts()
	g.buildDuties()
	return g, g.register()
}

func (g *Gateway) buildParts() {
	s := g.settings.Load()
	g.metrics = metrics.New()
	g.dispatch = newDispatcher(assign.Options{Zone: s.Zone, Seed: rand.Uint64()}, g.now)
	g.pool = httpconn.New(httpconn.Options{DialTimeout: dialTimeout, IdlePerAddress: idlePerUpstream, Own: g.format.Answers})
	g.limits = &limiter{now: g.now, l: sharedlimit.New()}
	g.demand = &demandCounter{total: map[demandKey]*demandTotal{}, now: g.now}
	g.retries = newRetryBudget(s.Retry, g.sharers, g.now)
	g.adapters = &adapterAsker{now: g.now, holds: g.dispatch.holds, ask: g.askAdapter, asked: map[demandKey]time.Duration{}}
	g.okLines = &lineLimit{perS: s.Log.RequestsPerS}
}

func (g *Gateway) buildDuties() {
	s := g.settings.Load()
	g.catalog = catalog.New(catalog.Options{
		Store: g.opts.Store, Decoder: g.opts.Decoder, WatchWait: s.Store.WatchWait.Std(),
		Now: g.now, Log: g.log, Polls: g.polls, Changed: g.catalogChanged,
	})
	g.mesh = mesh.New(mesh.Options{
		Self: g.self, Peers: g.peers, Now: g.now, Log: g.log, Seed: rand.Uint64(),
		Seeds: func() []string { return g.settings.Load().Peers },
		Fill:  g.fillState, Heard: g.heard, Gone: g.gone,
	})
	g.leader = leader.New(leader.Options{
		Self:  platform.Instance{Name: s.Name, Incarnation: g.self.Incarnation, Zone: s.Zone},
		Store: g.opts.Store, Peers: g.peers, Lease: leaseName, Term: s.Place.Term.Std(),
		ZonePeers: g.contenders, Now: g.now, Log: g.log, Seed: rand.Int64(),
	})
	g.placing = placing.New(placing.Options{
		Name: s.Name, Lease: g.leader, Engines: g.opts.Engines, Config: g.catalog.Config, Usable: g.catalog.Usable,
		Requests: g.dispatch.requests, Known: g.placed, Leaving: g.catalog.Leaving,
		LoadWindow: s.Place.LoadWindow.Std(), Now: g.now, Log: g.log,
	})
}

func (g *Gateway) register() error {
	if err := g.peerSrv.Register(meshServer{g}, meshpb.DRPCMeshDescription{}); err != nil {
		return err
	}
	return g.peerSrv.Register(g.leader, peerpb.DRPCLeasesDescription{})
}

// contenders returns the other instances, for the lease.
func (g *Gateway) contenders() []platform.Instance {
	var out []platform.Instance
	for _, m := range g.mesh.Members() {
		if m.Name != g.self.Name {
			out = append(out, platform.Instance{Name: m.Name, PeerAddress: m.PeerAddress, Zone: m.Zone})
		}
	}
	return out
}

// spareInstances are counted beside the instances known: some may be cut off,
// and others be added before all know of them.
const spareInstances = 2

// sharers is how many instances share the fixed part of budgets.
func (g *Gateway) sharers() int { return len(g.mesh.Members()) + spareInstances }

// pollers is how many instances poll the store for all: one may lose the
// store without knowing it yet.
const pollers = 2

// polls reports whether this instance polls the store for all: the first of
// those that answer and reach the store do.
func (g *Gateway) polls() bool {
	if _, _, reachable := g.catalog.Revisions(); !reachable {
		return false
	}
	first, _ := slices.BinarySearch(g.mesh.Reaching(), g.self.Name)
	return first < pollers
}

// catalogChanged brings everything in step with the configuration and the list
// of upstreams.
func (g *Gateway) catalogChanged() {
	config := g.catalog.Config()
	if config == nil {
		return
	}
	g.dispatch.upstreams(config, g.catalog.Usable())
	g.limits.with(func(now time.Duration, l *sharedlimit.Limiter) { l.Sync(now, config.Organisations) })
}

// placed takes in what the engines hold, as this instance knows it as holder
// of the lease.
func (g *Gateway) placed(fence uint64, residents []residency.Resident) {
	g.dispatch.residents(residents)
	g.residency.Store(residencyToWire(fence, residents))
}

// fillState adds to a state what this instance says of itself.
func (g *Gateway) fillState(now time.Duration, s *meshpb.InstanceState) {
	s.ConfigRevision, s.RosterRevision, s.StoreReachable = g.catalog.Revisions()
	s.AgeMs = uint32((now - g.started).Milliseconds())
	s.Loads = g.dispatch.own()
	s.Demand = g.demand.recent()
	g.limits.with(func(now time.Duration, l *sharedlimit.Limiter) {
		for org, u := range l.Own(now) {
			s.Use = append(s.Use, &meshpb.OrganisationUse{Organisation: org, Total: u.Total, Demand: u.Demand})
		}
	})
	if _, held := g.leader.HeldFor(0); held {
		s.Residency = g.residency.Load()
	}
}

// youngAge is the age up to which all of a peer's demand is news.
const youngAge = 3 * time.Second

// heard takes in a peer's state.
func (g *Gateway) heard(now time.Duration, s *meshpb.InstanceState) {
	loads := make(map[string]assign.Load, len(s.Loads))
	for _, l := range s.Loads {
		loads[l.Upstream] = loadFromWire(l)
	}
	g.dispatch.update(func(now time.Duration, sched *assign.Scheduler) { sched.SetPeer(now, s.Name, loads) })
	for _, d := range s.Demand {
		key := residency.ModelKey{Service: d.Service, Model: d.Model}
		g.placing.Count(s.Name, s.Incarnation, key, d.Adapter, d.Work, s.AgeMs > uint32(youngAge.Milliseconds()))
	}
	use := make(map[string]sharedlimit.Use, len(s.Use))
	for _, u := range s.Use {
		use[u.Organisation] = sharedlimit.Use{Total: u.Total, Demand: u.Demand}
	}
	g.limits.with(func(now time.Duration, l *sharedlimit.Limiter) { l.Heard(now, s.Name, s.Incarnation, use) })
	if s.Residency != nil {
		g.dispatch.residents(residencyFromWire(s.Residency))
	}
	g.catchUp(s)
}

// catchUp fetches what a peer knows of the store's content and this instance
// does not.
func (g *Gateway) catchUp(s *meshpb.InstanceState) {
	config, roster, _ := g.catalog.Revisions()
	if s.ConfigRevision <= config && s.RosterRevision <= roster || !g.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetching.Store(false)
		err := g.peers.Call(context.Background(), s.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
			reply, err := meshpb.NewDRPCMeshClient(conn).Knowledge(ctx, &meshpb.KnowledgeRequest{ConfigRevision: config, RosterRevision: roster})
			if err != nil {
				return err
			}
			return g.catalog.Take(catalog.Knowledge{
				ConfigRevision: reply.ConfigRevision, Config: reply.Config, RosterRevision: reply.RosterRevision, Roster: reply.Roster,
			}, s.Name)
		})
		if err != nil {
			g.log.Warn("fetch from peer", "peer", s.Name, "config_revision", s.ConfigRevision, "error", err)
		}
	}()
}

// gone forgets an incarnation of a peer.
func (g *Gateway) gone(name, incarnation string) { g.placing.Forget(name, incarnation) }

// askAdapter asks the holder of the lease for an adapter.
func (g *Gateway) askAdapter(ctx context.Context, service, model, adapter string) {
	if g.placing.WantAdapter(residency.ModelKey{Service: service, Model: model}, adapter) {
		return
	}
	holder := g.leader.Holder()
	for _, m := range g.mesh.Members() {
		if m.Name != holder || holder == g.self.Name {
			continue
		}
		err := g.peers.Call(ctx, m.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
			_, err := meshpb.NewDRPCMeshClient(conn).WantAdapter(ctx, &meshpb.AdapterRequest{Service: service, Model: model, Adapter: adapter})
			return err
		})
		if err != nil {
			g.log.Debug("ask for adapter", "holder", holder, "model", model, "adapter", adapter, "error", err)
		}
	}
}

// meshServer answers the calls of peers.
type meshServer struct{ g *Gateway }

// Exchange implements meshpb.DRPCMeshServer.
func (s meshServer) Exchange(_ context.Context, in *meshpb.InstanceState) (*meshpb.InstanceState, error) {
	return s.g.mesh.Exchange(in), nil
}

// Knowledge implements meshpb.DRPCMeshServer.
func (s meshServer) Knowledge(_ context.Context, in *meshpb.KnowledgeRequest) (*meshpb.KnowledgeReply, error) {
	k, err := s.g.catalog.Knowledge(in.ConfigRevision, in.RosterRevision)
	if err != nil {
		return nil, err
	}
	return &meshpb.KnowledgeReply{
		ConfigRevision: k.ConfigRevision, Config: k.Config, RosterRevision: k.RosterRevision, Roster: k.Roster,
	}, nil
}

// WantAdapter implements meshpb.DRPCMeshServer.
func (s meshServer) WantAdapter(_ context.Context, in *meshpb.AdapterRequest) (*meshpb.AdapterReply, error) {
	holder := s.g.placing.WantAdapter(residency.ModelKey{Service: in.Service, Model: in.Model}, in.Adapter)
	return &meshpb.AdapterReply{Holder: holder}, nil
}

func residencyToWire(fence uint64, list []residency.Resident) *meshpb.Residency {
	out := &meshpb.Residency{Fence: fence}
	for _, r := range list {
		u := &meshpb.ResidentUpstream{
			Upstream: r.ID, Born: r.Born, Closing: r.Closing, Coming: r.Coming, ReadyInMs: uint32(r.ReadyIn.Milliseconds()),
		}
		for _, m := range r.Models {
			u.Models = append(u.Models, &meshpb.ResidentModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters})
		}
		out.Upstreams = append(out.Upstreams, u)
	}
	return out
}

func residencyFromWire(in *meshpb.Residency) []residency.Resident {
	out := make([]residency.Resident, 0, len(in.Upstreams))
	for _, u := range in.Upstreams {
		r := residency.Resident{
			ID: u.Upstream, Born: u.Born, Closing: u.Closing, Coming: u.Coming, ReadyIn: time.Duration(u.ReadyInMs) * time.Millisecond,
		}
		for _, m := range u.Models {
			r.Models = append(r.Models, fleet.ResidentModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters})
		}
		out = append(out, r)
	}
	return out
}
