package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/leader"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/residencycontroller"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
	"github.com/google/uuid"
)

const (
	// placementLease is the name of the lease object; only its holder sends
	// orders to engines.
	placementLease = "placement"
	// peerCallTimeout is the timeout of one call to a peer.
	peerCallTimeout = 400 * time.Millisecond
	// dialTimeout is the timeout for opening a connection to an upstream.
	dialTimeout = 300 * time.Millisecond
	// maxIdlePerUpstream is the maximum number of idle connections to one
	// upstream.
	maxIdlePerUpstream = 6
)

// Options configure a Gateway and provide its dependencies.
type Options struct {
	Settings *Settings
	Format   Codec
	Store    objectstore.Store
	Engines  residencycontroller.Engines
	Decoder  storesync.Decoder
	Now      func() time.Duration
	Log      *slog.Logger
}

// Gateway is one entry instance: it serves callers and exchanges state with the
// other instances.
type Gateway struct {
	opts     Options
	settings atomic.Pointer[Settings]
	codec    Codec
	log      *slog.Logger
	now      func() time.Duration
	self     *meshpb.MemberInfo
	started  time.Duration

	catalog         *storesync.Controller
	dispatcher      *dispatcher
	pool            *httpconn.Pool
	limiter         *limiter
	demandMeter     *demandMeter
	retryBudget     *retryBudget
	numberings      numberings
	adapterRequests *adapterRequester
	notices         noticeBook
	crashes         *crashwatch.Watch
	streamVersions  *streamVersions
	links           *links
	evacuations     *evacuations
	permits         *permits
	answerMemory    *answerMemory
	clients         *clientguard.Guard
	inFlight        *inFlight
	metrics         *metrics.Metrics
	successLogLimit *logRateLimiter
	callerLogLimit  *logRateLimiter // lines of requests refused for what callers sent

	peers   peer.Caller
	peerSrv *peer.Server
	mesh    *mesh.Exchanger
	leader  *leader.Elector
	placing *residencycontroller.Controller

	peerWork        *workView
	residencyTable  *residencyTable
	configLag       lag
	rosterLag       lag
	configFetcher   configFetcher
	configBlocks    configBlocks
	rosterFetcher   documentFetcher
	configEncodings encodings // for peers of earlier builds
	rosterEncodings encodings

	newsWake      chan struct{}
	lastStateAt   atomic.Int64             // time of the last state of a peer, as a duration
	zoneLeads     atomic.Pointer[[]string] // names of the other leads of the zone
	fetchingTable atomic.Bool              // a fetch of a peer's residency table is running
	shutdown      *shutdown
	runTimes      *runTimes
	// registeredEra is the era of the store in which this instance was last added to the list
	// of instances, or notRegistered.
	registeredEra atomic.Int64
}

// New returns a gateway built from validated settings. It opens the listener for
// peers; Run starts serving.
func New(opts Options) (*Gateway, error) {
	s := opts.Settings
	g := &Gateway{opts: opts, codec: opts.Format, now: opts.Now, started: opts.Now()}
	g.settings.Store(s)
	g.registeredEra.Store(notRegistered)
	g.self = &meshpb.MemberInfo{Name: s.Name, Incarnation: uuid.NewString(), PeerAddress: s.PeerListen, Zone: s.Zone, Capacity: s.Machine.capacity()}
	g.log = opts.Log.With("instance", s.Name, "zone", s.Zone)
	srv, err := peer.NewServer(s.PeerListen, nil)
	if err != nil {
		return nil, err
	}
	g.peerSrv = srv
	srv.HandleHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.links.ServeHTTP(w, r) }))
	g.peers = peer.NewClient(peer.ClientOptions{CallTimeout: peerCallTimeout})
	g.initComponents()
	g.permits.peers = peer.NewClient(peer.ClientOptions{CallTimeout: peerCallTimeout, ConnsPerPeer: permitConnsPerPeer})
	g.initBackgroundTasks()
	return g, g.registerServices()
}

func (g *Gateway) initComponents() {
	s := g.settings.Load()
	g.metrics = metrics.New()
	g.newsWake = make(chan struct{}, 1)
	g.dispatcher = newDispatcher(assign.Options{
		Name: s.Name, Incarnation: g.self.Incarnation, Zone: s.Zone, Started: g.started, Seed: rand.Uint64(), Regions: s.Zones,
		ExpectedInstances: g.expectedPeers() + 1, ColdBounds: s.Cold.bounds(), PriorityOnly: s.Queue.Order == orderPriority,
		OwnEstimates: !s.Engines.FleetEstimates, SlotsOnly: !s.Engines.CountMemory,
	}, g.now)
	g.pool = httpconn.New(httpconn.Options{DialTimeout: dialTimeout, MaxIdlePerAddress: maxIdlePerUpstream, IsResponseTo: g.codec.MatchesRequest, Settle: endSettleTime})
	g.links = newLinks(g)
	g.evacuations = newEvacuations(g)
	g.permits = newPermits(g)
	g.dispatcher.ended = g.permits.ended
	g.crashes = g.newCrashWatch()
	g.streamVersions = newStreamVersions(g)
	g.limiter = &limiter{now: g.now, inner: sharedlimit.New(g.now(), g.expectedPeers(), s.Limits.Window.Std())}
	g.answerMemory = newAnswerMemory(s.Memory.LimitMB)
	g.inFlight = newInFlight()
	g.shutdown, g.runTimes = newShutdown(), newRunTimes()
	g.clients = clientguard.New(clientguard.Options{MemoryMB: s.Memory.LimitMB, Now: g.now, Log: g.log, Metrics: g.metrics})
	g.answerMemory.evictUnread = g.clients.EvictUnread
	g.demandMeter = &demandMeter{now: g.now, meter: residency.NewMeter()}
	g.peerWork = newWorkView(g.self)
	g.residencyTable = &residencyTable{inner: residency.NewTable()}
	g.retryBudget = newRetryBudget(s.Retry, g.budgetInstances, g.now)
	g.adapterRequests = &adapterRequester{now: g.now, hasModel: g.dispatcher.hasModel, send: g.requestAdapter, sentAt: map[residency.ModelKey]time.Duration{}}
	g.successLogLimit = &logRateLimiter{linesPerS: s.Log.RequestsPerS}
	g.callerLogLimit = &logRateLimiter{linesPerS: s.Log.RequestsPerS}
}

// expectedPeers returns the number of other instances that the settings list.
func (g *Gateway) expectedPeers() int {
	n := 0
	for _, address := range g.settings.Load().Peers {
		if address != g.self.PeerAddress {
			n++
		}
	}
	return n
}

func (g *Gateway) initBackgroundTasks() {
	s := g.settings.Load()
	g.catalog = storesync.New(storesync.Options{
		Store: g.opts.Store, Decoder: g.opts.Decoder, WatchWait: s.Store.WatchWait.Std(),
		Now: g.now, Log: g.log, Watches: g.watchesStore, Polls: g.triesStore, ConfigArrives: g.configFetcher.arrives(g.now), OnChange: g.applyCatalog,
		OnMalformed:       func() { g.metrics.Count("malformed_entries") },
		OnMalformedConfig: func(items int) { g.metrics.CountBy("malformed_config_items", items) },
		Evacuations:       g.evacuations.storeOptions(),
	})
	g.mesh = mesh.New(mesh.Options{
		Self: g.self, Peers: g.peers, Now: g.now, Log: g.log, Seed: rand.Uint64(),
		Seeds:     func() []string { return g.settings.Load().Peers },
		FillState: g.fillState, OnState: g.handlePeerState,
	})
	g.leader = leader.New(leader.Options{
		Self:  objectstore.Instance{Name: s.Name, Incarnation: g.self.Incarnation, Zone: s.Zone},
		Store: g.opts.Store, Peers: g.peers, Lease: placementLease, LeaseDuration: s.Placement.LeaseDuration.Std(),
		ZonePeers: g.leaseCandidates, Eligible: g.isLeaseCandidate, Yields: g.links.cutOff, Now: g.now, Log: g.log, Seed: rand.Int64(),
	})
	g.placing = residencycontroller.New(residencycontroller.Options{
		Name: s.Name, Lease: g.leader, Engines: g.opts.Engines, Config: g.catalog.Config, Upstreams: g.evacuations.placeable,
		Requests: g.dispatcher.requestsByUpstream, Limits: g.dispatcher.limits, Pauses: g.dispatcher.pauses, Cold: g.dispatcher.coldTimes, Demand: g.totalDemand, OnStep: g.publishEngineStates, OnDraining: g.catalog.MarkDraining,
		LoadWindow: s.Placement.LoadWindow.Std(), Now: g.now, Log: g.log,
	})
}

func (g *Gateway) registerServices() error {
	if err := g.peerSrv.Register(meshServer{g}, meshpb.DRPCMeshDescription{}); err != nil {
		return err
	}
	return g.peerSrv.Register(g.leader, peerpb.DRPCLeasesDescription{})
}

// leaseCandidates returns the other instances that may hold the placement lease.
func (g *Gateway) leaseCandidates() []objectstore.Instance {
	var out []objectstore.Instance
	peers, _ := g.mesh.Candidates()
	for _, m := range peers {
		out = append(out, objectstore.Instance{Name: m.Name, PeerAddress: m.PeerAddress, Zone: m.Zone})
	}
	return out
}

// isLeaseCandidate reports whether this instance may hold the placement lease.
func (g *Gateway) isLeaseCandidate() bool {
	_, ok := g.mesh.Candidates()
	return ok
}

// instanceMargin is added to the number of known instances: some may be
// unreachable, and others may be added before all instances know of them.
const instanceMargin = 2

// budgetInstances returns the number of instances among which the fixed part of
// a budget is divided. Silent instances count, as they may be cut off and use their part.
func (g *Gateway) budgetInstances() int {
	return max(g.mesh.InstanceCount(), g.dispatcher.memberCount()) + instanceMargin
}

const (
	// storePollers is the number of instances that poll the store on behalf of
	// all: one may have lost its connection to the store without having
	// detected it.
	storePollers = 2
)

// watchesStore reports whether this instance watches the store. Package mesh
// chooses the watchers among the zone's instances that reach the store. The others
// get updates from peers; one that stays behind reads the store itself.
func (g *Gateway) watchesStore() bool {
	config, roster, reachable := g.catalog.Revisions()
	return g.isBehind(configDocument{g}, config) || g.isBehind(rosterDocument{g}, roster) || g.mesh.IsStoreWatcher(reachable)
}

// isBehind reports whether this instance has lacked a revision of a document for so
// long that it reads the store itself. own is the revision that it has.
func (g *Gateway) isBehind(doc document, own uint64) bool {
	l, now := doc.lag(), g.now()
	if !l.needsHelp(now, own) {
		return false
	}
	if target, first := l.firstHelp(); first {
		g.log.Warn("document behind, reading the store", "kind", doc.String(), "revision", own, "lacks", target, "behind_ms", l.behind(now).Milliseconds())
	}
	return true
}

// pollsStore reports whether this instance polls the store on behalf of all
// instances. The storePollers fittest of the instances that respond and reach the
// store do so.
func (g *Gateway) pollsStore() bool {
	if _, _, reachable := g.catalog.Revisions(); !reachable {
		return false
	}
	return g.mesh.StoreReaderRank() < storePollers
}

// triesStore reports whether this instance polls the store, or tries to while no instance is
// known to reach it. A watch on a connection that has died in an outage is silent for longer
// than the outage.
func (g *Gateway) triesStore() bool {
	_, _, reachable := g.catalog.Revisions()
	return g.pollsStore() || !reachable && !g.mesh.HasStoreReader() && g.mesh.IsStoreWatcher(false)
}

// applyCatalog passes the current configuration and list of upstreams to the
// scheduler and the limiter. Each reads them under its own lock, so that of changes at the
// same time none is overwritten by what another had read before.
func (g *Gateway) applyCatalog() {
	if g.catalog.Config() == nil {
		return
	}
	g.wakeNews()
	g.streamVersions.applyCatalog()
	g.links.applyCatalog()
	g.dispatcher.setUpstreams(g.catalog.Config, g.catalog.Usable)
	g.limiter.withLock(func(now time.Duration, l *sharedlimit.Limiter) {
		l.SetOrganisations(now, g.catalog.Config().Organisations)
	})
}
