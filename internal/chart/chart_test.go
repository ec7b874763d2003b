package chart

import (
	"testing"

	"github.com/shoenig/test/must"
)

const door = `{
	// a small chart
	"name": "door", "initial": "shut", "states": ["shut", "open"], "events": ["push", "pull"],
	"transitions": [
		{"from": "shut", "event": "push", "to": "open"},
		{"from": "open", "event": "pull", "to": "shut"},
	],
	"ignored": [{"state": "open", "events": ["push"]}, {"state": "shut", "events": ["pull"]}],
}`

func TestMachineFollowsFile(t *testing.T) {
	m := MustLoad([]byte(door)).New()
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

func TestLoadRefuses(t *testing.T) {
	for name, src := range map[string]string{
		"undefined":   `{"initial":"a","states":["a"],"events":["e"]}`,
		"unreachable": `{"initial":"a","states":["a","b"],"events":[]}`,
		"undeclared":  `{"initial":"a","states":["a"],"events":[],"ignored":[{"state":"a","events":["x"]}]}`,
	} {
		_, err := Load([]byte(src))
		must.Error(t, err, must.Sprint(name))
	}
}
