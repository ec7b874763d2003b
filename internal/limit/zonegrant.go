package limit

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

type object = platform.Object

// serve answers a request. Duplicate and late requests change nothing.
func (z *Zone) serve(now time.Duration, r Request) []Action {
	if _, ok := z.left[r.Incarnation]; ok || !z.stamped() {
		return nil
	}
	m := z.members[r.Incarnation]
	if m == nil {
		m = &member{instance: r.Instance, baseExpires: now + z.opts.ExtraTerm}
		z.members[r.Incarnation] = m
	}
	if m.gone || m.heard && r.Seq <= m.lastRequest {
		return nil
	}
	z.hear(now, m, r)
	if r.Leaving {
		z.left[r.Incarnation] = now
		m.gone = true
		z.endLoans(r.LoansDone)
		z.expire(now)
		return nil
	}
	return []Action{SendGrant{Instance: r.Instance, Grant: z.grant(now, m, r)}}
}

// hear takes in what a request says. Once the last grant is applied no
// earlier one can be, so the bounds shrink to it.
func (z *Zone) hear(now time.Duration, m *member, r Request) {
	m.heard, m.heardAt, m.lastRequest = true, now, r.Seq
	m.wants = map[string]int64{}
	for _, d := range r.Demand {
		m.wants[d.Org] = d.RatePPM
	}
	if m.granted != nil && r.Applied == m.grant {
		m.baseBound, m.extraBound = Shares{}, Shares{}
		for org, s := range m.granted {
			m.baseBound[org], m.extraBound[org] = s.Base, s.Extra
		}
	}
	z.endLoans(r.LoansDone)
}

func (z *Zone) endLoans(ids []GrantNumber) {
	for _, id := range ids {
		for i := range z.loans {
			if z.loans[i].id == id {
				z.loans[i].expires = 0
			}
		}
	}
	kept := z.loans[:0]
	for _, l := range z.loans {
		if l.expires != 0 {
			kept = append(kept, l)
		}
	}
	z.loans = kept
}

// grant decides the shares of a member and adds them to its bounds.
func (z *Zone) grant(now time.Duration, m *member, r Request) Grant {
	z.seq++
	m.grant = GrantNumber{Fence: z.fence, Seq: z.seq}
	m.granted = map[string]OrgShare{}
	if m.baseBound == nil {
		m.baseBound = Shares{}
	}
	if m.extraBound == nil {
		m.extraBound = Shares{}
	}
	g := Grant{Incarnation: r.Incarnation, Number: m.grant, Request: r.Seq}
	for _, org := range z.order {
		z.sizeReserve(now, org)
		s := OrgShare{Org: org, Base: z.baseGrant(r.Incarnation, org), Extra: z.extraGrant(now, r.Incarnation, org)}
		m.granted[org] = s
		m.baseBound[org] = m.baseBound[org].max(s.Base)
		m.extraBound[org] = m.extraBound[org].max(s.Extra)
		g.Shares = append(g.Shares, s)
	}
	m.extraExpires = now + stretch(z.opts.ExtraTerm, z.opts.DriftPPM)
	m.baseExpires = now + stretch(z.opts.BaseTerm, z.opts.DriftPPM)
	for _, d := range r.Demand {
		if l, ok := z.lend(now, d); ok {
			g.Loans = append(g.Loans, l)
		}
	}
	return g
}

// baseGrant is what the ledger holds for certain, or the target if that is
// clearly lower.
func (z *Zone) baseGrant(inc, org string) Share {
	s := z.ledger.value.Members[inc].Base[org]
	if z.ledger.pending != nil {
		s = s.min(z.ledger.pending.Members[inc].Base[org])
	}
	if target := z.baseTarget(org); !s.near(target) {
		s = s.min(target)
	}
	return s
}

// extraGrant divides what base shares and reserve leave by demand.
func (z *Zone) extraGrant(now time.Duration, inc, org string) Share {
	if !z.settled(now) {
		return Share{}
	}
	pool := z.usable(org).sub(z.usable(org).of(z.opts.Reserve))
	var live, wants int64
	for i, m := range z.members {
		base := z.baseCount(i, org)
		if z.live(now, m) {
			live++
			wants += m.wants[org]
			base = base.max(z.baseTarget(org))
		}
		pool = pool.sub(base)
	}
	floor := wants/(4*max(live, 1)) + 1
	weight, weights := z.members[inc].wants[org]+floor, wants+live*floor
	return pool.max(Share{}).scale(weight, weights).min(z.free(org, inc))
}

// sizeReserve gives the reserve its part of the claim, less what is lent.
func (z *Zone) sizeReserve(now time.Duration, org string) {
	r := z.reserve[org]
	if r == nil {
		r = &reserve{bucket: bucket{last: now}}
		z.reserve[org] = r
	}
	r.bucket.advance(now)
	r.share = Share{}
	if z.settled(now) {
		usable := z.usable(org)
		want := usable.of(z.opts.Reserve)
		if now-r.needAt < needKept {
			want.BurstPPM = max(want.BurstPPM, min(r.need, usable.BurstPPM))
		}
		for _, l := range z.loans {
			if l.org == org {
				want.BurstPPM -= l.burst
			}
		}
		r.share = want.min(z.free(org, "")).max(Share{})
	}
	r.bucket.set(r.share, z.limits[org], z.opts.DriftPPM)
}

// trimReserve shrinks the reserve at once to fit a lower claim.
func (z *Zone) trimReserve(org string, ceiling Share) {
	r := z.reserve[org]
	if r == nil {
		return
	}
	r.share = r.share.min(ceiling.sub(z.given(org, "")).max(Share{}))
	r.bucket.set(r.share, z.limits[org], z.opts.DriftPPM)
}

// lend hands tokens of the reserve over for one charge, with the burst share
// that they stand for: a loan is part of the burst until it has ended.
func (z *Zone) lend(now time.Duration, d Demand) (Loan, bool) {
	r, l := z.reserve[d.Org], z.limits[d.Org]
	if r == nil || d.Need <= 0 || d.Need > l.Burst || !z.settled(now) {
		return Loan{}, false
	}
	burst := mulDiv(d.Need, PPM, l.Burst) + 1
	if burst > r.share.BurstPPM {
		r.need, r.needAt = min(burst, PPM), now
	}
	if burst > r.share.BurstPPM || d.Need*PPM > r.bucket.level {
		return Loan{}, false
	}
	z.seq++
	id := GrantNumber{Fence: z.fence, Seq: z.seq}
	expires := now + stretch(z.opts.ExtraTerm, z.opts.DriftPPM)
	z.loans = append(z.loans, zoneLoan{id: id, org: d.Org, burst: burst, expires: expires})
	r.share.BurstPPM -= burst
	r.bucket.level -= d.Need * PPM
	r.bucket.set(r.share, l, z.opts.DriftPPM)
	return Loan{ID: id, Org: d.Org, Tokens: d.Need, Burst: l.Burst}, true
}
