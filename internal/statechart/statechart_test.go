package statechart

import (
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// door is a valid chart with two states and two events.
const door = `{
	// a small chart
	"name": "door", "initial": "shut", "states": ["shut", "open"], "events": ["push", "pull"],
	"transitions": [
		{"from": "shut", "event": "push", "to": "open"},
		{"from": "open", "event": "pull", "to": "shut"},
	],
	"ignored": [{"state": "open", "events": ["push"]}, {"state": "shut", "events": ["pull"]}],
}`

func TestMachineFollowsChart(t *testing.T) {
	m := MustLoad([]byte(door)).NewMachine()
	for _, step := range []struct{ event, state string }{
		{"pull", "shut"}, {"push", "open"}, {"push", "open"}, {"pull", "shut"},
	} {
		got, err := m.Fire(step.event)
		must.NoError(t, err)
		must.Eq(t, step.state, got)
	}
	_, err := m.Fire("kick")
	must.Error(t, err)
}

func TestLoadRejectsInvalidCharts(t *testing.T) {
	for name, src := range map[string]string{
		"undefined":   `{"initial":"a","states":["a"],"events":["e"]}`,
		"unreachable": `{"initial":"a","states":["a","b"],"events":[]}`,
		"undeclared":  `{"initial":"a","states":["a"],"events":[],"ignored":[{"state":"a","events":["x"]}]}`,
	} {
		_, err := Load([]byte(src))
		must.Error(t, err, must.Sprint(name))
	}
}

func BenchmarkRun(b *testing.B) {
	c := MustLoad([]byte(door))
	b.ReportAllocs()
	for b.Loop() {
		m := c.NewMachine()
		for _, ev := range []string{"push", "push", "pull"} {
			if _, err := m.Fire(ev); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func TestMachinesOfOneChartRunConcurrently(t *testing.T) {
	c := MustLoad([]byte(door))
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			m := c.NewMachine()
			for range 200 + i%2 {
				next := "push"
				if m.State() == "open" {
					next = "pull"
				}
				_, _ = m.Fire(next)
			}
			want := "shut"
			if i%2 == 1 {
				want = "open"
			}
			test.Eq(t, want, m.State())
		})
	}
	wg.Wait()
}
