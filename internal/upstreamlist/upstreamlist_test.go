package upstreamlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
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

// What an upstream said itself is told to peers until its entry says so. That holds also
// for one that this instance's list does not name, or not yet in that incarnation, for a
// while: it may be in the list of the next one.
func TestLeavingUntilTheListSaysSo(t *testing.T) {
	s := New()
	restarted := entry("c", 3)
	restarted.StartedAtMS = 9
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2), restarted})
	s.MarkDraining(0, "a", 1)
	s.MarkDraining(0, "b", 7) // its next incarnation
	s.MarkDraining(0, "c", 8) // its last one
	s.MarkDraining(0, "unknown", 1)
	must.Eq(t, []string{"b", "c"}, usableIDs(s))
	told := func(now time.Duration) (ids []string) {
		for _, u := range s.Leaving(now) {
			ids = append(ids, fmt.Sprint(u.ID, u.StartedAtMS))
		}
		return ids
	}
	must.Eq(t, []string{"a1", "b7", "unknown1"}, told(tellUnlistedFor))
	must.Eq(t, []string{"a1"}, told(tellUnlistedFor+time.Second))
	s.MarkDraining(tellUnlistedFor, "unknown", 1) // heard again, which does not go on for ever
	s.Upsert(draining(entry("a", 6)))
	must.SliceEmpty(t, s.Leaving(tellUnlistedFor+time.Second))
}

// A peer's list may say that an upstream leaves although the entry in the store has not
// changed: it knows that from the upstream itself.
func TestPeersListTellsWhatAnUpstreamSaidItself(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	must.True(t, s.ReplaceFromPeer(0, 6, []fleet.Upstream{draining(entry("a", 1)), entry("b", 2)}, nil))
	must.Eq(t, []string{"b"}, usableIDs(s))
}

// The memory for upstreams that leave is bounded.
func TestLeavingIsBounded(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1)})
	s.MarkDraining(0, "a", 1)
	for i := range 3 * maxDraining {
		s.MarkDraining(time.Duration(i)*time.Second, fmt.Sprint(i), 1)
	}
	must.LessEq(t, maxDraining, len(s.draining))
	must.SliceEmpty(t, usableIDs(s))
	s = New()
	for i := range 3 * maxUnlistedTold {
		s.MarkDraining(time.Second, fmt.Sprint(i), 1)
	}
	must.Len(t, maxUnlistedTold, s.Leaving(time.Second))
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
	s.StoreUnreachable(0)
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
	s.StoreUnreachable(0)
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
	s.StoreUnreachable(0)
	must.True(t, s.ReplaceFromPeer(0, 30, []fleet.Upstream{entry("b", 2)}, nil))
	must.Eq(t, []string{"b"}, usableIDs(s))
	must.Eq(t, 30, s.Revision())
}

func TestOlderListDoesNotReplaceANewerOne(t *testing.T) {
	s := New()
	s.Replace(0, 20, []fleet.Upstream{entry("a", 11)})
	must.False(t, s.Replace(0, 10, []fleet.Upstream{entry("b", 2)}))
	must.False(t, s.ReplaceFromPeer(0, 19, nil, nil))
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
	s.MarkDraining(0, "a", 2) // another incarnation
	must.Eq(t, []string{"a"}, usableIDs(s))
	s.MarkDraining(0, "a", 1)
	must.SliceEmpty(t, usableIDs(s))
	must.Eq(t, fleet.UpstreamDraining, s.Listed()[0].State)
}

// inEra returns a version.
func inEra(t *testing.T, era, revision uint64) uint64 {
	version, err := objectstore.VersionOf(era, revision)
	must.NoError(t, err)
	return version
}

// An older copy of the store lacks entries that are written again, and its revisions are below
// those of before: its list counts, but what it lacks is not removed at once (review/3).
func TestListOfAnOlderCopyCountsAndLacksNothingAtOnce(t *testing.T) {
	for _, peer := range []bool{false, true} {
		s := New()
		s.Replace(0, 500, []fleet.Upstream{entry("a", 300), entry("b", 400)})
		now := 10 * time.Second
		list, revision := []fleet.Upstream{entry("a", inEra(t, 1, 30)), entry("c", inEra(t, 1, 40))}, inEra(t, 1, 50)
		if peer {
			must.True(t, s.ReplaceFromPeer(now, revision, list, nil))
		} else {
			must.True(t, s.Replace(now, revision, list))
		}
		must.Eq(t, revision, s.Revision())
		must.Eq(t, []string{"a", "b", "c"}, usableIDs(s))
		s.Upsert(entry("x", 501)) // an event of the earlier era that comes late
		s.Remove(now, "a", 502)
		must.False(t, s.ReplaceFromPeer(now, 600, nil, nil))
		must.Eq(t, []string{"a", "b", "c"}, usableIDs(s))
		s.Remove(now, "c", inEra(t, 1, 51)) // a change of the present one
		s.RemoveLapsed(now + reregistrationGrace)
		must.Eq(t, []string{"a"}, usableIDs(s))
	}
}

// Entries that are written again within the grace period stay.
func TestEntryThatIsWrittenAgainStays(t *testing.T) {
	s := New()
	s.Replace(0, 500, []fleet.Upstream{entry("a", 300)})
	s.Replace(0, inEra(t, 1, 50), nil)
	must.Eq(t, inEra(t, 1, 50), s.Revision())
	s.Upsert(entry("a", inEra(t, 1, 51)))
	s.RemoveLapsed(reregistrationGrace)
	must.Eq(t, []string{"a"}, usableIDs(s))
}

// wake returns the view of an instance that was frozen while an upstream was removed: its watch
// failed, and the entry is missing from the list that it reads then.
func wake(now time.Duration, revision uint64) *View {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.StoreUnreachable(now - 5*time.Second)
	s.StoreReachable(now)
	s.Replace(now, revision, []fleet.Upstream{entry("b", 2)})
	return s
}

// An instance that wakes and doubts whether an upstream is gone must not bring it back to those
// that know, though its list is newer than theirs (review/4).
func TestEntryInDoubtIsNotTaught(t *testing.T) {
	const now = 10 * time.Second
	healthy := New()
	healthy.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	healthy.Remove(6*time.Second, "a", 9)
	woken := wake(now, 12)
	must.Eq(t, []string{"a", "b"}, usableIDs(woken))
	healthy.ReplaceFromPeer(now, woken.Revision(), woken.Listed(), woken.Lapsed(now))
	must.Eq(t, []string{"b"}, usableIDs(healthy))
	// A peer of an earlier build lists it all the same.
	healthy.ReplaceFromPeer(now, 13, []fleet.Upstream{entry("a", 1), entry("b", 2)}, nil)
	must.Eq(t, []string{"b"}, usableIDs(healthy))
	for _, r := range healthy.Removals(now) {
		must.True(t, woken.RecordRemoval(now, r))
	}
	must.Eq(t, []string{"b"}, usableIDs(woken))
}

// An entry in doubt counts no longer than until the end of the grace period, over any chain of
// instances (review/4).
func TestDoubtEndsOverAChainOfInstances(t *testing.T) {
	const now = 10 * time.Second
	first := wake(now, 12)
	chain := []*View{first}
	for i := range 3 {
		at := now + time.Duration(i+1)*500*time.Millisecond
		next, last := New(), chain[len(chain)-1]
		next.StoreUnreachable(now)                                                // and it does not learn that the store answers again
		next.ReplaceFromPeer(at, last.Revision(), last.Listed(), last.Lapsed(at)) // has just started
		must.Eq(t, []string{"a", "b"}, usableIDs(next))
		chain = append(chain, next)
	}
	for _, s := range chain {
		s.RemoveLapsed(now + reregistrationGrace)
		must.Eq(t, []string{"b"}, usableIDs(s))
	}
}

// A removal hides neither a new incarnation under the same ID nor an upstream that enters
// itself again, and is forgotten (review/4).
func TestRemovalHidesOneEntryOnly(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.Remove(0, "a", 9)
	s.Upsert(entry("a", 8)) // an event that comes late
	must.Eq(t, []string{"b"}, usableIDs(s))
	restarted := entry("a", 8)
	restarted.StartedAtMS = 2
	s.Upsert(restarted)
	must.Eq(t, []string{"a", "b"}, usableIDs(s))
	s.Remove(0, "a", 10)
	s.Upsert(entry("a", 11))
	must.Eq(t, []string{"a", "b"}, usableIDs(s))
	for i := range 2 * maxRemovals {
		s.RecordRemoval(time.Second, Removal{ID: fmt.Sprint(i), AsOf: 9})
	}
	must.LessEq(t, maxRemovals, len(s.removed))
	must.SliceLen(t, maxRemovalsTold, s.Removals(time.Second))
	s.RemoveLapsed(2*time.Second + keepRemovals)
	must.MapEmpty(t, s.removed)
}

// An older copy of the store that lists an upstream that has left does not bring it back; one
// that is alive enters itself again (review/3, review/4).
func TestOlderCopyDoesNotBringBackWhatIsGone(t *testing.T) {
	s := New()
	s.Replace(0, 500, []fleet.Upstream{entry("a", 300), entry("b", 400)})
	s.Remove(0, "a", 510)
	s.Replace(0, inEra(t, 1, 450), []fleet.Upstream{entry("a", inEra(t, 1, 300)), entry("b", inEra(t, 1, 400))})
	must.Eq(t, []string{"b"}, usableIDs(s))
	s.Upsert(entry("a", inEra(t, 1, 451)))
	must.Eq(t, []string{"a", "b"}, usableIDs(s))
}

// A watch that is cut off and goes on is no outage: an entry that is removed next is gone
// (review/REPORT.md, "a watch that is cut off").
func TestCutWatchIsNoOutage(t *testing.T) {
	s := New()
	s.Replace(0, 5, []fleet.Upstream{entry("a", 1), entry("b", 2)})
	s.StoreUnreachable(time.Second)
	s.StoreReachable(time.Second + 200*time.Millisecond)
	s.Remove(time.Second+300*time.Millisecond, "a", 9)
	must.Eq(t, []string{"b"}, usableIDs(s))
}
