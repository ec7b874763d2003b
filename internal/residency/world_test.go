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
	testService = "chat"
	worldTick   = 50 * time.Millisecond
	worldLag    = 200 * time.Millisecond // of reports
)

// world is a fleet of engines that tell the truth about their memory, late,
// and carry out orders as the platform's engines do.
type world struct {
	t       *rapid.T
	now     time.Duration
	config  *fleet.Config
	spec    *fleet.Engine
	engines []*fakeEngine
	late    []lateOrder
	loads   []time.Duration // when loads from the store began
}

type fakeEngine struct {
	entry    fleet.Upstream
	sequence int64
	models   []fleet.ResidentModel
	loading  string
	ready    time.Duration
	fence    uint64
	disk     []string
	history  []fleet.Report // by tick, for the lag
}

type lateOrder struct {
	at    time.Duration
	e     *fakeEngine
	born  int64
	order fleet.Order
}

func newWorld(t *rapid.T, engines, models int) *world {
	w := &world{t: t, now: time.Second, spec: &fleet.Engine{
		Slots: 16, WeightsMB: 300, AdapterSlots: 3, LoadsPerS: 2, Models: map[string]*fleet.Model{},
	}}
	for i := range models {
		m := &fleet.Model{
			Name: fmt.Sprintf("m%d", i), WeightsMB: 95, AdapterMB: 4, Adapters: 4 * (i % 2),
			LoadTime: 2 * time.Second, DiskTime: 400 * time.Millisecond,
		}
		w.spec.Models[m.Name] = m
		w.spec.ModelNames = append(w.spec.ModelNames, m.Name)
	}
	w.config = &fleet.Config{Services: map[string]*fleet.Service{testService: {Name: testService, Engine: w.spec}}}
	for i := range engines {
		e := &fakeEngine{entry: fleet.Upstream{ID: fmt.Sprintf("e%d", i), Service: testService, Zone: fmt.Sprintf("z%d", i%2), Born: 1, Slots: 16}}
		e.models = []fleet.ResidentModel{{Model: fmt.Sprintf("m%d", i%models)}}
		w.engines = append(w.engines, e)
	}
	return w
}

func (w *world) list() []fleet.Upstream {
	var out []fleet.Upstream
	for _, e := range w.engines {
		out = append(out, e.entry)
	}
	return out
}

func (w *world) engine(id string) *fakeEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.entry.ID == id })]
}

// tick lets loads finish, late orders arrive and reports age.
func (w *world) tick() {
	w.now += worldTick
	for _, e := range w.engines {
		if e.loading != "" && w.now >= e.ready {
			e.models = append(e.models, fleet.ResidentModel{Model: e.loading})
			e.disk = append(e.disk, e.loading)
			e.loading = ""
		}
		e.history = append(e.history, fleet.Report{
			UpstreamID: e.entry.ID, Born: e.entry.Born, Sequence: e.sequence, Busy: e.loading != "",
			Models: cloneModels(e.models), OnDisk: slices.Clone(e.disk),
		})
	}
	due := w.late
	w.late = nil
	for _, l := range due {
		if l.at > w.now {
			w.late = append(w.late, l)
		} else {
			w.order(l.e, l.order)
		}
	}
}

func (e *fakeEngine) report() fleet.Report {
	return e.history[max(len(e.history)-1-int(worldLag/worldTick), 0)]
}

// order carries out an order and checks that nothing is overcommitted.
func (w *world) order(e *fakeEngine, o fleet.Order) fleet.OrderOutcome {
	switch {
	case o.Fence < e.fence:
		return fleet.OrderFenced
	case e.loading != "" || o.Expected >= 0 && o.Expected != e.sequence:
		return fleet.OrderConflict
	}
	e.fence = o.Fence
	m := fleet.Find(e.models, o.Model)
	switch {
	case o.Adapter != "" && m == nil:
		return fleet.OrderConflict
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		if m.Holds(o.Adapter) {
			return fleet.OrderHolds
		}
		m.Adapters = append(m.Adapters, o.Adapter)
	case o.Adapter != "":
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		e.sequence++
		return fleet.OrderHolds
	case o.Kind == fleet.OrderLoad && m != nil:
		return fleet.OrderHolds
	case o.Kind == fleet.OrderLoad:
		w.beginLoad(e, o.Model)
	default:
		e.models = slices.DeleteFunc(e.models, func(r fleet.ResidentModel) bool { return r.Model == o.Model })
	}
	e.sequence++
	w.checkMemory(e)
	return fleet.OrderAccepted
}

func (w *world) beginLoad(e *fakeEngine, model string) {
	spec := w.spec.Models[model]
	d := spec.LoadTime
	if slices.Contains(e.disk, model) {
		d = spec.DiskTime
	} else {
		w.loads = append(w.loads, w.now)
	}
	e.loading, e.ready = model, w.now+d
}

func (w *world) checkMemory(e *fakeEngine) {
	mb, adapters := 0.0, 0
	for _, m := range e.models {
		mb += w.spec.Models[m.Model].WeightsMB + float64(len(m.Adapters))*w.spec.Models[m.Model].AdapterMB
		adapters += len(m.Adapters)
	}
	if e.loading != "" {
		mb += w.spec.Models[e.loading].WeightsMB
	}
	if mb > w.spec.WeightsMB || adapters > w.spec.AdapterSlots {
		w.t.Fatalf("%s is overcommitted: %.0f MB of %.0f, %d adapters of %d: %v, loading %s",
			e.entry.ID, mb, w.spec.WeightsMB, adapters, w.spec.AdapterSlots, e.models, e.loading)
	}
}

// restart starts an engine again under its ID: it knows nothing.
func (w *world) restart(e *fakeEngine) {
	e.entry.Born++
	e.sequence, e.models, e.loading, e.fence, e.history = 0, nil, "", 0, nil
}

// carryOut does what a planner asks for. lost tells how a call fares: 0 it is
// answered, 1 it never arrives, more: it arrives so many ticks late.
func (w *world) carryOut(p *Planner, fence uint64, a Action, lost int) {
	e := w.engine(a.Engine.Entry.ID)
	id, born := a.Engine.Entry.ID, a.Engine.Entry.Born
	if a.Report {
		if lost != 0 || len(e.history) == 0 || e.entry.Born != born {
			p.Reported(w.now, w.now, id, born, fleet.Report{}, errors.New("no answer"))
			return
		}
		p.Reported(w.now, w.now, id, born, e.report(), nil)
		return
	}
	o := *a.Order
	o.Fence = fence
	switch lost {
	case 0:
		p.Ordered(w.now, id, born, o, w.order(e, o))
	case 1:
		p.Ordered(w.now, id, born, o, fleet.OrderUnknown)
	default:
		w.late = append(w.late, lateOrder{w.now + time.Duration(lost)*worldTick, e, born, o})
		p.Ordered(w.now, id, born, o, fleet.OrderUnknown)
	}
}

// Whatever is lost or late, whoever gives the orders and whichever engine
// starts again: no engine's memory is overcommitted.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapidtest.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 4, 7)
		planner, fence := NewPlanner(Options{Holder: "n1", LoadWindow: 5 * time.Second}), uint64(1)
		hot := "m0"
		for step := range 300 {
			w.tick()
			demand := map[ModelKey]Rates{}
			if step%8 == 0 {
				hot = fmt.Sprintf("m%d", rapid.IntRange(0, 6).Draw(rt, "hot"))
			}
			demand[ModelKey{Service: testService, Model: hot}] = Rates{Fast: 40_000, Slow: 10_000}
			planner.SetDemand(demand)
			planner.SetEngines(w.now, w.config, w.list())
			for i := range 4 {
				planner.WantAdapter(w.now, ModelKey{testService, hot, fmt.Sprintf("a%d", i+1)})
			}
			for _, a := range planner.Step(w.now) {
				w.carryOut(planner, fence, a, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 25, 70}).Draw(rt, "lost"))
			}
			switch rapid.IntRange(0, 80).Draw(rt, "event") {
			case 0:
				fence++
				planner = NewPlanner(Options{Holder: "n2", LoadWindow: 5 * time.Second})
			case 1:
				w.restart(w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(rt, "engine")])
			}
		}
	})
}
