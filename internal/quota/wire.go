package quota

import (
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
)

func numberToWire(n limit.GrantNumber) *peerpb.GrantNumber {
	return &peerpb.GrantNumber{Fence: n.Fence, Seq: n.Seq}
}

func numberFromWire(n *peerpb.GrantNumber) limit.GrantNumber {
	return limit.GrantNumber{Fence: n.GetFence(), Seq: n.GetSeq()}
}

func shareToWire(s limit.Share) *peerpb.Share {
	return &peerpb.Share{RatePpm: s.RatePPM, BurstPpm: s.BurstPPM}
}

func shareFromWire(s *peerpb.Share) limit.Share {
	return limit.Share{RatePPM: s.GetRatePpm(), BurstPPM: s.GetBurstPpm()}
}

func requestToWire(r limit.ShareRequest, peerAddress string) *peerpb.ShareRequest {
	w := &peerpb.ShareRequest{
		Instance: r.Instance, Incarnation: r.Incarnation, Seq: r.Seq, Applied: numberToWire(r.AppliedGrant), Leaving: r.Leaving,
		PeerAddress: peerAddress,
	}
	for _, d := range r.Demand {
		w.Demand = append(w.Demand, &peerpb.ShareDemand{Org: d.Org, RatePpm: d.RatePPM, Need: d.Shortfall})
	}
	for _, id := range r.EndedLoans {
		w.LoansDone = append(w.LoansDone, numberToWire(id))
	}
	for _, l := range r.LoanRefunds {
		w.LoanRefunds = append(w.LoanRefunds, &peerpb.LoanRefund{Id: numberToWire(l.ID), Tokens: l.Tokens})
	}
	return w
}

func requestFromWire(w *peerpb.ShareRequest) limit.ShareRequest {
	r := limit.ShareRequest{
		Instance: w.Instance, Incarnation: w.Incarnation, Seq: w.Seq, AppliedGrant: numberFromWire(w.Applied), Leaving: w.Leaving,
	}
	for _, d := range w.Demand {
		r.Demand = append(r.Demand, limit.Demand{Org: d.Org, RatePPM: d.RatePpm, Shortfall: d.Need})
	}
	for _, id := range w.LoansDone {
		r.EndedLoans = append(r.EndedLoans, numberFromWire(id))
	}
	for _, l := range w.LoanRefunds {
		r.LoanRefunds = append(r.LoanRefunds, limit.LoanRefund{ID: numberFromWire(l.Id), Tokens: l.Tokens})
	}
	return r
}

func grantToWire(g limit.Grant) *peerpb.ShareGrant {
	w := &peerpb.ShareGrant{Incarnation: g.Incarnation, Number: numberToWire(g.Number), Base: numberToWire(g.DeltaOf), Request: g.RequestSeq}
	for _, s := range g.Shares {
		w.Shares = append(w.Shares, &peerpb.OrgShare{Org: s.Org, Base: shareToWire(s.Base), Extra: shareToWire(s.Extra)})
	}
	for _, l := range g.Loans {
		w.Loans = append(w.Loans, &peerpb.Loan{Id: numberToWire(l.ID), Org: l.Org, Tokens: l.Tokens, Burst: l.Burst})
	}
	return w
}

func grantFromWire(w *peerpb.ShareGrant) limit.Grant {
	g := limit.Grant{Incarnation: w.Incarnation, Number: numberFromWire(w.Number), DeltaOf: numberFromWire(w.Base), RequestSeq: w.Request}
	for _, s := range w.Shares {
		g.Shares = append(g.Shares, limit.OrgShare{Org: s.Org, Base: shareFromWire(s.Base), Extra: shareFromWire(s.Extra)})
	}
	for _, l := range w.Loans {
		g.Loans = append(g.Loans, limit.Loan{ID: numberFromWire(l.Id), Org: l.Org, Tokens: l.Tokens, Burst: l.Burst})
	}
	return g
}
