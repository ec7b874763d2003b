package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDeltaOfLostGrantIsIgnored: a grant that contains only changed shares is valid
// only if the instance has applied the grant that it refers to.
func TestDeltaOfLostGrantIsIgnored(t *testing.T) {
	in := escrowInstance(1000)
	in.Step(time.Second, grantOf(2, tenth, tenth))
	deltaOfLost := Grant{Incarnation: "run", Number: GrantNumber{1, 4}, DeltaOf: GrantNumber{1, 3}, RequestSeq: 1}
	in.Step(time.Second, deltaOfLost)
	must.Eq(t, GrantNumber{1, 2}, in.appliedGrant)

	request := in.Step(3*time.Second, Tick{})[0].(SendShareRequest).Request
	must.SliceEmpty(t, request.Demand, must.Sprint("an idle organisation has no demand entry"))
	in.Admit(3500*time.Millisecond, "a", 1)
	must.Eq(t, tenth, in.orgs["a"].share(), must.Sprint("the extra share has expired"))
	unchanged := Grant{Incarnation: "run", Number: GrantNumber{1, 5}, DeltaOf: GrantNumber{1, 2}, RequestSeq: request.Seq}
	in.Step(3500*time.Millisecond, unchanged)
	must.Eq(t, Share{PPM / 5, PPM / 5}, in.orgs["a"].share(), must.Sprint("the extra share is in force again"))
}

// TestGrantContainsOnlyChangedShares: a zone leader sends all shares unless the
// instance has confirmed its last grant, which was for the same organisations.
func TestGrantContainsOnlyChangedShares(t *testing.T) {
	member := Member{Instance: "i", Base: Shares{"a": tenth}}
	z, _ := newZoneLeader(t, Claims{Zones: map[string]ZoneClaim{"z": {Fence: 9, Shares: Shares{"a": whole}}}},
		Ledger{Fence: 9, Members: map[string]Member{"run": member}})
	seq := uint64(0)
	ask := func(applied GrantNumber) Grant {
		seq++
		got := grants(z.Step(9*time.Second, ShareRequest{Instance: "i", Incarnation: "run", Seq: seq, AppliedGrant: applied}))
		must.SliceLen(t, 1, got)
		return got[0]
	}
	full := func(g Grant) bool { return g.DeltaOf == GrantNumber{} && len(g.Shares) == len(z.orgNames) }
	first := ask(GrantNumber{})
	must.True(t, full(first))
	lost := ask(GrantNumber{})
	must.True(t, full(lost), must.Sprint("the first grant is not confirmed"))
	second := ask(lost.Number)
	must.Eq(t, lost.Number, second.DeltaOf)
	third := ask(second.Number)
	must.Eq(t, second.Number, third.DeltaOf)
	must.SliceEmpty(t, third.Shares, must.Sprint("nothing has changed"))

	z.Step(9*time.Second, Limits{Version: 2, Orgs: map[string]Limit{"a": {Rate: 1, Burst: 1}, "b": {Rate: 1, Burst: 1}}})
	must.True(t, full(ask(third.Number)), must.Sprint("an organisation was added"))
}
