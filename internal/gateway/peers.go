package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
	"storj.io/drpc"
)

// residencyTable is a residency.Table that is safe for concurrent use. It records
// what each engine holds.
type residencyTable struct {
	mu    sync.Mutex
	inner *residency.Table
}

func (t *residencyTable) withLock(f func(t *residency.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.inner)
}

func (t *residencyTable) version() *meshpb.BoardVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, holder := t.inner.Version()
	return &meshpb.BoardVersion{Fence: v.Fence, Version: v.Count, Holder: holder}
}

// localWork returns the load, demand and usage of this instance.
func (g *Gateway) localWork(now time.Duration) *workSummary {
	w := newWorkSummary(now)
	w.instances = 1
	w.loads = g.dispatcher.localLoads()
	w.demand = g.demandMeter.rates()
	g.limiter.withLock(func(now time.Duration, l *sharedlimit.Limiter) { w.usage = l.OwnUsage(now) })
	return w
}

// totalDemand returns the demand summed over all instances. Only the holder of the
// placement lease needs it; in a large fleet, the holder is a lead.
func (g *Gateway) totalDemand() map[residency.ModelKey]residency.Rates {
	now := g.now()
	sum := newWorkSummary(now)
	sum.add(g.localWork(now))
	for _, w := range g.peerWork.remoteWork(now, true) {
		sum.add(w)
	}
	return sum.demand
}

// fillState fills in the parts of a state message that this instance sends to a
// given receiver.
func (g *Gateway) fillState(now time.Duration, s *meshpb.InstanceState, to mesh.Receiver) {
	config, roster, reachable := g.catalog.Revisions()
	s.ConfigRevision, s.ConfigEra = versionToWire(config)
	s.RosterRevision, s.RosterEra = versionToWire(roster)
	s.StoreReachable, s.StoreEra = reachable, objectstore.LatestEra(g.opts.Store)
	s.Board = g.residencyTable.version()
	s.RemovedUpstreams = g.removalsToWire()
	s.Limits, s.LeavingUpstreams, s.Brittle = g.limitsToWire(now), g.leavingToWire(), g.roomsToWire(now)
	s.Cold = g.coldToWire()
	s.SuspicionsDigest, s.Suspicions = g.crashes.ToWire(to.Name)
	s.Versions, s.Evacuations = g.streamVersions.toWire(), g.evacuations.toWire()
	s.Estimates = g.estimatesToWire(now, to)
	own := g.localWork(now)
	if to.SameZone {
		s.Work = workSummaryToWire(now, own, to.IsLead)
	} else if to.LargeFleet {
		s.ZoneWork = workSummaryToWire(now, g.peerWork.zoneSum(now, own), true)
	}
	if to.LargeFleet && to.SameZone && to.SenderIsLead {
		s.Elsewhere = workSummaryToWire(now, g.peerWork.sumExcluding(now, to.Name), false)
	}
}

// handlePeerState processes a peer's state: it updates the loads in the scheduler
// and the usage in the limiter, and fetches the configuration, the list of
// upstreams and the residency table if the peer has newer ones.
func (g *Gateway) handlePeerState(at time.Duration, s *meshpb.InstanceState) {
	g.lastStateAt.Store(int64(at))
	objectstore.ObserveEra(g.opts.Store, s.StoreEra)
	g.evacuations.mergeWire(s.Evacuations, s.Name)
	g.peerWork.update(at, s)
	g.mergeLimits(at, s.Limits)
	g.mergeRooms(at, s.Brittle)
	g.mergeCold(s.Name, s.Cold)
	g.streamVersions.merge(at, s.Versions)
	g.crashes.Merge(at, s.Name, s.SuspicionsDigest, s.Suspicions)
	g.recordRemovals(s.RemovedUpstreams, s.Name)
	for _, u := range s.LeavingUpstreams {
		g.catalog.MarkDraining(u.Upstream, u.Born)
	}
	candidates, lead := g.mesh.Candidates()
	g.recordZoneLeads(candidates)
	g.mergeEstimates(at, s, lead)
	var remote map[string]*workSummary
	g.dispatcher.update(func(now time.Duration, sched *assign.Scheduler) {
		remote = g.peerWork.remoteWork(now, lead) // under the dispatcher's lock, so that an older view never replaces a newer one
		loads := map[string]assign.PeerLoads{}
		for name, w := range remote {
			loads[name] = assign.PeerLoads{At: w.asOf, Instances: w.instances, Loads: w.loads}
		}
		sched.SetPeers(loads)
	})
	g.limiter.withLock(func(_ time.Duration, l *sharedlimit.Limiter) {
		for name, w := range remote {
			l.RecordPeerUsage(w.asOf, name, w.incarnation, w.instances, w.usage)
		}
		l.RemovePeers(func(peer string) bool { return g.peerWork.includedInSum(peer, lead) })
	})
	g.fetchCatalogUpdate(s)
	g.fetchResidencyTable(s)
}

// fetchCatalogUpdate fetches the configuration and the list of upstreams from a peer
// that has newer revisions than this instance, each on its own.
func (g *Gateway) fetchCatalogUpdate(s *meshpb.InstanceState) {
	g.recordConfigSource(source{name: s.Name, address: s.PeerAddress, sameZone: s.Zone == g.self.Zone, revision: versionFromWire(s.ConfigRevision, s.ConfigEra)})
	_, roster, _ := g.catalog.Revisions()
	told := versionFromWire(s.RosterRevision, s.RosterEra)
	g.rosterLag.observe(g.now(), roster, told)
	if told > roster {
		go g.rosterFetcher.fetch(g, rosterDocument{g}, s.Name, s.PeerAddress)
	}
}

// recordConfigSource records which configuration a peer has, and fetches it if it is newer
// than that of this instance.
func (g *Gateway) recordConfigSource(s source) {
	own, _, _ := g.catalog.Revisions()
	g.configLag.observe(g.now(), own, s.revision)
	g.configFetcher.sources.told(s)
	if s.revision > own {
		go g.configFetcher.run(g)
	}
}

// fetchResidencyTable fetches the changes from a peer whose residency table is
// newer than that of this instance.
func (g *Gateway) fetchResidencyTable(s *meshpb.InstanceState) {
	own := g.residencyTable.version()
	if s.Board == nil || !boardVersionFromWire(s.Board).NewerThan(boardVersionFromWire(own)) || !g.fetchingTable.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetchingTable.Store(false)
		err := g.peers.Call(context.Background(), s.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
			reply, err := meshpb.NewDRPCMeshClient(conn).Changes(ctx, own)
			if err != nil || reply.Version == nil {
				return err
			}
			changed := false
			g.residencyTable.withLock(func(t *residency.Table) {
				changed = t.Merge(boardVersionFromWire(reply.Version), reply.Version.Holder, engineStatesFromWire(g.now(), reply.Upstreams))
			})
			if changed {
				g.applyResidencyTable()
			}
			return nil
		})
		if err != nil {
			g.log.Debug("failed to fetch the residency table from a peer", "peer", s.Name, "error", err)
		}
	}()
}

// applyResidencyTable passes the entries of the residency table to the scheduler.
func (g *Gateway) applyResidencyTable() {
	g.dispatcher.setEngineStates(func() (list []residency.EngineState) {
		g.residencyTable.withLock(func(t *residency.Table) { list = t.Entries() })
		return list
	})
}

// publishResidents updates the residency table with what the engines hold.
// Package residencycontroller calls it while this instance holds the lease.
func (g *Gateway) publishEngineStates(fencingToken uint64, states []residency.EngineState) {
	changed := false
	g.residencyTable.withLock(func(t *residency.Table) { changed = t.Publish(fencingToken, g.self.Name, states) })
	if changed {
		g.applyResidencyTable()
	}
}

// requestAdapter asks the holder of the lease to load an adapter.
func (g *Gateway) requestAdapter(ctx context.Context, adapter residency.ModelKey) {
	if g.placing.RequestAdapter(adapter) {
		return
	}
	holder := g.residencyTable.version().Holder
	address := g.mesh.Address(holder)
	if address == "" {
		return // no peer is known to hold the lease; the next holder finds the adapter in the demand
	}
	err := g.peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		_, err := meshpb.NewDRPCMeshClient(conn).WantAdapter(ctx, &meshpb.AdapterRequest{
			Service: adapter.Service, Model: adapter.Model, Adapter: adapter.Adapter,
		})
		return err
	})
	if err != nil {
		g.log.Debug("failed to request an adapter", "holder", holder, "model", adapter.Model, "adapter", adapter.Adapter, "error", err)
	}
}

// meshServer serves the RPCs of peers.
type meshServer struct{ g *Gateway }

// Exchange implements meshpb.DRPCMeshServer.
func (s meshServer) Exchange(_ context.Context, in *meshpb.InstanceState) (*meshpb.InstanceState, error) {
	return s.g.mesh.Exchange(in), nil
}

// Knowledge implements meshpb.DRPCMeshServer.
func (s meshServer) Knowledge(_ context.Context, in *meshpb.KnowledgeRequest) (*meshpb.KnowledgeReply, error) {
	config, roster := versionFromWire(in.ConfigRevision, in.ConfigEra), versionFromWire(in.RosterRevision, in.RosterEra)
	if in.WantIndex {
		return s.g.configIndex(config)
	}
	if in.MaxPartBytes > 0 {
		return s.g.knowledgeParts(in, config, roster)
	}
	u, err := s.g.catalog.UpdateSince(config, roster)
	if err != nil {
		return nil, err
	}
	out := &meshpb.KnowledgeReply{Config: u.Config, Roster: u.Roster}
	out.ConfigRevision, out.ConfigEra = versionToWire(u.ConfigRevision)
	out.RosterRevision, out.RosterEra = versionToWire(u.RosterRevision)
	return out, nil
}

// Changes implements meshpb.DRPCMeshServer.
func (s meshServer) Changes(_ context.Context, in *meshpb.BoardVersion) (*meshpb.Board, error) {
	var out meshpb.Board
	s.g.residencyTable.withLock(func(t *residency.Table) {
		v, holder := t.Version()
		out.Version = &meshpb.BoardVersion{Fence: v.Fence, Version: v.Count, Holder: holder}
		out.Upstreams = engineStatesToWire(s.g.now(), t.Since(boardVersionFromWire(in)))
	})
	return &out, nil
}

// WantAdapter implements meshpb.DRPCMeshServer.
func (s meshServer) WantAdapter(_ context.Context, in *meshpb.AdapterRequest) (*meshpb.AdapterReply, error) {
	holder := s.g.placing.RequestAdapter(residency.ModelKey{Service: in.Service, Model: in.Model, Adapter: in.Adapter})
	return &meshpb.AdapterReply{Holder: holder}, nil
}

// AcquirePermit implements meshpb.DRPCMeshServer.
func (s meshServer) AcquirePermit(ctx context.Context, in *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	return s.g.permits.serve(ctx, in)
}

// ReleasePermits implements meshpb.DRPCMeshServer.
func (s meshServer) ReleasePermits(_ context.Context, in *meshpb.PermitRelease) (*meshpb.PermitReleaseReply, error) {
	s.g.permits.serveRelease(in)
	return &meshpb.PermitReleaseReply{}, nil
}

func boardVersionFromWire(v *meshpb.BoardVersion) residency.Version {
	return residency.Version{Fence: v.Fence, Count: v.Version}
}

func engineStatesToWire(now time.Duration, list []residency.EngineState) []*meshpb.ResidentUpstream {
	out := make([]*meshpb.ResidentUpstream, 0, len(list))
	for _, s := range list {
		u := &meshpb.ResidentUpstream{
			Upstream: s.ID, Born: s.StartedAtMS, Closing: s.Unloading, Coming: s.Loading, ReadyInMs: uint32(max(s.ReadyAt-now, 0).Milliseconds()),
			Version: s.ChangedAt,
		}
		for _, m := range s.Models {
			u.Models = append(u.Models, &meshpb.ResidentModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters})
		}
		out = append(out, u)
	}
	return out
}

func engineStatesFromWire(now time.Duration, in []*meshpb.ResidentUpstream) []residency.EngineState {
	out := make([]residency.EngineState, 0, len(in))
	for _, u := range in {
		s := residency.EngineState{
			ID: u.Upstream, StartedAtMS: u.Born, Unloading: u.Closing, Loading: u.Coming, ChangedAt: u.Version,
			ReadyAt: now + time.Duration(u.ReadyInMs)*time.Millisecond,
		}
		for _, m := range u.Models {
			s.Models = append(s.Models, fleet.ResidentModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters})
		}
		out = append(out, s)
	}
	return out
}
