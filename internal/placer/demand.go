package placer

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"storj.io/drpc"
)

// server answers the calls of peers.
type server struct{ d *Duty }

// Server returns the implementation of peerpb.DRPCPlacementServer.
func (d *Duty) Server() peerpb.DRPCPlacementServer { return server{d} }

// holderAddress returns where the holder of the zone's lease listens.
func (d *Duty) holderAddress() (string, bool) {
	name := d.opts.Holder()
	for _, p := range d.opts.Known().ZonePeers(d.opts.Self.Zone) {
		if p.Name == name {
			return p.PeerAddress, true
		}
	}
	return "", false
}

// reportDemand tells the holder each second what this instance was asked for,
// and heeds what drains. Without a holder to ask, it heeds nothing after a
// while.
func (d *Duty) reportDemand(ctx context.Context) error {
	heard := d.opts.Now()
	for ctx.Err() == nil {
		if d.report(ctx) {
			heard = d.opts.Now()
		} else if d.opts.Now()-heard > reportKept {
			d.heed(nil)
		}
		sleep(ctx, reportPeriod)
	}
	return nil
}

// report says whether the holder answered. Demand that did not reach it is
// told again.
func (d *Duty) report(ctx context.Context) bool {
	use := d.meter.take()
	if _, held := d.opts.Held(); held {
		taken := false
		err := d.do(ctx, func() {
			if d.term != nil {
				d.term.take(d.opts.Now(), d.opts.Self.Name, use)
				taken = true
			}
		})
		if err == nil && taken {
			return true // the owner heeds what it decides itself
		}
	} else if address, ok := d.holderAddress(); ok {
		if reply, err := d.sendReport(ctx, address, use); err == nil && reply.Held {
			d.heed(drainsFromWire(reply.Drains))
			return true
		}
	}
	for model, cost := range use.demand {
		d.meter.asked(model, cost)
	}
	return false
}

func (d *Duty) sendReport(ctx context.Context, address string, use usage) (reply *peerpb.DemandReply, err error) {
	msg := &peerpb.DemandReport{Instance: d.opts.Self.Name}
	for model, cost := range use.demand {
		msg.Demand = append(msg.Demand, &peerpb.ModelDemand{Model: model, AcceleratorUs: cost.Microseconds()})
	}
	for f, n := range use.flights {
		msg.Flights = append(msg.Flights, &peerpb.Flight{Upstream: f.upstream, Model: f.model, Adapter: f.adapter, Requests: n})
	}
	err = d.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCPlacementClient(conn).Report(ctx, msg)
		return err
	})
	if err != nil {
		d.opts.Log.Debug("report demand", "address", address, "error", err)
	}
	return reply, err
}

// Report implements peerpb.DRPCPlacementServer.
func (s server) Report(ctx context.Context, msg *peerpb.DemandReport) (*peerpb.DemandReply, error) {
	use := usage{demand: map[string]time.Duration{}, flights: map[flight]int64{}}
	for _, m := range msg.Demand {
		use.demand[m.Model] += time.Duration(m.AcceleratorUs) * time.Microsecond
	}
	for _, f := range msg.Flights {
		use.flights[flight{f.Upstream, f.Model, f.Adapter}] += f.Requests
	}
	reply := &peerpb.DemandReply{}
	err := s.d.do(ctx, func() {
		if s.d.term == nil {
			return
		}
		now := s.d.opts.Now()
		s.d.term.take(now, msg.Instance, use)
		reply.Held = true
		reply.Drains = drainsToWire(s.d.term.drains(now, true))
	})
	return reply, err
}

// greetZones tells other zones, while this instance holds the lease, what
// drains here, and learns which zones can be reached.
func (d *Duty) greetZones(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.begun:
		case <-time.After(greetPeriod):
		}
		d.greetAll(ctx)
	}
	return nil
}

func (d *Duty) greetAll(ctx context.Context) {
	var msg *peerpb.ZoneDrains
	var t *term
	err := d.do(ctx, func() {
		if t = d.term; t != nil {
			msg = &peerpb.ZoneDrains{Zone: d.opts.Self.Zone, Drains: drainsToWire(d.term.drains(d.opts.Now(), false))}
		}
	})
	if err != nil || msg == nil {
		return
	}
	byZone := map[string][]platform.Instance{}
	for _, p := range d.opts.Known().Peers {
		if p.Zone != d.opts.Self.Zone {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	var wg sync.WaitGroup
	for zone, peers := range byZone {
		wg.Go(func() { d.greet(ctx, zone, peers[rand.Intn(len(peers))], msg) })
	}
	wg.Wait()
	_ = d.post(ctx, func() { t.greeted = true })
}

func (d *Duty) greet(ctx context.Context, zone string, p platform.Instance, msg *peerpb.ZoneDrains) {
	asked := d.opts.Now()
	if err := d.shareDrains(ctx, p.PeerAddress, msg); err != nil {
		d.opts.Log.Debug("greet zone", "zone", zone, "peer", p.Name, "error", err)
		return
	}
	_ = d.post(ctx, func() { d.seen[zone] = asked })
}

func (d *Duty) shareDrains(ctx context.Context, address string, msg *peerpb.ZoneDrains) error {
	return d.opts.Peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		_, err := peerpb.NewDRPCPlacementClient(conn).ShareDrains(ctx, msg)
		return err
	})
}

// ShareDrains implements peerpb.DRPCPlacementServer. What arrives elsewhere is
// passed on to the holder.
func (s server) ShareDrains(ctx context.Context, msg *peerpb.ZoneDrains) (*peerpb.ZoneDrainsReply, error) {
	d := s.d
	if _, held := d.opts.Held(); !held {
		if address, ok := d.holderAddress(); ok && !msg.Forwarded {
			forwarded := &peerpb.ZoneDrains{Zone: msg.Zone, Drains: msg.Drains, Forwarded: true}
			if err := d.shareDrains(ctx, address, forwarded); err != nil {
				d.opts.Log.Debug("pass on drains", "zone", msg.Zone, "error", err)
			}
		}
		return &peerpb.ZoneDrainsReply{}, nil
	}
	err := d.do(ctx, func() {
		d.remote[msg.Zone] = zoneDrains{at: d.opts.Now(), drains: drainsFromWire(msg.Drains)}
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
