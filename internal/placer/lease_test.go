package placer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/shoenig/test/must"
)

// TestNothingIsWrittenOrOrderedWithoutTheLease guards against writes and orders
// by an instance that lost the lease. The lease passes to the other instance
// between two ticks of its holder, while calls are in flight and orders are
// queued.
func TestNothingIsWrittenOrOrderedWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(6, "north", "north", "north"))
		defer s.close()
		s.callDelay[0].Store(int64(130 * time.Millisecond))
		s.callDelay[1].Store(int64(130 * time.Millisecond))
		s.store.SetFaults(objectstore.Faults{Latency: 90 * time.Millisecond})
		instances := []*testInstance{s.addInstance("north", "n1"), s.addInstance("north", "n2")}
		for round := range 120 {
			s.grantLease(instances[round%2])
			// The 7 ns keep this from coinciding with the start or end of a call.
			time.Sleep(1500*time.Millisecond + time.Duration(round*17)*time.Millisecond + 7*time.Nanosecond)
			if round%10 == 0 {
				for _, e := range s.engines {
					e.restart()
				}
			}
		}
		must.SliceEmpty(t, s.withoutLease, must.Sprint(len(s.withoutLease)))
		s.waitFor(2*time.Minute, "a home for every model", func() bool { return s.allReady("e0", "e1", "e2") })
		s.checkEngines()
	})
}

// TestLeaseIsCheckedBeforeEachCall lets the lease lapse between a decision and
// its call, for each kind of call. The call must not be made.
func TestLeaseIsCheckedBeforeEachCall(t *testing.T) {
	ledgerOf := objectstore.Object{Kind: objectstore.KindLedger, Name: "lab:e0", Value: []byte("{}")}
	all := func(string) bool { return true }
	for name, call := range map[string]func(l *leadership, u *upstream){
		"homes": func(l *leadership, _ *upstream) { l.homes.writeMoves(nil, all) },
		"budget": func(l *leadership, _ *upstream) {
			l.budget(l.controller.opts.Snapshot().Services["lab"]).write(0, BudgetShares{})
		},
		"ledger": func(_ *leadership, u *upstream) { u.execute(ledger.WriteObject{Attempt: 1, Object: ledgerOf}) },
		"order": func(_ *leadership, u *upstream) {
			u.queueOrder(engine.Order{ID: "o", FencingToken: 1, Op: engine.OpLoad, Model: "m0", MemoryMB: 30})
		},
	} {
		for _, lapsed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(t, document(1, "north"))
				n := s.addInstance("north", "n1")
				n.stop()
				<-n.done
				s.grantLease(n)
				n.controller.leadership = newLeadership(t.Context(), n.controller, s.fence)
				l := n.controller.leadership
				synctest.Wait()
				l.homes.applyList(objectstore.List{})
				u := newUpstream(l, inventory.Targets(s.known("n1"))[0], 1)
				if lapsed {
					s.holders["north"] = ""
				}
				call(l, u)
				synctest.Wait()
				done := int(s.store.Calls()["put"]) + len(s.engines["e0"].orders)
				must.Eq(t, !lapsed, done > 0, must.Sprint(name, " lapsed=", lapsed))
				l.end()
			})
		}
	}
}

// TestHolderContactsZonesBeforePlanning starts a leadership in one zone while
// another zone is the only home zone of all models, which may have one replica
// each. A zone leader that plans before it knows which zones are alive would load
// them again.
func TestHolderContactsZonesBeforePlanning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north", "south"))
		defer s.close()
		s.updateDoc(func(doc *config.Service) {
			for i := range doc.Models {
				doc.Models[i].MaxReplicas = 1
			}
		})
		south := s.addInstance("south", "s1")
		s.grantLease(south)
		s.waitFor(2*time.Minute, "homes", func() bool { return s.allReady("e1") })
		time.Sleep(10 * time.Second)
		s.callDelay[0].Store(int64(4 * time.Second))
		for i := range 5 {
			n := s.addInstance("north", fmt.Sprint("n", i))
			s.grantLease(n)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				must.True(t, s.isEmpty("e0"), must.Sprint("loaded although the home zone of the models is alive"))
			}
			n.stop()
			<-n.done
		}
		// A zone that does not answer delays planning only for one call.
		south.stop()
		<-south.done
		s.grantLease(s.addInstance("north", "n9"))
		s.waitFor(2*time.Minute, "homes in the remaining zone", func() bool { return s.allReady("e0") })
		s.checkEngines()
	})
}
