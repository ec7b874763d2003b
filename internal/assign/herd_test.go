package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

// fleetSimulation simulates the load of a popular model on a large fleet. Many
// instances place requests on the same engines, and each knows the load of the
// others as of half a second ago. An engine runs as many requests as it has
// slots and queues the rest.
type fleetSimulation struct {
	rng         *rand.Rand
	schedulers  []*Scheduler
	engines     map[string]*simulatedEngine
	loadHistory []map[string]map[string]Load // OwnLoads of each instance, by exchange round
	requestRate float64                      // requests per second
	arrived     int
	started     int
	onTime      int // started before the objective
	queued      int // sent to an engine whose slots were taken
	refused     int
}

type simulatedEngine struct {
	running int
	queue   []func(now time.Duration)
}

const (
	fleetInstances      = 80
	fleetEngines        = 12
	fleetSlots          = 24
	fleetFirstTokenTime = 50 * time.Millisecond
	fleetMeanStreamTime = 1650 * time.Millisecond
	// fleetExchangePeriod and fleetLoadAge are the period of the exchange and
	// the age of the load reports.
	fleetExchangePeriod = 250 * time.Millisecond
	fleetLoadAge        = 2 * fleetExchangePeriod
)

func newFleetSimulation(rate float64) *fleetSimulation {
	f := &fleetSimulation{rng: rand.New(rand.NewPCG(7, 7)), requestRate: rate, engines: map[string]*simulatedEngine{}}
	config := &fleet.Config{Services: map[string]*fleet.Service{"chat": {Name: "chat", Engine: &fleet.Engine{Slots: fleetSlots}}}}
	var list []fleet.Upstream
	for i := range fleetEngines {
		f.engines[fmt.Sprintf("e%d", i)] = &simulatedEngine{}
		list = append(list, fleet.Upstream{
			ID: fmt.Sprintf("e%d", i), Service: "chat", Zone: fmt.Sprintf("z%d", i%3), StartedAtMS: 1, Slots: fleetSlots,
			Models: []fleet.ResidentModel{{Model: "m"}},
		})
	}
	for i := range fleetInstances {
		s := New(Options{Zone: fmt.Sprintf("z%d", i%3), Seed: uint64(i)})
		s.SetUpstreams(config, list)
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// exchangeLoads gives each instance the sum of the others' loads as of
// fleetLoadAge ago.
func (f *fleetSimulation) exchangeLoads(now time.Duration) {
	own := map[string]map[string]Load{}
	for i, s := range f.schedulers {
		own[fmt.Sprint(i)] = s.OwnLoads()
	}
	f.loadHistory = append(f.loadHistory, own)
	outdated := f.loadHistory[max(0, len(f.loadHistory)-1-int(fleetLoadAge/fleetExchangePeriod))]
	for i, s := range f.schedulers {
		sum := map[string]Load{}
		for name, loads := range outdated {
			if name == fmt.Sprint(i) {
				continue
			}
			for id, l := range loads {
				total := sum[id]
				total.Add(&l)
				sum[id] = total
			}
		}
		s.SetPeers(map[string]PeerLoads{"others": {At: now - fleetLoadAge, Instances: fleetInstances - 1, Loads: sum}})
	}
}

type fleetEvent struct {
	at time.Duration
	do func(now time.Duration)
}

func (f *fleetSimulation) run(length time.Duration) {
	var events []fleetEvent
	push := func(at time.Duration, do func(time.Duration)) {
		i, _ := slices.BinarySearchFunc(events, at, func(e fleetEvent, at time.Duration) int { return int(at - e.at) })
		events = slices.Insert(events, i, fleetEvent{at, do})
	}
	exp := func(mean float64) time.Duration { return time.Duration(-mean * math.Log(1-f.rng.Float64())) }
	var placeQueued func(now time.Duration, s *Scheduler)
	finish := func(now time.Duration, e *simulatedEngine) {
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next(now)
		}
	}
	dispatch := func(now time.Duration, s *Scheduler, p *Placement, id string) {
		e := f.engines[id]
		begin := func(now time.Duration) {
			e.running++
			push(now+fleetFirstTokenTime, func(now time.Duration) {
				s.RecordFirstToken(now, p)
				f.started++
				if now <= p.job.Objective {
					f.onTime++
				}
			})
			push(now+fleetFirstTokenTime+exp(float64(fleetMeanStreamTime)), func(now time.Duration) {
				finish(now, e)
				s.Release(now, p, ResultOK)
				placeQueued(now, s)
			})
		}
		if e.running < fleetSlots {
			begin(now)
			return
		}
		f.queued++
		e.queue = append(e.queue, begin)
	}
	placeQueued = func(now time.Duration, s *Scheduler) {
		for _, w := range s.PlaceQueued(now) {
			if w.Placement == nil {
				f.refused++
				continue
			}
			dispatch(now, s, w.Placement, w.Decision.Upstream.ID)
		}
	}
	var arrive, exchange func(time.Duration)
	arrive = func(now time.Duration) {
		f.arrived++
		s := f.schedulers[f.rng.IntN(len(f.schedulers))]
		switch p, v := s.Submit(now, newChatJob(f.arrived, now)); {
		case p != nil:
			dispatch(now, s, p, v.Upstream.ID)
		case v != nil:
			f.refused++
		}
		push(now+exp(float64(time.Second)/f.requestRate), arrive)
	}
	exchange = func(now time.Duration) {
		f.exchangeLoads(now)
		for _, s := range f.schedulers {
			placeQueued(now, s)
		}
		push(now+fleetExchangePeriod, exchange)
	}
	push(start, arrive)
	push(start, exchange)
	for now := start; now < start+length; {
		e := events[len(events)-1]
		events = events[:len(events)-1]
		now = e.at
		e.do(now)
	}
}

// Instances with the same stale load reports do not all choose the engine that
// was free half a second ago. With two thirds of the slots taken, hardly any
// request reaches a full engine.
func TestOldFiguresDoNotGatherRequests(t *testing.T) {
	f := newFleetSimulation(110)
	f.run(20 * time.Second)
	must.Less(t, 0.03, float64(f.queued)/float64(f.arrived), must.Sprint(f.summary()))
	must.Less(t, 0.01, float64(f.refused)/float64(f.arrived), must.Sprint(f.summary()))
}

// With more requests than the engines can run, instances use the free slots
// although their load reports are stale. More than 1.5 times as many requests
// start on time as when all instances choose the best engine.
func TestOldFiguresDoNotLeaveSlotsFree(t *testing.T) {
	capacity := fleetEngines * fleetSlots / (fleetFirstTokenTime + fleetMeanStreamTime).Seconds()
	f, baseline := newFleetSimulation(1.3*capacity), newFleetSimulation(1.3*capacity)
	for _, s := range baseline.schedulers {
		s.opts.DisableSpread = true
	}
	f.run(20 * time.Second)
	baseline.run(20 * time.Second)
	figures := must.Sprintf("%s; baseline %s", f.summary(), baseline.summary())
	must.Greater(t, 0.9*capacity*20, float64(f.started), figures)
	must.Greater(t, 3*baseline.onTime/2, f.onTime, figures)
}

func (f *fleetSimulation) summary() string {
	return fmt.Sprintf("arrived %d, started %d, on time %d, queued %d, refused %d", f.arrived, f.started, f.onTime, f.queued, f.refused)
}
