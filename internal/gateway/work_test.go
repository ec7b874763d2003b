package gateway

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/shoenig/test/must"
)

const workStart = 100 * time.Second

func workMessage(total float64, instances uint32) *meshpb.Work {
	return &meshpb.Work{
		Instances: instances,
		Loads:     []*meshpb.UpstreamLoad{{Upstream: "e0", Running: instances}},
		Use:       []*meshpb.OrganisationUse{{Organisation: "org", Total: total, Demand: 1}},
	}
}

func memberState(zone, name, incarnation string) *meshpb.InstanceState {
	return &meshpb.InstanceState{Zone: zone, Name: name, Incarnation: incarnation}
}

// zoneSumState returns a lead's state message with the sum of its zone.
func zoneSumState(zone, name, incarnation string, total float64, instances uint32) *meshpb.InstanceState {
	s := memberState(zone, name, incarnation)
	s.ZoneWork = workMessage(total, instances)
	return s
}

func newView() *workView { return newWorkView(&meshpb.MemberInfo{Name: "a1", Zone: "a"}) }

// Several leads report the sum of the same zone. Its usage must count only once,
// also when one reporter takes over from another, and when a lead that has just
// started reports only itself.
func TestZoneCountsOnceWhoeverTells(t *testing.T) {
	v := newView()
	total := func(now time.Duration) float64 { return v.otherZonesSum(now).usage["org"].Total }
	v.update(workStart, zoneSumState("b", "b1", "1", 1000, 20))
	must.Eq(t, 0, total(workStart))
	now := workStart
	for i := range 10 {
		now += 250 * time.Millisecond
		sum := 1000 + 100*float64(i+1)
		v.update(now, zoneSumState("b", "b1", "1", sum, 20))
		v.update(now, zoneSumState("b", "b2", "1", sum-500, 20))
		v.update(now, zoneSumState("b", "b3", "1", 0, 1))
		must.Eq(t, sum-1000, total(now))
		must.Eq(t, 20, v.otherZonesSum(now).instances)
	}
	now += reporterTimeout
	v.update(now, zoneSumState("b", "b2", "1", 2000, 19))
	v.update(now+time.Millisecond, zoneSumState("b", "b2", "1", 2100, 19))
	must.Eq(t, 1100, total(now))
	must.Eq(t, 19, v.otherZonesSum(now).instances)
}

// A member of a large fleet counts what its lead reports. When it becomes a lead,
// it counts the peers of its zone individually and the other zones as a sum. Peers
// included in a sum must not be counted individually as well.
func TestRemoteWorkOfMemberAndLead(t *testing.T) {
	v := newView()
	lead := memberState("a", "a0", "1")
	lead.Work, lead.Elsewhere = workMessage(10, 1), workMessage(500, 40)
	v.update(workStart, lead)
	peer := memberState("a", "a2", "1")
	peer.Work = workMessage(10, 1)
	v.update(workStart, peer)
	v.update(workStart, zoneSumState("b", "b1", "1", 1000, 20))

	asMember := v.remoteWork(workStart, false)
	must.MapLen(t, 2, asMember)
	must.Eq(t, 40, asMember[othersName].instances)
	must.MapContainsKey(t, asMember, "a0")
	must.True(t, v.includedInSum("a2", false))
	must.False(t, v.includedInSum("a0", false))

	asLead := v.remoteWork(workStart, true)
	must.MapLen(t, 3, asLead)
	must.Eq(t, 20, asLead[othersName].instances)
	must.False(t, v.includedInSum("a2", true))
}

// Peers of another zone that were counted individually while the fleet was small
// must be counted only in their zone's sum once a lead reports one.
func TestPeersOfASummedZone(t *testing.T) {
	v := newView()
	peer := memberState("b", "b2", "1")
	peer.Work = workMessage(10, 1)
	v.update(workStart, peer)
	must.MapContainsKey(t, v.remoteWork(workStart, true), "b2")
	must.False(t, v.includedInSum("b2", true))
	v.update(workStart, zoneSumState("b", "b1", "1", 1000, 20))
	must.MapNotContainsKey(t, v.remoteWork(workStart, true), "b2")
	must.True(t, v.includedInSum("b2", true))
}

// The counters of a restarted process start again at zero. The usage before
// the restart must stay counted, and the total must not decrease.
func TestUsageOfARestartedPeer(t *testing.T) {
	c := newUsageCounter()
	record := func(process string, total float64) {
		c.record("a2", process, workSummaryFromWire(0, workMessage(total, 1)).usage)
	}
	record("1", 100)
	record("1", 250)
	record("2", 40)
	record("2", 50)
	must.Eq(t, 160, c.total("org", ""))
	must.Eq(t, 0, c.total("org", "a2"))
}

// One peer whose figures are old must not make the whole sum look old.
func TestAgeOfASumIsTheMean(t *testing.T) {
	sum := newWorkSummary(workStart)
	for i := range 10 {
		sum.add(workSummaryFromWire(workStart-time.Duration(i/9)*2*time.Second, workMessage(0, 1)))
	}
	must.Eq(t, workStart-200*time.Millisecond, sum.asOf.Round(time.Millisecond))
}
