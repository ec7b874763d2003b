package placer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/shoenig/test/must"
)

// TestNothingIsWrittenOrOrderedWithoutTheLease takes the lease away between the
// ticks of its holder, while calls are under way and orders wait.
func TestNothingIsWrittenOrOrderedWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(6, "north", "north", "north"))
		defer s.close()
		s.slow[0].Store(int64(130 * time.Millisecond))
		s.slow[1].Store(int64(130 * time.Millisecond))
		s.store.SetFaults(platform.Faults{Latency: 90 * time.Millisecond})
		nodes := []*node{s.add("north", "n1"), s.add("north", "n2")}
		for round := range 120 {
			s.lead(nodes[round%2])
			// No call begins or ends at such a time.
			time.Sleep(1500*time.Millisecond + time.Duration(round*17)*time.Millisecond + 7*time.Nanosecond)
			if round%10 == 0 {
				for _, e := range s.engines {
					e.restart()
				}
			}
		}
		must.SliceEmpty(t, s.unheld, must.Sprint(len(s.unheld)))
		s.until(2*time.Minute, "a home for every model", func() bool { return s.reachable("e0", "e1", "e2") })
		s.safe()
	})
}

// TestLeaseIsAskedForAtThePointOfUse lets the lease lapse between a decision
// and its call, for each kind of call.
func TestLeaseIsAskedForAtThePointOfUse(t *testing.T) {
	ledgerOf := platform.Object{Kind: platform.KindLedger, Name: "lab:e0", Value: []byte("{}")}
	all := func(string) bool { return true }
	for name, use := range map[string]func(t *term, u *upstream){
		"homes":  func(t *term, _ *upstream) { t.homes.apply(nil, all) },
		"budget": func(t *term, _ *upstream) { t.budget(t.d.opts.Known().Services["lab"]).write(0, Shares{}) },
		"ledger": func(_ *term, u *upstream) { u.carryOut(ledger.WriteObject{Attempt: 1, Object: ledgerOf}) },
		"order": func(_ *term, u *upstream) {
			u.queue(engine.Order{ID: "o", Fence: 1, Op: engine.OpLoad, Model: "m0", MemoryMB: 30})
		},
	} {
		for _, lapsed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, document(1, "north"))
				n := s.add("north", "n1")
				n.stop()
				<-n.done
				s.lead(n)
				n.duty.term = newTerm(t.Context(), n.duty, s.fence)
				term := n.duty.term
				synctest.Wait()
				term.homes.take(platform.List{})
				u := newUpstream(term, inventory.Targets(s.known("n1"))[0], 1)
				if lapsed {
					s.leaders["north"] = ""
				}
				use(term, u)
				synctest.Wait()
				done := int(s.store.Calls()["put"]) + len(s.engines["e0"].orders)
				must.Eq(t, !lapsed, done > 0, must.Sprint(name, " lapsed=", lapsed))
				term.end()
			})
		}
	}
}

// TestHolderAsksWhichZonesAreAliveBeforeItPlans begins a term in a zone while
// another is the only home of all models that may have one replica.
func TestHolderAsksWhichZonesAreAliveBeforeItPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north", "south"))
		defer s.close()
		s.edit(func(doc *config.Service) {
			for i := range doc.Models {
				doc.Models[i].MaxReplicas = 1
			}
		})
		south := s.add("south", "s1")
		s.lead(south)
		s.until(2*time.Minute, "homes", func() bool { return s.reachable("e1") })
		time.Sleep(10 * time.Second)
		s.slow[0].Store(int64(4 * time.Second))
		for i := range 5 {
			n := s.add("north", fmt.Sprint("n", i))
			s.lead(n)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				must.True(t, s.empty("e0"), must.Sprint("loaded though its home is alive"))
			}
			n.stop()
			<-n.done
		}
		// A zone that does not answer holds the plan up no longer than that.
		south.stop()
		<-south.done
		s.lead(s.add("north", "n9"))
		s.until(2*time.Minute, "homes in the zone that is left", func() bool { return s.reachable("e0") })
		s.safe()
	})
}
