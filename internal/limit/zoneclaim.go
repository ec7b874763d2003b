package limit

import (
	"maps"
	"time"
)

// usableClaim returns the part of the claim that may be allocated: the minimum of
// the stored claim, that of a pending write and a planned reduction.
func (z *ZoneLeader) usableClaim(org string) Share {
	if !z.fenceStored() {
		return Share{}
	}
	s := z.claims.value.Zones[z.zone].Shares[org]
	if z.claims.pendingValue != nil {
		s = s.min(z.claims.pendingValue.Zones[z.zone].Shares[org])
	}
	if c, ok := z.claimCeiling[org]; ok {
		s = s.min(c)
	}
	return s
}

// allocated returns the share that members hold or may hold, including loans but
// excluding the extra share of one member.
func (z *ZoneLeader) allocated(org, exceptExtraOf string) Share {
	var sum Share
	for inc, m := range z.members {
		sum = sum.add(z.maxBaseShare(inc, org))
		if inc != exceptExtraOf {
			sum = sum.add(m.extraBound[org])
		}
	}
	for inc := range z.ledger.value.Members {
		if z.members[inc] == nil {
			sum = sum.add(z.maxBaseShare(inc, org))
		}
	}
	for _, l := range z.loans {
		if l.org == org {
			sum.BurstPPM += l.burstPPM
		}
	}
	return sum
}

// maxBaseShare returns an upper bound of a member's base share, now or under a
// grant that a later zone leader would make from the ledger.
func (z *ZoneLeader) maxBaseShare(inc, org string) Share {
	s := z.ledger.value.Members[inc].Base[org]
	if z.ledger.pendingValue != nil {
		s = s.max(z.ledger.pendingValue.Members[inc].Base[org])
	}
	if m := z.members[inc]; m != nil {
		s = s.max(m.baseBound[org])
	}
	return s
}

// planClaims returns the write of the claims object that is due, if any.
func (z *ZoneLeader) planClaims(now time.Duration) []Action {
	cur := z.claims.value
	mine, exists := cur.Zones[z.zone]
	next := mine
	next.Fence = z.fence
	next.Shares = maps.Clone(mine.Shares)
	if next.Shares == nil {
		next.Shares = Shares{}
	}
	changed := !exists || mine.Fence != z.fence
	if changed {
		z.noFormerLeader = !exists
	}
	if !changed && (z.claimPlannedAt == 0 || now-z.claimPlannedAt >= z.opts.ClaimInterval) {
		z.claimPlannedAt = now
		z.dropOldLoanRefunds(now)
		changed = z.updateClaimDemand(&next, now)
		changed = z.raiseClaim(cur.with(z.zone, next), &next) || changed
	}
	if z.formerGrantsExpired(now) {
		changed = z.lowerClaim(&next) || changed
	}
	if !changed {
		return nil
	}
	return []Action{z.claims.startWrite(now, cur.with(z.zone, next))}
}

// updateClaimDemand updates the demand in the zone's claim if that of an
// organisation changed by over a quarter plus 1 % of the organisation's rate, or if
// its large charge changed.
func (z *ZoneLeader) updateClaimDemand(next *ZoneClaim, now time.Duration) bool {
	demandByOrg, largeChargeByOrg, changed := map[string]int64{}, map[string]int64{}, false
	for _, org := range z.orgNames {
		for _, m := range z.members {
			demandByOrg[org] += int64(m.avgDemandPPM[org])
		}
		demandByOrg[org] = min(demandByOrg[org], PPM)
		if r := z.reserve[org]; r != nil && r.largeChargePPM > 0 && now-r.largeChargeAt < largeChargeRetention {
			largeChargeByOrg[org] = r.largeChargePPM
		}
		old := next.DemandPPM[org]
		changed = changed || abs(demandByOrg[org]-old) > old/4+PPM/100 || largeChargeByOrg[org] != next.LargeChargePPM[org]
	}
	if changed {
		next.DemandPPM, next.LargeChargePPM = demandByOrg, largeChargeByOrg
	}
	return changed
}

// raiseClaim claims unclaimed shares up to the targets and plans reductions.
func (z *ZoneLeader) raiseClaim(c Claims, next *ZoneClaim) bool {
	changed := false
	for _, org := range z.orgNames {
		target, have := c.Target(z.zone, org), next.Shares[org]
		if have.near(target) {
			delete(z.claimCeiling, org)
			continue
		}
		z.claimCeiling[org] = reductionCeiling(have, target)
		gain := target.sub(have).max(Share{}).min(c.Unclaimed(org))
		if gain != (Share{}) {
			next.Shares[org] = have.add(gain)
			changed = true
		}
	}
	return changed
}

// reductionCeiling returns the ceiling that lowers a claim to its target. A rate
// or burst that is not above its target gets the ceiling PPM, which is none.
func reductionCeiling(have, target Share) Share {
	ceiling := Share{PPM, PPM}
	if have.RatePPM > target.RatePPM {
		ceiling.RatePPM = target.RatePPM
	}
	if have.BurstPPM > target.BurstPPM {
		ceiling.BurstPPM = target.BurstPPM
	}
	return ceiling
}

// lowerClaim reduces the claim by what a planned reduction has freed inside the
// zone.
func (z *ZoneLeader) lowerClaim(next *ZoneClaim) bool {
	changed := false
	for _, org := range z.orgNames {
		have, stored := next.Shares[org], z.claims.value.Zones[z.zone].Shares[org]
		ceiling, planned := z.claimCeiling[org]
		if !planned {
			continue
		}
		if ceiling.atLeast(stored) {
			delete(z.claimCeiling, org) // the reduction is complete
			continue
		}
		z.trimReserve(org, ceiling)
		used := z.allocated(org, "")
		if r := z.reserve[org]; r != nil {
			used = used.add(r.share)
		}
		lower := stored.min(used.max(ceiling))
		if lower.RatePPM < stored.RatePPM {
			have.RatePPM = lower.RatePPM
		}
		if lower.BurstPPM < stored.BurstPPM {
			have.BurstPPM = lower.BurstPPM
		}
		changed = changed || have != next.Shares[org]
		next.Shares[org] = have
	}
	return changed
}

// planLedger returns the write of the ledger that is due, if any.
func (z *ZoneLeader) planLedger(now time.Duration) []Action {
	cur := z.ledger.value
	next := Ledger{Fence: z.fence, Members: maps.Clone(cur.Members)}
	if next.Members == nil {
		next.Members = map[string]Member{}
	}
	if cur.Fence != z.fence {
		return []Action{z.ledger.startWrite(now, next)}
	}
	if !z.membersLoaded || z.ledgerWrittenAt != 0 && now-z.ledgerWrittenAt < z.opts.ExtraTerm/requestsPerTerm {
		return nil
	}
	changed := z.dropEndedMembers(&next)
	changed = z.resizeBaseShares(now, &next) || changed
	if !changed {
		return nil
	}
	z.ledgerWrittenAt = now
	return []Action{z.ledger.startWrite(now, next)}
}

// dropEndedMembers removes ended members from the ledger and, once they are not
// in the ledger, from memory.
func (z *ZoneLeader) dropEndedMembers(next *Ledger) bool {
	changed := false
	for _, inc := range sortedKeys(z.members) {
		if !z.members[inc].ended {
			continue
		}
		if _, ok := next.Members[inc]; ok {
			delete(next.Members, inc)
			changed = true
			continue
		}
		delete(z.members, inc)
	}
	return changed
}

// resizeBaseShares lowers base shares that the members have given up and raises
// others to their target as far as shares are unallocated.
func (z *ZoneLeader) resizeBaseShares(now time.Duration, next *Ledger) bool {
	changed := false
	incs := sortedKeys(z.members)
	for _, org := range z.orgNames {
		free := z.unallocated(org, "")
		target := z.baseTarget(org)
		for _, inc := range incs {
			m := z.members[inc]
			if m.ended {
				continue
			}
			have, size := z.ledger.value.Members[inc].Base[org], Share{}
			size = have.min(m.baseBound[org].max(target))
			if z.formerGrantsExpired(now) && z.isLive(now, m) && !have.near(target) {
				gain := target.sub(have).max(Share{}).min(free)
				free = free.sub(gain)
				size = size.add(gain)
			}
			if size == have {
				continue
			}
			changed = true
			lm := next.Members[inc]
			lm.Instance, lm.Base = m.instance, maps.Clone(lm.Base)
			if lm.Base == nil {
				lm.Base = Shares{}
			}
			lm.Base[org] = size
			next.Members[inc] = lm
		}
	}
	return changed
}

func (z *ZoneLeader) isLive(now time.Duration, m *member) bool {
	return m.hasRequested && !m.ended && now-m.lastRequestAt < z.opts.ExtraTerm
}

func (z *ZoneLeader) baseTarget(org string) Share {
	return z.usableClaim(org).portion(z.opts.BaseFraction).scale(1, int64(max(len(z.members), 1)))
}

// unallocated returns the share that is not held by members, loans or the reserve
// and not allocated by a pending write of the ledger.
func (z *ZoneLeader) unallocated(org, exceptExtraOf string) Share {
	free := z.usableClaim(org).sub(z.allocated(org, exceptExtraOf))
	if r := z.reserve[org]; r != nil {
		free = free.sub(r.share)
	}
	return free.max(Share{})
}
