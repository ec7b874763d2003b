package quota

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// returnShares sends a request until the zone leader has received it or ctx ends.
func (c *Controller) returnShares(ctx context.Context, r *peerpb.ShareRequest) {
	for {
		_, err := c.requestShares(ctx, r)
		if err == nil {
			return
		}
		if !wait.Sleep(ctx, returnRetryInterval) {
			c.opts.Log.Warn("returning shares failed", "error", err)
			return
		}
	}
}

// stepInstance steps the instance's state, sends the resulting request, if any, and
// applies the grant.
func (c *Controller) stepInstance(ctx context.Context, msg limit.Message) {
	request := c.nextRequest(msg)
	if request == nil {
		return
	}
	grant, err := c.requestShares(ctx, requestToWire(*request, c.opts.Self.PeerAddress))
	if err != nil {
		c.opts.Log.Debug("requesting shares failed", "error", err)
		return
	}
	if grant == nil {
		return
	}
	c.queueRequest(c.nextRequest(grantFromWire(grant)))
}

// queueRequest keeps a request that resulted from a grant or from borrowed shares
// for the next tick.
func (c *Controller) queueRequest(r *limit.ShareRequest) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedRequests = append(c.queuedRequests, r)
}

// nextRequest steps the instance's state and returns the request to send, if any.
// On a tick a queued request is returned first, so that ticks limit the rate of
// requests.
func (c *Controller) nextRequest(msg limit.Message) *limit.ShareRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, tick := msg.(limit.Tick); tick && len(c.queuedRequests) > 0 {
		r := c.queuedRequests[0]
		c.queuedRequests = c.queuedRequests[1:]
		return r
	}
	for _, a := range c.instance.Step(c.opts.Now(), msg) {
		if send, ok := a.(limit.SendShareRequest); ok {
			return &send.Request
		}
	}
	return nil
}

// errNoLeader means that the leader of the zone is not known.
var errNoLeader = errors.New("quota: zone leader is not known")

// requestShares sends a request to the zone leader and returns the grant, or nil if
// the leader did not make one.
func (c *Controller) requestShares(ctx context.Context, r *peerpb.ShareRequest) (*peerpb.ShareGrant, error) {
	leader := c.opts.Leader.Holder()
	if leader == c.opts.Self.Name {
		reply, err := c.Ask(ctx, r)
		return reply.GetGrant(), err
	}
	for _, p := range c.opts.Replica.Snapshot().ZonePeers(c.opts.Self.Zone) {
		if p.Name != leader {
			continue
		}
		var reply *peerpb.ShareReply
		err := c.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = peerpb.NewDRPCLimitsClient(conn).Ask(ctx, r)
			return err
		})
		return reply.GetGrant(), err
	}
	return nil, errNoLeader
}
