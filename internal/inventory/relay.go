package inventory

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"storj.io/drpc"
)

// currentPullPeriod returns the time between two pulls: missingPullPeriod while the
// report of an engine is missing, otherwise pullPeriod.
func (c *Controller) currentPullPeriod(targets []Target) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		if _, ok := c.state.Entry(t.Name); !ok && t.Upstream.Kind == config.UpstreamEngine {
			return missingPullPeriod
		}
	}
	return pullPeriod
}

// pruneRelayed removes the relay times of upstreams that are no longer targets.
func (c *Controller) pruneRelayed(targets []Target) {
	maps.DeleteFunc(c.relayedAt, func(name string, _ time.Duration) bool {
		return !slices.ContainsFunc(targets, func(t Target) bool { return t.Name == name })
	})
}

// onePerZone returns one random instance of each other zone.
func onePerZone(snapshot *docsync.Snapshot, own string) []objectstore.Instance {
	byZone := map[string][]objectstore.Instance{}
	for _, p := range snapshot.Peers {
		if p.Zone != own {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var chosen []objectstore.Instance
	for _, peers := range byZone {
		chosen = append(chosen, peers[rand.Intn(len(peers))])
	}
	return chosen
}

// relay sends a batch to the given instances concurrently and waits until all calls
// have returned.
func (c *Controller) relay(ctx context.Context, to []objectstore.Instance, b batch) {
	if len(b.all()) == 0 || len(to) == 0 {
		return
	}
	msg := c.reportsMessage(b)
	var wg sync.WaitGroup
	for _, p := range to {
		wg.Go(func() {
			err := c.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
				_, err := peerpb.NewDRPCInventoryClient(conn).Relay(ctx, msg)
				return err
			})
			if err != nil {
				c.opts.Log.Debug("cannot relay reports", "peer", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

// reportsMessage encodes a batch with ages as of now.
func (c *Controller) reportsMessage(b batch) *peerpb.Reports {
	msg := &peerpb.Reports{Zone: c.opts.Self.Zone}
	now := c.opts.Now()
	for _, e := range b.residency {
		msg.Reports = append(msg.Reports, entryToWire(now, e))
	}
	for _, e := range b.load {
		msg.Loads = append(msg.Loads, loadToWire(now, e))
	}
	for _, e := range b.unchanged {
		msg.Unchanged = append(msg.Unchanged, e.digest())
	}
	return msg
}

// pull compares residency with a random peer of the zone, or of any zone if the zone
// has none, and applies the reports that differ.
func (c *Controller) pull(ctx context.Context, snapshot *docsync.Snapshot) {
	peers := snapshot.ZonePeers(c.opts.Self.Zone)
	if len(peers) == 0 {
		peers = snapshot.Peers
	}
	if len(peers) == 0 {
		return
	}
	p := peers[rand.Intn(len(peers))]
	c.mu.Lock()
	buckets := c.state.BucketHashes()
	c.mu.Unlock()
	var reply *peerpb.Reports
	err := c.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCInventoryClient(conn).Pull(ctx, &peerpb.PullRequest{Buckets: buckets[:]})
		return err
	})
	if err != nil {
		c.opts.Log.Debug("cannot pull reports", "peer", p.Name, "error", err)
		return
	}
	for _, w := range reply.Reports {
		c.observe(entryFromWire(c.opts.Now(), w))
	}
}

// forwardTimeout limits the forwarding that is triggered by a peer's call.
const forwardTimeout = 2 * time.Second

// Relay implements peerpb.DRPCInventoryServer. Changed residency from another zone
// is forwarded within this zone in the background.
func (c *Controller) Relay(_ context.Context, msg *peerpb.Reports) (*peerpb.RelayReply, error) {
	now := c.opts.Now()
	var residency []Entry
	for _, w := range msg.Reports {
		e := entryFromWire(now, w)
		if c.observe(e).Residency {
			residency = append(residency, e)
		}
	}
	for _, w := range msg.Loads {
		c.observeUpdate(w.Digest, func(e Entry) Entry { return e.withLoad(now, w) })
	}
	for _, digest := range msg.Unchanged {
		c.observeUpdate(digest, func(e Entry) Entry { e.ReadAt = now; return e })
	}
	if msg.Zone != c.opts.Self.Zone && len(residency) > 0 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
			defer cancel()
			c.relay(ctx, c.opts.Replica.Snapshot().ZonePeers(c.opts.Self.Zone), batch{residency: residency})
		}()
	}
	return &peerpb.RelayReply{}, nil
}

// Pull implements peerpb.DRPCInventoryServer. It returns the reports whose buckets
// differ from those in the request.
func (c *Controller) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.Reports, error) {
	c.mu.Lock()
	entries := c.state.DifferingEntries(req.Buckets)
	c.mu.Unlock()
	return c.reportsMessage(batch{residency: entries}), nil
}
