package upstreamlist

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/shoenig/test/must"
)

func entry(id string, revision uint64) fleet.Upstream {
	return fleet.Upstream{ID: id, Revision: revision, Service: "chat", Address: "10.0.0.1:80", Slots: 4, StartedAtMS: 1}
}

func draining(u fleet.Upstream) fleet.Upstream {
	u.State = fleet.UpstreamDraining
	return u
}

func usableIDs(s *View) []string {
	var ids []string
	for _, u := range s.Usable() {
		ids = append(ids, u.ID)
	}
	return ids
}

func TestDrainingIsFinalForAnIncarnation(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.Upsert(draining(entry("a", 6)))
	must.Eq(t, []string{"b"}, usableIDs(s))
	s.Upsert(entry("a", 7))
	must.Eq(t, []string{"b"}, usableIDs(s))
	restarted := entry("a", 8)
	restarted.StartedAtMS = 2
	s.Upsert(restarted)
	must.Eq(t, []string{"a", "b"}, usableIDs(s))
}

// What an upstream said itself is told to peers until its entry says so.
func TestLeavingUntilTheListSaysSo(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.MarkDraining("a", 1)
	s.MarkDraining("b", 7) // another incarnation
	s.MarkDraining("gone", 1)
	must.Eq(t, []string{"b"}, usableIDs(s))
	must.Len(t, 1, s.Leaving())
	must.Eq(t, "a", s.Leaving()[0].ID)
	s.Upsert(draining(entry("a", 6)))
	must.SliceEmpty(t, s.Leaving())
}

func TestRemovalWhileTheStoreIsReachableTakesEffectAtOnce(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.Remove(time.Second, "a", 9)
	must.Eq(t, []string{"b"}, usableIDs(s))
	must.Eq(t, 9, s.Revision())
}

func TestEntryThatLapsedInAnOutageIsKeptForTheGracePeriod(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.StoreUnreachable()
	s.StoreReachable(10 * time.Second)
	s.Replace(10*time.Second, 20, []fleet.Upstream{entry("b", 2)})
	must.Eq(t, []string{"a", "b"}, usableIDs(s))
	s.RemoveLapsed(10*time.Second + reregistrationGrace - time.Millisecond)
	must.Eq(t, []string{"a", "b"}, usableIDs(s))
	s.RemoveLapsed(10*time.Second + reregistrationGrace)
	must.Eq(t, []string{"b"}, usableIDs(s))
}

func TestLapsedEntryReappears(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1)})
	s.StoreUnreachable()
	s.StoreReachable(10 * time.Second)
	s.Replace(10*time.Second, 20, nil)
	s.Upsert(entry("a", 21))
	s.RemoveLapsed(10*time.Second + 2*reregistrationGrace)
	must.Eq(t, []string{"a"}, usableIDs(s))
}

// An instance that follows its peers does not notice by itself that the store
// is reachable again. In trouble-1 of lsct-fogline such an instance kept an
// upstream for 2.4 s after its entry was removed.
func TestPeersListIsFinalAlsoWithoutAnOwnLinkToTheStore(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.StoreUnreachable()
	must.True(t, s.ReplaceFromPeer(30, []fleet.Upstream{entry("b", 2)}))
	must.Eq(t, []string{"b"}, usableIDs(s))
	must.Eq(t, 30, s.Revision())
}

func TestOlderListDoesNotReplaceANewerOne(t *testing.T) {
	s := New()
	s.Replace(0, 20, []fleet.Upstream{entry("a", 11)})
	must.False(t, s.Replace(0, 10, []fleet.Upstream{entry("b", 2)}))
	must.False(t, s.ReplaceFromPeer(19, nil))
	must.Eq(t, []string{"a"}, usableIDs(s))
}

func TestIdenticalListKeepsTheRevision(t *testing.T) {
	s := New()
	s.Replace(0, 20, []fleet.Upstream{entry("a", 11)})
	version := s.Version()
	must.False(t, s.Replace(0, 25, []fleet.Upstream{entry("a", 11)}))
	must.Eq(t, 20, s.Revision())
	must.Eq(t, version, s.Version())
}

func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1)})
	s.MarkDraining("a", 2) // another incarnation
	must.Eq(t, []string{"a"}, usableIDs(s))
	s.MarkDraining("a", 1)
	must.SliceEmpty(t, usableIDs(s))
	must.Eq(t, fleet.UpstreamDraining, s.All()[0].State)
}
