package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/shoenig/test/must"
)

// homesOf returns the recorded home zones of a model of the service.
func (s *testFleet) homesOf(model string) []placement.HomeZone {
	list, err := s.store.List(context.Background(), objectstore.KindHomeZones)
	must.NoError(s.t, err)
	for _, obj := range list.Objects {
		h, err := placement.DecodeHomeZones(obj.Value)
		must.NoError(s.t, err)
		if homes, ok := h.Models["lab/"+model]; ok {
			return homes
		}
	}
	return nil
}

// isEmpty reports whether nothing is resident on an engine.
func (s *testFleet) isEmpty(engine string) bool {
	r, err := s.engines[engine].report()
	must.NoError(s.t, err)
	return len(r.Resident) == 0
}

// TestDeletedModelDrainsAndLeavesTheRecord deletes a model that has a request in
// flight. While the instance may not know the newest document, the model must
// stay loaded.
func TestDeletedModelDrainsAndLeavesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north", "south"))
		defer s.close()
		n := s.addInstance("north", "n1")
		s.grantLease(n)
		s.grantLease(s.addInstance("south", "s1"))
		s.waitFor(2*time.Minute, "homes", func() bool { return s.allReady("e0") && s.allReady("e1") && len(s.homesOf("m2")) == 2 })
		s.updateDoc(func(*config.Service) { s.documentsStale = true })
		s.updateDoc(func(doc *config.Service) { doc.Models = doc.Models[:2] })
		time.Sleep(time.Minute)
		must.True(t, s.engines["e0"].hasReady("m2", ""), must.Sprint("unloaded because of an outdated document"))
		ended := n.controller.BeginRequest("lab/e0", "m2", "")
		s.updateDoc(func(*config.Service) { s.documentsStale = false })
		for range 30 {
			time.Sleep(time.Second)
			must.True(t, s.engines["e0"].hasReady("m2", ""), must.Sprint("unloaded with a request in flight"))
		}
		must.True(t, n.controller.Draining("lab/e0", "m2"))
		must.False(t, s.engines["e1"].hasReady("m2", ""))
		must.SliceEmpty(t, s.homesOf("m2"))
		ended()
		s.waitFor(time.Minute, "unloaded", func() bool { return !s.engines["e0"].hasReady("m2", "") })
		must.True(t, s.allReady("e0") && s.allReady("e1"))
		s.checkEngines()
	})
}

func TestDeletedServiceIsUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(3, "north", "south"))
		defer s.close()
		s.grantLease(s.addInstance("north", "n1"))
		s.grantLease(s.addInstance("south", "s1"))
		s.waitFor(2*time.Minute, "homes", func() bool { return s.allReady("e0") && s.allReady("e1") })
		s.updateDoc(func(*config.Service) { s.deleted = true })
		s.waitFor(time.Minute, "empty engines and record", func() bool {
			return s.isEmpty("e0") && s.isEmpty("e1") && s.homesOf("m0") == nil && s.homesOf("m1") == nil && s.homesOf("m2") == nil
		})
		s.checkEngines()
	})
}

// TestNewHolderTakesOverAnEngineRemovedFromTheDocument removes the engine that
// holds all models from the document while the zone has no leader.
func TestNewHolderTakesOverAnEngineRemovedFromTheDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(2, "north", "north"))
		defer s.close()
		all := s.doc.Upstreams
		s.updateDoc(func(doc *config.Service) { doc.Upstreams = all[:1] })
		first, second := s.addInstance("north", "n1"), s.addInstance("north", "n2")
		s.grantLease(first)
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
		first.stop()
		<-first.done
		s.updateDoc(func(doc *config.Service) { doc.Upstreams = all[1:] })
		s.updateDoc(func(*config.Service) { s.documentsStale = true })
		s.grantLease(second)
		wasReady := map[string]bool{}
		s.waitFor(time.Minute, "homes on the other engine", func() bool { s.checkStillReady(wasReady); return s.allReady("e1") })
		time.Sleep(time.Minute)
		must.True(t, s.allReady("e0"), must.Sprint("unloaded because of an outdated document"))
		s.updateDoc(func(*config.Service) { s.documentsStale = false })
		s.waitFor(time.Minute, "an empty engine", func() bool { s.checkStillReady(wasReady); return s.isEmpty("e0") })
		s.checkEngines()
	})
}

// TestRenamedEngineKeepsItsModels changes an engine's name but not its address,
// with and without a change of zone leader.
func TestRenamedEngineKeepsItsModels(t *testing.T) {
	for _, change := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(t, document(2, "north"))
			defer s.close()
			first, second := s.addInstance("north", "n1"), s.addInstance("north", "n2")
			s.grantLease(first)
			s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
			s.updateDoc(func(doc *config.Service) {
				doc.Upstreams = append([]config.Upstream(nil), doc.Upstreams...)
				doc.Upstreams[0].Name = "renamed"
			})
			if change {
				s.grantLease(second)
			}
			for range 600 {
				time.Sleep(time.Second)
				must.True(t, s.allReady("e0"))
			}
			s.checkEngines()
		})
	}
}

// TestEngineRestartedAfterRemovalGetsNoOrders restarts the engine that was
// removed from the document before a new zone leader takes over. What runs
// at that address now is another engine, whose models must not be unloaded.
func TestEngineRestartedAfterRemovalGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, document(1, "north", "north"))
		defer s.close()
		all := s.doc.Upstreams
		s.updateDoc(func(doc *config.Service) { doc.Upstreams = all[:1] })
		first, second := s.addInstance("north", "n1"), s.addInstance("north", "n2")
		s.grantLease(first)
		s.waitFor(time.Minute, "homes", func() bool { return s.allReady("e0") })
		first.stop()
		<-first.done
		s.updateDoc(func(doc *config.Service) { doc.Upstreams = all[1:] })
		s.engines["e0"].restart()
		_, err := s.engines["e0"].order(engine.Order{ID: "another's", FencingToken: 1000, Op: engine.OpLoad, Model: "m0", MemoryMB: 30})
		must.NoError(t, err)
		s.grantLease(second)
		time.Sleep(2 * time.Minute)
		must.True(t, s.allReady("e1"))
		must.True(t, s.engines["e0"].hasReady("m0", ""))
	})
}
