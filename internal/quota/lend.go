package quota

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"storj.io/drpc"
)

const (
	// borrowDelay is how long an instance that has its limits waits for a grant
	// before it borrows from its peers.
	borrowDelay = 2 * time.Second
	// borrowInterval is the interval between requests; several fit into the term
	// of the lent shares.
	borrowInterval = limit.DefaultLendTerm / 6
)

// borrowShares asks the zone peers for a part of their base shares if this instance
// has not received a grant since it started, as during an outage.
func (c *Controller) borrowShares(ctx context.Context) {
	now := c.opts.Now()
	if c.limitsSnapshot == nil || now-c.firstLimitsAt < borrowDelay || now < c.nextBorrowAt {
		return
	}
	peers := c.opts.Replica.Snapshot().ZonePeers(c.opts.Self.Zone)
	if len(peers) == 0 {
		return
	}
	c.mu.Lock()
	r, ok := c.instance.BorrowRequest(c.opts.Now(), int64(len(peers)+1))
	c.mu.Unlock()
	if !ok {
		return
	}
	c.nextBorrowAt = now + borrowInterval
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { c.borrowFromPeer(ctx, p, r) })
	}
	wg.Wait()
}

func (c *Controller) borrowFromPeer(ctx context.Context, p objectstore.Instance, r limit.LendRequest) {
	msg := &peerpb.LendRequest{Borrower: r.Borrower, Seq: r.Seq, Parts: r.Parts}
	var reply *peerpb.Lent
	err := c.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCLimitsClient(conn).Lend(ctx, msg)
		return err
	})
	if err != nil {
		c.opts.Log.Debug("borrowing shares failed", "peer", p.Name, "error", err)
		return
	}
	if reply.Lender == "" {
		return
	}
	c.opts.Log.Info("shares borrowed", "peer", p.Name)
	c.queueRequest(c.nextRequest(lentFromWire(reply)))
}

// Lend implements peerpb.DRPCLimitsServer. The reply has no lender if nothing is
// lent.
func (c *Controller) Lend(_ context.Context, r *peerpb.LendRequest) (*peerpb.Lent, error) {
	c.mu.Lock()
	actions := c.instance.Step(c.opts.Now(), limit.LendRequest{Borrower: r.Borrower, Seq: r.Seq, Parts: r.Parts})
	c.mu.Unlock()
	for _, a := range actions {
		if lent, ok := a.(limit.SendLendReply); ok {
			c.opts.Log.Info("shares lent", "borrower", r.Borrower)
			return lentToWire(lent.Reply), nil
		}
	}
	return &peerpb.Lent{}, nil
}

func lentToWire(l limit.LendReply) *peerpb.Lent {
	w := &peerpb.Lent{Lender: l.Lender, Borrower: l.Borrower, Seq: l.Seq, Shares: map[string]*peerpb.Share{}}
	for org, s := range l.Shares {
		w.Shares[org] = shareToWire(s)
	}
	return w
}

func lentFromWire(w *peerpb.Lent) limit.LendReply {
	l := limit.LendReply{Lender: w.Lender, Borrower: w.Borrower, Seq: w.Seq, Shares: limit.Shares{}}
	for org, s := range w.Shares {
		l.Shares[org] = shareFromWire(s)
	}
	return l
}
