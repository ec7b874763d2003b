package entry

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// registerLive registers the instance as live in the instance list. It does
// nothing once the instance is leaving, so that a delayed call cannot show a
// leaving instance as live.
func (n *Node) registerLive(ctx context.Context) error {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	if n.leaving {
		return nil
	}
	return n.platform.Register(ctx, n.self)
}

// registerLeaving marks the instance as leaving in the instance list.
func (n *Node) registerLeaving(ctx context.Context) error {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	n.leaving = true
	self := n.self
	self.State = objectstore.InstanceLeaving
	return n.platform.Register(ctx, self)
}

// beforeStop runs before the HTTP server stops. It marks the instance as leaving
// in the instance list and to the peers, keeps serving for the lame-duck time so
// that the load balancer can notice, then refuses new requests as not run and
// waits for the active ones.
func (n *Node) beforeStop(ctx context.Context) error {
	n.log.Info("leaving", "lame_duck", n.settings.Stop.LameDuck.String())
	if err := n.registerLeaving(ctx); err != nil {
		n.log.Warn("marking as leaving in the instance list failed", "error", err)
	}
	if err := n.replica.Leave(ctx); err != nil {
		n.log.Warn("notifying peers of leaving failed", "error", err)
	}
	time.Sleep(n.settings.Stop.LameDuck.Std())
	n.server.RefuseNew()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Stop.Drain.Std())
	defer cancel()
	if left := n.server.Drain(ctx); left > 0 {
		n.log.Error("requests cut by the stop", "requests", left)
	}
	n.releaseHeld()
	return nil
}

// releaseTimeout bounds releaseHeld as a whole.
const releaseTimeout = 2 * time.Second

// releaseHeld stores open claims and record entries, returns shares of limits and
// releases the zone lease, since other instances wait for these.
func (n *Node) releaseHeld() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	n.claims.Flush(ctx)
	n.recorder.Stop(ctx)
	n.quota.Stop(ctx)
	n.leader.Release(ctx)
}

// deregisterTimeout bounds the removal from the instance list.
const deregisterTimeout = 2 * time.Second

// deregister removes the instance from the instance list.
func (n *Node) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := n.platform.Deregister(ctx, n.self.Name); err != nil {
		n.log.Warn("deregistering from the instance list failed", "error", err)
	}
}
