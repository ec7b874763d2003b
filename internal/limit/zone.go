package limit

import (
	"maps"
	"time"
)

// Lease reports whether this process holds the zone's lease and with which fencing
// token; lease.Lease implements it.
type Lease interface {
	Held(now time.Duration) (fence uint64, ok bool)
}

// claimsName is the name of the KindShare object with the zones' claims.
const claimsName = "claims"

// ClaimsName returns the name of the object with the zones' claims.
func ClaimsName() string { return claimsName }

// LedgerName returns the name of the KindShare object with a zone's ledger.
func LedgerName(zone string) string { return "ledger-" + zone }

// largeChargeRetention is how long a zone keeps claiming burst for a large charge
// and how long the refunds of an ended loan are accepted.
const largeChargeRetention = time.Minute

// member is the zone leader's state of one incarnation of an instance. baseBound
// and extraBound are upper bounds of its shares under any grant that may still be
// in force.
type member struct {
	instance       string
	lastRequestSeq uint64
	lastRequestAt  time.Duration
	hasRequested   bool
	ended          bool
	endsAt         time.Duration      // when the shares of a terminated process become free; 0 if it is not known to have terminated
	demandPPM      map[string]int64   // by organisation as last reported, parts per million of the rate
	avgDemandPPM   map[string]float64 // moving average of demandPPM with zoneTimeConstant
	lastGrant      GrantNumber
	grantedShares  map[string]OrgShare
	baseBound      Shares
	extraBound     Shares
	baseExpires    time.Duration
	extraExpires   time.Duration
}

// zoneLoan is a loan that has not ended.
type zoneLoan struct {
	id       GrantNumber
	org      string
	burstPPM int64 // burst share that the loan represents
	amount   microtokens
	expires  time.Duration
}

// endedLoan is a loan that its instance reported as ended and whose unused tokens
// may still be refunded to the reserve.
type endedLoan struct {
	org        string
	generation uint64
	amount     microtokens
	endedAt    time.Duration
}

// reserve is the part of the claim from which the zone leader lends to one
// organisation's charges.
type reserve struct {
	share          Share
	bucket         bucket
	largeChargePPM int64 // burst share required for one large charge
	largeChargeAt  time.Duration
}

// ZoneLeader is the state of a zone leader, which divides the zone's claim
// between the zone's instances. It acts only while the process holds the zone's
// lease. It is not safe for concurrent use.
//
// Invariant, for each organisation: bounds of all members + loans + reserve
// <= the zone's stored claim, whether or not a pending write takes effect.
type ZoneLeader struct {
	opts          Options
	zone          string
	lease         Lease
	limitsVersion uint64
	limits        map[string]Limit
	orgNames      []string
	err           error

	fence           uint64
	leaderSince     time.Duration
	claims          storedObject[Claims]
	ledger          storedObject[Ledger]
	membersLoaded   bool                     // members were read from the ledger
	noFormerLeader  bool                     // the zone has never had a claim
	members         map[string]*member       // by incarnation
	departed        map[string]time.Duration // when an incarnation returned its shares
	claimCeiling    Shares                   // by organisation, planned reductions of the claim
	claimPlannedAt  time.Duration
	ledgerWrittenAt time.Duration
	reserve         map[string]*reserve
	loans           []zoneLoan
	endedLoans      map[GrantNumber]endedLoan
	grantSeq        uint64
}

// NewZoneLeader returns the zone leader of a zone, which acts only while lease
// is held.
func NewZoneLeader(opts Options, zone string, lease Lease) *ZoneLeader {
	z := &ZoneLeader{opts: opts.withDefaults(), zone: zone, lease: lease}
	z.claims = storedObject[Claims]{name: claimsName, decode: DecodeClaims}
	z.ledger = storedObject[Ledger]{name: LedgerName(zone), decode: DecodeLedger}
	return z
}

// Err returns the last error from decoding a stored object.
func (z *ZoneLeader) Err() error { return z.err }

// Step applies a message at now and returns the grants to send and the objects to
// read and write. It returns nothing while the lease is not held.
func (z *ZoneLeader) Step(now time.Duration, msg Message) []Action {
	if m, ok := msg.(Limits); ok {
		z.setLimits(m)
	}
	fence, held := z.lease.Held(now)
	if !held {
		z.fence = 0
		return nil
	}
	if fence != z.fence {
		z.takeOver(now, fence)
	}
	z.expire(now)
	var out []Action
	switch m := msg.(type) {
	case ShareRequest:
		out = z.serveRequest(now, m)
	case ProcessEnded:
		if mem := z.members[m.Incarnation]; mem != nil {
			// Shares that it lent to zone peers may be in force for one more term.
			mem.endsAt = now + addDriftMargin(z.opts.LendTerm, z.opts.DriftPPM)
		}
	case Read:
		z.observe(now, m.Object.Name, func(s objectObserver) error { return s.observe(now, m.Object) })
	case Written:
		z.observe(now, m.Object.Name, func(s objectObserver) error { return s.observe(now, m.Object) })
	case CallFailed:
		z.observe(now, m.Name, func(s objectObserver) error { s.markFailed(); return nil })
	}
	return append(out, z.maintain(now)...)
}

func (z *ZoneLeader) setLimits(m Limits) {
	if m.Version <= z.limitsVersion {
		return
	}
	z.limitsVersion = m.Version
	z.limits = m.Orgs
	z.orgNames = sortedKeys(m.Orgs)
}

// takeOver resets the state at the start of a leadership. Nothing is granted
// before both objects contain its fencing token, which makes writes of former
// leaders still in flight fail, and no extra share before those of the former
// leader have expired.
func (z *ZoneLeader) takeOver(now time.Duration, fence uint64) {
	z.fence, z.leaderSince, z.grantSeq = fence, now, 0
	z.claims.reset()
	z.ledger.reset()
	z.membersLoaded, z.noFormerLeader = false, false
	z.members = map[string]*member{}
	z.departed = map[string]time.Duration{}
	z.claimCeiling = Shares{}
	z.reserve = map[string]*reserve{}
	z.loans = nil
	z.endedLoans = map[GrantNumber]endedLoan{}
	z.claimPlannedAt, z.ledgerWrittenAt = 0, 0
}

// expire removes bounds and loans whose terms have ended on every clock.
func (z *ZoneLeader) expire(now time.Duration) {
	for _, m := range z.members {
		if m.endsAt != 0 && now >= m.endsAt {
			m.ended = true
		}
		if m.ended || now >= m.extraExpires {
			m.extraBound = Shares{}
		}
		if m.ended || now >= m.baseExpires {
			m.baseBound = Shares{}
			m.ended = true
		}
	}
	kept := z.loans[:0]
	for _, l := range z.loans {
		if now < l.expires {
			kept = append(kept, l)
		}
	}
	z.loans = kept
	for inc, at := range z.departed {
		if now-at >= z.opts.BaseTerm {
			delete(z.departed, inc)
		}
	}
}

type objectObserver interface {
	observe(now time.Duration, obj object) error
	markFailed()
}

func (z *ZoneLeader) observe(now time.Duration, name string, f func(objectObserver) error) {
	var err error
	switch name {
	case z.claims.name:
		err = f(&z.claims)
	case z.ledger.name:
		err = f(&z.ledger)
	}
	if err != nil {
		z.err = err
	}
	if z.fenceStored() && !z.membersLoaded {
		z.loadMembers()
	}
}

// fenceStored reports whether both objects contain the fencing token of this
// leadership.
func (z *ZoneLeader) fenceStored() bool {
	return z.claims.loaded && z.ledger.loaded &&
		z.claims.value.Zones[z.zone].Fence == z.fence && z.ledger.value.Fence == z.fence
}

// loadMembers reads the members from the ledger. A former leader may have renewed
// their base shares up to the time of the takeover.
func (z *ZoneLeader) loadMembers() {
	z.membersLoaded = true
	for inc, lm := range z.ledger.value.Members {
		if z.members[inc] == nil {
			z.members[inc] = &member{instance: lm.Instance}
		}
		z.members[inc].baseBound = maps.Clone(lm.Base)
		z.members[inc].baseExpires = z.leaderSince + addDriftMargin(z.opts.BaseTerm, z.opts.DriftPPM)
	}
}

// formerGrantsExpired reports whether all extra shares and loans of a former
// leader have expired. Until then this leader knows only a lower bound of what
// the members hold.
func (z *ZoneLeader) formerGrantsExpired(now time.Duration) bool {
	return z.fenceStored() && (z.noFormerLeader || now >= z.leaderSince+addDriftMargin(z.opts.ExtraTerm, z.opts.DriftPPM))
}

// maintain reads and writes the objects when due and resizes the reserves.
func (z *ZoneLeader) maintain(now time.Duration) []Action {
	out := z.claims.nextCall(now, z.opts.ClaimInterval)
	out = append(out, z.ledger.nextCall(now, z.opts.BaseTerm)...)
	if z.claims.writable() {
		out = append(out, z.planClaims(now)...)
	}
	if z.ledger.writable() {
		out = append(out, z.planLedger(now)...)
	}
	for _, org := range z.orgNames {
		z.resizeReserve(now, org)
	}
	return out
}
