package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// Options configure a Planner.
type Options struct {
	Holder string // name under which orders are given
	// LoadWindow is the window in which the platform counts loads from the
	// weight store.
	LoadWindow time.Duration
}

// Planner holds what the holder of the lease knows of all engines, and decides
// the orders. It is not safe for concurrent use.
type Planner struct {
	opts    Options
	demand  map[ModelKey]Rates
	engines map[string]*Engine
	budgets map[string]*budget // by service
	wanted  map[ModelKey]time.Duration
}

// NewPlanner returns a planner for one tenure of the lease. What a former
// holder loaded just before is not known: half a window of loads counts as
// begun at now.
func NewPlanner(opts Options) *Planner {
	return &Planner{
		opts: opts, engines: map[string]*Engine{}, budgets: map[string]*budget{},
		wanted: map[ModelKey]time.Duration{},
	}
}

// SetEngines takes in the engines that may be used.
func (p *Planner) SetEngines(now time.Duration, config *fleet.Config, list []fleet.Upstream) {
	next := make(map[string]*Engine, len(list))
	for _, u := range list {
		svc := config.Services[u.Service]
		if svc == nil || svc.Engine == nil {
			continue
		}
		e := p.engines[u.ID]
		if e == nil || e.Entry.Born != u.Born || e.Entry.Address != u.Address {
			e = &Engine{Models: cloneModels(u.Models), adapterUsed: map[string]time.Duration{}}
		}
		e.Entry, e.Spec = u, svc.Engine
		next[u.ID] = e
		if p.budgets[u.Service] == nil {
			b := &budget{window: p.opts.LoadWindow}
			b.assume(now, int(svc.Engine.LoadsPerS*p.opts.LoadWindow.Seconds()/2))
			p.budgets[u.Service] = b
		}
	}
	p.engines = next
}

// SetDemand takes in the work asked for per model and adapter, over all
// instances.
func (p *Planner) SetDemand(demand map[ModelKey]Rates) { p.demand = demand }

// SetRequests takes in how many requests each engine has.
func (p *Planner) SetRequests(requests map[string]int) {
	for id, e := range p.engines {
		e.Requests = requests[id]
	}
}

// WantAdapter notes that an instance waits for an adapter.
func (p *Planner) WantAdapter(now time.Duration, adapter ModelKey) {
	p.wanted[adapter] = now
}

// Action is something to do at one engine. Exactly one field besides Engine
// is set.
type Action struct {
	Engine *Engine
	Report bool
	Order  *fleet.Order
	Reason string // what decided the order, for the log
}

const (
	// reportEvery is how often an engine's report is read in calm times.
	reportEvery = 2 * time.Second
	// reportBusy is how often it is read while an order is carried out.
	reportBusy = 150 * time.Millisecond
	// reportEarly is how long before a load should be ready its report is read.
	reportEarly = 100 * time.Millisecond
	// retryFailed is the pause after a call that failed; it doubles with each
	// up to eight times.
	retryFailed = 300 * time.Millisecond
)

// Step returns what is to be done now. Each action's engine is busy until its
// outcome is reported.
func (p *Planner) Step(now time.Duration) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if p.reportDue(now, e) {
			e.asking = true
			actions = append(actions, Action{Engine: e, Report: true})
		}
	}
	for _, e := range p.engines {
		if e.Reserved != "" && now >= e.reservedUntil {
			e.Reserved = ""
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.budgets)) {
		actions = append(actions, p.planModels(now, service)...)
		actions = append(actions, p.planAdapters(now, service)...)
	}
	return actions
}

func (p *Planner) reportDue(now time.Duration, e *Engine) bool {
	if e.asking || now < e.busyUntil {
		return false
	}
	switch {
	case e.ReadAt == 0 || e.stale:
		return true
	case e.Loading != "" && now < e.LoadReady-reportEarly:
		return false
	case e.Busy:
		return now-e.ReadAt >= reportBusy
	}
	return now-e.ReadAt >= reportEvery
}

// Reported takes in a report, or that none came.
func (p *Planner) Reported(now, sentAt time.Duration, id string, born int64, r fleet.Report, err error) {
	e := p.engines[id]
	if e == nil || e.Entry.Born != born {
		return
	}
	e.asking = false
	if err != nil {
		e.pause(now)
		return
	}
	e.failures = 0
	e.apply(sentAt, r)
}

func (e *Engine) pause(now time.Duration) {
	e.failures++
	e.busyUntil = now + retryFailed<<min(e.failures-1, 3)
}

// Ordered takes in the outcome of an order.
func (p *Planner) Ordered(now time.Duration, id string, born int64, o fleet.Order, outcome fleet.OrderOutcome) {
	e := p.engines[id]
	if e == nil || e.Entry.Born != born {
		return
	}
	e.asking = false
	switch outcome {
	case fleet.OrderAccepted:
		e.failures = 0
		e.Sequence++
		e.accepted(now, o)
	case fleet.OrderHolds:
		e.failures = 0
		if o.Kind == fleet.OrderUnload && o.Adapter != "" {
			e.Sequence++ // an adapter that nobody uses is gone with the answer
			e.accepted(now, o)
			return
		}
		e.stale = true // the sequence may have moved or not
	case fleet.OrderUnknown:
		e.stale = true
		e.Loading, e.Unloading = "", ""
		e.pause(now)
	default:
		e.stale = true
		e.Loading, e.Unloading = "", ""
		e.busyUntil = now + reportBusy
	}
}

func (e *Engine) accepted(now time.Duration, o fleet.Order) {
	switch {
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		if m := fleet.Find(e.Models, o.Model); m != nil && !m.Holds(o.Adapter) {
			m.Adapters = append(m.Adapters, o.Adapter)
		}
	case o.Adapter != "":
		if m := fleet.Find(e.Models, o.Model); m != nil {
			m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		}
	default:
		e.Busy = true
		e.ReadAt = now
	}
}

// order marks an engine as occupied by an order.
func (p *Planner) order(now time.Duration, e *Engine, kind fleet.OrderKind, model, adapter, reason string) Action {
	e.asking = true
	o := &fleet.Order{Kind: kind, Model: model, Adapter: adapter, Holder: p.opts.Holder, Expected: e.Sequence}
	switch {
	case adapter != "":
		e.adapterUsed[model+"/"+adapter] = now
	case kind == fleet.OrderLoad:
		e.Reserved = ""
		d, fromStore := e.loadTime(e.Spec.Models[model])
		e.Loading, e.LoadReady = model, now+d
		if fromStore {
			p.budgets[e.Entry.Service].begin(now)
		}
	default:
		e.Unloading = model
	}
	return Action{Engine: e, Order: o, Reason: reason}
}

// Residents returns what is known of all engines that were read.
func (p *Planner) Residents() []Resident {
	out := make([]Resident, 0, len(p.engines))
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.ReadAt == 0 {
			continue
		}
		r := Resident{ID: id, Born: e.Entry.Born, Models: cloneModels(e.Models)}
		if e.Unloading != "" {
			r.Closing = []string{e.Unloading}
		}
		if e.Loading != "" {
			r.Coming, r.ReadyAt = e.Loading, e.LoadReady
		}
		out = append(out, r)
	}
	return out
}

// engines of a service, by ID.
func (p *Planner) of(service string) []*Engine {
	var out []*Engine
	for _, e := range p.engines {
		if e.Entry.Service == service {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Engine) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return out
}
