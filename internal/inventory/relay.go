package inventory

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"storj.io/drpc"
)

func (d *Duty) pullEvery(targets []Target) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if _, ok := d.state.Entry(t.Name); !ok && t.Upstream.Kind == config.UpstreamEngine {
			return missingPullPeriod
		}
	}
	return pullPeriod
}

// forgetRelayed drops upstreams that are no targets any more.
func (d *Duty) forgetRelayed(targets []Target) {
	maps.DeleteFunc(d.relayed, func(name string, _ time.Duration) bool {
		return !slices.ContainsFunc(targets, func(t Target) bool { return t.Name == name })
	})
}

// onePerZone returns one random instance of each other zone.
func onePerZone(known *replica.Snapshot, own string) []platform.Instance {
	byZone := map[string][]platform.Instance{}
	for _, p := range known.Peers {
		if p.Zone != own {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var chosen []platform.Instance
	for _, peers := range byZone {
		chosen = append(chosen, peers[rand.Intn(len(peers))])
	}
	return chosen
}

func (d *Duty) relay(ctx context.Context, to []platform.Instance, b batch) {
	if len(b.all()) == 0 || len(to) == 0 {
		return
	}
	msg := d.message(b)
	var wg sync.WaitGroup
	for _, p := range to {
		wg.Go(func() {
			err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
				_, err := peerpb.NewDRPCInventoryClient(conn).Relay(ctx, msg)
				return err
			})
			if err != nil {
				d.opts.Log.Debug("relay reports", "peer", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

func (d *Duty) message(b batch) *peerpb.Reports {
	msg := &peerpb.Reports{Zone: d.opts.Self.Zone}
	now := d.opts.Now()
	for _, e := range b.residency {
		msg.Reports = append(msg.Reports, toWire(now, e))
	}
	for _, e := range b.load {
		msg.Loads = append(msg.Loads, loadToWire(now, e))
	}
	for _, e := range b.unchanged {
		msg.Unchanged = append(msg.Unchanged, e.digest())
	}
	return msg
}

// pull compares residency with one peer of the zone, or of any zone if there
// is none, and takes what differs.
func (d *Duty) pull(ctx context.Context, known *replica.Snapshot) {
	peers := known.ZonePeers(d.opts.Self.Zone)
	if len(peers) == 0 {
		peers = known.Peers
	}
	if len(peers) == 0 {
		return
	}
	p := peers[rand.Intn(len(peers))]
	d.mu.Lock()
	buckets := d.state.Buckets()
	d.mu.Unlock()
	var reply *peerpb.Reports
	err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCInventoryClient(conn).Pull(ctx, &peerpb.PullRequest{Buckets: buckets[:]})
		return err
	})
	if err != nil {
		d.opts.Log.Debug("pull reports", "peer", p.Name, "error", err)
		return
	}
	for _, w := range reply.Reports {
		d.observe(fromWire(d.opts.Now(), w))
	}
}

// passOnTimeout bounds what a peer's call causes.
const passOnTimeout = 2 * time.Second

// Relay implements peerpb.DRPCInventoryServer. Residency from another zone is
// passed on within this one.
func (d *Duty) Relay(_ context.Context, msg *peerpb.Reports) (*peerpb.RelayReply, error) {
	now := d.opts.Now()
	var residency []Entry
	for _, w := range msg.Reports {
		e := fromWire(now, w)
		if d.observe(e).Residency {
			residency = append(residency, e)
		}
	}
	for _, w := range msg.Loads {
		d.observeKnown(w.Digest, func(e Entry) Entry { return e.withLoad(now, w) })
	}
	for _, digest := range msg.Unchanged {
		d.observeKnown(digest, func(e Entry) Entry { e.ReadAt = now; return e })
	}
	if msg.Zone != d.opts.Self.Zone && len(residency) > 0 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), passOnTimeout)
			defer cancel()
			d.relay(ctx, d.opts.Replica.Snapshot().ZonePeers(d.opts.Self.Zone), batch{residency: residency})
		}()
	}
	return &peerpb.RelayReply{}, nil
}

// Pull implements peerpb.DRPCInventoryServer.
func (d *Duty) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.Reports, error) {
	d.mu.Lock()
	entries := d.state.Differing(req.Buckets)
	d.mu.Unlock()
	return d.message(batch{residency: entries}), nil
}
