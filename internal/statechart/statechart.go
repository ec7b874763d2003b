// Package statechart runs finite state machines that are defined in HuJSON
// files.
//
// A file, the chart, lists the states, the events and, for every pair of a state
// and an event, either a transition or that the event is ignored. Load rejects a
// chart with an undefined pair or an unreachable state, so a running machine
// never receives a declared event that its state does not define.
package statechart

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/qmuntal/stateless"
	"github.com/tailscale/hujson"
)

// Transition is a change from one state to another on an event.
type Transition struct {
	From  string `json:"from"`
	Event string `json:"event"`
	To    string `json:"to"`
}

// Ignored lists the events that leave a state unchanged.
type Ignored struct {
	State  string   `json:"state"`
	Events []string `json:"events"`
}

// Chart is the definition of a state machine as read from one file.
type Chart struct {
	Name        string       `json:"name"`
	Initial     string       `json:"initial"`
	States      []string     `json:"states"`
	Events      []string     `json:"events"`
	Transitions []Transition `json:"transitions"`
	Ignored     []Ignored    `json:"ignored"`

	compiled *stateless.StateMachine // shared by all machines of the chart
}

// Load parses and validates a chart.
func Load(src []byte) (*Chart, error) {
	std, err := hujson.Standardize(slices.Clone(src))
	if err != nil {
		return nil, fmt.Errorf("statechart: %w", err)
	}
	c := new(Chart)
	if err := json.Unmarshal(std, c); err != nil {
		return nil, fmt.Errorf("statechart: %w", err)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("chart %s: %w", c.Name, err)
	}
	c.compiled = c.compile()
	return c, nil
}

// MustLoad is Load for embedded files. It panics on an error.
func MustLoad(src []byte) *Chart {
	c, err := Load(src)
	if err != nil {
		panic(err)
	}
	return c
}

// stateEvent is a pair of a state and an event.
type stateEvent struct{ state, event string }

// validate reports undeclared states and events, pairs that are defined twice,
// undefined pairs and unreachable states.
func (c *Chart) validate() error {
	defined := map[stateEvent]bool{}
	define := func(state, event string) error {
		p := stateEvent{state, event}
		switch {
		case !slices.Contains(c.States, state):
			return fmt.Errorf("state %q is not declared", state)
		case !slices.Contains(c.Events, event):
			return fmt.Errorf("event %q is not declared", event)
		case defined[p]:
			return fmt.Errorf("state %q, event %q: defined twice", state, event)
		}
		defined[p] = true
		return nil
	}
	for _, t := range c.Transitions {
		if err := define(t.From, t.Event); err != nil {
			return err
		}
		if !slices.Contains(c.States, t.To) {
			return fmt.Errorf("state %q is not declared", t.To)
		}
	}
	for _, ig := range c.Ignored {
		for _, ev := range ig.Events {
			if err := define(ig.State, ev); err != nil {
				return err
			}
		}
	}
	return c.checkComplete(defined)
}

// checkComplete reports undefined pairs and unreachable states.
func (c *Chart) checkComplete(defined map[stateEvent]bool) error {
	reached := c.Reachable()
	for _, s := range c.States {
		if !reached[s] {
			return fmt.Errorf("state %q is unreachable", s)
		}
		for _, e := range c.Events {
			if !defined[stateEvent{s, e}] {
				return fmt.Errorf("state %q, event %q: neither a transition nor ignored", s, e)
			}
		}
	}
	return nil
}

// Reachable returns the set of states that are reachable from the initial one.
func (c *Chart) Reachable() map[string]bool {
	reached := map[string]bool{c.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range c.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				changed = true
			}
		}
	}
	return reached
}

// Machine is one running instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state string
}

// machineKey is the context key of the Machine that an event is fired on: all
// machines of a chart share one compiled state machine.
type machineKey struct{}

// compile builds the state machine that all machines of the chart share. It
// keeps the current state in the Machine found in the context.
func (c *Chart) compile() *stateless.StateMachine {
	sm := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.Value(machineKey{}).(*Machine).state, nil
		},
		func(ctx context.Context, state stateless.State) error {
			ctx.Value(machineKey{}).(*Machine).state = state.(string)
			return nil
		},
		stateless.FiringImmediate,
	)
	for _, s := range c.States {
		sm.Configure(s)
	}
	for _, t := range c.Transitions {
		if t.From == t.To {
			sm.Configure(t.From).PermitReentry(t.Event)
			continue
		}
		sm.Configure(t.From).Permit(t.Event, t.To)
	}
	for _, ig := range c.Ignored {
		for _, ev := range ig.Events {
			sm.Configure(ig.State).Ignore(ev)
		}
	}
	return sm
}

// NewMachine returns a machine in the initial state.
func (c *Chart) NewMachine() *Machine { return c.NewMachineIn(c.Initial) }

// NewMachineIn returns a machine in the given state.
func (c *Chart) NewMachineIn(state string) *Machine { return &Machine{chart: c, state: state} }

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Fire applies an event and returns the state after it. It returns an error for
// an event that the chart does not declare.
func (m *Machine) Fire(event string) (string, error) {
	if err := m.chart.compiled.FireCtx(context.WithValue(context.Background(), machineKey{}, m), event); err != nil {
		return m.state, fmt.Errorf("statechart: state %q, event %q: %w", m.state, event, err)
	}
	return m.state, nil
}
