package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/emptyline"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/supervise"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"golang.org/x/sync/errgroup"
)

const (
	// lameDuckPeriod is how long a stopping instance still accepts new
	// connections until the load balancer notices: two failed health checks, 1 s
	// apart.
	lameDuckPeriod = 2500 * time.Millisecond
	// stopQueueTimeout is how long requests at a stopping instance stay queued.
	// Those without an upstream are then refused with a retry-after time, so
	// that the caller retries at another instance.
	stopQueueTimeout = 3 * time.Second
	// sweepInterval is the interval between checks for idle connections.
	sweepInterval = 500 * time.Millisecond
	// registerRetryInterval is the delay between attempts to add this instance
	// to the store's list of instances.
	registerRetryInterval = time.Second
	// settingsPollInterval is the interval at which the settings file is checked
	// for changes.
	settingsPollInterval = time.Second
	// callTimeout is the timeout of a call to the store, and of reading the
	// request headers on the ready and metrics listeners.
	callTimeout    = time.Second
	maxHeaderBytes = 64 << 10
	// defaultMaxHeaderBytes is the maximum size of the header of a request if the
	// configuration sets none; requestLineBytes is that of the line before it.
	defaultMaxHeaderBytes = 16 << 10
	requestLineBytes      = 8 << 10
	// The ready and metrics listeners take small requests on few connections.
	controlHeaderBytes = 16 << 10
	controlConnections = 64
	controlIdleTimeout = 30 * time.Second
)

// Run serves until SIGTERM or SIGINT, shuts down gracefully and returns. file is
// the path of the settings file, which is reloaded on SIGHUP and when it
// changes.
func (g *Gateway) Run(file string) error {
	term, stopTerm := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopTerm()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks, taskCtx := errgroup.WithContext(ctx)
	leaseCtx, stopLease := context.WithCancel(taskCtx)
	defer stopLease()
	for _, c := range []struct {
		name string
		ctx  context.Context
		run  func(context.Context) error
	}{
		{"peer server", taskCtx, g.peerSrv.Serve}, {"catalog", taskCtx, g.catalog.Run}, {"mesh", taskCtx, g.mesh.Run},
		{"placing", taskCtx, g.placing.Run}, {"dispatcher", taskCtx, g.dispatcher.run}, {"lease", leaseCtx, g.leader.Run},
		{"registration", taskCtx, g.registerInstance}, {"eras of the store", taskCtx, g.followEra}, {"idle connections", taskCtx, g.sweepIdleConns},
		{"members", taskCtx, g.updateMembers}, {"lag report", taskCtx, g.reportLag}, {"news", taskCtx, g.announceNews},
		{"stream versions", taskCtx, g.streamVersions.tell}, {"links", taskCtx, g.watchLinks},
		{"stored versions", taskCtx, g.streamVersions.keepVersions}, {"stored streams", taskCtx, g.streamVersions.storeStreams},
		{"evacuations", taskCtx, g.evacuations.announce},
		{"cold upstreams", taskCtx, g.reportCold},
		{"order of queues", taskCtx, g.reportOrder},
		{"permits", taskCtx, g.permits.run},
		{"clients", taskCtx, g.clients.Run},
		{"settings", taskCtx, func(ctx context.Context) error { return g.watchSettings(ctx, file, hup) }},
	} {
		tasks.Go(func() error {
			supervise.Run(c.ctx, g.log, c.name, c.run)
			return nil
		})
	}
	servers, err := g.listen(tasks)
	if err != nil {
		return err
	}
	s := g.settings.Load()
	g.log.Info("started", "listen", s.Listen, "ready", s.ReadyListen, "peers", s.PeerListen, "store", s.Store.Address,
		"incarnation", g.self.Incarnation)
	select {
	case <-term.Done():
	case <-taskCtx.Done():
	}
	// The lease is not released but expires: a successor has to wait for the
	// end of the lease duration anyway, so that no two instances send orders
	// within one lease duration.
	stopLease()
	g.stop(servers)
	cancel()
	err = tasks.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	g.log.Info("stopped", "error", err)
	return errors.Join(err, g.metrics.Close())
}

// servers are the HTTP servers of an instance.
type servers struct {
	callers *khttp.Server
	ready   *http.Server
	metrics *http.Server // nil if no metrics address is set
}

// listen starts the servers for callers, the load balancer and metrics.
func (g *Gateway) listen(tasks *errgroup.Group) (*servers, error) {
	s := g.settings.Load()
	lis, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("gateway: opening the caller listener: %w", err)
	}
	lis = emptyline.NewListener(lis)
	out := &servers{callers: g.callerServer(lis)}
	guarded := g.clients.Listen(lis, clientguard.ListenerOptions{HeadBytes: g.headBytes})
	tasks.Go(func() error { return ignoreServerClosed(out.callers.Serve(guarded)) })
	mux := http.NewServeMux()
	mux.HandleFunc(s.ReadyPath, g.serveReady)
	if out.ready, err = g.serveHTTP(tasks, s.ReadyListen, mux); err != nil {
		return nil, err
	}
	if s.MetricsListen != "" {
		if out.metrics, err = g.serveHTTP(tasks, s.MetricsListen, g.metrics.Handler()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// callerServer returns the server for callers. It bypasses the router and the
// timeout of kratos: paths must reach upstreams unchanged, and streams may last
// longer than any fixed timeout.
func (g *Gateway) callerServer(lis net.Listener) *khttp.Server {
	s := g.settings.Load()
	srv := khttp.NewServer(khttp.Listener(lis), khttp.Timeout(0))
	srv.Server.Handler = g
	srv.Server.ReadHeaderTimeout = s.Limits.HeaderTimeout.Std()
	srv.Server.IdleTimeout = s.Limits.IdleTimeout.Std()
	srv.Server.MaxHeaderBytes = maxHeaderBytes
	srv.Server.DisableGeneralOptionsHandler = true
	clientguard.Serve(srv.Server)
	return srv
}

// headBytes returns the greatest size of the head of a request in bytes.
func (g *Gateway) headBytes() int {
	if config := g.catalog.Config(); config != nil && config.MaxHeaderBytes > 0 {
		return requestLineBytes + int(min(config.MaxHeaderBytes, maxHeaderBytes-requestLineBytes))
	}
	return requestLineBytes + defaultMaxHeaderBytes
}

// serveHTTP starts a server for short requests without bodies.
func (g *Gateway) serveHTTP(tasks *errgroup.Group, address string, h http.Handler) (*http.Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("gateway: opening an HTTP listener: %w", err)
	}
	srv := &http.Server{
		Handler: clientguard.WithoutBody(h), ReadHeaderTimeout: callTimeout, IdleTimeout: controlIdleTimeout,
		MaxHeaderBytes: controlHeaderBytes, DisableGeneralOptionsHandler: true,
	}
	clientguard.Serve(srv)
	guarded := g.clients.Listen(lis, clientguard.ListenerOptions{MaxConnections: controlConnections, HeadBytes: func() int { return controlHeaderBytes }})
	tasks.Go(func() error { return ignoreServerClosed(srv.Serve(guarded)) })
	return srv, nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady answers the load balancer's health check: 200 if the instance
// accepts requests, 503 otherwise.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.shutdown.began.Load() || !g.catalog.Ready() || g.evacuations.pending() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop shuts the instance down. Health checks fail first, requests that can be expected to end
// in time are still served until the load balancer notices, and requests in progress may finish
// within the grace time. At its end those without an answer get one.
func (g *Gateway) stop(s *servers) {
	stopStart := g.now()
	g.log.Info("stopping", "grace", g.settings.Load().Stop.Grace.Std())
	grace := g.settings.Load().Stop.Grace.Std() - exitMargin
	g.shutdown.begin(stopStart + grace - lastAnswerMargin)
	g.mesh.MarkLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	defer time.AfterFunc(grace-lastAnswerMargin, g.shutdown.setOver).Stop()
	go g.streamVersions.handOver(ctx)
	g.dispatcher.update(func(now time.Duration, s *assign.Scheduler) { s.LimitQueueTime(now + min(stopQueueTimeout, grace/2)) })
	wait.Sleep(ctx, min(lameDuckPeriod, grace/2))
	if err := s.callers.Server.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut by the end of the grace time", "error", err)
		_ = s.callers.Server.Close()
	}
	g.links.drain(ctx)
	g.deregisterInstance(ctx)
	_ = s.ready.Close()
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
	g.log.Info("requests ended", "after_ms", (g.now() - stopStart).Milliseconds())
}

// sweepIdleConns closes connections that have been idle for too long.
func (g *Gateway) sweepIdleConns(ctx context.Context) error {
	for wait.Sleep(ctx, sweepInterval) {
		g.pool.CloseExpired()
	}
	return nil
}

// instanceEntry is the JSON value of an instance in the store's list of
// instances.
type instanceEntry struct {
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
	Capacity    uint32 `json:"capacity,omitempty"` // see MachineSettings
}

// registerInstance reads the other instances from the store's list and adds this
// one to it. It retries until it succeeds or ctx ends.
func (g *Gateway) registerInstance(ctx context.Context) error {
	for {
		err := g.tryRegisterInstance(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		g.log.Warn("failed to register in the list of instances", "error", err)
		if !wait.Sleep(ctx, registerRetryInterval) {
			return nil
		}
	}
}

func (g *Gateway) tryRegisterInstance(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := g.opts.Store.List(ctx, objectstore.KindInstance)
	if err != nil {
		return err
	}
	var version uint64
	var members []*meshpb.MemberInfo
	for _, obj := range list.Objects {
		if obj.Name == g.self.Name {
			version = obj.Version
			continue
		}
		var entry instanceEntry
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			g.log.Warn("skipped an invalid entry in the list of instances", "peer", obj.Name, "error", err)
			continue
		}
		members = append(members, &meshpb.MemberInfo{Name: obj.Name, Incarnation: entry.Incarnation, PeerAddress: entry.PeerAddress, Zone: entry.Zone, Capacity: entry.Capacity})
	}
	g.mesh.AddPeers(members)
	value, err := json.Marshal(instanceEntry{Incarnation: g.self.Incarnation, PeerAddress: g.self.PeerAddress, Zone: g.self.Zone, Capacity: g.self.Capacity})
	if err != nil {
		return err
	}
	_, err = g.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindInstance, Name: g.self.Name, Version: version, Value: value})
	if err != nil {
		return err
	}
	g.registeredEra.Store(int64(objectstore.EraOf(list.Revision)))
	return nil
}

// deregisterInstance removes this instance from the store's list of instances.
// If that fails, an entry remains whose instance does not respond to its peers.
func (g *Gateway) deregisterInstance(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	obj, err := g.opts.Store.Get(ctx, objectstore.KindInstance, g.self.Name)
	if err == nil {
		_, err = g.opts.Store.Delete(ctx, objectstore.KindInstance, g.self.Name, obj.Version)
	}
	if err != nil {
		g.log.Warn("failed to deregister from the list of instances", "error", err)
	}
}

// watchSettings reloads the settings file on SIGHUP and when it changes. It
// applies changes of the peers, of the log settings, of the quarantine and of permits at once;
// all others need a restart.
func (g *Gateway) watchSettings(ctx context.Context, file string, hup <-chan os.Signal) error {
	last, _ := os.ReadFile(file) // if this fails, the next read reports the error
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			forced = true
		case <-ticker.C:
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			g.log.Warn("failed to read the settings file", "file", file, "error", err)
			continue
		}
		if string(raw) == string(last) && !forced {
			continue
		}
		last = raw
		g.reload(file)
	}
}

func (g *Gateway) reload(file string) {
	next := DefaultSettings()
	if err := settings.Load(file, next); err != nil {
		g.log.Error("settings file rejected; keeping the current settings", "file", file, "error", err)
		return
	}
	current := *g.settings.Load()
	current.Peers, current.Log, current.Quarantine, current.Permits = next.Peers, next.Log, next.Quarantine, next.Permits
	g.settings.Store(&current)
	g.crashes.SetExempt(next.Quarantine.Keys())
	g.log.Info("settings reloaded", "file", file, "peers", len(next.Peers))
}
