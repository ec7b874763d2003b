package crashwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine/quarantinepb"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

const (
	// exchangePeriod is the mean time between the rounds of an Exchanger.
	exchangePeriod = 500 * time.Millisecond
	// minRoundGap is the least time between two rounds.
	minRoundGap = 50 * time.Millisecond
	// newsFanout is the number of instances that are called in a round if what they know
	// may differ.
	newsFanout = 3
	// maxExchanges is the number of calls that may be under way. An instance that does not
	// answer holds one until the call's timeout.
	maxExchanges = 32
)

// Peer is another instance.
type Peer struct{ Name, Address string }

// ExchangerOptions are the dependencies of an Exchanger.
type ExchangerOptions struct {
	Watch  *Watch
	Caller peer.Caller
	// Peers returns the other instances that run.
	Peers func() []Peer
	Log   *slog.Logger
}

// Exchanger lets instances tell each other what their watches know. In each round, and at
// once on news, an instance calls some whose knowledge may differ from its own, and they
// do the same, so that news reaches n instances within about log n calls of each other. As
// long as there is something to know, each also calls a random one in each round, from
// which instances that have restarted learn it. An instance that has just started asks
// until one has answered.
//
// A call carries digests first, and what is known only if these differ.
type Exchanger struct {
	ExchangerOptions
	calls chan struct{}
	asked atomic.Bool // an instance has answered since the start
}

// NewExchanger returns an exchanger; Run starts it.
func NewExchanger(opts ExchangerOptions) *Exchanger {
	return &Exchanger{ExchangerOptions: opts, calls: make(chan struct{}, maxExchanges)}
}

// Run exchanges until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.Watch.changed:
		case <-timer.C:
		}
		for _, p := range e.choose(e.listPeers()) {
			e.start(ctx, p)
		}
		if !wait.Sleep(ctx, minRoundGap) {
			return nil
		}
		timer.Reset(exchangePeriod*3/4 + rand.N(exchangePeriod/2))
	}
}

// listPeers returns the other instances in random order and tells the watch of them.
func (e *Exchanger) listPeers() []Peer {
	peers := e.Peers()
	names := []string{e.Watch.Name}
	for _, p := range peers {
		names = append(names, p.Name)
	}
	e.Watch.SetMembers(names)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// choose returns the instances to call in this round.
func (e *Exchanger) choose(peers []Peer) []Peer {
	digest := e.Watch.knownDigest()
	if digest == 0 && e.asked.Load() || len(peers) == 0 {
		return nil
	}
	chosen := peers[:1:1]
	for _, p := range peers[1:] {
		if len(chosen) > newsFanout {
			break
		}
		if e.Watch.toldBy(p.Name) != digest {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// start exchanges with an instance in the background, unless too many calls are under
// way.
func (e *Exchanger) start(ctx context.Context, p Peer) {
	select {
	case e.calls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-e.calls }()
		if err := e.exchange(ctx, p); err != nil && ctx.Err() == nil {
			e.Log.Debug("exchange of suspicions failed", "peer", p.Name, "error", err)
		}
	}()
}

// exchange learns what an instance knows, and tells it what it does not.
func (e *Exchanger) exchange(ctx context.Context, p Peer) error {
	request := &quarantinepb.Suspicions{Name: e.Watch.Name, Digest: e.Watch.knownDigest()}
	for range 2 {
		var reply *quarantinepb.Suspicions
		err := e.Caller.Call(ctx, p.Address, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = quarantinepb.NewDRPCQuarantineClient(conn).Exchange(ctx, request)
			return err
		})
		if err != nil {
			return err
		}
		e.Watch.Merge(e.Watch.Now(), p.Name, reply.Digest, reply.Suspicions)
		e.asked.Store(true)
		if request = e.Watch.tell(reply.Digest); len(request.Suspicions) == 0 {
			return nil
		}
	}
	return nil
}

// Exchange implements quarantinepb.DRPCQuarantineServer.
func (e *Exchanger) Exchange(_ context.Context, in *quarantinepb.Suspicions) (*quarantinepb.Suspicions, error) {
	e.Watch.Merge(e.Watch.Now(), in.Name, in.Digest, in.Suspicions)
	return e.Watch.tell(in.Digest), nil
}
