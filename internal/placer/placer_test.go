package placer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// document returns a service with one engine of 100 MB for each zone listed, and
// models of 30 MB with two adapters of 4 MB each.
func document(models int, engines ...string) *config.Service {
	doc := &config.Service{
		Service:   "lab",
		Deadlines: config.Deadlines{BetweenMS: 66},
		Loads:     config.LoadingLimits{ModelsPerS: 2, ModelsInFlight: 8, AdaptersInFlight: 8},
	}
	for i := range models {
		doc.Models = append(doc.Models, config.Model{
			Name: fmt.Sprint("m", i), MemoryMB: 30, Adapters: []config.Adapter{{Name: "a", MemoryMB: 4}, {Name: "b", MemoryMB: 4}},
		})
	}
	for i, zone := range engines {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			Name: fmt.Sprint("e", i), Zone: zone, Kind: config.UpstreamEngine, Address: fmt.Sprint("e", i), MemoryMB: 100,
			SupportsFencing: i%2 == 0, MaxOrderDelayS: 5, PrefillTokensPerS: 10_000, MaxRunning: 16,
		})
	}
	return doc
}

// allReady reports whether every model is ready on at least one of the engines.
func (s *testFleet) allReady(engines ...string) bool {
	for _, m := range s.doc.Models {
		found := false
		for _, e := range engines {
			found = found || s.engines[e].hasReady(m.Name, "")
		}
		if !found {
			return false
		}
	}
	return true
}

// checkStillReady fails if a model in wasReady is no longer ready on any engine,
// and updates wasReady.
func (s *testFleet) checkStillReady(wasReady map[string]bool) {
	s.t.Helper()
	for _, m := range s.doc.Models {
		ready := false
		for _, e := range s.engines {
			ready = ready || e.hasReady(m.Name, "")
		}
		must.True(s.t, ready || !wasReady[m.Name], must.Sprint(m.Name, " is no longer ready anywhere"))
		wasReady[m.Name] = ready
	}
}

func TestNewServiceGetsHomesInBothZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north", "south"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.grantLease(s.addInstance("south", "s1"))
		s.waitFor(2*time.Minute, "a home for every model in each zone", func() bool {
			return s.allReady("e0") && s.allReady("e1")
		})
		s.checkEngines()
	})
}

// TestHolderStopsWhileAModelLoads stops the zone leader at many points of its
// work. The next zone leader must finish the work without overcommitting an
// engine or loading a model twice.
func TestHolderStopsWhileAModelLoads(t *testing.T) {
	for at := 200 * time.Millisecond; at < 6*time.Second; at += 370 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(t, document(5, "north", "north"))
			defer s.close()
			first, second := s.addInstance("north", "n1"), s.addInstance("north", "n2")
			s.grantLease(first)
			time.Sleep(at)
			first.stop()
			<-first.done
			time.Sleep(time.Second)
			s.grantLease(second)
			wasReady := map[string]bool{}
			s.waitFor(2*time.Minute, "a home for every model", func() bool {
				s.checkStillReady(wasReady)
				return s.allReady("e0", "e1")
			})
			s.checkEngines()
		})
	}
}

// TestHoldersAlternateWhileWritesAreSlow lets two instances hold the lease in
// turn while the first one's writes are slow.
func TestHoldersAlternateWhileWritesAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(5, "north", "north"))
		defer s.close()
		first, second := s.addInstance("north", "n1"), s.addInstance("north", "n2")
		for range 6 {
			s.grantLease(first)
			s.store.SetFaults(objectstore.Faults{Latency: 700 * time.Millisecond})
			time.Sleep(2500 * time.Millisecond)
			s.grantLease(second)
			s.store.SetFaults(objectstore.Faults{LoseReplies: 2})
			time.Sleep(2500 * time.Millisecond)
		}
		s.store.SetFaults(objectstore.Faults{})
		s.waitFor(2*time.Minute, "a home for every model", func() bool { return s.allReady("e0", "e1") })
		s.checkEngines()
	})
}

func TestModelsOfARestartedEngineAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
		for range 3 {
			s.engines["e0"].restart()
			must.False(t, s.allReady("e0"))
			s.waitFor(2*time.Minute, "homes after the restart", func() bool { return s.allReady("e0") })
		}
		s.checkEngines()
	})
}

// TestLoadsStayWithinTheLoadBudget lets two zones fill their engines, and
// restarts the engines, while the budget allows at most two loads in flight and
// one load per second.
func TestLoadsStayWithinTheLoadBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document(6, "north", "north", "south", "south")
		doc.Loads = config.LoadingLimits{ModelsPerS: 1, ModelsInFlight: 2, AdaptersInFlight: 2}
		s := newTestFleet(t, doc)
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.grantLease(s.addInstance("south", "s1"))
		began := time.Now()
		for now := range 3000 {
			switch now {
			case 1200:
				s.engines["e0"].restart()
			case 1600:
				s.engines["e1"].restart()
				s.engines["e2"].restart()
			}
			loading, loads := 0, uint64(0)
			for _, e := range s.engines {
				loading += e.countLoadingModels()
				loads += e.counters().ModelLoads
			}
			must.LessEq(t, 2, loading)
			must.LessEq(t, 2+time.Since(began).Seconds(), float64(loads))
			time.Sleep(50 * time.Millisecond)
		}
		must.True(t, s.allReady("e0", "e1") && s.allReady("e2", "e3"))
		s.checkEngines()
	})
}

// TestRetiredUpstreamKeepsItsModelsUntilTheyAreReadyElsewhere removes the only
// upstream that holds the models from the document and adds another one.
func TestRetiredUpstreamKeepsItsModelsUntilTheyAreReadyElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(2, "north", "north"))
		defer s.close()
		s.updateDoc(func(doc *config.Service) { doc.Upstreams = doc.Upstreams[:1] })
		s.grantLease(s.addInstance("north", "n1"))
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
		added := document(2, "north", "north").Upstreams[1:]
		s.updateDoc(func(doc *config.Service) { doc.Upstreams = added })
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			must.True(t, s.allReady("e0", "e1"), must.Sprint("a model is not ready anywhere"))
		}
		must.True(t, s.allReady("e1"))
		r, err := s.engines["e0"].report()
		must.NoError(t, err)
		must.SliceEmpty(t, r.Resident)
		s.checkEngines()
	})
}

// TestNothingIsWrittenWhileNothingChanges counts the platform calls of two zones
// that have placed all models.
func TestNothingIsWrittenWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(6, "north", "north", "south", "south"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.grantLease(s.addInstance("south", "s1"))
		s.addInstance("south", "s2")
		s.waitFor(4*time.Minute, "homes", func() bool { return s.allReady("e0", "e1") && s.allReady("e2", "e3") })
		time.Sleep(2 * time.Minute)
		before := s.store.Calls()
		time.Sleep(10 * time.Minute)
		after := s.store.Calls()
		must.Eq(t, before["put"], after["put"])
		must.Eq(t, before["get"], after["get"])
		must.LessEq(t, 2*600/5, after["watch"]-before["watch"]) // each watch waits 5 s
	})
}

func TestModelsOfALeavingUpstreamAreLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(2, "north", "north"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0", "e1") })
		for _, e := range []string{"e0", "e1"} {
			other := map[string]string{"e0": "e1", "e1": "e0"}[e]
			s.mu.Lock()
			s.leaving = map[string]bool{e: true}
			s.mu.Unlock()
			s.waitFor(time.Minute, "homes on the upstream that is not leaving", func() bool { return s.allReady(other) })
		}
		s.checkEngines()
	})
}

// TestAdaptersLoadOnDemand requests adapters in both zones through an instance
// that does not hold a lease, and more adapters than fit.
func TestAdaptersLoadOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north", "south"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.grantLease(s.addInstance("south", "s1"))
		nonHolder := s.addInstance("north", "n2")
		s.waitFor(2*time.Minute, "homes", func() bool { return s.allReady("e0") && s.allReady("e1") })
		for _, e := range []string{"e0", "e1"} {
			for i, key := range []string{"m0:a", "m0:a", "m1:a", "m2:a", "m0:b"} {
				time.Sleep(6 * time.Second) // earlier orders have expired, and their memory is free
				ctx, cancel := context.WithTimeout(context.Background(), 480*time.Millisecond)
				err := nonHolder.controller.EnsureAdapter(ctx, "lab/"+e, key[:2], key[3:])
				cancel()
				must.NoError(t, err, must.Sprint(e, " ", i, " ", key))
				must.True(t, s.engines[e].hasReady(key[:2], key[3:]))
			}
			must.False(t, s.engines[e].hasReady("m0", "a"), must.Sprint("the least recently used adapter was not evicted"))
		}
		s.checkEngines()
	})
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north"))
		defer s.close()
		n := s.addInstance("north", "n1")
		s.grantLease(n)
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
		for _, model := range []string{"m0", "m1"} {
			must.NoError(t, n.controller.EnsureAdapter(context.Background(), "lab/e0", model, "a"))
			n.controller.BeginRequest("lab/e0", model, "a")
		}
		time.Sleep(2 * time.Second)
		err := n.controller.EnsureAdapter(context.Background(), "lab/e0", "m2", "a")
		must.ErrorIs(t, err, ErrAdapter)
		must.ErrorContains(t, err, "in use")
		must.True(t, s.engines["e0"].hasReady("m0", "a"))
	})
}

// TestNoOrdersDuringAPlatformOutage makes the platform unavailable, so that the
// zone leader loses its lease.
func TestNoOrdersDuringAPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(2, "north", "north"))
		defer s.close()
		n := s.addInstance("north", "n1")
		s.grantLease(n)
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0", "e1") })
		time.Sleep(time.Minute)
		s.store.SetFaults(objectstore.Faults{Outage: true})
		before := s.engines["e0"].counters().OrdersAccepted + s.engines["e1"].counters().OrdersAccepted
		s.updateDoc(func(doc *config.Service) { doc.Models = document(3, "north").Models })
		for range 60 {
			n.controller.RecordDemand("lab/m2", time.Second)
			time.Sleep(time.Second)
		}
		must.Eq(t, before, s.engines["e0"].counters().OrdersAccepted+s.engines["e1"].counters().OrdersAccepted)
		s.store.SetFaults(objectstore.Faults{})
		s.waitFor(time.Minute, "a home for the new model", func() bool { return s.allReady("e0", "e1") })
		s.checkEngines()
	})
}

// TestDemandReplacesARedundantReplica gives one model more demand than its engine
// serves, while other models fill the memory. The zone must evict a model that
// has a home zone elsewhere too: it must first remove itself from the record of
// home zones, then drain the replica in all instances of both zones, and unload
// it only when no request is in flight.
func TestDemandReplacesARedundantReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(6, "north", "north", "south", "south"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		far := s.addInstance("south", "s1")
		s.grantLease(far)
		near := s.addInstance("north", "n2")
		s.waitFor(4*time.Minute, "homes", func() bool { return s.allReady("e0", "e1") && s.allReady("e2", "e3") })
		time.Sleep(4 * time.Minute) // longer than a replica's minimum residence time
		var endRequests []func()
		for _, u := range []string{"lab/e0", "lab/e1"} {
			for _, m := range s.doc.Models[1:] {
				endRequests = append(endRequests, near.controller.BeginRequest(u, m.Name, ""))
			}
		}
		ask := func() { near.controller.RecordDemand("lab/m0", 900*time.Millisecond) }
		var victim drain
		s.waitFor(5*time.Minute, "a drain", func() (found bool) {
			ask()
			for _, u := range []string{"e0", "e1"} {
				for _, m := range s.doc.Models {
					if near.controller.Draining("lab/"+u, m.Name) && far.controller.Draining("lab/"+u, m.Name) {
						victim, found = drain{u, m.Name}, true
					}
				}
			}
			return found
		})
		for range 30 {
			time.Sleep(time.Second)
			ask()
			must.True(t, s.engines[victim.upstream].hasReady(victim.model, ""), must.Sprint("unloaded with a request in flight"))
		}
		for _, end := range endRequests {
			end()
		}
		s.waitFor(time.Minute, "a second replica", func() bool {
			ask()
			must.True(t, s.allReady("e0", "e1", "e2", "e3"))
			return s.engines["e0"].hasReady("m0", "") && s.engines["e1"].hasReady("m0", "")
		})
		s.checkEngines()
	})
}
