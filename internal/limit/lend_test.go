package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// newLender returns an instance with a base share of a tenth, granted at 1 s.
func newLender() *InstanceLimiter {
	in := escrowInstance(1000)
	in.Step(time.Second, grantOf(1, tenth, Share{}))
	return in
}

func requestPeerLoan(t *testing.T, in *InstanceLimiter, now time.Duration, seq uint64) LendReply {
	out := in.Step(now, LendRequest{Borrower: "new", Seq: seq, Parts: 2})
	must.SliceLen(t, 1, out)
	return out[0].(SendLendReply).Reply
}

func TestLentSharesReduceLenderShare(t *testing.T) {
	in := newLender()
	half := tenth.scale(1, 2)
	must.Eq(t, half, requestPeerLoan(t, in, 2*time.Second, 1).Shares["a"])
	must.Eq(t, half, in.orgs["a"].share())
	must.Eq(t, half, requestPeerLoan(t, in, 4*time.Second, 2).Shares["a"], must.Sprint("the same shares again"))
	must.Eq(t, half, in.orgs["a"].share())
	in.reclaimPeerLoans(6900 * time.Millisecond)
	must.Eq(t, half, in.orgs["a"].share(), must.Sprint("the term was extended to 7 s"))
	in.reclaimPeerLoans(7100 * time.Millisecond)
	must.Eq(t, tenth, in.orgs["a"].share())
	must.SliceEmpty(t, in.Step(11*time.Second, LendRequest{Borrower: "new", Seq: 3, Parts: 2}), must.Sprint("the lender's own term ends first"))
}

func TestLenderIgnoresGrantBelowLentShares(t *testing.T) {
	in := newLender()
	requestPeerLoan(t, in, 2*time.Second, 1)
	less := grantOf(2, tenth.scale(1, 4), Share{})
	in.Step(2*time.Second, less)
	must.Eq(t, GrantNumber{1, 1}, in.appliedGrant)
	in.Step(2*time.Second, grantOf(3, tenth.scale(3, 4), Share{}))
	must.Eq(t, GrantNumber{1, 3}, in.appliedGrant)
	must.Eq(t, tenth.scale(3, 4).sub(tenth.scale(1, 2)), in.orgs["a"].share())
}

func TestStoppingLenderReturnsSharesAfterLendTerm(t *testing.T) {
	in := newLender()
	requestPeerLoan(t, in, 2*time.Second, 1)
	must.False(t, in.Step(3*time.Second, Stop{})[0].(SendShareRequest).Request.Leaving)
	must.Eq(t, Share{}, in.orgs["a"].share())
	must.True(t, in.Step(9*time.Second, Tick{})[0].(SendShareRequest).Request.Leaving)
}

func TestLendTermStartsAtRequest(t *testing.T) {
	in := escrowInstance(1000)
	r, ok := in.BorrowRequest(2*time.Second, 2)
	must.True(t, ok)
	lent := LendReply{Lender: "old", Borrower: "run", Seq: r.Seq, Shares: Shares{"a": tenth}}
	other := lent
	other.Borrower = "former run"
	in.Step(3*time.Second, other)
	must.Eq(t, Share{}, in.orgs["a"].share())
	in.Step(4*time.Second, lent)
	in.Step(4*time.Second, lent)
	must.Eq(t, tenth, in.orgs["a"].share(), must.Sprint("a duplicate reply counts once"))
	in.Admit(5*time.Second, "a", 1)
	must.Eq(t, Share{}, in.orgs["a"].share(), must.Sprint("the term of 3 s starts at the request"))
	in.Step(5*time.Second, lent)
	must.Eq(t, Share{}, in.orgs["a"].share())
}

func TestGrantReplacesBorrowedShares(t *testing.T) {
	in := escrowInstance(1000)
	r, _ := in.BorrowRequest(2*time.Second, 2)
	in.Step(2*time.Second, LendReply{Lender: "old", Borrower: "run", Seq: r.Seq, Shares: Shares{"a": tenth}})
	in.Step(2*time.Second, grantOf(1, tenth, Share{}))
	must.Eq(t, tenth, in.orgs["a"].share())
	_, ok := in.BorrowRequest(3*time.Second, 2)
	must.False(t, ok)
}

// TestSharesOfEndedLenderAreFreedAfterLendTerm: shares that a process lent before
// it ended may still be in force for one LendTerm.
func TestSharesOfEndedLenderAreFreedAfterLendTerm(t *testing.T) {
	z, _ := newZoneLeader(t, Claims{Zones: map[string]ZoneClaim{"z": {Fence: 9, Shares: Shares{"a": whole}}}},
		Ledger{Fence: 9, Members: map[string]Member{"run": {Instance: "i", Base: Shares{"a": tenth}}}})
	z.Step(4*time.Second, ProcessEnded{Incarnation: "run"})
	z.Step(6900*time.Millisecond, Tick{})
	must.Eq(t, tenth, z.members["run"].baseBound["a"])
	z.Step(7100*time.Millisecond, Tick{})
	must.Eq(t, Share{}, z.members["run"].baseBound["a"])
}

// TestPeerLendingNeverExceedsWhole replaces instances whose successors borrow while
// zone leaders change, and stops lenders: the shares in force never add up to more
// than the whole, and no window exceeds the limit.
func TestPeerLendingNeverExceedsWhole(t *testing.T) {
	lent := 0
	rapidtest.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, testOptions(), 1, 3, map[string]Limit{"a": {Rate: 100, Burst: 400}})
		sim.setLeader(0, 0)
		sim.advance(6 * time.Second)
		for range stepsPerRun / 2 {
			sim.randomLendingEvent()
			sim.checkShares()
		}
		sim.checkWindows()
		lent += sim.stats.lent
	})
	t.Logf("%d parts lent", lent)
	must.Positive(t, lent)
}

func (sim *simulation) randomLendingEvent() {
	pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(sim.t, label) }
	i := pick(len(sim.instances()), "instance")
	in := sim.instances()[i]
	p := sim.procs[pick(len(sim.procs), "process")]
	switch event := pick(24, "event"); {
	case event < 6:
		if !in.paused {
			sim.borrow(in)
		}
	case event < 13:
		if n := len(p.inbox); n > 0 && !p.paused {
			sim.deliver(p, pick(n, "message"), pick(5, "repeat") == 0)
		}
	case event < 16:
		sim.advance(time.Duration(pick(10, "quiet")) * 100 * time.Millisecond)
	case event < 18:
		sim.admitAll(len(sim.instances()))
	case event == 18:
		sim.restart(i)
	case event == 19:
		sim.setLeader(0, pick(3, "holder"))
	case event == 20:
		sim.trueTime += time.Duration(pick(2000, "ms")) * time.Millisecond
	case event == 21:
		p.partitioned = !p.partitioned
	case event == 22:
		in.paused = !in.paused
	case event == 23:
		if !in.paused && pick(3, "stop") == 0 {
			sim.step(in, Stop{})
		}
	}
}
