package quota

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

// tell sends a request until the duty holder has it or ctx ends.
func (d *Duty) tell(ctx context.Context, r *peerpb.ShareRequest) {
	for {
		_, err := d.askHolder(ctx, r)
		if err == nil {
			return
		}
		if !wait.Sleep(ctx, stopRetry) {
			d.opts.Log.Warn("return shares", "error", err)
			return
		}
	}
}

// stepInstance steps this instance's part, sends the request that it asks for
// and applies the grant.
func (d *Duty) stepInstance(ctx context.Context, msg limit.Message) {
	request := d.nextRequest(msg)
	if request == nil {
		return
	}
	grant, err := d.askHolder(ctx, requestToWire(*request, d.opts.Self.PeerAddress))
	if err != nil {
		d.opts.Log.Debug("ask for shares", "error", err)
		return
	}
	if grant == nil {
		return
	}
	d.leaveForTick(d.nextRequest(grantFromWire(grant)))
}

// leaveForTick keeps a request that followed from a grant for the next tick.
func (d *Duty) leaveForTick(r *limit.Request) {
	if r == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.due = append(d.due, r)
}

// nextRequest steps this instance's part and returns the request to send, if
// any. One that followed from a grant was left for the next tick, so that
// ticks set the pace.
func (d *Duty) nextRequest(msg limit.Message) *limit.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, tick := msg.(limit.Tick); tick && len(d.due) > 0 {
		r := d.due[0]
		d.due = d.due[1:]
		return r
	}
	for _, a := range d.instance.Step(d.opts.Now(), msg) {
		if send, ok := a.(limit.SendRequest); ok {
			return &send.Request
		}
	}
	return nil
}

// errNoHolder means that no duty holder of the zone is known.
var errNoHolder = errors.New("quota: no duty holder is known")

func (d *Duty) askHolder(ctx context.Context, r *peerpb.ShareRequest) (*peerpb.ShareGrant, error) {
	holder := d.opts.Leader.Holder()
	if holder == d.opts.Self.Name {
		reply, err := d.Ask(ctx, r)
		return reply.GetGrant(), err
	}
	for _, p := range d.opts.Replica.Snapshot().ZonePeers(d.opts.Self.Zone) {
		if p.Name != holder {
			continue
		}
		var reply *peerpb.ShareReply
		err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = peerpb.NewDRPCLimitsClient(conn).Ask(ctx, r)
			return err
		})
		return reply.GetGrant(), err
	}
	return nil, errNoHolder
}
