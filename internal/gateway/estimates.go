package gateway

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
)

// Estimates of upstreams travel in the states of instances: in a small fleet each instance
// tells all others its own; in a large one a member tells its leads its own, leads tell each
// other those of their zones, and members those of the fleet.

// estimateOrigins are the values of UpstreamEstimate.origin by scope and kind. The instance that
// measured or summed is the sender of the state, so that its incarnation is not repeated.
var estimateOrigins = [...][4]string{
	upstreamstats.ScopeOwn:   {"os", "ot", "of", "op"},
	upstreamstats.ScopeZone:  {"zs", "zt", "zf", "zp"},
	upstreamstats.ScopeFleet: {"fs", "ft", "ff", "fp"},
}

// estimateOrigin is the meaning of an origin.
type estimateOrigin struct {
	scope upstreamstats.Scope
	kind  upstreamstats.Kind
}

var estimateOriginsByName = func() map[string]estimateOrigin {
	out := map[string]estimateOrigin{}
	for scope, names := range estimateOrigins {
		for kind, name := range names {
			out[name] = estimateOrigin{upstreamstats.Scope(scope), upstreamstats.Kind(kind)}
		}
	}
	return out
}()

// estimatesToWire returns the estimates that changed since the receiver was told last.
func (g *Gateway) estimatesToWire(now time.Duration, to mesh.Receiver) []*meshpb.UpstreamEstimate {
	scope, ok := estimateScope(to)
	if !ok {
		return nil
	}
	standby := scope == upstreamstats.ScopeFleet && !g.tellsFleet(to.Name)
	var told []upstreamstats.Estimate
	g.dispatcher.read(func(s *assign.Scheduler) { told = s.Estimates().Tell(now, to.Name, scope, standby) })
	out := make([]*meshpb.UpstreamEstimate, 0, len(told))
	for i := range told {
		out = append(out, estimateToWire(scope, &told[i]))
	}
	return out
}

// tellsFleet reports whether this instance, of the leads of its zone, is the one to tell a member
// the estimates of the fleet. The others do so less often, in case it cannot.
func (g *Gateway) tellsFleet(member string) bool {
	leads := g.zoneLeads.Load()
	if leads == nil {
		return true
	}
	own := rendezvous(g.self.Name, member)
	return !slices.ContainsFunc(*leads, func(name string) bool { return rendezvous(name, member) > own })
}

func rendezvous(lead, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member + "/" + lead)) // never fails
	x := h.Sum64()
	x ^= x >> 33 // names that differ in the last byte only differ in all bits
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// recordZoneLeads records which peers are leads of this instance's zone.
func (g *Gateway) recordZoneLeads(candidates []*meshpb.MemberInfo) {
	var names []string
	for _, m := range candidates {
		if m.Zone == g.self.Zone {
			names = append(names, m.Name)
		}
	}
	g.zoneLeads.Store(&names)
}

// estimateScope returns which estimates a receiver is told, false for none.
func estimateScope(to mesh.Receiver) (upstreamstats.Scope, bool) {
	switch {
	case !to.LargeFleet:
		return upstreamstats.ScopeOwn, true
	case !to.SameZone:
		return upstreamstats.ScopeZone, to.SenderIsLead
	case to.IsLead:
		return upstreamstats.ScopeOwn, true
	default:
		return upstreamstats.ScopeFleet, to.SenderIsLead
	}
}

func estimateToWire(scope upstreamstats.Scope, e *upstreamstats.Estimate) *meshpb.UpstreamEstimate {
	out := &meshpb.UpstreamEstimate{
		Upstream: e.Subject, Born: e.StartedAtMS, Origin: estimateOrigins[scope][e.Kind], Sequence: e.Sequence,
		Weight: float32(e.Weight), AgeMs: uint32(min(e.Age, time.Hour).Milliseconds()),
	}
	switch e.Kind {
	case upstreamstats.ServiceTime:
		out.ServiceMs = float32(e.Mean)
	case upstreamstats.Failures:
		out.Failures = float32(e.Mean)
	default:
		out.Slowness = float32(e.Mean)
	}
	return out
}

// estimateFromWire returns an estimate and its scope, false for an unknown origin, which a later
// build may send.
func estimateFromWire(in *meshpb.UpstreamEstimate) (e upstreamstats.Estimate, scope upstreamstats.Scope, ok bool) {
	o, ok := estimateOriginsByName[in.Origin]
	e = upstreamstats.Estimate{
		Key:    upstreamstats.Key{Subject: in.Upstream, StartedAtMS: in.Born, Kind: o.kind},
		Weight: float64(in.Weight), Sequence: in.Sequence, Age: time.Duration(in.AgeMs) * time.Millisecond,
	}
	switch o.kind {
	case upstreamstats.ServiceTime:
		e.Mean = float64(in.ServiceMs)
	case upstreamstats.Failures:
		e.Mean = float64(in.Failures)
	default:
		e.Mean = float64(in.Slowness)
	}
	return e, o.scope, ok
}

// maxEstimatesMerged bounds the estimates that are read from one message.
const maxEstimatesMerged = 1024

// mergeEstimates records the estimates in a peer's state as of at.
func (g *Gateway) mergeEstimates(at time.Duration, s *meshpb.InstanceState, lead bool) {
	told := map[upstreamstats.Scope][]upstreamstats.Estimate{}
	if s.Elsewhere != nil {
		told[upstreamstats.ScopeFleet] = nil // a lead speaks for the fleet, also if nothing has changed
	}
	for _, in := range s.Estimates[:min(len(s.Estimates), maxEstimatesMerged)] {
		if e, scope, ok := estimateFromWire(in); ok {
			told[scope] = append(told[scope], e)
		}
	}
	role := g.estimateRole(lead)
	rejected := 0
	g.dispatcher.read(func(sched *assign.Scheduler) {
		stats := sched.Estimates()
		stats.SetRole(role)
		stats.Restarted(s.Name, s.Incarnation)
		for scope, list := range told {
			from := upstreamstats.Sender{Incarnation: s.Incarnation, Zone: s.Zone, SameZone: s.Zone == g.self.Zone, Scope: scope}
			rejected += stats.Merge(at, from, list)
		}
	})
	if rejected > 0 {
		g.metrics.Count("estimates_rejected")
		g.log.Warn("malformed estimates of a peer skipped", "peer", s.Name, "incarnation", s.Incarnation, "count", rejected)
	}
}

// estimateRole returns the part that this instance has in spreading estimates.
func (g *Gateway) estimateRole(lead bool) upstreamstats.Role {
	switch {
	case !g.mesh.IsLargeFleet():
		return upstreamstats.RolePeer
	case lead:
		return upstreamstats.RoleLead
	}
	return upstreamstats.RoleMember
}

// reportEstimates sets the metrics of estimates and forgets what peers were told that do not run.
func (g *Gateway) reportEstimates(names []string) {
	runs := make(map[string]bool, len(names))
	for _, n := range names {
		runs[n] = true
	}
	var series, origins int
	var memory assign.MemoryUse
	var changes []assign.SlowChange
	var slow int
	g.dispatcher.read(func(s *assign.Scheduler) {
		s.Estimates().ForgetReceivers(func(name string) bool { return runs[name] })
		series, origins = s.Estimates().Count()
		memory = s.MemoryUse()
		changes, slow = s.SlowChanges()
	})
	for _, c := range changes {
		if c.Slow {
			g.log.Info("upstream slow", "upstream", c.ID, "slowness", c.Slowness)
		} else {
			g.log.Info("upstream no longer slow", "upstream", c.ID, "slowness", c.Slowness)
		}
	}
	g.metrics.SetGauge("slow_upstreams", float64(slow))
	g.metrics.SetGauge("estimates", float64(series))
	g.metrics.SetGauge("estimate_origins", float64(origins))
	g.metrics.SetGauge("engine_memory_tokens", float64(memory.Tokens))
	g.metrics.SetGauge("engine_memory_reserved_tokens", float64(memory.Reserved))
}
