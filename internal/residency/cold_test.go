package residency

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

// Reports of an engine that carries out an order are read seven times a second, which is as
// much as a cold engine takes from all instances.
func TestColdEnginesGetFewCalls(t *testing.T) {
	p := NewPlanner(Options{Holder: "i", LoadWindow: 5 * time.Second})
	config := &fleet.Config{Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Slots: 4, MemoryMB: 100, LoadsPerS: 1}}}}
	p.SetEngines(0, config, []fleet.Upstream{{ID: "e0", Service: "llm", StartedAtMS: 1}, {ID: "e1", Service: "llm", StartedAtMS: 1}})
	calls := map[string]int{}
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		p.SetCold(now, map[string]time.Duration{"e0": 30*time.Second - now})
		for _, a := range p.Step(now) {
			calls[a.Engine.Upstream.ID]++
			p.HandleReport(now, now, a.Engine.Upstream.ID, 1, fleet.Report{Busy: true}, nil)
		}
	}
	must.Between(t, 8, calls["e0"], 10)
	must.Greater(t, 40, calls["e1"])
}

// A model whose only replica is on an engine that stays cold for long is loaded elsewhere,
// unless most engines are cold.
func TestEngineThatStaysColdIsNoHome(t *testing.T) {
	e := &fleet.Engine{Slots: 4, MemoryMB: 100, LoadsPerS: 1, Models: map[string]*fleet.Model{"m": {Name: "m", WeightsMB: 10}}, ModelNames: []string{"m"}}
	p := NewPlanner(Options{Holder: "i", LoadWindow: 5 * time.Second})
	list := []fleet.Upstream{{ID: "e0", Service: "llm", Models: []fleet.ResidentModel{{Model: "m"}}}, {ID: "e1", Service: "llm"}, {ID: "e2", Service: "llm"}}
	p.SetEngines(0, &fleet.Config{Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: e}}}, list)
	replicas := func(cold map[string]time.Duration) int {
		p.SetCold(0, cold)
		return p.modelStates("llm", e, p.enginesOf("llm"))["m"].replicas
	}
	must.Eq(t, 1, replicas(map[string]time.Duration{"e0": longCold - 1}))
	must.Eq(t, 0, replicas(map[string]time.Duration{"e0": longCold}))
	must.Eq(t, 1, replicas(map[string]time.Duration{"e0": time.Minute, "e1": time.Minute}))
}
