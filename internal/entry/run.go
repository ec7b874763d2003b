package entry

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/supervise"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"github.com/go-kratos/kratos/v2"
	"golang.org/x/sync/errgroup"
)

// Run serves until SIGTERM or SIGINT, then stops gracefully and returns. A controller
// that fails is started again.
func (n *Node) Run() error {
	srv, err := n.newHTTPServer()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	for name, run := range map[string]func(context.Context) error{
		"peer server": n.peerServer.Serve, "leader": n.leader.Run, "replica": n.replica.Run, "dispatch": n.dispatch.Run,
		"inventory": n.inventory.Run, "quota": n.quota.Run, "claims": n.claims.Run, "recorder": n.recorder.Run, "placer": n.placer.Run,
		"suspicions": n.suspicions.Run, "clients": n.clients.Run,
		"routing table": n.syncRoutingTable, "registration": n.registerUntilListed, "control metrics": n.reportControlMetrics,
	} {
		g.Go(func() error {
			supervise.Run(ctx, n.log, name, run)
			return nil
		})
	}
	app := kratos.New(
		kratos.Name("eelgrass-entry"), kratos.ID(n.self.Incarnation), kratos.Logger(kratosLogger{n.log}), kratos.Context(ctx),
		kratos.Server(srv),
		kratos.BeforeStop(n.beforeStop),
		kratos.StopTimeout(n.settings.Stop.Drain.Std()),
	)
	n.log.Info("serving", "listen", n.settings.Listen, "peer_listen", n.peerServer.Address())
	err = app.Run()
	n.deregister()
	stop()
	if runErr := g.Wait(); err == nil {
		err = runErr
	}
	if closeErr := n.metrics.Close(); err == nil {
		err = closeErr
	}
	n.log.Info("stopped", "error", err)
	return err
}

// syncRoutingTable updates the routing table whenever the documents or the
// instances change, until ctx ends.
func (n *Node) syncRoutingTable(ctx context.Context) error {
	for {
		n.tableUpdater.sync(n.replica.Snapshot())
		select {
		case <-ctx.Done():
			return nil
		case <-n.replica.Changed():
		}
	}
}

// registerRetryInterval is the time between attempts to register in the instance
// list.
const registerRetryInterval = time.Second

// registerUntilListed registers the instance in the instance list and retries
// until that succeeds, the instance starts to leave or ctx ends.
func (n *Node) registerUntilListed(ctx context.Context) error {
	for {
		err := n.registerLive(ctx)
		if err == nil {
			return nil
		}
		n.log.Warn("registering in the instance list failed", "error", err)
		if !wait.Sleep(ctx, registerRetryInterval) {
			return nil
		}
	}
}
