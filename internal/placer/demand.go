package placer

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"storj.io/drpc"
)

// server handles RPC calls of peers.
type server struct{ controller *Controller }

// Server returns the implementation of peerpb.DRPCPlacementServer.
func (c *Controller) Server() peerpb.DRPCPlacementServer { return server{c} }

// zoneLeaderAddress returns the peer address of the zone leader.
func (c *Controller) zoneLeaderAddress() (string, bool) {
	name := c.opts.ZoneLeader()
	for _, p := range c.opts.Snapshot().ZonePeers(c.opts.Self.Zone) {
		if p.Name == name {
			return p.PeerAddress, true
		}
	}
	return "", false
}

// reportDemand reports this instance's demand to the zone leader every
// reportPeriod and applies the drains of the reply. If no zone leader answers for
// reportTTL, it applies an empty set of drains.
func (c *Controller) reportDemand(ctx context.Context) error {
	lastReply := c.opts.Now()
	for ctx.Err() == nil {
		if c.reportOnce(ctx) {
			lastReply = c.opts.Now()
		} else if c.opts.Now()-lastReply > reportTTL {
			c.applyDrains(nil)
		}
		sleep(ctx, reportPeriod)
	}
	return nil
}

// reportOnce sends one report and returns whether the zone leader accepted it.
// Demand that was not accepted is included in the next report.
func (c *Controller) reportOnce(ctx context.Context) bool {
	usage := c.meter.collect()
	if _, held := c.opts.LeaseHeld(); held {
		recorded := false
		err := c.postAndWait(ctx, func() {
			if c.leadership != nil {
				c.leadership.recordUsage(c.opts.Now(), c.opts.Self.Name, usage)
				recorded = true
			}
		})
		if err == nil && recorded {
			return true // the zone leader applies its own drains when it plans
		}
	} else if address, ok := c.zoneLeaderAddress(); ok {
		if reply, err := c.sendReport(ctx, address, usage); err == nil && reply.Held {
			c.applyDrains(drainsFromWire(reply.Drains))
			return true
		}
	}
	for model, cost := range usage.demand {
		c.meter.addDemand(model, cost)
	}
	return false
}

func (c *Controller) sendReport(ctx context.Context, address string, usage usageReport) (reply *peerpb.DemandReply, err error) {
	msg := &peerpb.DemandReport{Instance: c.opts.Self.Name}
	for model, cost := range usage.demand {
		msg.Demand = append(msg.Demand, &peerpb.ModelDemand{Model: model, AcceleratorUs: cost.Microseconds()})
	}
	for f, n := range usage.inFlight {
		msg.Flights = append(msg.Flights, &peerpb.Flight{Upstream: f.upstream, Model: f.model, Adapter: f.adapter, Requests: n})
	}
	err = c.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCPlacementClient(conn).Report(ctx, msg)
		return err
	})
	if err != nil {
		c.opts.Log.Debug("demand report failed", "address", address, "error", err)
	}
	return reply, err
}

// Report implements peerpb.DRPCPlacementServer.
func (s server) Report(ctx context.Context, msg *peerpb.DemandReport) (*peerpb.DemandReply, error) {
	usage := usageReport{demand: map[string]time.Duration{}, inFlight: map[inFlightKey]int64{}}
	for _, m := range msg.Demand {
		usage.demand[m.Model] += time.Duration(m.AcceleratorUs) * time.Microsecond
	}
	for _, f := range msg.Flights {
		usage.inFlight[inFlightKey{f.Upstream, f.Model, f.Adapter}] += f.Requests
	}
	reply := &peerpb.DemandReply{}
	err := s.controller.postAndWait(ctx, func() {
		if s.controller.leadership == nil {
			return
		}
		now := s.controller.opts.Now()
		s.controller.leadership.recordUsage(now, msg.Instance, usage)
		reply.Held = true
		reply.Drains = drainsToWire(s.controller.leadership.drains(now, true))
	})
	return reply, err
}

// shareDrainsPeriodically sends this zone's drains to the other zones while this
// instance is the zone leader. The calls also show which zones are reachable.
func (c *Controller) shareDrainsPeriodically(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.leadershipStarted:
		case <-time.After(drainSharePeriod):
		}
		c.shareDrainsWithZones(ctx)
	}
	return nil
}

// shareDrainsWithZones sends this zone's drains to one random peer of each other
// zone.
func (c *Controller) shareDrainsWithZones(ctx context.Context) {
	var msg *peerpb.ZoneDrains
	var l *leadership
	err := c.postAndWait(ctx, func() {
		if l = c.leadership; l != nil {
			msg = &peerpb.ZoneDrains{Zone: c.opts.Self.Zone, Drains: drainsToWire(c.leadership.drains(c.opts.Now(), false))}
		}
	})
	if err != nil || msg == nil {
		return
	}
	byZone := map[string][]objectstore.Instance{}
	for _, p := range c.opts.Snapshot().Peers {
		if p.Zone != c.opts.Self.Zone {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var wg sync.WaitGroup
	for zone, peers := range byZone {
		wg.Go(func() { c.shareDrainsWithZone(ctx, zone, peers[rand.Intn(len(peers))], msg) })
	}
	wg.Wait()
	_ = c.post(ctx, func() { l.zonesContacted = true })
}

func (c *Controller) shareDrainsWithZone(ctx context.Context, zone string, p objectstore.Instance, msg *peerpb.ZoneDrains) {
	sentAt := c.opts.Now()
	if err := c.sendDrains(ctx, p.PeerAddress, msg); err != nil {
		c.opts.Log.Debug("sending drains to zone failed", "zone", zone, "peer", p.Name, "error", err)
		return
	}
	_ = c.post(ctx, func() { c.zoneSeenAt[zone] = sentAt })
}

func (c *Controller) sendDrains(ctx context.Context, address string, msg *peerpb.ZoneDrains) error {
	return c.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		_, err := peerpb.NewDRPCPlacementClient(conn).ShareDrains(ctx, msg)
		return err
	})
}

// ShareDrains implements peerpb.DRPCPlacementServer. An instance that is not
// the zone leader forwards the drains to it.
func (s server) ShareDrains(ctx context.Context, msg *peerpb.ZoneDrains) (*peerpb.ZoneDrainsReply, error) {
	c := s.controller
	if _, held := c.opts.LeaseHeld(); !held {
		if address, ok := c.zoneLeaderAddress(); ok && !msg.Forwarded {
			forwarded := &peerpb.ZoneDrains{Zone: msg.Zone, Drains: msg.Drains, Forwarded: true}
			if err := c.sendDrains(ctx, address, forwarded); err != nil {
				c.opts.Log.Debug("forwarding drains to the zone leader failed", "zone", msg.Zone, "error", err)
			}
		}
		return &peerpb.ZoneDrainsReply{}, nil
	}
	err := c.postAndWait(ctx, func() {
		c.remoteDrains[msg.Zone] = zoneDrains{receivedAt: c.opts.Now(), drains: drainsFromWire(msg.Drains)}
	})
	return &peerpb.ZoneDrainsReply{}, err
}

func drainsToWire(list []drain) []*peerpb.Drain {
	var wire []*peerpb.Drain
	for _, d := range list {
		wire = append(wire, &peerpb.Drain{Upstream: d.upstream, Model: d.model})
	}
	return wire
}

func drainsFromWire(wire []*peerpb.Drain) []drain {
	var list []drain
	for _, d := range wire {
		list = append(list, drain{d.Upstream, d.Model})
	}
	return list
}
