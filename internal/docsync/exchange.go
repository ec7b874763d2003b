package docsync

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"google.golang.org/protobuf/proto"
)

// maxRounds is the maximum number of calls in one exchange: compare, fetch, push.
const maxRounds = 3

// jitter returns a random period from 3/4 to 5/4 of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int63n(int64(d/2)+1))
}

// exchangeWithPeers runs two exchanges in each period: one with an instance of this
// zone, which in every second period on average is the zone leader, and one with
// an instance of another zone.
func (d *Controller) exchangeWithPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.Snapshot().HasDocuments {
			d.exchangeWithSeeds(ctx)
		}
		var targets []objectstore.Instance
		_ = d.runInLoop(ctx, func() { targets = d.chooseTargets() })
		d.forEachPeer(ctx, targets, func(ctx context.Context, p objectstore.Instance) { d.exchange(ctx, p) })
		wait.Sleep(ctx, jitter(exchangePeriod))
	}
	return nil
}

// chooseTargets returns the peers of the next period's exchanges.
func (d *Controller) chooseTargets() []objectstore.Instance {
	zone := d.opts.Self.Zone
	leader := d.opts.ZoneLeader()
	toLeader := leader != "" && leader != d.opts.Self.Name && d.rng.Intn(2) == 0
	same := d.state.view.Sample(d.rng, 1, func(p objectstore.Instance) bool {
		return p.Zone == zone && (!toLeader || p.Name == leader)
	})
	other := d.state.view.Sample(d.rng, 1, func(p objectstore.Instance) bool { return p.Zone != zone })
	return append(same, other...)
}

// exchangeWithSeeds runs an exchange with each peer that the settings name. It is
// called until documents have been received from some source.
func (d *Controller) exchangeWithSeeds(ctx context.Context) {
	var seeds []objectstore.Instance
	for _, address := range d.opts.Seeds {
		seeds = append(seeds, objectstore.Instance{PeerAddress: address})
	}
	d.forEachPeer(ctx, seeds, func(ctx context.Context, p objectstore.Instance) { d.exchange(ctx, p) })
}

// forEachPeer calls f for all peers concurrently and waits until all calls have
// returned.
func (d *Controller) forEachPeer(ctx context.Context, peers []objectstore.Instance, f func(context.Context, objectstore.Instance)) {
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { f(ctx, p) })
	}
	wg.Wait()
}

// exchange runs up to maxRounds rounds with a peer. Documents received from
// another zone are forwarded within this zone immediately.
func (d *Controller) exchange(ctx context.Context, p objectstore.Instance) {
	var req *peerpb.ExchangeRequest
	if d.runInLoop(ctx, func() { req = d.state.NewRequest(d.opts.Now()) }) != nil {
		return
	}
	for round := 0; req != nil && round < maxRounds; round++ {
		req = d.exchangeRound(ctx, p, req)
	}
}

// exchangeRound sends req to a peer and applies the reply. It returns the next
// request of the exchange, or nil if there is none or the call failed.
func (d *Controller) exchangeRound(ctx context.Context, p objectstore.Instance, req *peerpb.ExchangeRequest) (next *peerpb.ExchangeRequest) {
	sentAt := d.opts.Now()
	req.Stamp = d.opts.Clock.Stamp()
	reply, err := d.opts.Peers.Exchange(ctx, p.PeerAddress, req)
	if err != nil {
		_ = d.runInLoop(ctx, func() { d.apply(d.state.RecordCallFailure(d.opts.Now(), p.Name)) })
		return nil
	}
	d.opts.Clock.Observe(reply.Stamp)
	var c Change
	_ = d.runInLoop(ctx, func() {
		next, c = d.state.HandleReply(d.opts.Now(), sentAt, req, reply)
		d.apply(c)
	})
	d.forwardToZone(ctx, reply.Self.GetZone(), c.Accepted)
	return next
}

// forwardToZone pushes documents to the peers of this zone if they came from
// another zone.
func (d *Controller) forwardToZone(ctx context.Context, fromZone string, docs []config.Accepted) {
	if len(docs) > 0 && fromZone != d.opts.Self.Zone {
		d.pushToZone(ctx, docs)
	}
}

// pushToZone sends documents to all peers of this zone concurrently.
func (d *Controller) pushToZone(ctx context.Context, docs []config.Accepted) {
	var req *peerpb.ExchangeRequest
	if d.runInLoop(ctx, func() { req = d.state.NewPushRequest(d.opts.Now(), docs) }) != nil {
		return
	}
	zonePeers := d.Snapshot().ZonePeers(d.opts.Self.Zone)
	d.forEachPeer(ctx, zonePeers, func(ctx context.Context, p objectstore.Instance) {
		d.exchangeRound(ctx, p, proto.CloneOf(req))
	})
}

// pushTimeout limits a push that is triggered by a peer's call.
const pushTimeout = 2 * time.Second

// Exchange implements peerpb.DRPCSyncServer. New documents from another zone are
// pushed to this zone's peers in the background.
func (d *Controller) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (reply *peerpb.ExchangeReply, err error) {
	var c Change
	err = d.runInLoop(ctx, func() {
		reply, c = d.state.HandleRequest(d.opts.Now(), req)
		d.apply(c)
	})
	if err != nil {
		return nil, err
	}
	d.opts.Clock.Observe(req.Stamp)
	reply.Stamp = d.opts.Clock.Stamp()
	if len(c.Accepted) > 0 && req.Self.GetZone() != d.opts.Self.Zone {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
			defer cancel()
			d.pushToZone(ctx, c.Accepted)
		}()
	}
	return reply, nil
}
