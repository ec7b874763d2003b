package limit

import (
	"maps"
	"time"
)

// usable is the part of the claim that may be divided: the stored claim, or
// less if an open write or a planned reduction says so.
func (z *Zone) usable(org string) Share {
	if !z.stamped() {
		return Share{}
	}
	s := z.claims.value.Zones[z.zone].Shares[org]
	if z.claims.pending != nil {
		s = s.min(z.claims.pending.Zones[z.zone].Shares[org])
	}
	if c, ok := z.ceiling[org]; ok {
		s = s.min(c)
	}
	return s
}

// given is what is or may be in the hands of the members, but for the extra
// of the member left out.
func (z *Zone) given(org, without string) Share {
	var sum Share
	for inc, m := range z.members {
		sum = sum.add(z.baseCount(inc, org))
		if inc != without {
			sum = sum.add(m.extraBound[org])
		}
	}
	for inc := range z.ledger.value.Members {
		if z.members[inc] == nil {
			sum = sum.add(z.baseCount(inc, org))
		}
	}
	for _, l := range z.loans {
		if l.org == org {
			sum.BurstPPM += l.burst
		}
	}
	return sum
}

// baseCount is the most that a member's base share may be, now or by a grant
// that a later holder of the duty would take from the ledger.
func (z *Zone) baseCount(inc, org string) Share {
	s := z.ledger.value.Members[inc].Base[org]
	if z.ledger.pending != nil {
		s = s.max(z.ledger.pending.Members[inc].Base[org])
	}
	if m := z.members[inc]; m != nil {
		s = s.max(m.baseBound[org])
	}
	return s
}

// planClaims returns the write of the claims object that is due.
func (z *Zone) planClaims(now time.Duration) []Action {
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
		z.fresh = !exists
	}
	if !changed && (z.moveAt == 0 || now-z.moveAt >= z.opts.MoveEvery) {
		z.moveAt = now
		z.forgetLoans(now)
		changed = z.publish(&next, now)
		changed = z.raise(cur.with(z.zone, next), &next) || changed
	}
	if z.settled(now) {
		changed = z.reduce(&next) || changed
	}
	if !changed {
		return nil
	}
	return []Action{z.claims.put(now, cur.with(z.zone, next))}
}

// publish brings the demand up to date where it changed by over a quarter.
func (z *Zone) publish(next *ZoneClaim, now time.Duration) bool {
	wants, needs, changed := map[string]int64{}, map[string]int64{}, false
	for _, org := range z.order {
		for _, m := range z.members {
			wants[org] += int64(m.steady[org])
		}
		wants[org] = min(wants[org], PPM)
		if r := z.reserve[org]; r != nil && r.need > 0 && now-r.needAt < needKept {
			needs[org] = r.need
		}
		old := next.Wants[org]
		changed = changed || abs(wants[org]-old) > old/4+PPM/100 || needs[org] != next.Needs[org]
	}
	if changed {
		next.Wants, next.Needs = wants, needs
	}
	return changed
}

// raise claims what is unclaimed up to the target, and plans reductions.
func (z *Zone) raise(c Claims, next *ZoneClaim) bool {
	changed := false
	for _, org := range z.order {
		target, have := c.Target(z.zone, org), next.Shares[org]
		if have.near(target) {
			delete(z.ceiling, org)
			continue
		}
		z.ceiling[org] = reduction(have, target)
		gain := target.sub(have).max(Share{}).min(c.Unclaimed(org))
		if gain != (Share{}) {
			next.Shares[org] = have.add(gain)
			changed = true
		}
	}
	return changed
}

// reduction returns the ceiling that lowers a claim to its target; a part
// that is not above its target has no ceiling.
func reduction(have, target Share) Share {
	ceiling := Share{PPM, PPM}
	if have.RatePPM > target.RatePPM {
		ceiling.RatePPM = target.RatePPM
	}
	if have.BurstPPM > target.BurstPPM {
		ceiling.BurstPPM = target.BurstPPM
	}
	return ceiling
}

// reduce gives up what a planned reduction has freed inside the zone.
func (z *Zone) reduce(next *ZoneClaim) bool {
	changed := false
	for _, org := range z.order {
		have, stored := next.Shares[org], z.claims.value.Zones[z.zone].Shares[org]
		ceiling, planned := z.ceiling[org]
		if !planned {
			continue
		}
		if ceiling.atLeast(stored) {
			delete(z.ceiling, org) // nothing left to give up
			continue
		}
		z.trimReserve(org, ceiling)
		used := z.given(org, "")
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

// planLedger returns the write of the ledger that is due.
func (z *Zone) planLedger(now time.Duration) []Action {
	cur := z.ledger.value
	next := Ledger{Fence: z.fence, Members: maps.Clone(cur.Members)}
	if next.Members == nil {
		next.Members = map[string]Member{}
	}
	if cur.Fence != z.fence {
		return []Action{z.ledger.put(now, next)}
	}
	if !z.loaded || z.ledgeAt != 0 && now-z.ledgeAt < z.opts.ExtraTerm/requestsATerm {
		return nil
	}
	changed := z.dropMembers(&next)
	changed = z.sizeBases(now, &next) || changed
	if !changed {
		return nil
	}
	z.ledgeAt = now
	return []Action{z.ledger.put(now, next)}
}

func (z *Zone) dropMembers(next *Ledger) bool {
	changed := false
	for _, inc := range sortedKeys(z.members) {
		if !z.members[inc].gone {
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

// sizeBases lowers bases that the members have given up and raises others to
// their target as far as shares are free.
func (z *Zone) sizeBases(now time.Duration, next *Ledger) bool {
	changed := false
	incs := sortedKeys(z.members)
	for _, org := range z.order {
		free := z.free(org, "")
		target := z.baseTarget(org)
		for _, inc := range incs {
			m := z.members[inc]
			if m.gone {
				continue
			}
			have, size := z.ledger.value.Members[inc].Base[org], Share{}
			size = have.min(m.baseBound[org].max(target))
			if z.settled(now) && z.live(now, m) && !have.near(target) {
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

func (z *Zone) live(now time.Duration, m *member) bool {
	return m.heard && !m.gone && now-m.heardAt < z.opts.ExtraTerm
}

func (z *Zone) baseTarget(org string) Share {
	return z.usable(org).of(z.opts.Base).scale(1, int64(max(len(z.members), 1)))
}

// free is what neither members, loans nor the reserve hold, nor the open
// write of the ledger takes.
func (z *Zone) free(org, without string) Share {
	free := z.usable(org).sub(z.given(org, without))
	if r := z.reserve[org]; r != nil {
		free = free.sub(r.share)
	}
	return free.max(Share{})
}
