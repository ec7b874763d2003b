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
type lending struct {
	shares Shares
	until  time.Duration
}

// BorrowRequest returns the request to send to each zone peer, and false if
// the instance has grants of its own or stops.
func (in *Instance) BorrowRequest(now time.Duration, parts int64) (LendRequest, bool) {
	if in.applied != (GrantNumber{}) || in.leaving || in.opts.Policy != Escrow {
		return LendRequest{}, false
	}
	in.borrowSeq++
	in.borrowSent[in.borrowSeq%sentKept] = sentRequest{seq: in.borrowSeq, at: now}
	return LendRequest{Borrower: in.incarnation, Seq: in.borrowSeq, Parts: parts}, true
}

// lend gives a borrower its part, the same one until its term has ended.
func (in *Instance) lend(now time.Duration, r LendRequest) []Action {
	in.endLending(now)
	until := now + stretch(in.opts.LendTerm, 2*in.opts.DriftPPM)
	mayLend := in.applied != (GrantNumber{}) && !in.leaving && until <= in.baseUntil
	if !mayLend || r.Borrower == in.incarnation || r.Parts < 2 {
		return nil
	}
	l := in.lent[r.Borrower]
	if l == nil {
		l = in.newLending(now, r.Parts)
		in.lent[r.Borrower] = l
	}
	l.until = max(l.until, until)
	return []Action{SendLent{Lent{Lender: in.incarnation, Borrower: r.Borrower, Seq: r.Seq, Shares: maps.Clone(l.shares)}}}
}

func (in *Instance) newLending(now time.Duration, parts int64) *lending {
	l := &lending{shares: Shares{}}
	for _, o := range in.orgs {
		in.advance(now, o)
		part := o.base.sub(o.lentOut).max(Share{}).scale(1, parts)
		l.shares[o.name] = part
		o.lentOut = o.lentOut.add(part)
		in.resize(o)
	}
	return l
}

// endLending takes back what was lent and has ended. Doing so late is safe.
func (in *Instance) endLending(now time.Duration) {
	for borrower, l := range in.lent {
		if now < l.until {
			continue
		}
		delete(in.lent, borrower)
		for org, s := range l.shares {
			o := in.orgs[org]
			in.advance(now, o)
			o.lentOut = o.lentOut.sub(s)
			in.resize(o)
		}
	}
}

// covers reports whether a grant leaves at least what is lent.
func (in *Instance) covers(g Grant) bool {
	if len(in.lent) == 0 {
		return true
	}
	next := map[string]Share{}
	if g.Base != (GrantNumber{}) {
		for org, s := range in.granted {
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
func (in *Instance) takeLent(now time.Duration, m Lent) {
	sent := in.borrowSent[m.Seq%sentKept]
	until := sent.at + shrink(in.opts.LendTerm, 2*in.opts.DriftPPM)
	in.endBorrowed(now)
	switch {
	case m.Borrower != in.incarnation, sent.seq != m.Seq, now >= until:
		return
	case in.applied != (GrantNumber{}), in.leaving:
		return
	}
	if l := in.borrowed[m.Lender]; l != nil {
		l.until = max(l.until, until)
	} else {
		in.borrowed[m.Lender] = &lending{shares: m.Shares, until: until}
		in.addBorrowed(now, m.Shares)
	}
	in.noteBorrowedEnd()
}

func (in *Instance) addBorrowed(now time.Duration, shares Shares) {
	for org, s := range shares {
		if o := in.orgs[org]; o != nil {
			in.advance(now, o)
			o.lentIn = o.lentIn.add(s)
			in.resize(o)
		}
	}
}

// noteBorrowedEnd notes when the next borrowed part ends; 0 for never.
func (in *Instance) noteBorrowedEnd() {
	in.borrowedEnd = 0
	for _, l := range in.borrowed {
		if in.borrowedEnd == 0 || l.until < in.borrowedEnd {
			in.borrowedEnd = l.until
		}
	}
}

// endBorrowed drops borrowed parts in the order of their ends; buckets refill
// by each up to its end only.
func (in *Instance) endBorrowed(now time.Duration) {
	if in.borrowedEnd == 0 || now < in.borrowedEnd {
		return
	}
	lenders := slices.SortedFunc(maps.Keys(in.borrowed), func(a, b string) int {
		return cmp.Or(cmp.Compare(in.borrowed[a].until, in.borrowed[b].until), cmp.Compare(a, b))
	})
	for _, lender := range lenders {
		l := in.borrowed[lender]
		if now < l.until {
			break
		}
		delete(in.borrowed, lender)
		for org, s := range l.shares {
			if o := in.orgs[org]; o != nil {
				o.bucket.advance(l.until)
				o.lentIn = o.lentIn.sub(s).max(Share{})
				in.resize(o)
			}
		}
	}
	in.noteBorrowedEnd()
}

// dropBorrowed ends all borrowed parts, since a grant takes their place or the
// instance stops.
func (in *Instance) dropBorrowed() {
	clear(in.borrowed)
	in.borrowedEnd = 0
	for _, o := range in.orgs {
		o.lentIn = Share{}
	}
}
