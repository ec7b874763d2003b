package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// With more requests than a service serves, hardly more are rejected than must be, its slots
// are in use, and few answers are late. Instances that decide by what others reported half a
// second ago reject twice as many and leave a third of the slots idle.
func TestPermitsUnderLoad(t *testing.T) {
	for _, instances := range []int{6, 295} {
		for _, load := range []float64{0.6, 0.95, 1.15, 1.6} {
			f := newSimulation(instances, load, true).run(20*time.Second, nil)
			t.Logf("%d instances, load %.2f: %v", instances, load, f)
			surplus := max(1-1/load, 0)
			must.LessEq(t, surplus+0.02, f.rejectedShare(), must.Sprint(f))
			must.GreaterEq(t, 0.95*min(load, 1), f.used, must.Sprint(f))
			must.LessEq(t, 0.03, f.lateShare(), must.Sprint(f))
			must.LessEq(t, simSlots+1, f.most, must.Sprint(f))
		}
	}
	former := newSimulation(88, 0.95, false).run(20*time.Second, nil)
	t.Logf("88 instances without permits, load 0.95: %v", former)
	must.Greater(t, 0.1, former.rejectedShare(), must.Sprint("the simulation lacks what permits are for"))
}

// An organisation that sends six times its usual load takes nothing from the others: they are
// served as without it.
func TestOrganisationsShareFairly(t *testing.T) {
	const organisations, surge, usual = 10, 6, 0.09
	f := newSimulation(88, usual*(organisations-1+surge), true)
	var sent map[string]int
	figures := f.run(20*time.Second, func(r *simRequest) {
		n := f.rng.IntN(organisations - 1 + surge)
		r.org = fmt.Sprint("org", max(n-surge+1, 0))
		if len(f.measured.byOrg) == 0 {
			sent = map[string]int{}
		}
		sent[r.org]++
	})
	t.Logf("%v: %v of %v", figures, figures.byOrg, sent)
	for i := 1; i < organisations; i++ {
		org := fmt.Sprint("org", i)
		must.GreaterEq(t, 0.95*float64(sent[org]), float64(figures.byOrg[org]), must.Sprint(org))
	}
	must.GreaterEq(t, 0.95, figures.used)
}

// Under overload the urgent half of the requests is served and the other one is rejected.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	f := newSimulation(88, 1.6, true)
	sent := 0
	figures := f.run(20*time.Second, func(r *simRequest) {
		r.urgency = f.rng.IntN(2)
		if len(f.measured.byUrgency) == 0 {
			sent = 0
		}
		sent += 1 - r.urgency
	})
	t.Logf("%v: %v, %d urgent", figures, figures.byUrgency, sent)
	must.GreaterEq(t, 0.97*float64(sent), float64(figures.byUrgency[0]))
}
