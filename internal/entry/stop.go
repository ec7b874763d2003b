package entry

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// list enters the instance list as live. It does nothing once the instance
// leaves, so that no late call shows a leaving instance as live.
func (n *Node) list(ctx context.Context) error {
	n.listing.Lock()
	defer n.listing.Unlock()
	if n.leaving {
		return nil
	}
	return n.platform.Register(ctx, n.self)
}

// listLeaving marks the instance as leaving in the instance list.
func (n *Node) listLeaving(ctx context.Context) error {
	n.listing.Lock()
	defer n.listing.Unlock()
	n.leaving = true
	self := n.self
	self.State = platform.InstanceLeaving
	return n.platform.Register(ctx, self)
}

// leave runs before the HTTP server stops: it tells the list and the peers,
// goes on serving while the balancer learns of it, then refuses new requests
// as not run and waits for those that run.
func (n *Node) leave(ctx context.Context) error {
	n.log.Info("leaving", "lame_duck", n.settings.Stop.LameDuck.String())
	if err := n.listLeaving(ctx); err != nil {
		n.log.Warn("mark as leaving in the instance list", "error", err)
	}
	if err := n.replica.Leave(ctx); err != nil {
		n.log.Warn("tell peers of leaving", "error", err)
	}
	time.Sleep(n.settings.Stop.LameDuck.Std())
	n.server.Refuse()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Stop.Drain.Std())
	defer cancel()
	if left := n.server.Drain(ctx); left > 0 {
		n.log.Error("requests cut by the stop", "requests", left)
	}
	n.release()
	return nil
}

// releaseTimeout bounds the calls by which a stopping instance gives back what
// it holds.
const releaseTimeout = 2 * time.Second

// release gives back what others wait for.
func (n *Node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	n.claims.Flush(ctx)
	n.recorder.Stop(ctx)
	n.quota.Stop(ctx)
	n.leader.Release(ctx)
}

// departTimeout bounds the last call to the instance list.
const departTimeout = 2 * time.Second

// depart leaves the instance list.
func (n *Node) depart() {
	ctx, cancel := context.WithTimeout(context.Background(), departTimeout)
	defer cancel()
	if err := n.platform.Deregister(ctx, n.self.Name); err != nil {
		n.log.Warn("leave the instance list", "error", err)
	}
}
