package standin

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
)

// registerRetry is the pause between attempts to register.
const registerRetry = 500 * time.Millisecond

// upstream is a stand-in that the instance list shows.
type upstream struct {
	name        string
	zone        string
	incarnation string
	faults      *fault.Set
}

// register keeps the upstream's entry in the instance list as its faults say.
func (g *Group) register(u upstream) {
	if g.list == nil {
		return
	}
	g.upstreams = append(g.upstreams, u.name)
	inst := platform.Instance{
		Name:        u.name,
		Incarnation: u.incarnation,
		Zone:        u.zone,
		Role:        platform.RoleUpstream,
		Address:     g.Address(u.name),
		State:       platform.InstanceLive,
	}
	changed := make(chan struct{}, 1)
	u.faults.OnChange(func(fault.Faults) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	g.duties.Go(func() {
		for {
			inst.State = platform.InstanceLive
			if u.faults.Get().Leaving {
				inst.State = platform.InstanceLeaving
			}
			g.keepRegistered(inst)
			select {
			case <-changed:
			case <-g.base.Done():
				return
			}
		}
	})
}

// keepRegistered tries until the entry is written or the group stops.
func (g *Group) keepRegistered(inst platform.Instance) {
	for {
		err := g.list.Register(g.base, inst)
		if err == nil {
			return
		}
		g.log.Warn("instance not registered", "instance", inst.Name, "error", err)
		select {
		case <-time.After(registerRetry):
		case <-g.base.Done():
			return
		}
	}
}

func (g *Group) deregister(ctx context.Context) {
	for _, name := range g.upstreams {
		if err := g.list.Deregister(ctx, name); err != nil {
			g.log.Warn("instance not deregistered", "instance", name, "error", err)
		}
	}
}
