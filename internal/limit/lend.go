package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Lending between zone peers lets an instance that starts while no zone leader
// can grant shares use a part of its peers' base shares for a short, renewable
// term.
//
// The lender's own share is reduced from the moment it lends until the term has
// certainly ended at the borrower. Until then the lender ignores a grant whose
// base share is smaller than what it has lent, and does not return its shares
// when it stops; to the zone leader both look like lost messages. The sum of the
// shares in force therefore stays within what was granted to the lender.

// LendRequest asks a zone peer for a part of its base shares. Parts is the number
// of instances between which the zone's base shares are to be divided; the peer
// lends one of that many equal parts.
type LendRequest struct {
	Borrower string // incarnation of the borrower
	Seq      uint64
	Parts    int64
}

// LendReply is the reply to the LendRequest with the same Seq. The shares are in
// force for LendTerm, less a drift margin, from when that request was sent.
type LendReply struct {
	Lender   string // incarnation of the lender
	Borrower string
	Seq      uint64
	Shares   Shares
}

// SendLendReply asks the caller to send Reply to the borrower. The message may
// be lost.
type SendLendReply struct{ Reply LendReply }

func (LendRequest) message()  {}
func (LendReply) message()    {}
func (SendLendReply) action() {}

// peerLoan is the set of shares lent to, or borrowed from, one zone peer.
type peerLoan struct {
	shares  Shares
	expires time.Duration
}

// BorrowRequest returns the request to send to each zone peer. It returns false
// if the instance has applied a grant, is stopping or does not use escrow.
func (in *InstanceLimiter) BorrowRequest(now time.Duration, parts int64) (LendRequest, bool) {
	if in.appliedGrant != (GrantNumber{}) || in.leaving || in.opts.Policy != Escrow {
		return LendRequest{}, false
	}
	in.borrowSeq++
	in.sentBorrowRequests[in.borrowSeq%sentHistory] = sentRequest{seq: in.borrowSeq, at: now}
	return LendRequest{Borrower: in.incarnation, Seq: in.borrowSeq, Parts: parts}, true
}

// handleLendRequest lends a part of the base shares to a borrower. Until the
// term has ended, further requests of that borrower extend the same loan.
func (in *InstanceLimiter) handleLendRequest(now time.Duration, r LendRequest) []Action {
	in.reclaimPeerLoans(now)
	expires := now + addDriftMargin(in.opts.LendTerm, 2*in.opts.DriftPPM)
	mayLend := in.appliedGrant != (GrantNumber{}) && !in.leaving && expires <= in.baseExpires
	if !mayLend || r.Borrower == in.incarnation || r.Parts < 2 {
		return nil
	}
	l := in.lentTo[r.Borrower]
	if l == nil {
		l = in.newPeerLoan(now, r.Parts)
		in.lentTo[r.Borrower] = l
	}
	l.expires = max(l.expires, expires)
	return []Action{SendLendReply{LendReply{Lender: in.incarnation, Borrower: r.Borrower, Seq: r.Seq, Shares: maps.Clone(l.shares)}}}
}

func (in *InstanceLimiter) newPeerLoan(now time.Duration, parts int64) *peerLoan {
	l := &peerLoan{shares: Shares{}}
	for _, o := range in.orgs {
		in.refill(now, o)
		part := o.base.sub(o.lent).max(Share{}).scale(1, parts)
		l.shares[o.name] = part
		o.lent = o.lent.add(part)
		in.resizeBucket(o)
	}
	return l
}

// reclaimPeerLoans takes back the lent shares whose term has ended. Calling it
// late is safe.
func (in *InstanceLimiter) reclaimPeerLoans(now time.Duration) {
	for borrower, l := range in.lentTo {
		if now < l.expires {
			continue
		}
		delete(in.lentTo, borrower)
		for org, s := range l.shares {
			o := in.orgs[org]
			in.refill(now, o)
			o.lent = o.lent.sub(s)
			in.resizeBucket(o)
		}
	}
}

// coversLentShares reports whether the base shares after a grant are at least
// those that are lent.
func (in *InstanceLimiter) coversLentShares(g Grant) bool {
	if len(in.lentTo) == 0 {
		return true
	}
	next := map[string]Share{}
	if g.DeltaOf != (GrantNumber{}) {
		for org, s := range in.grantedShares {
			next[org] = s.Base
		}
	}
	for _, s := range g.Shares {
		next[s.Org] = s.Base
	}
	for _, o := range in.orgs {
		if !next[o.name].atLeast(o.lent) {
			return false
		}
	}
	return true
}

// acceptPeerLoan puts borrowed shares in force or extends their term.
func (in *InstanceLimiter) acceptPeerLoan(now time.Duration, m LendReply) {
	sent := in.sentBorrowRequests[m.Seq%sentHistory]
	expires := sent.at + subtractDriftMargin(in.opts.LendTerm, 2*in.opts.DriftPPM)
	in.expireBorrowedShares(now)
	switch {
	case m.Borrower != in.incarnation, sent.seq != m.Seq, now >= expires:
		return
	case in.appliedGrant != (GrantNumber{}), in.leaving:
		return
	}
	if l := in.borrowedFrom[m.Lender]; l != nil {
		l.expires = max(l.expires, expires)
	} else {
		in.borrowedFrom[m.Lender] = &peerLoan{shares: m.Shares, expires: expires}
		in.addBorrowedShares(now, m.Shares)
	}
	in.updateNextBorrowedExpiry()
}

func (in *InstanceLimiter) addBorrowedShares(now time.Duration, shares Shares) {
	for org, s := range shares {
		if o := in.orgs[org]; o != nil {
			in.refill(now, o)
			o.borrowed = o.borrowed.add(s)
			in.resizeBucket(o)
		}
	}
}

// updateNextBorrowedExpiry recomputes when the next borrowed shares expire.
func (in *InstanceLimiter) updateNextBorrowedExpiry() {
	in.nextBorrowedExpiry = 0
	for _, l := range in.borrowedFrom {
		if in.nextBorrowedExpiry == 0 || l.expires < in.nextBorrowedExpiry {
			in.nextBorrowedExpiry = l.expires
		}
	}
}

// expireBorrowedShares removes expired borrowed shares in the order of their
// expiry, so that each counts for the refill only up to its own expiry.
func (in *InstanceLimiter) expireBorrowedShares(now time.Duration) {
	if in.nextBorrowedExpiry == 0 || now < in.nextBorrowedExpiry {
		return
	}
	lenders := slices.SortedFunc(maps.Keys(in.borrowedFrom), func(a, b string) int {
		return cmp.Or(cmp.Compare(in.borrowedFrom[a].expires, in.borrowedFrom[b].expires), cmp.Compare(a, b))
	})
	for _, lender := range lenders {
		l := in.borrowedFrom[lender]
		if now < l.expires {
			break
		}
		delete(in.borrowedFrom, lender)
		for org, s := range l.shares {
			if o := in.orgs[org]; o != nil {
				o.bucket.refill(l.expires)
				o.borrowed = o.borrowed.sub(s).max(Share{})
				in.resizeBucket(o)
			}
		}
	}
	in.updateNextBorrowedExpiry()
}

// dropBorrowedShares removes all borrowed shares, because a grant replaces them or
// the instance stops.
func (in *InstanceLimiter) dropBorrowedShares() {
	clear(in.borrowedFrom)
	in.nextBorrowedExpiry = 0
	for _, o := range in.orgs {
		o.borrowed = Share{}
	}
}
