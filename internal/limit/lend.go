package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Lending lets an instance that starts while no duty holder can grant go on
// with a part of its zone peers' base shares, for a short term at a time.
//
// The lender's own share is lower from the moment it lends until the term has
// certainly ended at the borrower. Meanwhile it takes no grant that would leave
// it less than it has lent, and returns nothing when it stops: for the duty
// holder both look like lost messages. So the sum of shares in force stays
// within what was granted to the lender.

// LendRequest asks a zone peer for a part of its base shares. Parts is the
// number of instances that the zone's base shares are to be divided between.
type LendRequest struct {
	Borrower string // incarnation
	Seq      uint64
	Parts    int64
}

// Lent answers LendRequest number Seq. The shares are in force for LendTerm
// from the sending of that request.
type Lent struct {
	Lender   string // incarnation
	Borrower string
	Seq      uint64
	Shares   Shares
}

// SendLent goes to the borrower. It may be lost.
type SendLent struct{ Lent Lent }

func (LendRequest) message() {}
func (Lent) message()        {}
func (SendLent) action()     {}

// lending is one peer's part, lent or borrowed.
type peerLoan struct {
	shares  Shares
	expires time.Duration
}

// BorrowRequest returns the request to send to each zone peer, and false if
// the instance has grants of its own or stops.
func (in *Instance) BorrowRequest(now time.Duration, parts int64) (LendRequest, bool) {
	if in.appliedGrant != (GrantNumber{}) || in.leaving || in.opts.Policy != Escrow {
		return LendRequest{}, false
	}
	in.borrowSeq++
	in.sentBorrowRequests[in.borrowSeq%sentHistory] = sentRequest{seq: in.borrowSeq, at: now}
	return LendRequest{Borrower: in.incarnation, Seq: in.borrowSeq, Parts: parts}, true
}

// lend gives a borrower its part, the same one until its term has ended.
func (in *Instance) handleLendRequest(now time.Duration, r LendRequest) []Action {
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
	return []Action{SendLent{Lent{Lender: in.incarnation, Borrower: r.Borrower, Seq: r.Seq, Shares: maps.Clone(l.shares)}}}
}

func (in *Instance) newPeerLoan(now time.Duration, parts int64) *peerLoan {
	l := &peerLoan{shares: Shares{}}
	for _, o := range in.orgs {
		in.refill(now, o)
		part := o.base.sub(o.lentOut).max(Share{}).scale(1, parts)
		l.shares[o.name] = part
		o.lentOut = o.lentOut.add(part)
		in.resizeBucket(o)
	}
	return l
}

// endLending takes back what was lent and has ended. Doing so late is safe.
func (in *Instance) reclaimPeerLoans(now time.Duration) {
	for borrower, l := range in.lentTo {
		if now < l.expires {
			continue
		}
		delete(in.lentTo, borrower)
		for org, s := range l.shares {
			o := in.orgs[org]
			in.refill(now, o)
			o.lentOut = o.lentOut.sub(s)
			in.resizeBucket(o)
		}
	}
}

// covers reports whether a grant leaves at least what is lent.
func (in *Instance) coversLentShares(g Grant) bool {
	if len(in.lentTo) == 0 {
		return true
	}
	next := map[string]Share{}
	if g.Base != (GrantNumber{}) {
		for org, s := range in.grantedShares {
			next[org] = s.Base
		}
	}
	for _, s := range g.Shares {
		next[s.Org] = s.Base
	}
	for _, o := range in.orgs {
		if !next[o.name].atLeast(o.lentOut) {
			return false
		}
	}
	return true
}

// takeLent puts a borrowed part in force, or prolongs it.
func (in *Instance) acceptPeerLoan(now time.Duration, m Lent) {
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

func (in *Instance) addBorrowedShares(now time.Duration, shares Shares) {
	for org, s := range shares {
		if o := in.orgs[org]; o != nil {
			in.refill(now, o)
			o.lentIn = o.lentIn.add(s)
			in.resizeBucket(o)
		}
	}
}

// noteBorrowedEnd notes when the next borrowed part ends; 0 for never.
func (in *Instance) updateNextBorrowedExpiry() {
	in.nextBorrowedExpiry = 0
	for _, l := range in.borrowedFrom {
		if in.nextBorrowedExpiry == 0 || l.expires < in.nextBorrowedExpiry {
			in.nextBorrowedExpiry = l.expires
		}
	}
}

// endBorrowed drops borrowed parts in the order of their ends; buckets refill
// by each up to its end only.
func (in *Instance) expireBorrowedShares(now time.Duration) {
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
				o.lentIn = o.lentIn.sub(s).max(Share{})
				in.resizeBucket(o)
			}
		}
	}
	in.updateNextBorrowedExpiry()
}

// dropBorrowed ends all borrowed parts, since a grant takes their place or the
// instance stops.
func (in *Instance) dropBorrowedShares() {
	clear(in.borrowedFrom)
	in.nextBorrowedExpiry = 0
	for _, o := range in.orgs {
		o.lentIn = Share{}
	}
}
