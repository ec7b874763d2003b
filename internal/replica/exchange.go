package replica

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"google.golang.org/protobuf/proto"
)

// maxRounds bounds the calls of one exchange: compare, fetch, push.
const maxRounds = 3

// jitter returns a period between three quarters and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int63n(int64(d/2)+1))
}

// exchangeWithPeers compares knowledge with one instance of this zone, every
// second time its reader, and one of another zone at each period.
func (d *Duty) exchangeWithPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.Snapshot().Ready {
			d.exchangeWithSeeds(ctx)
		}
		var targets []platform.Instance
		_ = d.step(ctx, func() { targets = d.chooseTargets() })
		d.each(ctx, targets, func(ctx context.Context, p platform.Instance) { d.exchange(ctx, p) })
		wait.Sleep(ctx, jitter(exchangePeriod))
	}
	return nil
}

func (d *Duty) chooseTargets() []platform.Instance {
	zone := d.opts.Self.Zone
	reader := d.opts.Reader()
	toReader := reader != "" && reader != d.opts.Self.Name && d.rng.Intn(2) == 0
	same := d.state.view.Sample(d.rng, 1, func(p platform.Instance) bool {
		return p.Zone == zone && (!toReader || p.Name == reader)
	})
	other := d.state.view.Sample(d.rng, 1, func(p platform.Instance) bool { return p.Zone != zone })
	return append(same, other...)
}

// exchangeWithSeeds asks the peers named in the settings, until any source has
// answered.
func (d *Duty) exchangeWithSeeds(ctx context.Context) {
	var seeds []platform.Instance
	for _, address := range d.opts.Seeds {
		seeds = append(seeds, platform.Instance{PeerAddress: address})
	}
	d.each(ctx, seeds, func(ctx context.Context, p platform.Instance) { d.exchange(ctx, p) })
}

// each calls f for all peers at once and waits.
func (d *Duty) each(ctx context.Context, peers []platform.Instance, f func(context.Context, platform.Instance)) {
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { f(ctx, p) })
	}
	wg.Wait()
}

// exchange runs the rounds of one exchange. Documents that come from another
// zone are passed on within this one at once.
func (d *Duty) exchange(ctx context.Context, p platform.Instance) {
	var req *peerpb.ExchangeRequest
	if d.step(ctx, func() { req = d.state.Request(d.opts.Now()) }) != nil {
		return
	}
	for round := 0; req != nil && round < maxRounds; round++ {
		req = d.round(ctx, p, req)
	}
}

func (d *Duty) round(ctx context.Context, p platform.Instance, req *peerpb.ExchangeRequest) (next *peerpb.ExchangeRequest) {
	sentAt := d.opts.Now()
	req.Stamp = d.opts.Clock.Stamp()
	reply, err := d.opts.Peers.Exchange(ctx, p.PeerAddress, req)
	if err != nil {
		_ = d.step(ctx, func() { d.apply(d.state.CallFailed(d.opts.Now(), p.Name)) })
		return nil
	}
	d.opts.Clock.Observe(reply.Stamp)
	var c Change
	_ = d.step(ctx, func() {
		next, c = d.state.Absorb(d.opts.Now(), sentAt, req, reply)
		d.apply(c)
	})
	d.passOn(ctx, reply.Self.GetZone(), c.Accepted)
	return next
}

// passOn pushes documents that came from another zone to this zone's peers.
func (d *Duty) passOn(ctx context.Context, fromZone string, docs []config.Accepted) {
	if len(docs) > 0 && fromZone != d.opts.Self.Zone {
		d.push(ctx, docs)
	}
}

// push sends documents to all peers of this zone.
func (d *Duty) push(ctx context.Context, docs []config.Accepted) {
	var req *peerpb.ExchangeRequest
	if d.step(ctx, func() { req = d.state.Push(d.opts.Now(), docs) }) != nil {
		return
	}
	zonePeers := d.Snapshot().ZonePeers(d.opts.Self.Zone)
	d.each(ctx, zonePeers, func(ctx context.Context, p platform.Instance) {
		d.round(ctx, p, proto.CloneOf(req))
	})
}

// pushTimeout bounds a push that a peer's call caused.
const pushTimeout = 2 * time.Second

// Exchange implements peerpb.DRPCSyncServer.
func (d *Duty) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (reply *peerpb.ExchangeReply, err error) {
	var c Change
	err = d.step(ctx, func() {
		reply, c = d.state.Answer(d.opts.Now(), req)
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
			d.push(ctx, c.Accepted)
		}()
	}
	return reply, nil
}
