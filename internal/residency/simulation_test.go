package residency

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"pgregory.net/rapid"
)

const (
	testService    = "chat"
	simulationTick = 50 * time.Millisecond
	reportLag      = 200 * time.Millisecond // age of the reports that engines return
)

// simulation is a fleet of engines whose reports are correct but late, and that
// execute orders as the platform's engines do.
type simulation struct {
	t             *rapid.T
	now           time.Duration
	config        *fleet.Config
	spec          *fleet.Engine
	engines       []*fakeEngine
	delayedOrders []delayedOrder
	loads         []time.Duration // when loads from the store began
}

type fakeEngine struct {
	entry        fleet.Upstream
	sequence     int64
	models       []fleet.ResidentModel
	loading      string
	ready        time.Duration
	fencingToken uint64
	disk         []string
	history      []fleet.Report // one per tick, to return late reports
}

type delayedOrder struct {
	at          time.Duration
	e           *fakeEngine
	startedAtMS int64
	order       fleet.Order
}

func newSimulation(t *rapid.T, engines, models int) *simulation {
	sim := &simulation{t: t, now: time.Second, spec: &fleet.Engine{
		Slots: 16, MemoryMB: 300, AdapterSlots: 3, LoadsPerS: 2, Models: map[string]*fleet.Model{},
	}}
	for i := range models {
		m := &fleet.Model{
			Name: fmt.Sprintf("m%d", i), WeightsMB: 95, AdapterMB: 4, Adapters: 4 * (i % 2),
			StoreLoadTime: 2 * time.Second, DiskLoadTime: 400 * time.Millisecond,
		}
		sim.spec.Models[m.Name] = m
		sim.spec.ModelNames = append(sim.spec.ModelNames, m.Name)
	}
	sim.config = &fleet.Config{Services: map[string]*fleet.Service{testService: {Name: testService, Engine: sim.spec}}}
	for i := range engines {
		e := &fakeEngine{entry: fleet.Upstream{ID: fmt.Sprintf("e%d", i), Service: testService, Zone: fmt.Sprintf("z%d", i%2), StartedAtMS: 1, Slots: 16}}
		e.models = []fleet.ResidentModel{{Model: fmt.Sprintf("m%d", i%models)}}
		sim.engines = append(sim.engines, e)
	}
	return sim
}

func (sim *simulation) upstreams() []fleet.Upstream {
	var out []fleet.Upstream
	for _, e := range sim.engines {
		out = append(out, e.entry)
	}
	return out
}

func (sim *simulation) engine(id string) *fakeEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *fakeEngine) bool { return e.entry.ID == id })]
}

// tick advances the time by simulationTick: it finishes loads, records reports
// and delivers delayed orders.
func (sim *simulation) tick() {
	sim.now += simulationTick
	for _, e := range sim.engines {
		if e.loading != "" && sim.now >= e.ready {
			e.models = append(e.models, fleet.ResidentModel{Model: e.loading})
			e.disk = append(e.disk, e.loading)
			e.loading = ""
		}
		e.history = append(e.history, fleet.Report{
			UpstreamID: e.entry.ID, StartedAtMS: e.entry.StartedAtMS, Sequence: e.sequence, Busy: e.loading != "",
			Models: cloneModels(e.models), OnDisk: slices.Clone(e.disk),
		})
	}
	due := sim.delayedOrders
	sim.delayedOrders = nil
	for _, d := range due {
		if d.at > sim.now {
			sim.delayedOrders = append(sim.delayedOrders, d)
		} else {
			sim.executeOrder(d.e, d.order)
		}
	}
}

func (e *fakeEngine) report() fleet.Report {
	return e.history[max(len(e.history)-1-int(reportLag/simulationTick), 0)]
}

// executeOrder executes an order and checks that the engine's memory is not
// overcommitted.
func (sim *simulation) executeOrder(e *fakeEngine, o fleet.Order) fleet.OrderOutcome {
	switch {
	case o.FencingToken < e.fencingToken:
		return fleet.OrderFenced
	case e.loading != "" || o.ExpectedSequence >= 0 && o.ExpectedSequence != e.sequence:
		return fleet.OrderConflict
	}
	e.fencingToken = o.FencingToken
	m := fleet.FindModel(e.models, o.Model)
	switch {
	case o.Adapter != "" && m == nil:
		return fleet.OrderConflict
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		if m.HasAdapter(o.Adapter) {
			return fleet.OrderAlreadyApplied
		}
		m.Adapters = append(m.Adapters, o.Adapter)
	case o.Adapter != "":
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		e.sequence++
		return fleet.OrderAlreadyApplied
	case o.Kind == fleet.OrderLoad && m != nil:
		return fleet.OrderAlreadyApplied
	case o.Kind == fleet.OrderLoad:
		sim.beginLoad(e, o.Model)
	default:
		e.models = slices.DeleteFunc(e.models, func(r fleet.ResidentModel) bool { return r.Model == o.Model })
	}
	e.sequence++
	sim.checkMemory(e)
	return fleet.OrderAccepted
}

func (sim *simulation) beginLoad(e *fakeEngine, model string) {
	spec := sim.spec.Models[model]
	d := spec.StoreLoadTime
	if slices.Contains(e.disk, model) {
		d = spec.DiskLoadTime
	} else {
		sim.loads = append(sim.loads, sim.now)
	}
	e.loading, e.ready = model, sim.now+d
}

func (sim *simulation) checkMemory(e *fakeEngine) {
	mb, adapters := 0.0, 0
	for _, m := range e.models {
		mb += sim.spec.Models[m.Model].WeightsMB + float64(len(m.Adapters))*sim.spec.Models[m.Model].AdapterMB
		adapters += len(m.Adapters)
	}
	if e.loading != "" {
		mb += sim.spec.Models[e.loading].WeightsMB
	}
	if mb > sim.spec.MemoryMB || adapters > sim.spec.AdapterSlots {
		sim.t.Fatalf("%s is overcommitted: %.0f MB of %.0f, %d adapters of %d: %v, loading %s",
			e.entry.ID, mb, sim.spec.MemoryMB, adapters, sim.spec.AdapterSlots, e.models, e.loading)
	}
}

// restart restarts an engine under the same ID and with empty state.
func (sim *simulation) restart(e *fakeEngine) {
	e.entry.StartedAtMS++
	e.sequence, e.models, e.loading, e.fencingToken, e.history = 0, nil, "", 0, nil
}

// execute makes the call of a planner's action. With fault 0 the call is
// answered, with 1 it never arrives, and with more an order arrives that many
// ticks late and its answer is lost.
func (sim *simulation) execute(p *Planner, fencingToken uint64, a Action, fault int) {
	e := sim.engine(a.Engine.Upstream.ID)
	id, startedAtMS := a.Engine.Upstream.ID, a.Engine.Upstream.StartedAtMS
	if a.Report {
		if fault != 0 || len(e.history) == 0 || e.entry.StartedAtMS != startedAtMS {
			p.HandleReport(sim.now, sim.now, id, startedAtMS, fleet.Report{}, errors.New("no answer"))
			return
		}
		p.HandleReport(sim.now, sim.now, id, startedAtMS, e.report(), nil)
		return
	}
	o := *a.Order
	o.FencingToken = fencingToken
	switch fault {
	case 0:
		p.HandleOrderOutcome(sim.now, id, startedAtMS, o, sim.executeOrder(e, o))
	case 1:
		p.HandleOrderOutcome(sim.now, id, startedAtMS, o, fleet.OrderUnknown)
	default:
		sim.delayedOrders = append(sim.delayedOrders, delayedOrder{sim.now + time.Duration(fault)*simulationTick, e, startedAtMS, o})
		p.HandleOrderOutcome(sim.now, id, startedAtMS, o, fleet.OrderUnknown)
	}
}

// No engine's memory may be overcommitted when calls are lost or late, the lease
// holder changes or engines restart.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 4, 7)
		sim.play(8, 80, 80)
	})
}

// An engine that started again under its ID was ordered to load more than it holds, by a load that its
// former incarnation had not answered and that arrived late. Later it loads what callers ask for.
func TestLateLoadFindsRoomAfterARestart(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, 1, 2)
		sim.spec.MemoryMB = 115
		planner, e, hot := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second}), sim.engines[0], "m1"
		for range 40 * time.Second / simulationTick {
			sim.tick()
			planner.SetDemand(map[ModelKey]Rates{{Service: testService, Model: hot}: {Fast: 40_000, Slow: 10_000}})
			planner.SetEngines(sim.now, sim.config, sim.upstreams())
			for _, a := range planner.Step(sim.now) {
				late := hot == "m1" && !a.Report && a.Order.Kind == fleet.OrderLoad
				if !late {
					sim.execute(planner, 1, a, 0)
					continue
				}
				sim.execute(planner, 1, a, rapid.IntRange(60, 240).Draw(rt, "ticks late"))
				sim.restart(e)
				hot = "m0"
			}
		}
		if hot != "m0" || !slices.ContainsFunc(e.models, func(m fleet.ResidentModel) bool { return m.Model == "m0" }) {
			rt.Fatalf("holds %v, callers ask for %s", e.models, hot)
		}
	})
}

// The same with more engines and models, of which any order may be late.
func TestLateLoadsFindRoomBesideFaults(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rapid.IntRange(1, 2).Draw(rt, "engines"), rapid.IntRange(2, 3).Draw(rt, "models"))
		sim.spec.MemoryMB = 115
		sim.play(50, 0, 40)
	})
}

// play lets a planner follow a demand that moves after so many ticks, beside faults. The holder
// changes, and an engine restarts, in one of so many ticks, 0 for never.
func (sim *simulation) play(demandTicks, holderTicks, restartTicks int) {
	rt, models := sim.t, len(sim.spec.ModelNames)
	planner, fencingToken := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second}), uint64(1)
	hot := "m0"
	for step := range 400 {
		sim.tick()
		demand := map[ModelKey]Rates{}
		if step%demandTicks == 0 {
			hot = fmt.Sprintf("m%d", rapid.IntRange(0, models-1).Draw(rt, "hot"))
		}
		demand[ModelKey{Service: testService, Model: hot}] = Rates{Fast: 40_000, Slow: 10_000}
		planner.SetDemand(demand)
		planner.SetEngines(sim.now, sim.config, sim.upstreams())
		for i := range 4 {
			planner.RequestAdapter(sim.now, ModelKey{testService, hot, fmt.Sprintf("a%d", i+1)})
		}
		for _, a := range planner.Step(sim.now) {
			sim.execute(planner, fencingToken, a, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 25, 70, 240}).Draw(rt, "lost"))
		}
		if holderTicks > 0 && rapid.IntRange(1, holderTicks).Draw(rt, "holder") == holderTicks {
			fencingToken++
			planner = NewPlanner(Options{Holder: "n2", LoadWindow: 5 * time.Second})
		}
		if rapid.IntRange(1, restartTicks).Draw(rt, "restart") == restartTicks {
			sim.restart(sim.engines[rapid.IntRange(0, len(sim.engines)-1).Draw(rt, "engine")])
		}
	}
}
