package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newZone(n int, storeReachable func(i int) bool) []watchCandidate {
	var out []watchCandidate
	for i := range n {
		out = append(out, watchCandidate{info: newInfo("z0", i), storeReachable: storeReachable(i)})
	}
	return out
}

func TestFirstWithStoreReachableWatches(t *testing.T) {
	must.Eq(t, []string{"z0-00"}, chooseWatchers(time.Hour, newZone(30, func(int) bool { return true })))
	must.Eq(t, []string{"z0-07"}, chooseWatchers(time.Hour, newZone(30, func(i int) bool { return i >= 7 })))
}

// While no instance reaches the store, few try at a time, and all try in
// rotation.
func TestFewTryAStoreThatServesNobody(t *testing.T) {
	tried := map[string]bool{}
	for rotation := range 60 {
		list := chooseWatchers(time.Duration(rotation)*attemptRotationInterval, newZone(30, func(int) bool { return false }))
		must.Len(t, watchersPerZone*attemptersPerWatcher, list)
		for _, name := range list {
			tried[name] = true
		}
	}
	must.MapLen(t, 30, tried)
}

// A member of a large fleet watches the store if its lead chooses it, and
// otherwise only if it has had no report from a lead for long.
func TestMemberUsesWatchersOfItsLead(t *testing.T) {
	m := newFleet(0, 4, 6, 4)
	report := newState(newInfo("z0", 0), 1)
	report.Watchers = []string{"z0-00"}
	now := time.Second
	must.False(t, m.isWatcher(now, true)) // has just started
	m.update(now, report)
	must.False(t, m.isWatcher(now, true))
	report = newState(newInfo("z0", 0), 2)
	report.Watchers = []string{"z0-04"}
	m.update(now, report)
	must.True(t, m.isWatcher(now, true))
	report = newState(newInfo("z0", 0), 3)
	report.Watchers = []string{"z0-03"}
	m.update(now, report)
	must.False(t, m.isWatcher(now, false))

	for z := range 4 { // reported, but without a state: the fleet stays large
		for n := range 6 {
			m.addReported(now+watchersTimeout, newInfo(fmt.Sprintf("z%d", z), n))
		}
	}
	must.True(t, m.isWatcher(now+watchersTimeout+time.Millisecond, false))
}

// A lead chooses among itself and the members whose state it has received.
func TestLeadChoosesWatchers(t *testing.T) {
	m := newFleet(0, 4, 6, 0)
	now := time.Second
	for n := 1; n < 6; n++ {
		m.update(now, newState(newInfo("z0", n), 1))
	}
	must.True(t, m.isWatcher(now, true))
	must.Eq(t, []string{"z0-00"}, m.chosenWatchers(now, true))
	must.Eq(t, []string{"z0-01"}, m.chosenWatchers(now, false)[:1])
}
