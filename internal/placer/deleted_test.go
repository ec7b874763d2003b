package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/shoenig/test/must"
)

// homesOf returns the recorded homes of a model of the service.
func (s *site) homesOf(model string) []placement.Home {
	list, err := s.store.List(context.Background(), platform.KindHomes)
	must.NoError(s.t, err)
	for _, obj := range list.Objects {
		h, err := placement.DecodeHomes(obj.Value)
		must.NoError(s.t, err)
		if homes, ok := h.Models["lab/"+model]; ok {
			return homes
		}
	}
	return nil
}

// empty says whether an engine holds nothing.
func (s *site) empty(engine string) bool {
	r, err := s.engines[engine].report()
	must.NoError(s.t, err)
	return len(r.Resident) == 0
}

// TestDeletedModelDrainsAndLeavesTheRecord deletes a model that serves a
// request, first as instances see it that may not know the newest document.
func TestDeletedModelDrainsAndLeavesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north", "south"))
		defer s.close()
		n := s.add("north", "n1")
		s.lead(n)
		s.lead(s.add("south", "s1"))
		s.until(2*time.Minute, "homes", func() bool { return s.reachable("e0") && s.reachable("e1") && len(s.homesOf("m2")) == 2 })
		s.edit(func(*config.Service) { s.behind = true })
		s.edit(func(doc *config.Service) { doc.Models = doc.Models[:2] })
		time.Sleep(time.Minute)
		must.True(t, s.engines["e0"].holds("m2", ""), must.Sprint("unloaded on the word of an old document"))
		ended := n.duty.Started("lab/e0", "m2", "")
		s.edit(func(*config.Service) { s.behind = false })
		for range 30 {
			time.Sleep(time.Second)
			must.True(t, s.engines["e0"].holds("m2", ""), must.Sprint("unloaded with a request in flight"))
		}
		must.True(t, n.duty.Draining("lab/e0", "m2"))
		must.False(t, s.engines["e1"].holds("m2", ""))
		must.SliceEmpty(t, s.homesOf("m2"))
		ended()
		s.until(time.Minute, "unloaded", func() bool { return !s.engines["e0"].holds("m2", "") })
		must.True(t, s.reachable("e0") && s.reachable("e1"))
		s.safe()
	})
}

func TestDeletedServiceLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(3, "north", "south"))
		defer s.close()
		s.lead(s.add("north", "n1"))
		s.lead(s.add("south", "s1"))
		s.until(2*time.Minute, "homes", func() bool { return s.reachable("e0") && s.reachable("e1") })
		s.edit(func(*config.Service) { s.deleted = true })
		s.until(time.Minute, "empty engines and record", func() bool {
			return s.empty("e0") && s.empty("e1") && s.homesOf("m0") == nil && s.homesOf("m1") == nil && s.homesOf("m2") == nil
		})
		s.safe()
	})
}

// TestNewHolderTakesOverAnEngineThatLeftTheDocument takes the engine that holds
// all models out of the document while no instance holds the lease.
func TestNewHolderTakesOverAnEngineThatLeftTheDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(2, "north", "north"))
		defer s.close()
		all := s.doc.Upstreams
		s.edit(func(doc *config.Service) { doc.Upstreams = all[:1] })
		first, second := s.add("north", "n1"), s.add("north", "n2")
		s.lead(first)
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0") })
		first.stop()
		<-first.done
		s.edit(func(doc *config.Service) { doc.Upstreams = all[1:] })
		s.edit(func(*config.Service) { s.behind = true })
		s.lead(second)
		kept := map[string]bool{}
		s.until(time.Minute, "homes on the other engine", func() bool { s.keeps(kept); return s.reachable("e1") })
		time.Sleep(time.Minute)
		must.True(t, s.reachable("e0"), must.Sprint("unloaded on the word of an old document"))
		s.edit(func(*config.Service) { s.behind = false })
		s.until(time.Minute, "an empty engine", func() bool { s.keeps(kept); return s.empty("e0") })
		s.safe()
	})
}

// TestRenamedEngineKeepsItsModels gives an engine's address to another name,
// with and without a change of holder.
func TestRenamedEngineKeepsItsModels(t *testing.T) {
	for _, change := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, document(2, "north"))
			defer s.close()
			first, second := s.add("north", "n1"), s.add("north", "n2")
			s.lead(first)
			s.until(time.Minute, "homes", func() bool { return s.reachable("e0") })
			s.edit(func(doc *config.Service) {
				doc.Upstreams = append([]config.Upstream(nil), doc.Upstreams...)
				doc.Upstreams[0].Name = "renamed"
			})
			if change {
				s.lead(second)
			}
			for range 600 {
				time.Sleep(time.Second)
				must.True(t, s.reachable("e0"))
			}
			s.safe()
		})
	}
}

// TestAddressOfAnotherEngineIsLeftAlone restarts the engine that left the
// document before a new holder looks: what runs there now is another's.
func TestAddressOfAnotherEngineIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, document(1, "north", "north"))
		defer s.close()
		all := s.doc.Upstreams
		s.edit(func(doc *config.Service) { doc.Upstreams = all[:1] })
		first, second := s.add("north", "n1"), s.add("north", "n2")
		s.lead(first)
		s.until(time.Minute, "homes", func() bool { return s.reachable("e0") })
		first.stop()
		<-first.done
		s.edit(func(doc *config.Service) { doc.Upstreams = all[1:] })
		s.engines["e0"].restart()
		_, err := s.engines["e0"].order(engine.Order{ID: "another's", Fence: 1000, Op: engine.OpLoad, Model: "m0", MemoryMB: 30})
		must.NoError(t, err)
		s.lead(second)
		time.Sleep(2 * time.Minute)
		must.True(t, s.reachable("e1"))
		must.True(t, s.engines["e0"].holds("m0", ""))
	})
}
