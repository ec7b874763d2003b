package placer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/shoenig/test/must"
)

// document describes engines named by zone, each of 100 MB, and models of
// 30 MB with one adapter of 4 MB each.
func document(models int, engines ...string) *config.Service {
	doc := &config.Service{
		Service:   "lab",
		Deadlines: config.Deadlines{BetweenMS: 66},
		Loads:     config.LoadLimits{ModelsPerS: 2, ModelsInFlight: 8, AdaptersInFlight: 8},
	}
	for i := range models {
		doc.Models = append(doc.Models, config.Model{
			Name: fmt.Sprint("m", i), MemoryMB: 30, Adapters: []config.Adapter{{Name: "a", MemoryMB: 4}, {Name: "b", MemoryMB: 4}},
		})
	}
	for i, zone := range engines {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			Name: fmt.Sprint("e", i), Zone: zone, Kind: config.UpstreamEngine, Address: fmt.Sprint("e", i), MemoryMB: 100,
			Fencing: i%2 == 0, MaxOrderDelayS: 5, PrefillTokensPerS: 10_000, MaxRunning: 16,
		})
	}
	return doc
}

// reachable says whether every model is ready on one of the engines.
func (s *site) reachable(engines ...string) bool {
	for _, m := range s.doc.Models {
		found := false
		for _, e := range engines {
			found = found || s.engines[e].holds(m.Name, "")
		}
		if !found {
			return false
		}
	}
	return true
}

// keeps notes the models that are ready somewhere, and fails if one noted
// before no longer is.
func (s *site) keeps(noted map[string]bool) {
	s.t.Helper()
	for _, m := range s.doc.Models {
		ready := false
		for _, e := range s.engines {
			ready = ready || e.holds(m.Name, "")
		}
		must.True(s.t, ready || !noted[m.Name], must.Sprint(m.Name, " is no longer ready anywhere"))
		noted[m.Name] = ready
	}
}

func TestFreshServiceGetsHomesInBothZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north", "south"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.lead(s.add("south", "s1"))
		s.until(2*time.Minute, "a home for every model in each zone", func() bool {
			return s.reachable("e0") && s.reachable("e1")
		})
		s.safe()
	})
}

// TestHolderDiesWhileAModelLoads stops the holder at many moments of its work:
// the next one goes on, and no engine is overcommitted or loads twice.
func TestHolderDiesWhileAModelLoads(t *testing.T) {
	for at := 200 * time.Millisecond; at < 6*time.Second; at += 370 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, document(5, "north", "north"))
			defer s.close()
			first, second := s.add("north", "n1"), s.add("north", "n2")
			s.lead(first)
			time.Sleep(at)
			first.stop()
			<-first.done
			time.Sleep(time.Second)
			s.lead(second)
			kept := map[string]bool{}
			s.until(2*time.Minute, "a home for every model", func() bool {
				s.keeps(kept)
				return s.reachable("e0", "e1")
			})
			s.safe()
		})
	}
}

// TestPausedHolderMovesNothing lets two instances believe in turn that they
// hold the lease, while the first one's writes are slow.
func TestPausedHolderMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(5, "north", "north"))
		defer s.close()
		first, second := s.add("north", "n1"), s.add("north", "n2")
		for range 6 {
			s.lead(first)
			s.store.SetFaults(platform.Faults{Latency: 700 * time.Millisecond})
			time.Sleep(2500 * time.Millisecond)
			s.lead(second)
			s.store.SetFaults(platform.Faults{LoseReplies: 2})
			time.Sleep(2500 * time.Millisecond)
		}
		s.store.SetFaults(platform.Faults{})
		s.until(2*time.Minute, "a home for every model", func() bool { return s.reachable("e0", "e1") })
		s.safe()
	})
}

func TestModelsOfARestartedEngineAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0") })
		for range 3 {
			s.engines["e0"].restart()
			must.False(t, s.reachable("e0"))
			s.until(2*time.Minute, "homes after the restart", func() bool { return s.reachable("e0") })
		}
		s.safe()
	})
}

// TestLoadsStayWithinTheFleetsBudget lets two zones fill their engines and
// restarts these, while at most two loads may be in flight, one a second.
func TestLoadsStayWithinTheFleetsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document(6, "north", "north", "south", "south")
		doc.Loads = config.LoadLimits{ModelsPerS: 1, ModelsInFlight: 2, AdaptersInFlight: 2}
		s := newSite(t, doc)
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.lead(s.add("south", "s1"))
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
				loading += e.loading()
				loads += e.counters().ModelLoads
			}
			must.LessEq(t, 2, loading)
			must.LessEq(t, 2+time.Since(began).Seconds(), float64(loads))
			time.Sleep(50 * time.Millisecond)
		}
		must.True(t, s.reachable("e0", "e1") && s.reachable("e2", "e3"))
		s.safe()
	})
}

// TestRetiredUpstreamKeepsItsModelsUntilTheyAreReadyElsewhere removes an
// upstream from the document.
func TestRetiredUpstreamKeepsItsModelsUntilTheyAreReadyElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(2, "north", "north"))
		defer s.close()
		s.edit(func(doc *config.Service) { doc.Upstreams = doc.Upstreams[:1] })
		s.lead(s.add("north", "n1"))
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0") })
		spare := document(2, "north", "north").Upstreams[1:]
		s.edit(func(doc *config.Service) { doc.Upstreams = spare })
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			must.True(t, s.reachable("e0", "e1"), must.Sprint("a model is not ready anywhere"))
		}
		must.True(t, s.reachable("e1"))
		r, err := s.engines["e0"].report()
		must.NoError(t, err)
		must.SliceEmpty(t, r.Resident)
		s.safe()
	})
}

// TestNothingIsWrittenWhileNothingChanges counts the platform's calls of two
// zones that have placed all models.
func TestNothingIsWrittenWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(6, "north", "north", "south", "south"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.lead(s.add("south", "s1"))
		s.add("south", "s2")
		s.until(4*time.Minute, "homes", func() bool { return s.reachable("e0", "e1") && s.reachable("e2", "e3") })
		time.Sleep(2 * time.Minute)
		before := s.store.Calls()
		time.Sleep(10 * time.Minute)
		after := s.store.Calls()
		must.Eq(t, before["put"], after["put"])
		must.Eq(t, before["get"], after["get"])
		must.LessEq(t, 2*600/5, after["watch"]-before["watch"]) // each waits 5 s
	})
}

func TestModelsOfALeavingUpstreamAreLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(2, "north", "north"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0", "e1") })
		for _, e := range []string{"e0", "e1"} {
			other := map[string]string{"e0": "e1", "e1": "e0"}[e]
			s.mu.Lock()
			s.leaving = map[string]bool{e: true}
			s.mu.Unlock()
			s.until(time.Minute, "homes on the one that stays", func() bool { return s.reachable(other) })
		}
		s.safe()
	})
}

// TestAdaptersLoadOnDemand asks for adapters through an instance that holds no
// lease, also of the other zone, and for more than fit.
func TestAdaptersLoadOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north", "south"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.lead(s.add("south", "s1"))
		plain := s.add("north", "n2")
		s.until(2*time.Minute, "homes", func() bool { return s.reachable("e0") && s.reachable("e1") })
		for _, e := range []string{"e0", "e1"} {
			for i, key := range []string{"m0:a", "m0:a", "m1:a", "m2:a", "m0:b"} {
				time.Sleep(6 * time.Second) // the orders before are dead, and their memory can be had
				ctx, cancel := context.WithTimeout(context.Background(), 480*time.Millisecond)
				err := plain.duty.EnsureAdapter(ctx, "lab/"+e, key[:2], key[3:])
				cancel()
				must.NoError(t, err, must.Sprint(e, " ", i, " ", key))
				must.True(t, s.engines[e].holds(key[:2], key[3:]))
			}
			must.False(t, s.engines[e].holds("m0", "a"), must.Sprint("the longest idle one stayed"))
		}
		s.safe()
	})
}

func TestAdapterInUseIsNotDisplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north"))
		defer s.close()
		n := s.add("north", "n1")
		s.lead(n)
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0") })
		for _, model := range []string{"m0", "m1"} {
			must.NoError(t, n.duty.EnsureAdapter(context.Background(), "lab/e0", model, "a"))
			n.duty.Started("lab/e0", model, "a")
		}
		time.Sleep(2 * time.Second)
		err := n.duty.EnsureAdapter(context.Background(), "lab/e0", "m2", "a")
		must.ErrorIs(t, err, ErrAdapter)
		must.ErrorContains(t, err, "in use")
		must.True(t, s.engines["e0"].holds("m0", "a"))
	})
}

// TestWithoutThePlatformNothingMoves takes the platform away, and with it the
// lease.
func TestWithoutThePlatformNothingMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(2, "north", "north"))
		defer s.close()
		n := s.add("north", "n1")
		s.lead(n)
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0", "e1") })
		time.Sleep(time.Minute)
		s.store.SetFaults(platform.Faults{Outage: true})
		before := s.engines["e0"].counters().OrdersAccepted + s.engines["e1"].counters().OrdersAccepted
		s.edit(func(doc *config.Service) { doc.Models = document(3, "north").Models })
		for range 60 {
			n.duty.Asked("lab/m2", time.Second)
			time.Sleep(time.Second)
		}
		must.Eq(t, before, s.engines["e0"].counters().OrdersAccepted+s.engines["e1"].counters().OrdersAccepted)
		s.store.SetFaults(platform.Faults{})
		s.until(time.Minute, "a home for the new model", func() bool { return s.reachable("e0", "e1") })
		s.safe()
	})
}

// TestDemandMakesRoom gives one model more demand than its engine serves, where
// others fill the memory: a spare leaves the record, drains in all instances of
// both zones, and is unloaded only when no request is in flight.
func TestDemandMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(6, "north", "north", "south", "south"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		far := s.add("south", "s1")
		s.lead(far)
		near := s.add("north", "n2")
		s.until(4*time.Minute, "homes", func() bool { return s.reachable("e0", "e1") && s.reachable("e2", "e3") })
		time.Sleep(4 * time.Minute) // longer than a replica's least stay
		var flights []func()
		for _, u := range []string{"lab/e0", "lab/e1"} {
			for _, m := range s.doc.Models[1:] {
				flights = append(flights, near.duty.Started(u, m.Name, ""))
			}
		}
		ask := func() { near.duty.Asked("lab/m0", 900*time.Millisecond) }
		var victim drain
		s.until(5*time.Minute, "a drain", func() (found bool) {
			ask()
			for _, u := range []string{"e0", "e1"} {
				for _, m := range s.doc.Models {
					if near.duty.Draining("lab/"+u, m.Name) && far.duty.Draining("lab/"+u, m.Name) {
						victim, found = drain{u, m.Name}, true
					}
				}
			}
			return found
		})
		for range 30 {
			time.Sleep(time.Second)
			ask()
			must.True(t, s.engines[victim.upstream].holds(victim.model, ""), must.Sprint("unloaded with a request in flight"))
		}
		for _, ended := range flights {
			ended()
		}
		s.until(time.Minute, "a second replica", func() bool {
			ask()
			must.True(t, s.reachable("e0", "e1", "e2", "e3"))
			return s.engines["e0"].holds("m0", "") && s.engines["e1"].holds("m0", "")
		})
		s.safe()
	})
}
