package entry

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"github.com/go-kratos/kratos/v2"
	"golang.org/x/sync/errgroup"
)

// Run serves until SIGTERM or SIGINT, stops gracefully and returns.
func (n *Node) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context) error{
		n.peerSrv.Serve, n.leader.Run, n.replica.Run, n.dispatch.Run, n.inventory.Run, n.quota.Run, n.claims.Run, n.recorder.Run,
		n.placer.Run, n.feedTable, n.announce, n.measureCost,
	} {
		g.Go(func() error { return duty(ctx) })
	}
	app := kratos.New(
		kratos.Name("eelgrass-entry"), kratos.ID(n.self.Incarnation), kratos.Logger(kratosLogger{n.log}), kratos.Context(ctx),
		kratos.Server(n.newHTTPServer()),
		kratos.BeforeStop(n.leave),
		kratos.StopTimeout(n.settings.Stop.Drain.Std()),
	)
	n.log.Info("serving", "listen", n.settings.Listen, "peer_listen", n.peerSrv.Address())
	err := app.Run()
	n.depart()
	stop()
	if dutyErr := g.Wait(); err == nil {
		err = dutyErr
	}
	if closeErr := n.metrics.Close(); err == nil {
		err = closeErr
	}
	n.log.Info("stopped", "error", err)
	return err
}

// feedTable brings the routing table in step with documents and members.
func (n *Node) feedTable(ctx context.Context) error {
	for {
		n.table.sync(n.replica.Snapshot())
		select {
		case <-ctx.Done():
			return nil
		case <-n.replica.Changed():
		}
	}
}

// announceRetry spaces the tries to enter the instance list.
const announceRetry = time.Second

// announce enters the instance list, unless the instance leaves meanwhile.
func (n *Node) announce(ctx context.Context) error {
	for {
		err := n.list(ctx)
		if err == nil {
			return nil
		}
		n.log.Warn("enter the instance list", "error", err)
		if !wait.Sleep(ctx, announceRetry) {
			return nil
		}
	}
}
