package quota

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
)

// Ask implements peerpb.DRPCLimitsServer. The reply has no grant if this instance
// is not the zone leader.
func (c *Controller) Ask(ctx context.Context, r *peerpb.ShareRequest) (*peerpb.ShareReply, error) {
	reply := &peerpb.ShareReply{}
	if !c.endReplaced(ctx, r) {
		return reply, nil
	}
	if g := c.stepZone(ctx, requestFromWire(r)); g != nil {
		reply.Grant = grantToWire(*g)
	}
	return reply, nil
}

// endReplaced frees the shares of an incarnation that has certainly ended, because
// a later one listens at its peer address, which only one process can hold. It
// returns false for a late request of an incarnation that has ended.
func (c *Controller) endReplaced(ctx context.Context, r *peerpb.ShareRequest) bool {
	c.zoneMu.Lock()
	if c.endedIncarnations[r.Incarnation] {
		c.zoneMu.Unlock()
		return false
	}
	previous := c.incarnationAt[r.PeerAddress]
	replaced := r.PeerAddress != "" && previous != "" && previous != r.Incarnation
	c.incarnationAt[r.PeerAddress] = r.Incarnation
	if replaced {
		c.endedIncarnations[previous] = true
	}
	c.zoneMu.Unlock()
	if replaced {
		c.stepZone(ctx, limit.ProcessEnded{Incarnation: previous})
	}
	return true
}

// stepZone steps the zone leader's state, starts the store calls that result and
// returns the grant, if any.
func (c *Controller) stepZone(ctx context.Context, msg limit.Message) *limit.Grant {
	c.zoneMu.Lock()
	actions := c.zone.Step(c.opts.Now(), msg)
	c.zoneMu.Unlock()
	var grant *limit.Grant
	for _, a := range actions {
		switch a := a.(type) {
		case limit.SendGrant:
			grant = &a.Grant
		case limit.Get:
			go c.getObject(a)
		case limit.Put:
			go c.putObject(a)
		}
	}
	return grant
}

func (c *Controller) getObject(a limit.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := c.opts.Store.Get(ctx, objectstore.KindShare, a.Name)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		obj, err = objectstore.Object{Kind: objectstore.KindShare, Name: a.Name}, nil
	case err != nil:
		c.stepZone(ctx, limit.CallFailed(a))
		return
	}
	c.stepZone(ctx, limit.Read{Object: obj})
}

func (c *Controller) putObject(a limit.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := c.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindShare, Name: a.Name, Version: a.ExpectedVersion, Value: a.Value})
	if err != nil {
		c.opts.Log.Debug("writing shares failed", "object", a.Name, "error", err)
		c.stepZone(ctx, limit.CallFailed{Name: a.Name})
		return
	}
	c.stepZone(ctx, limit.Written{Object: obj})
}
