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

// TestNothingIsWrittenOrOrderedWithoutTheLease guards against writes and orders
// by an instance that lost the lease. The lease moves between the ticks of its
// holder, while calls are in flight and orders are queued.
func TestNothingIsWrittenOrOrderedWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(6, "north", "north", "north"))
		defer s.close()
		s.callDelay[0].Store(int64(130 * time.Millisecond))
		s.callDelay[1].Store(int64(130 * time.Millisecond))
		s.store.SetFaults(platform.Faults{Latency: 90 * time.Millisecond})
		nodes := []*testInstance{s.addInstance("north", "n1"), s.addInstance("north", "n2")}
		for round := range 120 {
			s.grantLease(nodes[round%2])
			// No call starts or ends at such a time.
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
	ledgerOf := platform.Object{Kind: platform.KindLedger, Name: "lab:e0", Value: []byte("{}")}
	all := func(string) bool { return true }
	for name, use := range map[string]func(t *term, u *upstream){
		"homes":  func(t *term, _ *upstream) { t.homes.writeMoves(nil, all) },
		"budget": func(t *term, _ *upstream) { t.budget(t.d.opts.Known().Services["lab"]).write(0, Shares{}) },
		"ledger": func(_ *term, u *upstream) { u.execute(ledger.WriteObject{Attempt: 1, Object: ledgerOf}) },
		"order": func(_ *term, u *upstream) {
			u.queueOrder(engine.Order{ID: "o", Fence: 1, Op: engine.OpLoad, Model: "m0", MemoryMB: 30})
		},
	} {
		for _, lapsed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(t, document(1, "north"))
				n := s.addInstance("north", "n1")
				n.stop()
				<-n.done
				s.grantLease(n)
				n.duty.term = newTerm(t.Context(), n.duty, s.fence)
				term := n.duty.term
				synctest.Wait()
				term.homes.applyList(platform.List{})
				u := newUpstream(term, inventory.Targets(s.known("n1"))[0], 1)
				if lapsed {
					s.holders["north"] = ""
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

// TestHolderContactsZonesBeforePlanning starts a term in one zone while another
// zone is the only home of all models, which may have one replica each. A holder
// that plans before it knows which zones are alive would load them again.
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
				must.True(t, s.isEmpty("e0"), must.Sprint("loaded although its home is alive"))
			}
			n.stop()
			<-n.done
		}
		// A zone that does not answer does not delay planning any longer than that.
		south.stop()
		<-south.done
		s.grantLease(s.addInstance("north", "n9"))
		s.waitFor(2*time.Minute, "homes in the remaining zone", func() bool { return s.allReady("e0") })
		s.checkEngines()
	})
}
