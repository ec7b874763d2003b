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
func (d *Duty) returnShares(ctx context.Context, r *peerpb.ShareRequest) {
	for {
		_, err := d.requestShares(ctx, r)
		if err == nil {
			return
		}
		if !wait.Sleep(ctx, returnRetryInterval) {
			d.opts.Log.Warn("returning shares failed", "error", err)
			return
		}
	}
}

// stepInstance steps the instance's state, sends the resulting request, if any, and
// applies the grant.
func (d *Duty) stepInstance(ctx context.Context, msg limit.Message) {
	request := d.nextRequest(msg)
	if request == nil {
		return
	}
	grant, err := d.requestShares(ctx, requestToWire(*request, d.opts.Self.PeerAddress))
	if err != nil {
		d.opts.Log.Debug("requesting shares failed", "error", err)
		return
	}
	if grant == nil {
		return
	}
	d.queueRequest(d.nextRequest(grantFromWire(grant)))
}

// queueRequest keeps a request that resulted from a grant or from borrowed shares
// for the next tick.
func (d *Duty) queueRequest(r *limit.ShareRequest) {
	if r == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queuedRequests = append(d.queuedRequests, r)
}

// nextRequest steps the instance's state and returns the request to send, if any.
// On a tick a queued request is returned first, so that ticks limit the rate of
// requests.
func (d *Duty) nextRequest(msg limit.Message) *limit.ShareRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, tick := msg.(limit.Tick); tick && len(d.queuedRequests) > 0 {
		r := d.queuedRequests[0]
		d.queuedRequests = d.queuedRequests[1:]
		return r
	}
	for _, a := range d.instance.Step(d.opts.Now(), msg) {
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
func (d *Duty) requestShares(ctx context.Context, r *peerpb.ShareRequest) (*peerpb.ShareGrant, error) {
	leader := d.opts.Leader.Holder()
	if leader == d.opts.Self.Name {
		reply, err := d.Ask(ctx, r)
		return reply.GetGrant(), err
	}
	for _, p := range d.opts.Replica.Snapshot().ZonePeers(d.opts.Self.Zone) {
		if p.Name != leader {
			continue
		}
		var reply *peerpb.ShareReply
		err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = peerpb.NewDRPCLimitsClient(conn).Ask(ctx, r)
			return err
		})
		return reply.GetGrant(), err
	}
	return nil, errNoLeader
}
