// Package chart interprets state charts that are kept in HuJSON files.
//
// A chart names its states, its events and, for every state and event, either
// a transition or that the event is ignored. Load refuses a chart that leaves
// a pair undefined or a state unreachable, so that a running machine never
// meets an event that its file does not speak of.
package chart

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/qmuntal/stateless"
	"github.com/tailscale/hujson"
)

// Transition moves a machine from one state to another on an event.
type Transition struct {
	From  string `json:"from"`
	Event string `json:"event"`
	To    string `json:"to"`
}

// Ignored names the events that leave a state as it is.
type Ignored struct {
	State  string   `json:"state"`
	Events []string `json:"events"`
}

// Chart is the content of one file.
type Chart struct {
	Name        string       `json:"name"`
	Initial     string       `json:"initial"`
	States      []string     `json:"states"`
	Events      []string     `json:"events"`
	Transitions []Transition `json:"transitions"`
	Ignored     []Ignored    `json:"ignored"`

	machine *stateless.StateMachine // shared by all runs
}

// Load reads and checks a chart.
func Load(src []byte) (*Chart, error) {
	std, err := hujson.Standardize(slices.Clone(src))
	if err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	c := new(Chart)
	if err := json.Unmarshal(std, c); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("chart %s: %w", c.Name, err)
	}
	c.machine = c.compile()
	return c, nil
}

// MustLoad is Load for embedded files; it panics on an error.
func MustLoad(src []byte) *Chart {
	c, err := Load(src)
	if err != nil {
		panic(err)
	}
	return c
}

type pair struct{ state, event string }

func (c *Chart) check() error {
	defined := map[pair]bool{}
	define := func(state, event string) error {
		p := pair{state, event}
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
	return c.checkWhole(defined)
}

// checkWhole finds undefined pairs and unreachable states.
func (c *Chart) checkWhole(defined map[pair]bool) error {
	reached := c.Reachable()
	for _, s := range c.States {
		if !reached[s] {
			return fmt.Errorf("state %q cannot be reached", s)
		}
		for _, e := range c.Events {
			if !defined[pair{s, e}] {
				return fmt.Errorf("state %q, event %q: undefined", s, e)
			}
		}
	}
	return nil
}

// Reachable returns the states that can be reached from the initial one.
func (c *Chart) Reachable() map[string]bool {
	reached := map[string]bool{c.Initial: true}
	for again := true; again; {
		again = false
		for _, t := range c.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				again = true
			}
		}
	}
	return reached
}

// Machine is one run of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state string
}

// stateKey finds the machine of a call in its context: one configured state
// machine serves all runs of a chart.
type stateKey struct{}

// compile builds the state machine that all runs share.
func (c *Chart) compile() *stateless.StateMachine {
	sm := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return ctx.Value(stateKey{}).(*Machine).state, nil },
		func(ctx context.Context, state stateless.State) error {
			ctx.Value(stateKey{}).(*Machine).state = state.(string)
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

// New starts a machine in the initial state.
func (c *Chart) New() *Machine { return c.NewAt(c.Initial) }

// NewAt starts a machine in the given state.
func (c *Chart) NewAt(state string) *Machine { return &Machine{chart: c, state: state} }

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Fire applies an event and returns the state after it. It fails on an event
// that the chart does not declare.
func (m *Machine) Fire(event string) (string, error) {
	if err := m.chart.machine.FireCtx(context.WithValue(context.Background(), stateKey{}, m), event); err != nil {
		return m.state, fmt.Errorf("chart: state %q, event %q: %w", m.state, event, err)
	}
	return m.state, nil
}
