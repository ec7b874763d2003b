package standin

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
)

// registerRetryInterval is the pause between attempts to register.
const registerRetryInterval = 500 * time.Millisecond

// upstream is a stand-in that is registered in the instance list.
type upstream struct {
	name        string
	zone        string
	incarnation string
	faults      *fault.Set
}

// startRegistration starts a goroutine that keeps the upstream's entry in the
// instance list in the state that its faults set. It does nothing if the group
// has no instance list.
func (g *Group) startRegistration(u upstream) {
	if g.instanceList == nil {
		return
	}
	g.registered = append(g.registered, u.name)
	inst := objectstore.Instance{
		Name:        u.name,
		Incarnation: u.incarnation,
		Zone:        u.zone,
		Role:        objectstore.RoleUpstream,
		Address:     g.Address(u.name),
		State:       objectstore.InstanceLive,
	}
	changed := make(chan struct{}, 1)
	u.faults.OnChange(func(fault.Faults) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	g.goroutines.Go(func() {
		for {
			inst.State = objectstore.InstanceLive
			if u.faults.Get().Leaving {
				inst.State = objectstore.InstanceLeaving
			}
			g.registerWithRetry(inst)
			select {
			case <-changed:
			case <-g.baseCtx.Done():
				return
			}
		}
	})
}

// registerWithRetry retries until the entry is written or the group stops.
func (g *Group) registerWithRetry(inst objectstore.Instance) {
	for {
		err := g.instanceList.Register(g.baseCtx, inst)
		if err == nil {
			return
		}
		g.log.Warn("instance not registered", "instance", inst.Name, "error", err)
		select {
		case <-time.After(registerRetryInterval):
		case <-g.baseCtx.Done():
			return
		}
	}
}

// deregister removes the entries of all registered upstreams.
func (g *Group) deregister(ctx context.Context) {
	for _, name := range g.registered {
		if err := g.instanceList.Deregister(ctx, name); err != nil {
			g.log.Warn("instance not deregistered", "instance", name, "error", err)
		}
	}
}
