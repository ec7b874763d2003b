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
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"golang.org/x/sync/errgroup"
)

const (
	// lameDuck is how long a stopping instance takes new connections, while
	// the balancer finds out: two missed checks a second apart.
	lameDuck = 2500 * time.Millisecond
	// stopWait is how long requests of a stopping instance wait for an
	// upstream; those without one are then told to come back to another.
	stopWait = 3 * time.Second
	// stopMargin is how long before the end of its grace time the process
	// exits by itself.
	stopMargin = 250 * time.Millisecond
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 500 * time.Millisecond
	// enlistEvery spaces the tries to enter the list of instances.
	enlistEvery = time.Second
	// reloadEvery is how often the settings file is looked at.
	reloadEvery = time.Second
	// callTimeout bounds a call to the store.
	callTimeout    = time.Second
	maxHeaderBytes = 64 << 10
)

// Run serves until SIGTERM or SIGINT, stops gracefully and returns. file is
// the settings file, which is read again on SIGHUP and when it changes.
func (g *Gateway) Run(file string) error {
	term, stopTerm := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopTerm()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties, dutyCtx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context) error{
		g.peerSrv.Serve, g.catalog.Run, g.mesh.Run, g.placing.Run, g.dispatch.run, g.enlist, g.sweep,
	} {
		duties.Go(func() error { return duty(dutyCtx) })
	}
	leaseCtx, stopLease := context.WithCancel(dutyCtx)
	defer stopLease()
	duties.Go(func() error { return g.leader.Run(leaseCtx) })
	duties.Go(func() error { return g.watchSettings(dutyCtx, file, hup) })
	servers, err := g.listen(duties)
	if err != nil {
		return err
	}
	s := g.settings.Load()
	g.log.Info("started", "listen", s.Listen, "ready", s.ReadyListen, "peers", s.PeerListen, "store", s.Store.Address,
		"incarnation", g.self.Incarnation)
	select {
	case <-term.Done():
	case <-dutyCtx.Done():
	}
	// The lease is left to lapse: a successor must wait out its term anyway,
	// so that no two instances give orders within one.
	stopLease()
	g.stop(servers)
	cancel()
	err = duties.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	g.log.Info("stopped", "error", err)
	return errors.Join(err, g.metrics.Close())
}

// servers are the listeners of an instance.
type servers struct {
	callers *khttp.Server
	ready   *http.Server
	metrics *http.Server // nil if there is no address
}

// listen starts the servers for callers, the balancer and metrics.
func (g *Gateway) listen(duties *errgroup.Group) (*servers, error) {
	s := g.settings.Load()
	lis, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	out := &servers{callers: g.callerServer(lis)}
	duties.Go(func() error { return closed(out.callers.Serve(lis)) })
	mux := http.NewServeMux()
	mux.HandleFunc(s.ReadyPath, g.serveReady)
	if out.ready, err = serveHTTP(duties, s.ReadyListen, mux); err != nil {
		return nil, err
	}
	if s.MetricsListen != "" {
		if out.metrics, err = serveHTTP(duties, s.MetricsListen, g.metrics.Handler()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// callerServer returns the server for callers. kratos' router and timeout are
// passed by: paths reach upstreams as they came, and streams outlast any fixed
// time.
func (g *Gateway) callerServer(lis net.Listener) *khttp.Server {
	s := g.settings.Load()
	srv := khttp.NewServer(khttp.Listener(lis), khttp.Timeout(0))
	srv.Server.Handler = g
	srv.Server.ReadHeaderTimeout = s.Limits.HeaderTimeout.Std()
	srv.Server.IdleTimeout = s.Limits.IdleTimeout.Std()
	srv.Server.MaxHeaderBytes = maxHeaderBytes
	srv.Server.DisableGeneralOptionsHandler = true
	return srv
}

func serveHTTP(duties *errgroup.Group, address string, h http.Handler) (*http.Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	duties.Go(func() error { return closed(srv.Serve(lis)) })
	return srv, nil
}

func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady tells the balancer whether requests are welcome.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.catalog.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop ends the service of requests: the balancer is told first, requests go
// on being served while it finds out, and those under way may end within the
// grace time.
func (g *Gateway) stop(s *servers) {
	began := g.now()
	g.log.Info("stopping", "grace", g.settings.Load().Stop.Grace.Std())
	g.stopping.Store(true)
	g.mesh.Leave()
	grace := g.settings.Load().Stop.Grace.Std() - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	g.dispatch.update(func(now time.Duration, s *assign.Scheduler) { s.Close(now + min(stopWait, grace/2)) })
	wait.Sleep(ctx, min(lameDuck, grace/2))
	if err := s.callers.Server.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut by the end of the grace time", "error", err)
		_ = s.callers.Server.Close()
	}
	g.delist(ctx)
	_ = s.ready.Close()
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
	g.log.Info("requests ended", "after_ms", (g.now() - began).Milliseconds())
}

// sweep closes connections that have been idle for too long.
func (g *Gateway) sweep(ctx context.Context) error {
	for wait.Sleep(ctx, sweepEvery) {
		g.pool.Sweep()
	}
	return nil
}

// listed is what the list of instances says of one.
type listed struct {
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	Zone        string `json:"zone"`
}

// enlist learns the other instances from the store's list and enters it.
func (g *Gateway) enlist(ctx context.Context) error {
	for {
		err := g.enterList(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		g.log.Warn("enter the list of instances", "error", err)
		if !wait.Sleep(ctx, enlistEvery) {
			return nil
		}
	}
}

func (g *Gateway) enterList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := g.opts.Store.List(ctx, platform.KindInstance)
	if err != nil {
		return err
	}
	var version uint64
	var infos []*meshpb.MemberInfo
	for _, obj := range list.Objects {
		if obj.Name == g.self.Name {
			version = obj.Version
			continue
		}
		var l listed
		if err := json.Unmarshal(obj.Value, &l); err != nil {
			g.log.Warn("entry of an instance skipped", "peer", obj.Name, "error", err)
			continue
		}
		infos = append(infos, &meshpb.MemberInfo{Name: obj.Name, Incarnation: l.Incarnation, PeerAddress: l.PeerAddress, Zone: l.Zone})
	}
	g.mesh.Learn(infos)
	value, err := json.Marshal(listed{Incarnation: g.self.Incarnation, PeerAddress: g.self.PeerAddress, Zone: g.self.Zone})
	if err != nil {
		return err
	}
	_, err = g.opts.Store.Put(ctx, platform.Object{Kind: platform.KindInstance, Name: g.self.Name, Version: version, Value: value})
	return err
}

// delist leaves the list of instances; a failure leaves an entry that peers
// find silent.
func (g *Gateway) delist(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	obj, err := g.opts.Store.Get(ctx, platform.KindInstance, g.self.Name)
	if err == nil {
		_, err = g.opts.Store.Delete(ctx, platform.KindInstance, g.self.Name, obj.Version)
	}
	if err != nil {
		g.log.Warn("leave the list of instances", "error", err)
	}
}

// watchSettings reads the settings file again on SIGHUP and when it changes.
// Peers and the log's volume change while the process runs; the rest holds
// until the next start.
func (g *Gateway) watchSettings(ctx context.Context, file string, hup <-chan os.Signal) error {
	last, _ := os.ReadFile(file) // a file that cannot be read now is reported when it is read again
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			asked = true
		case <-ticker.C:
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			g.log.Warn("settings not read", "file", file, "error", err)
			continue
		}
		if string(raw) == string(last) && !asked {
			continue
		}
		last = raw
		g.reload(file)
	}
}

func (g *Gateway) reload(file string) {
	next := DefaultSettings()
	if err := settings.Load(file, next); err != nil {
		g.log.Error("settings refused", "file", file, "error", err)
		return
	}
	current := *g.settings.Load()
	current.Peers, current.Log = next.Peers, next.Log
	g.settings.Store(&current)
	g.log.Info("settings reloaded", "file", file, "peers", len(next.Peers))
}
