package quota

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// Ask implements peerpb.DRPCLimitsServer. The reply has no grant if this instance
// is not the zone leader.
func (d *Duty) Ask(ctx context.Context, r *peerpb.ShareRequest) (*peerpb.ShareReply, error) {
	reply := &peerpb.ShareReply{}
	if !d.endReplaced(ctx, r) {
		return reply, nil
	}
	if g := d.stepZone(ctx, requestFromWire(r)); g != nil {
		reply.Grant = grantToWire(*g)
	}
	return reply, nil
}

// endReplaced frees the shares of an incarnation that has certainly ended, because
// a later one listens at its peer address, which only one process can hold. It
// returns false for a late request of an incarnation that has ended.
func (d *Duty) endReplaced(ctx context.Context, r *peerpb.ShareRequest) bool {
	d.zoneMu.Lock()
	if d.endedIncarnations[r.Incarnation] {
		d.zoneMu.Unlock()
		return false
	}
	previous := d.incarnationAt[r.PeerAddress]
	replaced := r.PeerAddress != "" && previous != "" && previous != r.Incarnation
	d.incarnationAt[r.PeerAddress] = r.Incarnation
	if replaced {
		d.endedIncarnations[previous] = true
	}
	d.zoneMu.Unlock()
	if replaced {
		d.stepZone(ctx, limit.ProcessEnded{Incarnation: previous})
	}
	return true
}

// stepZone steps the zone leader's state, starts the store calls that result and
// returns the grant, if any.
func (d *Duty) stepZone(ctx context.Context, msg limit.Message) *limit.Grant {
	d.zoneMu.Lock()
	actions := d.zone.Step(d.opts.Now(), msg)
	d.zoneMu.Unlock()
	var grant *limit.Grant
	for _, a := range actions {
		switch a := a.(type) {
		case limit.SendGrant:
			grant = &a.Grant
		case limit.Get:
			go d.getObject(a)
		case limit.Put:
			go d.putObject(a)
		}
	}
	return grant
}

func (d *Duty) getObject(a limit.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := d.opts.Store.Get(ctx, platform.KindShare, a.Name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		obj, err = platform.Object{Kind: platform.KindShare, Name: a.Name}, nil
	case err != nil:
		d.stepZone(ctx, limit.CallFailed(a))
		return
	}
	d.stepZone(ctx, limit.Read{Object: obj})
}

func (d *Duty) putObject(a limit.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := d.opts.Store.Put(ctx, platform.Object{Kind: platform.KindShare, Name: a.Name, Version: a.ExpectedVersion, Value: a.Value})
	if err != nil {
		d.opts.Log.Debug("writing shares failed", "object", a.Name, "error", err)
		d.stepZone(ctx, limit.CallFailed{Name: a.Name})
		return
	}
	d.stepZone(ctx, limit.Written{Object: obj})
}
