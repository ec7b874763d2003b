package limit

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

var (
	tenth = Share{RatePPM: PPM / 10, BurstPPM: PPM / 10}
	whole = Share{RatePPM: PPM, BurstPPM: PPM}
)

func escrowInstance(burst int64) *InstanceLimiter {
	in := NewInstanceLimiter(testOptions(), "i", "run")
	in.Step(time.Second, Limits{Version: 1, Orgs: map[string]Limit{"a": {Rate: 1000, Burst: burst}}})
	return in // request 1 was sent at 1 s
}

func grantOf(seq uint64, base, extra Share, loans ...Loan) Grant {
	return Grant{Incarnation: "run", Number: GrantNumber{Fence: 1, Seq: seq}, RequestSeq: 1,
		Shares: []OrgShare{{Org: "a", Base: base, Extra: extra}}, Loans: loans}
}

func TestTermsStartAtRequest(t *testing.T) {
	in := escrowInstance(1000)
	in.Step(2900*time.Millisecond, grantOf(2, tenth, tenth))
	must.Eq(t, Share{PPM / 5, PPM / 5}, in.orgs["a"].share())
	in.Admit(3*time.Second, "a", 1)
	must.Eq(t, tenth, in.orgs["a"].share()) // the extra share has expired
	in.Admit(13*time.Second, "a", 1)
	must.Eq(t, Share{}, in.orgs["a"].share()) // the base share has expired without another grant
}

func TestStaleAndForeignGrantsAreIgnored(t *testing.T) {
	in := escrowInstance(1000)
	in.Step(time.Second, grantOf(2, tenth, Share{}))
	late, foreign, unasked := grantOf(1, whole, whole), grantOf(3, whole, whole), grantOf(3, whole, whole)
	foreign.Incarnation = "former run"
	unasked.RequestSeq = 7
	for _, g := range []Grant{late, foreign, unasked, grantOf(2, whole, whole)} {
		in.Step(time.Second, g)
		must.Eq(t, tenth, in.orgs["a"].share())
	}
	in.Step(time.Second, Stop{})
	in.Step(time.Second, grantOf(4, whole, whole))
	must.Eq(t, Share{}, in.orgs["a"].share())
	must.False(t, in.Admit(2*time.Second, "a", 1).Admitted)
}

func TestLoanIsUsedOnceAndOnlyUnderSameBurst(t *testing.T) {
	in := escrowInstance(1000)
	id := GrantNumber{Fence: 1, Seq: 9}
	in.Step(time.Second, grantOf(1, tenth, Share{}))
	d := in.Admit(time.Second, "a", 500) // above the instance's own burst share
	must.False(t, d.Admitted)
	must.True(t, d.LoanRequested)
	sent := in.Step(time.Second, Tick{})[0].(SendShareRequest).Request
	must.Eq(t, []Demand{{Org: "a", Shortfall: 500}}, sent.Demand)

	g := grantOf(2, tenth, Share{}, Loan{ID: id, Org: "a", Tokens: 500, Burst: 1000})
	g.RequestSeq = sent.Seq
	in.Step(time.Second, g)
	must.True(t, in.Admit(time.Second, "a", 500).Admitted)
	must.False(t, in.Admit(time.Second, "a", 500).Admitted)
	must.Eq(t, []GrantNumber{id}, in.Step(time.Second, Tick{})[0].(SendShareRequest).Request.EndedLoans)

	in.Step(time.Second, grantOf(3, tenth, Share{}, Loan{ID: id, Org: "a", Tokens: 500, Burst: 1001}))
	must.False(t, in.Admit(time.Second, "a", 500).Admitted)
}

// newZoneLeader returns a zone leader that has read both objects, and its actions
// after the second read.
func newZoneLeader(t *testing.T, claims Claims, ledger Ledger) (*ZoneLeader, []Action) {
	z := NewZoneLeader(testOptions(), "z", &fakeLease{fence: 9, until: 1 << 62})
	z.Step(time.Second, Limits{Version: 1, Orgs: map[string]Limit{"a": {Rate: 1000, Burst: 1000}}})
	z.Step(time.Second, Read{Object: shareObject(t, claimsName, 1, claims)})
	return z, z.Step(time.Second, Read{Object: shareObject(t, LedgerName("z"), 2, ledger)})
}

func shareObject(t *testing.T, name string, version uint64, value any) objectstore.Object {
	raw, err := json.Marshal(value)
	must.NoError(t, err)
	return objectstore.Object{Kind: objectstore.KindShare, Name: name, Version: version, Value: raw}
}

func grants(actions []Action) (out []Grant) {
	for _, a := range actions {
		if g, ok := a.(SendGrant); ok {
			out = append(out, g.Grant)
		}
	}
	return out
}

// TestNewLeaderStoresFenceBeforeGranting: a write of the former leader may still
// take effect until both objects contain the new leader's fencing token.
func TestNewLeaderStoresFenceBeforeGranting(t *testing.T) {
	formerClaim := ZoneClaim{Fence: 5, Shares: Shares{"a": whole}}
	formerLedger := Ledger{Fence: 5, Members: map[string]Member{"run": {Instance: "i", Base: Shares{"a": tenth}}}}
	z, actions := newZoneLeader(t, Claims{Zones: map[string]ZoneClaim{"z": formerClaim}}, formerLedger)
	must.SliceLen(t, 1, actions) // the write of the fencing token to the ledger; the claims were written before
	ask := func(now time.Duration, seq uint64, applied GrantNumber) []Grant {
		return grants(z.Step(now, ShareRequest{Instance: "i", Incarnation: "run", Seq: seq, AppliedGrant: applied}))
	}
	must.SliceEmpty(t, ask(time.Second, 1, GrantNumber{}))

	newClaim, newLedger := formerClaim, formerLedger
	newClaim.Fence, newLedger.Fence = 9, 9
	z.Step(time.Second, Written{Object: shareObject(t, claimsName, 3, Claims{Zones: map[string]ZoneClaim{"z": newClaim}})})
	z.Step(time.Second, Written{Object: shareObject(t, LedgerName("z"), 4, newLedger)})
	first := ask(time.Second, 2, GrantNumber{})
	must.SliceLen(t, 1, first)
	must.Eq(t, OrgShare{Org: "a", Base: tenth}, first[0].Shares[0]) // no extra share until those of the former leader have expired
	must.SliceEmpty(t, ask(time.Second, 2, GrantNumber{}))          // a duplicate

	later := ask(4*time.Second, 3, first[0].Number)
	must.SliceLen(t, 1, later)
	must.Positive(t, later[0].Shares[0].Extra.RatePPM)
}

// TestBaseShareIsGrantedOnlyAfterLedgerWrite: a raised base share must not be
// granted while its ledger write is pending.
func TestBaseShareIsGrantedOnlyAfterLedgerWrite(t *testing.T) {
	z, _ := newZoneLeader(t, Claims{Zones: map[string]ZoneClaim{"z": {Fence: 9, Shares: Shares{"a": whole}}}}, Ledger{Fence: 9})
	at := 4 * time.Second
	z.Step(at, ShareRequest{Instance: "i", Incarnation: "run", Seq: 1})
	must.NotNil(t, z.ledger.pendingValue)
	must.Positive(t, z.ledger.pendingValue.Members["run"].Base["a"].RatePPM)
	z.Step(at, CallFailed{Name: LedgerName("z")})
	must.Eq(t, z.ledger.pendingValue.Members["run"].Base["a"], z.maxBaseShare("run", "a")) // the pending write still counts
	got := grants(z.Step(at, ShareRequest{Instance: "i", Incarnation: "run", Seq: 2}))
	must.Eq(t, Share{}, got[0].Shares[0].Base)

	z.Step(at, Written{Object: shareObject(t, LedgerName("z"), 5, *z.ledger.pendingValue)})
	got = grants(z.Step(at, ShareRequest{Instance: "i", Incarnation: "run", Seq: 3}))
	must.Eq(t, z.ledger.value.Members["run"].Base["a"], got[0].Shares[0].Base)
}

// TestClaimIsNotLoweredBelowAllocatedShares: with a target below what members may
// still hold, the claim is lowered only to what they may hold.
func TestClaimIsNotLoweredBelowAllocatedShares(t *testing.T) {
	held := Share{RatePPM: 900_000, BurstPPM: 900_000}
	mine := ZoneClaim{Fence: 9, Shares: Shares{"a": whole}}
	claims := Claims{Zones: map[string]ZoneClaim{"z": mine, "y": {}}}
	z, _ := newZoneLeader(t, claims,
		Ledger{Fence: 9, Members: map[string]Member{"run": {Instance: "i", Base: Shares{"a": held}}}})
	for at := 4 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		z.Step(at, Tick{})
		if z.claims.needsRead {
			z.Step(at, Read{Object: shareObject(t, claimsName, 1, claims)})
		}
		if z.claims.pendingValue != nil {
			must.True(t, z.claims.pendingValue.Zones["z"].Shares["a"].atLeast(held))
		}
	}
	must.NotNil(t, z.claims.pendingValue)
	z.claimCeiling = Shares{} // the pending write alone limits the usable claim too
	must.True(t, z.claims.pendingValue.Zones["z"].Shares["a"].atLeast(z.usableClaim("a")))
}

// TestLoanMovesTokensWithBurstShare: the tokens of a loan leave the reserve with
// their burst share, and only unused tokens are refunded.
func TestLoanMovesTokensWithBurstShare(t *testing.T) {
	z, _ := newZoneLeader(t, Claims{Zones: map[string]ZoneClaim{"z": {Fence: 9, Shares: Shares{"a": whole}}}}, Ledger{Fence: 9})
	at := 4 * time.Second
	ask := func(seq uint64, r ShareRequest) []Loan {
		r.Instance, r.Incarnation, r.Seq = "i", "run", seq
		return grants(z.Step(at, r))[0].Loans
	}
	ask(1, ShareRequest{})
	at += 10 * time.Second // the reserve is full
	need := []Demand{{Org: "a", Shortfall: 100}}
	must.SliceEmpty(t, ask(2, ShareRequest{Demand: []Demand{{Org: "a", Shortfall: 1001}}})) // above the organisation's burst
	before := z.reserve["a"].share
	loans := ask(3, ShareRequest{Demand: need})
	must.SliceLen(t, 1, loans)
	b := &z.reserve["a"].bucket
	must.Eq(t, before.BurstPPM-z.loans[0].burstPPM, z.reserve["a"].share.BurstPPM)
	must.LessEq(t, (before.BurstPPM-PPM/10)*1000, b.level)

	full := b.level
	ask(4, ShareRequest{EndedLoans: []GrantNumber{loans[0].ID}})
	must.Eq(t, before, z.reserve["a"].share)
	must.Eq(t, full, b.level)
	ask(5, ShareRequest{LoanRefunds: []LoanRefund{{ID: loans[0].ID, Tokens: 60}}})
	must.Eq(t, full+60*PPM, b.level)
	ask(6, ShareRequest{LoanRefunds: []LoanRefund{{ID: loans[0].ID, Tokens: 60}}})
	must.Eq(t, full+60*PPM, b.level) // a duplicate refund is ignored

	second := ask(7, ShareRequest{Demand: need})
	ask(8, ShareRequest{EndedLoans: []GrantNumber{second[0].ID}})
	at += 10 * time.Second // the reserve refills the tokens of the second
	third := ask(9, ShareRequest{Demand: need})
	ask(10, ShareRequest{EndedLoans: []GrantNumber{third[0].ID}})
	left := b.level
	ask(11, ShareRequest{LoanRefunds: []LoanRefund{{ID: second[0].ID, Tokens: 60}}})
	must.Eq(t, left, b.level)
}

// TestStopReturnsAllShares: after a graceful stop the shares of the instance are
// free for other instances.
func TestStopReturnsAllShares(t *testing.T) {
	z, _ := newZoneLeader(t, Claims{Zones: map[string]ZoneClaim{"z": {Fence: 9, Shares: Shares{"a": whole}}}},
		Ledger{Fence: 9, Members: map[string]Member{"run": {Instance: "i", Base: Shares{"a": tenth}}}})
	at := 4 * time.Second
	must.SliceLen(t, 1, grants(z.Step(at, ShareRequest{Instance: "i", Incarnation: "run", Seq: 1})))
	must.True(t, z.allocated("a", "").atLeast(tenth))
	if z.ledger.pendingValue != nil { // the write that raises its base share
		z.Step(at, Written{Object: shareObject(t, LedgerName("z"), 4, *z.ledger.pendingValue)})
	}
	at += time.Second
	leaving := ShareRequest{Instance: "i", Incarnation: "run", Seq: 2, Leaving: true}
	must.SliceEmpty(t, grants(z.Step(at, leaving)))
	must.NotNil(t, z.ledger.pendingValue)
	must.MapEmpty(t, z.ledger.pendingValue.Members)
	z.Step(at, Written{Object: shareObject(t, LedgerName("z"), 5, *z.ledger.pendingValue)})
	must.Eq(t, Share{}, z.allocated("a", ""))
	must.SliceEmpty(t, grants(z.Step(at, ShareRequest{Instance: "i", Incarnation: "run", Seq: 1}))) // a late request
}
