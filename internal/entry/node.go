package entry

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/eelgrassbay/eelgrassbay/internal/certs"
	"github.com/eelgrassbay/eelgrassbay/internal/claims"
	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/leader"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/placer"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine/quarantinepb"
	"github.com/eelgrassbay/eelgrassbay/internal/quota"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/eelgrassbay/eelgrassbay/internal/recorder"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
	"github.com/google/uuid"
	"storj.io/drpc"
)

// Node is one entry instance: its controllers, its servers and clients, and the
// connections between them.
type Node struct {
	settings *Settings
	log      *slog.Logger
	self     objectstore.Instance
	now      func() time.Duration

	platform     *objectstore.CallCounter
	traffic      controlTraffic
	metrics      *metrics.Metrics
	clients      *clientguard.Guard
	callerTLS    *tls.Config // nil for plain HTTP
	peers        *peer.Client
	peerServer   *peer.Server
	leader       *leader.Elector
	replica      *docsync.Controller
	inventory    *inventory.Controller
	dispatch     *dispatch.Controller
	quota        *quota.Controller
	claims       *claims.Controller
	recorder     *recorder.Recorder
	suspicions   *crashwatch.Exchanger
	tableUpdater *tableUpdater
	placer       *placer.Controller
	server       *Server

	listMu  sync.Mutex // serialises writes to the instance list
	leaving bool       // the instance is or will be marked as leaving
}

// newMonotonicClock returns a clock of the time since this call; it never goes
// backwards.
func newMonotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// NewNode builds an instance from checked settings and opens its listener for
// peers. Run starts it.
func NewNode(s *Settings, log *slog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log.With("instance", s.Name, "zone", s.Zone), now: newMonotonicClock()}
	if err := n.connect(); err != nil {
		return nil, err
	}
	n.self = objectstore.Instance{
		Name: s.Name, Incarnation: uuid.NewString(), Zone: s.Zone, Role: objectstore.RoleEntry, State: objectstore.InstanceLive,
		Address: valueOrDefault(s.Advertise, s.Listen), PeerAddress: valueOrDefault(s.PeerAdvertise, n.peerServer.Address()),
	}
	n.buildControllers()
	return n, n.registerRPCs()
}

func valueOrDefault(value, defaultValue string) string {
	if value == "" {
		return defaultValue
	}
	return value
}

// connect creates the platform client and the metrics, loads the certificates
// and creates the peer client and server.
func (n *Node) connect() error {
	s := n.settings
	n.platform = objectstore.NewCallCounter(objectstore.NewClient(objectstore.ClientOptions{
		BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Std(), WatchTimeout: s.Platform.WatchTimeout.Std(),
		Bytes: &n.traffic.platform,
	}))
	n.metrics = metrics.New()
	n.clients = clientguard.New(clientguard.Options{MemoryMB: s.Memory.LimitMB, Now: n.now, Log: n.log, Metrics: n.metrics})
	callers, err := loadCerts(s.TLS.Callers, n.log)
	if err != nil {
		return err
	}
	if callers != nil {
		n.callerTLS = callers.ServerConfig()
	}
	peers, err := loadCerts(s.TLS.Peers, n.log)
	if err != nil {
		return err
	}
	return n.connectPeers(peers)
}

// loadCerts loads the certificate that s names. It returns nil if s names none.
func loadCerts(s CertSettings, log *slog.Logger) (*certs.Store, error) {
	if !s.Enabled() {
		return nil, nil
	}
	store, err := certs.Load(certs.Files{Cert: s.Cert, Key: s.Key, CA: s.CA}, log)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	return store, nil
}

// connectPeers creates the client and the server for calls between instances,
// with TLS if certStore is not nil.
func (n *Node) connectPeers(certStore *certs.Store) (err error) {
	var client peer.ClientOptions
	var server *tls.Config
	if certStore != nil {
		client.TLS, server = certStore.ClientConfig, certStore.ServerConfig()
	}
	n.peers = peer.NewClient(client)
	if n.peerServer, err = peer.NewServer(n.settings.PeerListen, server); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

// buildControllers creates the controllers and the HTTP handlers and connects
// them.
func (n *Node) buildControllers() {
	n.leader = leader.New(leader.Options{
		Self: n.self, Store: n.platform, Peers: n.peers, ZonePeers: n.zonePeers, Now: n.now, Log: n.log, Seed: rand.Int64(),
	})
	n.recorder = recorder.New(recorder.Options{
		Self: n.self, Store: n.platform, Peers: n.peers, ZonePeers: n.zonePeers,
		Flusher: record.FlusherOptions{FlushInterval: n.settings.Record.FlushInterval.Std()},
		Leader:  n.leader, WriteLogLine: n.settings.recordLines(n.log),
		Now: n.now, WallMS: func() int64 { return time.Now().UnixMilli() }, Log: n.log,
	})
	n.replica = docsync.NewController(docsync.Options{
		Self: n.self, Store: n.platform, Instances: n.platform, Peers: n.peers, Seeds: n.settings.Peers,
		IsZoneLeader: n.leader.IsLeader, ZoneLeader: n.leader.Holder, Clock: n.recorder, WatchTimeout: n.settings.Platform.WatchTimeout.Std(),
		Now: n.now, Log: n.log, Seed: rand.Int64(),
	})
	n.dispatch = dispatch.New(dispatch.Options{
		Route: route.Options{RoundTripTime: n.zoneRTT, AdapterLoadTime: adapterLoadTime}, Now: n.now, Seed: rand.Uint64(),
	})
	n.tableUpdater = newTableUpdater(n.dispatch, n.log)
	engines := engine.NewClient(&n.traffic.engines)
	n.inventory = inventory.NewController(inventory.Options{
		Self: n.self, Replica: n.replica, Engines: engines, Peers: n.peers,
		Apply: n.tableUpdater.applyReport, Now: n.now, Log: n.log,
	})
	n.tableUpdater.latestReport = n.inventory.Entry
	n.quota = quota.New(quota.Options{
		Self: n.self, Limit: n.settings.Limits.options(), Replica: n.replica, Leader: n.leader, Store: n.platform, Peers: n.peers, Now: n.now, Log: n.log,
	})
	n.claims = claims.New(claims.Options{
		Writer: n.self.Incarnation, Store: n.platform, Now: n.now, Log: n.log, Seed: rand.Uint64(),
	})
	n.tableUpdater.targets = n.inventory.UpdateTargets
	n.placer = n.newPlacer(engines)
	n.tableUpdater.draining = n.placer.Draining
	upstreams := upstream.NewClient()
	crashes := crashwatch.New(crashwatch.Options{Name: n.settings.Name, Now: boottime.Now, Log: n.log, Metrics: n.metrics, Refuses: upstreams.Refuses})
	crashes.SetExempt(n.settings.Quarantine.Keys())
	n.suspicions = crashwatch.NewExchanger(crashwatch.ExchangerOptions{Watch: crashes, Caller: n.peers, Peers: n.crashPeers, Log: n.log})
	n.server = NewServer(ServerOptions{
		Name: n.settings.Name, Requests: n.settings.Requests, Replica: n.replica, Dispatch: n.dispatch, Crashes: crashes,
		Upstream: upstreams, Engines: engines, Budget: once.NewBudget(n.now(), once.BudgetOptions{}, rand.New(rand.NewPCG(rand.Uint64(), 0))),
		Limiter: n.quota, Claimer: n.claims, Record: n.recorder, Metrics: n.metrics, Now: n.now, Log: n.log,
		FullyReady: func() bool { return n.inventory.InitialReadDone() && n.quota.BucketsReady() },
		HasShare:   n.quota.HasShare,
		Placement:  n.placer, Inventory: n.inventory,
	})
}

// interZoneRTT is the round-trip time to another zone.
const interZoneRTT = 1500 * time.Microsecond

// zoneRTT returns the round-trip time from this instance to a zone.
func (n *Node) zoneRTT(zone string) time.Duration {
	if zone == n.settings.Zone {
		return 0
	}
	return interZoneRTT
}

// registerRPCs registers the services for peers with the peer server.
func (n *Node) registerRPCs() error {
	for _, service := range []struct {
		impl any
		desc drpc.Description
	}{
		{n.replica, peerpb.DRPCSyncDescription{}},
		{n.leader, peerpb.DRPCLeasesDescription{}},
		{n.inventory, peerpb.DRPCInventoryDescription{}},
		{n.quota, peerpb.DRPCLimitsDescription{}},
		{n.recorder, peerpb.DRPCRecordDescription{}},
		{n.placer.Server(), peerpb.DRPCPlacementDescription{}},
		{n.suspicions, quarantinepb.DRPCQuarantineDescription{}},
	} {
		if err := n.peerServer.Register(service.impl, service.desc); err != nil {
			return err
		}
	}
	return nil
}

// crashPeers returns the instances with which crashes of upstreams are exchanged.
func (n *Node) crashPeers() []crashwatch.Peer {
	var out []crashwatch.Peer
	for _, p := range n.replica.Snapshot().Peers {
		out = append(out, crashwatch.Peer{Name: p.Name, Address: p.PeerAddress})
	}
	return out
}

// zonePeers returns the other entry instances of the zone.
func (n *Node) zonePeers() []objectstore.Instance {
	return n.replica.Snapshot().ZonePeers(n.settings.Zone)
}
