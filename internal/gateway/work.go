package gateway

import (
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/residency"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
)

// work is what one or several instances do and are asked for.
type work struct {
	at        time.Duration // as of when
	zone      string        // of a single instance
	instances int
	loads     map[string]assign.Load
	demand    map[residency.ModelKey]residency.Rates
	use       map[string]sharedlimit.Use
}

func newWork(at time.Duration) *work {
	return &work{
		at: at, loads: map[string]assign.Load{}, demand: map[residency.ModelKey]residency.Rates{}, use: map[string]sharedlimit.Use{},
	}
}

// add sums o into w. Use is left out: its totals count since different times.
func (w *work) add(o *work) {
	w.at = min(w.at, o.at)
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
	for org, u := range o.use {
		sum := w.use[org]
		sum.Demand += u.Demand
		w.use[org] = sum
	}
}

// useCounter sums counters of several sources into one that grows: each
// source's first word is its base.
type useCounter struct {
	sources map[string]*useSource // by name and incarnation
}

type useSource struct {
	name  string
	last  map[string]float64 // by organisation
	grown map[string]float64
}

func newUseCounter() *useCounter { return &useCounter{sources: map[string]*useSource{}} }

func (c *useCounter) heard(name, incarnation string, use map[string]sharedlimit.Use) {
	key := name + "/" + incarnation
	src := c.sources[key]
	if src == nil {
		src = &useSource{name: name, last: map[string]float64{}, grown: map[string]float64{}}
		c.sources[key] = src
	}
	for org, u := range use {
		if before, ok := src.last[org]; ok {
			src.grown[org] += u.Total - before
		}
		src.last[org] = u.Total
	}
}

// total returns what an organisation's counters have grown by, over all
// sources but the one named.
func (c *useCounter) total(org, except string) float64 {
	sum := 0.0
	for _, src := range c.sources {
		if src.name != except {
			sum += src.grown[org]
		}
	}
	return sum
}

// workTerm is how long the work that a peer or zone told is counted.
const workTerm = 3 * time.Second

// workView gathers the work of peers: each peer of a small fleet or of the own
// zone, and sums of other zones in a large one.
type workView struct {
	self     *meshpb.MemberInfo
	mu       sync.Mutex
	peers    map[string]*work // by name
	zones    map[string]*work // by zone, as their leads told
	outside  *work            // all others, as a lead of the own zone told
	told     string           // the lead that told outside
	zoneUse  *useCounter      // of the own zone's peers
	worldUse *useCounter      // of other zones
}

func newWorkView(self *meshpb.MemberInfo) *workView {
	return &workView{
		self: self, peers: map[string]*work{}, zones: map[string]*work{}, zoneUse: newUseCounter(), worldUse: newUseCounter(),
	}
}

// outsideName stands for instances that are summed.
const outsideName = "others"

// heard takes in what a peer told.
func (v *workView) heard(at time.Duration, s *meshpb.InstanceState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Work != nil {
		w := workFromWire(at, s.Work)
		w.zone = s.Zone
		v.peers[s.Name] = w
		if s.Zone == v.self.Zone {
			v.zoneUse.heard(s.Name, s.Incarnation, w.use)
		}
	}
	if s.ZoneWork != nil && s.Zone != v.self.Zone {
		w := workFromWire(at, s.ZoneWork)
		v.zones[s.Zone] = w
		v.worldUse.heard(s.Name, s.Incarnation, w.use)
	}
	if s.Elsewhere != nil && s.Zone == v.self.Zone {
		stale := v.outside == nil || at-v.outside.at > workTerm/2
		if v.told == s.Name || s.Name < v.told || stale {
			v.outside, v.told = workFromWire(at, s.Elsewhere), s.Name
		}
	}
}

// trim forgets what is too old to count.
func (v *workView) trim(now time.Duration) {
	for name, w := range v.peers {
		if now-w.at > workTerm {
			delete(v.peers, name)
		}
	}
	for zone, w := range v.zones {
		if now-w.at > workTerm {
			delete(v.zones, zone)
		}
	}
	if v.outside != nil && now-v.outside.at > workTerm {
		v.outside, v.told = nil, ""
	}
}

// zone returns the sum of the own zone, own included.
func (v *workView) zone(now time.Duration, own *work) *work {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.trim(now)
	sum := newWork(now)
	sum.add(own)
	for _, w := range v.peers {
		if w.zone == v.self.Zone {
			sum.add(w)
		}
	}
	for org, u := range sum.use {
		u.Total = own.use[org].Total + v.zoneUse.total(org, "")
		sum.use[org] = u
	}
	return sum
}

// elsewhere returns the sum of the other zones, as their leads told this one.
func (v *workView) elsewhere(now time.Duration) *work {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.trim(now)
	sum := newWork(now)
	for _, w := range v.zones {
		sum.add(w)
	}
	for org, u := range sum.use {
		u.Total = v.worldUse.total(org, "")
		sum.use[org] = u
	}
	return sum
}

// beside returns, for a member of the zone, the sum of all instances but that
// one and this one.
func (v *workView) beside(now time.Duration, member string) *work {
	sum := v.elsewhere(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, w := range v.peers {
		if w.zone == v.self.Zone && name != member {
			sum.add(w)
		}
	}
	for org, u := range sum.use {
		u.Total = v.worldUse.total(org, "") + v.zoneUse.total(org, member)
		sum.use[org] = u
	}
	return sum
}

// parts returns the work to be counted beside the own. In a small fleet, and
// for a lead, that is each peer and each zone that is summed; another member of
// a large fleet counts the lead that tells it of all others, and what it tells.
func (v *workView) parts(now time.Duration, lead bool) map[string]*work {
	outside := v.elsewhere(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]*work, len(v.peers)+1)
	if !lead && v.outside != nil {
		out[outsideName] = v.outside
		if w := v.peers[v.told]; w != nil {
			out[v.told] = w
		}
		return out
	}
	if outside.instances > 0 {
		out[outsideName] = outside
	}
	for name, w := range v.peers {
		if w.zone == v.self.Zone || v.zones[w.zone] == nil {
			out[name] = w
		}
	}
	return out
}

func workToWire(now time.Duration, w *work, demand bool) *meshpb.Work {
	out := &meshpb.Work{Instances: uint32(w.instances), AgeMs: uint32(max(now-w.at, 0).Milliseconds())}
	for id, l := range w.loads {
		out.Loads = append(out.Loads, loadToWire(id, &l))
	}
	for org, u := range w.use {
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

func workFromWire(at time.Duration, in *meshpb.Work) *work {
	w := newWork(at - time.Duration(in.AgeMs)*time.Millisecond)
	w.instances = int(in.Instances)
	for _, l := range in.Loads {
		w.loads[l.Upstream] = loadFromWire(l)
	}
	for _, d := range in.Demand {
		key := residency.ModelKey{Service: d.Service, Model: d.Model, Adapter: d.Adapter}
		w.demand[key] = residency.Rates{Fast: float64(d.Fast), Slow: float64(d.Slow)}
	}
	for _, u := range in.Use {
		w.use[u.Organisation] = sharedlimit.Use{Total: u.Total, Demand: u.Demand}
	}
	return w
}

func loadToWire(id string, l *assign.Load) *meshpb.UpstreamLoad {
	out := &meshpb.UpstreamLoad{Upstream: id, Running: uint32(l.Running)}
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
	l := assign.Load{Running: int(in.Running)}
	for _, p := range in.Pending {
		if p.Urgency < assign.Urgencies {
			l.Pending[p.Urgency] += int(p.Requests)
			l.PendingTokens[p.Urgency] += int(p.Tokens)
		}
	}
	return l
}

// incarnation identifies whose counters a part of the work holds: totals of
// another one start anew.
func (v *workView) incarnation(part string, lead bool) string {
	if part != outsideName || lead {
		return ""
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.told
}
