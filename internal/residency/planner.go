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
	Holder string // name of the lease holder that orders carry
	// LoadWindow is the length of the window in which the platform counts
	// loads from the weight store.
	LoadWindow time.Duration
}

// Planner holds the lease holder's state of all engines and decides the orders.
// It is not safe for concurrent use.
type Planner struct {
	opts            Options
	demand          map[ModelKey]Rates
	engines         map[string]*Engine
	budgets         map[string]*loadBudget     // by service
	adapterRequests map[ModelKey]time.Duration // time of the last request
	expectations    expectations
	sent            map[string][]sentLoad // without an outcome, by engine ID
}

// NewPlanner returns a planner for one leadership, from taking to losing the
// lease. The loads that a former holder began just before are unknown; see
// loadBudget for those that are counted.
func NewPlanner(opts Options) *Planner {
	return &Planner{
		opts: opts, engines: map[string]*Engine{}, budgets: map[string]*loadBudget{},
		adapterRequests: map[ModelKey]time.Duration{}, expectations: expectations{}, sent: map[string][]sentLoad{},
	}
}

// SetEngines sets the engines that may be used. An engine that restarted or
// changed its address starts without a report.
func (p *Planner) SetEngines(now time.Duration, config *fleet.Config, list []fleet.Upstream) {
	next := make(map[string]*Engine, len(list))
	for _, u := range list {
		svc := config.Services[u.Service]
		if svc == nil || svc.Engine == nil {
			continue
		}
		e := p.engines[u.ID]
		if e == nil || e.Upstream.StartedAtMS != u.StartedAtMS || e.Upstream.Address != u.Address {
			e = &Engine{Models: cloneModels(u.Models), adapterLastOrdered: map[string]time.Duration{}}
		}
		e.Upstream, e.Spec, e.late = u, svc.Engine, p.lateLoads(now, &u)
		next[u.ID] = e
		if p.budgets[u.Service] == nil {
			p.budgets[u.Service] = newLoadBudget(now, p.opts.LoadWindow, shortestLoad(svc.Engine), svc.Engine.LoadsPerS)
		}
	}
	p.engines = next
}

// SetDemand sets the requested work per model and adapter, summed over all
// instances.
func (p *Planner) SetDemand(demand map[ModelKey]Rates) { p.demand = demand }

// SetRequests sets the number of requests at each engine, by engine ID.
func (p *Planner) SetRequests(requests map[string]int) {
	for id, e := range p.engines {
		e.Requests = requests[id]
	}
}

// SetLimits sets the limits that engines name, in requests per second by engine ID. An
// engine with a low limit does not count as a home of the models that it holds, unless
// half of its service are such engines.
func (p *Planner) SetLimits(limits map[string]float64) {
	all, low := map[string]int{}, map[string]int{}
	for id, e := range p.engines {
		rate, limited := limits[id]
		e.limited = limited && rate < minServingRate*float64(e.Spec.Slots)
		all[e.Upstream.Service]++
		if e.limited {
			low[e.Upstream.Service]++
		}
	}
	for _, e := range p.engines {
		e.limited = e.limited && 2*low[e.Upstream.Service] < all[e.Upstream.Service]
	}
}

// minServingRate is the limit, in requests per second and slot, below which it is low.
const minServingRate = 0.25

// SetPauses sets the times until which engines want no call, by engine ID.
func (p *Planner) SetPauses(pauses map[string]time.Duration) {
	for id, until := range pauses {
		if e := p.engines[id]; e != nil {
			e.backoffUntil = max(e.backoffUntil, until)
		}
	}
}

// RequestAdapter records that an instance waits for an adapter.
func (p *Planner) RequestAdapter(now time.Duration, adapter ModelKey) {
	p.adapterRequests[adapter] = now
}

// Action is a call to one engine. Exactly one of Report and Order is set.
type Action struct {
	Engine *Engine
	Report bool         // read the engine's report
	Order  *fleet.Order // send the order
	Reason string       // why the order was decided, for the log
	// FromStore is whether the order is a load that the weight store's rate counts.
	FromStore bool
}

const (
	// reportInterval is how often the report of an engine that executes no
	// order is read.
	reportInterval = 2 * time.Second
	// limitedReportInterval is the same for an engine that takes few requests.
	limitedReportInterval = 8 * time.Second
	// busyReportInterval is how often the report is read while an engine
	// executes an order.
	busyReportInterval = 150 * time.Millisecond
	// readyReportLead is how long before the expected end of a load the
	// engine's report is read.
	readyReportLead = 100 * time.Millisecond
	// minRetryBackoff is the pause after a failed call; it doubles with each
	// further failure, up to eight times this value.
	minRetryBackoff = 300 * time.Millisecond
)

// Step returns the calls to make now. No further call to an action's engine is
// planned until its outcome is passed to HandleReport or HandleOrderOutcome.
func (p *Planner) Step(now time.Duration) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if p.reportDue(now, e) {
			e.recordCall(now)
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
	if e.callPending || now < e.backoffUntil || !e.mayCall(now) {
		return false
	}
	switch {
	case e.ReadAt == 0 || e.needsReport:
		return true
	case e.Loading != "" && now < e.LoadReady-readyReportLead:
		return false
	case e.Busy:
		return now-e.ReadAt >= busyReportInterval
	}
	if e.limited {
		return now-e.ReadAt >= limitedReportInterval
	}
	return now-e.ReadAt >= reportInterval
}

// HandleReport applies the outcome of an Action with Report set: the report of
// the engine, requested at sentAt, or the error of the call.
func (p *Planner) HandleReport(now, sentAt time.Duration, id string, startedAtMS int64, r fleet.Report, err error) {
	e := p.engines[id]
	if e == nil || e.Upstream.StartedAtMS != startedAtMS {
		return
	}
	e.callPending = false
	if err != nil {
		e.backOff(now)
		return
	}
	e.failures = 0
	if e.ReadAt == 0 && r.Busy {
		p.budgets[e.Upstream.Service].record(now) // a load of a former holder, perhaps
	}
	e.applyReport(sentAt, r)
}

func (e *Engine) backOff(now time.Duration) {
	e.failures++
	e.backoffUntil = now + minRetryBackoff<<min(e.failures-1, 3)
}

// HandleOrderOutcome applies the outcome of an Action with an Order.
func (p *Planner) HandleOrderOutcome(now time.Duration, id string, startedAtMS int64, o fleet.Order, outcome fleet.OrderOutcome) {
	if outcome != fleet.OrderUnknown {
		p.forgetSent(id, startedAtMS, o)
	}
	e := p.engines[id]
	if e == nil || e.Upstream.StartedAtMS != startedAtMS {
		return
	}
	e.callPending = false
	switch outcome {
	case fleet.OrderAccepted:
		e.failures = 0
		e.Sequence++
		e.applyAccepted(now, o)
	case fleet.OrderAlreadyApplied:
		e.failures = 0
		if o.Kind == fleet.OrderUnload && o.Adapter != "" {
			e.Sequence++ // an unused adapter is unloaded before the engine answers
			e.applyAccepted(now, o)
			return
		}
		e.needsReport = true // the sequence may or may not have advanced
	case fleet.OrderUnknown:
		e.needsReport = true
		e.Loading, e.Unloading = "", ""
		e.backOff(now)
	default:
		e.needsReport = true
		e.Loading, e.Unloading = "", ""
		e.backoffUntil = now + busyReportInterval
	}
}

func (e *Engine) applyAccepted(now time.Duration, o fleet.Order) {
	switch {
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		if m := fleet.FindModel(e.Models, o.Model); m != nil && !m.HasAdapter(o.Adapter) {
			m.Adapters = append(m.Adapters, o.Adapter)
		}
	case o.Adapter != "":
		if m := fleet.FindModel(e.Models, o.Model); m != nil {
			m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		}
	default:
		e.Busy = true
		e.ReadAt = now
	}
}

// issueOrder returns the action for an order and marks the engine as occupied by
// it.
func (p *Planner) issueOrder(now time.Duration, e *Engine, kind fleet.OrderKind, model, adapter, reason string) Action {
	e.recordCall(now)
	fromStore := false
	o := &fleet.Order{Kind: kind, Model: model, Adapter: adapter, Holder: p.opts.Holder, ExpectedSequence: e.Sequence}
	p.recordSent(now, e, o)
	switch {
	case adapter != "":
		e.adapterLastOrdered[model+"/"+adapter] = now
	case kind == fleet.OrderLoad:
		e.Reserved = ""
		var d time.Duration
		d, fromStore = e.loadTime(e.Spec.Models[model])
		e.Loading, e.LoadReady = model, now+d
		if fromStore {
			p.budgets[e.Upstream.Service].recordOwn(now)
		}
	default:
		e.Unloading = model
	}
	return Action{Engine: e, Order: o, Reason: reason, FromStore: fromStore}
}

// EngineStates returns what each engine holds, sorted by ID, for the engines
// whose report has been read.
func (p *Planner) EngineStates() []EngineState {
	out := make([]EngineState, 0, len(p.engines))
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.ReadAt == 0 {
			continue
		}
		s := EngineState{ID: id, StartedAtMS: e.Upstream.StartedAtMS, Models: cloneModels(e.Models)}
		if e.Unloading != "" {
			s.Unloading = []string{e.Unloading}
		}
		if e.Loading != "" {
			s.Loading, s.ReadyAt = e.Loading, e.LoadReady
		}
		out = append(out, s)
	}
	return out
}

// enginesOf returns the engines of a service, sorted by ID.
func (p *Planner) enginesOf(service string) []*Engine {
	var out []*Engine
	for _, e := range p.engines {
		if e.Upstream.Service == service {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Engine) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}
