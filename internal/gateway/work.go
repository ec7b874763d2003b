package gateway

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
)

// workSummary is the load, demand and usage of one instance or the sum over
// several.
type workSummary struct {
	asOf        time.Duration // time of the figures; the mean for several instances
	zone        string        // only for a single instance
	incarnation string        // process whose counters usage holds
	instances   int
	loads       map[string]assign.Load
	demand      map[residency.ModelKey]residency.Rates
	usage       map[string]sharedlimit.Usage
}

func newWorkSummary(at time.Duration) *workSummary {
	return &workSummary{
		asOf: at, loads: map[string]assign.Load{}, demand: map[residency.ModelKey]residency.Rates{}, usage: map[string]sharedlimit.Usage{},
	}
}

// add adds o to w, except for the totals in usage, which count from different
// times.
func (w *workSummary) add(o *workSummary) {
	if n := w.instances + o.instances; n > 0 {
		w.asOf += (o.asOf - w.asOf) * time.Duration(o.instances) / time.Duration(n)
	}
	w.instances += o.instances
	for id, l := range o.loads {
		sum := w.loads[id]
		sum.Add(&l)
		w.loads[id] = sum
	}
	for key, r := range o.demand {
		sum := w.demand[key]
		w.demand[key] = residency.Rates{Fast: sum.Fast + r.Fast, Slow: sum.Slow + r.Slow}
	}
	for org, u := range o.usage {
		sum := w.usage[org]
		sum.Demand += u.Demand
		w.usage[org] = sum
	}
}

// setTotals sets the usage totals, which add leaves out.
func (w *workSummary) setTotals(total func(org string) float64) {
	for org, u := range w.usage {
		u.Total = total(org)
		w.usage[org] = u
	}
}

// usageCounter combines the usage counters of several sources. It sums their
// growth since the first report of each process, which serves as the base.
type usageCounter struct {
	sources map[string]*usageSource // by name
}

// usageSource is the state of one source of a usageCounter.
type usageSource struct {
	incarnation string
	lastTotals  map[string]float64 // by organisation
	growth      map[string]float64
}

func newUsageCounter() *usageCounter { return &usageCounter{sources: map[string]*usageSource{}} }

// record takes the counters that a process of a source has reported.
func (c *usageCounter) record(name, incarnation string, usage map[string]sharedlimit.Usage) {
	src := c.sources[name]
	if src == nil {
		src = &usageSource{growth: map[string]float64{}}
		c.sources[name] = src
	}
	if src.incarnation != incarnation {
		src.incarnation, src.lastTotals = incarnation, map[string]float64{}
	}
	for org, u := range usage {
		if before, ok := src.lastTotals[org]; ok {
			src.growth[org] += u.Total - before
		}
		src.lastTotals[org] = u.Total
	}
}

// total returns the growth of an organisation's counters, summed over all sources
// except the one named.
func (c *usageCounter) total(org, except string) float64 {
	sum := 0.0
	for name, src := range c.sources {
		if name != except {
			sum += src.growth[org]
		}
	}
	return sum
}

// aggregate is the summed work of several instances, as reported by one of them.
// A sum from another reporter is accepted only after the current reporter has been
// silent for reporterTimeout, because both sums cover the same work.
type aggregate struct {
	summary      *workSummary
	reporter     string
	lastReportAt time.Duration // time of the last report by reporter
}

// reporterTimeout is how long a reporter may be silent before another one is
// accepted: six state exchanges of a large fleet.
const reporterTimeout = 1500 * time.Millisecond

// accept stores a sum unless another reporter is active, and reports whether it
// was stored.
func (s *aggregate) accept(at time.Duration, reporter, incarnation string, w *workSummary) bool {
	if s.reporter != "" && s.reporter != reporter && at-s.lastReportAt < reporterTimeout {
		return false
	}
	w.incarnation = incarnation
	*s = aggregate{summary: w, reporter: reporter, lastReportAt: at}
	return true
}

// workTTL is how long the work reported by a peer or zone is counted.
const workTTL = 3 * time.Second

// workView collects the work of peers: of each peer in a small fleet or in this
// instance's zone, and the sums of the other zones in a large fleet. The sums come
// from the leads, a few instances of each zone that report for all of it (see
// package mesh). It is safe for concurrent use.
type workView struct {
	self            *meshpb.MemberInfo
	mu              sync.Mutex
	peers           map[string]*workSummary // by name
	zoneOf          map[string]string       // by name; of peers that reported their own work
	zones           map[string]*aggregate   // by zone; other zones, as reported by their leads
	others          *aggregate              // all other instances, as reported by a lead of this zone
	zoneUsage       *usageCounter           // of the peers in this zone
	otherZonesUsage *usageCounter           // of other zones
}

func newWorkView(self *meshpb.MemberInfo) *workView {
	return &workView{
		self: self, peers: map[string]*workSummary{}, zoneOf: map[string]string{}, zones: map[string]*aggregate{}, others: &aggregate{},
		zoneUsage: newUsageCounter(), otherZonesUsage: newUsageCounter(),
	}
}

// othersName is the key in remoteWork for the sum of several instances.
const othersName = "others"

// update stores the work in a peer's state message.
func (v *workView) update(at time.Duration, s *meshpb.InstanceState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Work != nil {
		w := workSummaryFromWire(at, s.Work)
		w.zone, w.incarnation = s.Zone, s.Incarnation
		v.peers[s.Name], v.zoneOf[s.Name] = w, s.Zone
		if s.Zone == v.self.Zone {
			v.zoneUsage.record(s.Name, s.Incarnation, w.usage)
		}
	}
	if s.ZoneWork != nil && s.Zone != v.self.Zone {
		if v.zones[s.Zone] == nil {
			v.zones[s.Zone] = &aggregate{}
		}
		w := workSummaryFromWire(at, s.ZoneWork)
		if v.zones[s.Zone].accept(at, s.Name, s.Incarnation, w) {
			v.otherZonesUsage.record(s.Zone, s.Incarnation, w.usage)
		}
	}
	if s.Elsewhere != nil && s.Zone == v.self.Zone {
		v.others.accept(at, s.Name, s.Incarnation, workSummaryFromWire(at, s.Elsewhere))
	}
}

// expire removes work that is older than workTTL.
func (v *workView) expire(now time.Duration) {
	maps.DeleteFunc(v.peers, func(_ string, w *workSummary) bool { return now-w.asOf > workTTL })
	maps.DeleteFunc(v.zones, func(_ string, z *aggregate) bool { return now-z.summary.asOf > workTTL })
	if v.others.summary != nil && now-v.others.summary.asOf > workTTL {
		v.others = &aggregate{}
	}
}

// zoneSum returns the sum over this zone, including own, the work of this instance.
func (v *workView) zoneSum(now time.Duration, own *workSummary) *workSummary {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	sum := newWorkSummary(now)
	sum.add(own)
	for _, w := range v.peers {
		if w.zone == v.self.Zone {
			sum.add(w)
		}
	}
	sum.setTotals(func(org string) float64 { return own.usage[org].Total + v.zoneUsage.total(org, "") })
	return sum
}

// otherZonesSum returns the sum over the other zones, as reported by their leads.
func (v *workView) otherZonesSum(now time.Duration) *workSummary {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	sum := newWorkSummary(now)
	for _, z := range v.zones {
		sum.add(z.summary)
	}
	sum.setTotals(func(org string) float64 { return v.otherZonesUsage.total(org, "") })
	return sum
}

// sumExcluding returns the sum over all instances except this one and the named
// member of this zone.
func (v *workView) sumExcluding(now time.Duration, member string) *workSummary {
	sum := v.otherZonesSum(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, w := range v.peers {
		if w.zone == v.self.Zone && name != member {
			sum.add(w)
		}
	}
	sum.setTotals(func(org string) float64 { return v.otherZonesUsage.total(org, "") + v.zoneUsage.total(org, member) })
	return sum
}

// remoteWork returns the work to be counted in addition to the local work, by the
// name of the peer or othersName. In a small fleet, and for a lead, it consists of
// the work of each peer and the sum over the zones that are reported as sums. For
// any other member of a large fleet it consists of the work of one lead and the sum
// over all other instances that this lead reports.
func (v *workView) remoteWork(now time.Duration, lead bool) map[string]*workSummary {
	otherZones := v.otherZonesSum(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]*workSummary, len(v.peers)+1)
	if !lead && v.others.summary != nil {
		out[othersName] = v.others.summary
		if w := v.peers[v.others.reporter]; w != nil {
			out[v.others.reporter] = w
		}
		return out
	}
	if otherZones.instances > 0 {
		out[othersName] = otherZones
	}
	for name, w := range v.peers {
		if w.zone == v.self.Zone || v.zones[w.zone] == nil {
			out[name] = w
		}
	}
	return out
}

// includedInSum reports whether a peer that was counted individually is now
// included in a sum.
func (v *workView) includedInSum(peer string, lead bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer == othersName {
		return false
	}
	if !lead && v.others.summary != nil {
		return peer != v.others.reporter
	}
	zone, ok := v.zoneOf[peer]
	return ok && zone != v.self.Zone && v.zones[zone] != nil
}

func workSummaryToWire(now time.Duration, w *workSummary, demand bool) *meshpb.Work {
	out := &meshpb.Work{Instances: uint32(w.instances), AgeMs: uint32(max(now-w.asOf, 0).Milliseconds())}
	for id, l := range w.loads {
		out.Loads = append(out.Loads, loadToWire(id, &l))
	}
	for org, u := range w.usage {
		out.Use = append(out.Use, &meshpb.OrganisationUse{Organisation: org, Total: u.Total, Demand: u.Demand})
	}
	if !demand {
		return out
	}
	for key, r := range w.demand {
		out.Demand = append(out.Demand, &meshpb.ModelDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Fast: float32(r.Fast), Slow: float32(r.Slow),
		})
	}
	return out
}

func workSummaryFromWire(at time.Duration, in *meshpb.Work) *workSummary {
	w := newWorkSummary(at - time.Duration(in.AgeMs)*time.Millisecond)
	w.instances = int(in.Instances)
	for _, l := range in.Loads {
		w.loads[l.Upstream] = loadFromWire(l)
	}
	for _, d := range in.Demand {
		key := residency.ModelKey{Service: d.Service, Model: d.Model, Adapter: d.Adapter}
		w.demand[key] = residency.Rates{Fast: float64(d.Fast), Slow: float64(d.Slow)}
	}
	for _, u := range in.Use {
		w.usage[u.Organisation] = sharedlimit.Usage{Total: u.Total, Demand: u.Demand}
	}
	return w
}

func loadToWire(id string, l *assign.Load) *meshpb.UpstreamLoad {
	out := &meshpb.UpstreamLoad{Upstream: id, Running: uint32(l.Running), ReservedTokens: uint32(min(max(l.ReservedTokens, 0), math.MaxUint32))}
	for urgency, n := range l.Pending {
		if n > 0 {
			out.Pending = append(out.Pending, &meshpb.PendingLoad{
				Urgency: uint32(urgency), Requests: uint32(n), Tokens: uint32(l.PendingTokens[urgency]),
			})
		}
	}
	return out
}

func loadFromWire(in *meshpb.UpstreamLoad) assign.Load {
	l := assign.Load{Running: int(in.Running), ReservedTokens: int(in.ReservedTokens)}
	for _, p := range in.Pending {
		if p.Urgency < assign.UrgencyLevels {
			l.Pending[p.Urgency] += int(p.Requests)
			l.PendingTokens[p.Urgency] += int(p.Tokens)
		}
	}
	return l
}
