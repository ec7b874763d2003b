package limit

import (
	"math"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

type object = objectstore.Object

// serveRequest handles a request and returns the grant. Duplicate and late
// requests are ignored.
func (z *ZoneLeader) serveRequest(now time.Duration, r ShareRequest) []Action {
	if _, ok := z.departed[r.Incarnation]; ok || !z.fenceStored() {
		return nil
	}
	m := z.members[r.Incarnation]
	if m == nil {
		m = &member{instance: r.Instance, baseExpires: now + z.opts.ExtraTerm}
		z.members[r.Incarnation] = m
	}
	if m.ended || m.hasRequested && r.Seq <= m.lastRequestSeq {
		return nil
	}
	z.recordRequest(now, m, r)
	if r.Leaving {
		z.departed[r.Incarnation] = now
		m.ended = true
		z.expire(now)
		return nil
	}
	return []Action{SendGrant{Instance: r.Instance, Grant: z.newGrant(now, m, r)}}
}

// recordRequest updates the state of a member from its request. Once the last
// grant is applied, no earlier one can be in force, so the bounds become those of
// the last grant.
func (z *ZoneLeader) recordRequest(now time.Duration, m *member, r ShareRequest) {
	m.recordDemand(now, r.Demand)
	m.hasRequested, m.lastRequestAt, m.lastRequestSeq = true, now, r.Seq
	if m.grantedShares != nil && r.AppliedGrant == m.lastGrant {
		m.baseBound, m.extraBound = Shares{}, Shares{}
		for org, s := range m.grantedShares {
			m.baseBound[org], m.extraBound[org] = s.Base, s.Extra
		}
	}
	z.endLoans(now, r.EndedLoans)
	z.refundLoans(now, r.LoanRefunds)
}

// recordDemand updates a member's demand and its moving average. The average
// starts at the demand of the first request.
func (m *member) recordDemand(now time.Duration, demand []Demand) {
	weight := 1.0
	if m.hasRequested {
		weight = 1 - math.Exp(-float64(now-m.lastRequestAt)/float64(zoneTimeConstant))
	}
	before := m.avgDemandPPM
	m.demandPPM, m.avgDemandPPM = map[string]int64{}, map[string]float64{}
	for org, avg := range before {
		m.avgDemandPPM[org] = avg * (1 - weight)
	}
	for _, d := range demand {
		m.demandPPM[d.Org] = d.RatePPM
		m.avgDemandPPM[d.Org] = before[d.Org] + (float64(d.RatePPM)-before[d.Org])*weight
	}
}

// endLoans returns the burst shares of ended loans to the reserve. Their tokens
// count as spent, but the part that their requests do not use can still be
// refunded to the reserve.
func (z *ZoneLeader) endLoans(now time.Duration, ids []GrantNumber) {
	for _, id := range ids {
		i := slices.IndexFunc(z.loans, func(l zoneLoan) bool { return l.id == id })
		if i < 0 {
			continue
		}
		l := z.loans[i]
		z.loans = slices.Delete(z.loans, i, i+1)
		z.resizeReserve(now, l.org)
		b := &z.reserve[l.org].bucket
		amount := min(l.amount, b.cap-b.level-b.refundable)
		if amount <= 0 {
			continue
		}
		b.level += amount
		z.endedLoans[id] = endedLoan{org: l.org, generation: b.charge(amount), amount: amount, endedAt: now}
	}
}

// recordLargeCharge records the burst share for the largest charge of the last
// minute, in parts per million.
func (z *ZoneLeader) recordLargeCharge(now time.Duration, r *reserve, burst int64) {
	if burst >= r.largeChargePPM || now-r.largeChargeAt >= largeChargeRetention {
		r.largeChargePPM, r.largeChargeAt = min(burst, PPM), now
	}
}

func (z *ZoneLeader) refundLoans(now time.Duration, refunds []LoanRefund) {
	for _, f := range refunds {
		l, ok := z.endedLoans[f.ID]
		if !ok {
			continue
		}
		delete(z.endedLoans, f.ID)
		b := &z.reserve[l.org].bucket
		b.refill(now)
		b.settle(l.generation, l.amount, min(f.Tokens*PPM, l.amount))
	}
}

// dropOldLoanRefunds discards the loan refunds of requests that run for longer
// than largeChargeRetention after their loan ended.
func (z *ZoneLeader) dropOldLoanRefunds(now time.Duration) {
	for id, l := range z.endedLoans {
		if now-l.endedAt >= largeChargeRetention {
			delete(z.endedLoans, id)
		}
	}
}

// newGrant decides the shares of a member, raises its bounds to include them and
// returns the grant.
func (z *ZoneLeader) newGrant(now time.Duration, m *member, r ShareRequest) Grant {
	z.grantSeq++
	previousShares, base := m.deltaBase(r, z.orgNames)
	m.lastGrant = GrantNumber{Fence: z.fence, Seq: z.grantSeq}
	m.grantedShares = map[string]OrgShare{}
	if m.baseBound == nil {
		m.baseBound = Shares{}
	}
	if m.extraBound == nil {
		m.extraBound = Shares{}
	}
	g := Grant{Incarnation: r.Incarnation, Number: m.lastGrant, DeltaOf: base, RequestSeq: r.Seq}
	for _, org := range z.orgNames {
		z.resizeReserve(now, org)
		s := OrgShare{Org: org, Base: z.baseGrant(r.Incarnation, org), Extra: z.extraGrant(now, r.Incarnation, org)}
		m.grantedShares[org] = s
		m.baseBound[org] = m.baseBound[org].max(s.Base)
		m.extraBound[org] = m.extraBound[org].max(s.Extra)
		if before, known := previousShares[org]; !known || before != s {
			g.Shares = append(g.Shares, s)
		}
	}
	m.extraExpires = now + addDriftMargin(z.opts.ExtraTerm, z.opts.DriftPPM)
	m.baseExpires = now + addDriftMargin(z.opts.BaseTerm, z.opts.DriftPPM)
	for _, d := range r.Demand {
		if l, ok := z.lendFromReserve(now, d); ok {
			g.Loans = append(g.Loans, l)
		}
	}
	return g
}

// deltaBase returns the shares and the number of the last grant, if the instance
// has applied it and the organisations have not changed since. Otherwise the next
// grant must contain all shares.
func (m *member) deltaBase(r ShareRequest, orgs []string) (map[string]OrgShare, GrantNumber) {
	if m.grantedShares == nil || r.AppliedGrant != m.lastGrant || len(m.grantedShares) != len(orgs) {
		return nil, GrantNumber{}
	}
	for _, org := range orgs {
		if _, ok := m.grantedShares[org]; !ok {
			return nil, GrantNumber{}
		}
	}
	return m.grantedShares, m.lastGrant
}

// baseGrant returns the base share to grant: what the ledger contains whether or
// not a pending write takes effect, or the target if that is lower and not near.
func (z *ZoneLeader) baseGrant(inc, org string) Share {
	s := z.ledger.value.Members[inc].Base[org]
	if z.ledger.pendingValue != nil {
		s = s.min(z.ledger.pendingValue.Members[inc].Base[org])
	}
	if target := z.baseTarget(org); !s.near(target) {
		s = s.min(target)
	}
	return s
}

// extraGrant returns the extra share to grant: a part, by demand, of what the base
// shares and the reserve leave of the claim. The rate follows the last reported
// demand. A burst share that moves to another instance arrives without its tokens,
// so the burst follows the average demand.
func (z *ZoneLeader) extraGrant(now time.Duration, inc, org string) Share {
	if !z.formerGrantsExpired(now) {
		return Share{}
	}
	pool := z.usableClaim(org).sub(z.reserveTarget(now, org))
	var live, totalDemandPPM, totalAvgDemandPPM int64
	for i, m := range z.members {
		base := z.maxBaseShare(i, org)
		if z.isLive(now, m) {
			live++
			totalDemandPPM += m.demandPPM[org]
			totalAvgDemandPPM += int64(m.avgDemandPPM[org])
			base = base.max(z.baseTarget(org))
		}
		pool = pool.sub(base)
	}
	m := z.members[inc]
	pool = pool.max(Share{})
	extra := Share{
		RatePPM:  divideByDemand(pool.RatePPM, m.demandPPM[org], totalDemandPPM, live),
		BurstPPM: divideByDemand(pool.BurstPPM, int64(m.avgDemandPPM[org]), totalAvgDemandPPM, live),
	}
	return extra.min(z.unallocated(org, inc))
}

// uniformDemandPPM is added to the reported demand and counts as spread evenly, in
// parts per million of the rate. It keeps the first requests after an idle period
// from moving all shares.
const uniformDemandPPM = PPM / 10

// divideByDemand returns a member's part of a pool. A fifth of the demand, plus
// uniformDemandPPM, counts as spread evenly over the live members.
func divideByDemand(pool, demandPPM, totalDemandPPM, live int64) int64 {
	uniform := (totalDemandPPM/4+uniformDemandPPM)/max(live, 1) + 1
	return mulDiv(pool, demandPPM+uniform, totalDemandPPM+live*uniform)
}

// resizeReserve sets the reserve to its part of the claim, less its loans.
func (z *ZoneLeader) resizeReserve(now time.Duration, org string) {
	r := z.reserve[org]
	if r == nil {
		r = &reserve{bucket: bucket{refilledAt: now}}
		z.reserve[org] = r
	}
	r.bucket.refill(now)
	r.share = Share{}
	if z.formerGrantsExpired(now) {
		want := z.reserveTarget(now, org)
		for _, l := range z.loans {
			if l.org == org {
				want.BurstPPM -= l.burstPPM
			}
		}
		r.share = want.min(z.unallocated(org, "")).max(Share{})
	}
	r.bucket.resize(r.share, z.limits[org], z.opts.DriftPPM)
}

// reserveTarget returns the reserve's part of the claim, including loans, with
// room for the largest charge requested within largeChargeRetention.
func (z *ZoneLeader) reserveTarget(now time.Duration, org string) Share {
	usable := z.usableClaim(org)
	want := usable.portion(z.opts.ReserveFraction)
	if r := z.reserve[org]; r != nil && r.largeChargePPM > 0 && now-r.largeChargeAt < largeChargeRetention {
		want.BurstPPM = max(want.BurstPPM, min(r.largeChargePPM, usable.BurstPPM))
	}
	return want
}

// trimReserve reduces the reserve at once to fit a lower claim.
func (z *ZoneLeader) trimReserve(org string, ceiling Share) {
	r := z.reserve[org]
	if r == nil {
		return
	}
	r.share = r.share.min(ceiling.sub(z.allocated(org, "")).max(Share{}))
	r.bucket.resize(r.share, z.limits[org], z.opts.DriftPPM)
}

// lendFromReserve lends tokens of the reserve for one charge, together with the
// burst share that they represent: a loan is part of the burst until it has ended.
// It returns false if the reserve cannot cover the charge.
func (z *ZoneLeader) lendFromReserve(now time.Duration, d Demand) (Loan, bool) {
	r, l := z.reserve[d.Org], z.limits[d.Org]
	if r == nil || d.Shortfall <= 0 || d.Shortfall > l.Burst || !z.formerGrantsExpired(now) {
		return Loan{}, false
	}
	burst := mulDiv(d.Shortfall, PPM, l.Burst) + 1
	if burst > r.share.BurstPPM {
		z.recordLargeCharge(now, r, burst)
	}
	if burst > r.share.BurstPPM || d.Shortfall*PPM > r.bucket.level {
		return Loan{}, false
	}
	z.grantSeq++
	id := GrantNumber{Fence: z.fence, Seq: z.grantSeq}
	expires := now + addDriftMargin(z.opts.ExtraTerm, z.opts.DriftPPM)
	z.loans = append(z.loans, zoneLoan{id: id, org: d.Org, burstPPM: burst, amount: d.Shortfall * PPM, expires: expires})
	r.share.BurstPPM -= burst
	r.bucket.level -= d.Shortfall * PPM
	r.bucket.resize(r.share, l, z.opts.DriftPPM)
	return Loan{ID: id, Org: d.Org, Tokens: d.Shortfall, Burst: l.Burst}, true
}
