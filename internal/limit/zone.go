package limit

import (
	"maps"
	"time"
)

// Duty tells whether the zone's duty is held, as lease.Lease does.
type Duty interface {
	Held(now time.Duration) (fence uint64, ok bool)
}

// Names of the KindShare objects.
const claimsName = "claims"

// ClaimsName returns the name of the object with the zones' claims.
func ClaimsName() string { return claimsName }

// LedgerName returns the name of the object with a zone's ledger.
func LedgerName(zone string) string { return "ledger-" + zone }

// needKept is how long a zone keeps claiming burst for a large charge.
const largeChargeRetention = time.Minute

// member is one incarnation as the duty holder knows it. baseBound and
// extraBound are the most that any grant still in effect may give it.
type member struct {
	instance       string
	lastRequestSeq uint64
	lastRequestAt  time.Duration
	hasRequested   bool
	ended          bool
	endsAt         time.Duration      // when a process that has ended counts as gone; 0 for not
	demandPPM      map[string]int64   // demand as last told, parts per million of the rate
	avgDemandPPM   map[string]float64 // average of wants over demandSteady
	lastGrant      GrantNumber
	grantedShares  map[string]OrgShare
	baseBound      Shares
	extraBound     Shares
	baseExpires    time.Duration
	extraExpires   time.Duration
}

type zoneLoan struct {
	id       GrantNumber
	org      string
	burstPPM int64 // parts per million
	amount   microtokens
	expires  time.Duration
}

// lentCharge is a loan that was used: the reserve still owes its refund.
type endedLoan struct {
	org        string
	generation uint64
	amount     microtokens
	endedAt    time.Duration
}

type reserve struct {
	share          Share
	bucket         bucket
	largeChargePPM int64 // parts per million of the burst wanted for one large charge
	largeChargeAt  time.Duration
}

// Zone is the duty holder's part: it divides the zone's claim between the
// zone's instances. It acts only while its duty is held. It is not safe for
// concurrent use.
//
// Invariant, for each organisation: bounds of all members + loans + reserve
// <= the zone's claim as stored, whichever open write takes effect.
type Zone struct {
	opts          Options
	zone          string
	lease         Duty
	limitsVersion uint64
	limits        map[string]Limit
	orgNames      []string
	err           error

	fence           uint64
	leaderSince     time.Duration
	claims          storedObject[Claims]
	ledger          storedObject[Ledger]
	membersLoaded   bool // members were taken from the ledger
	noFormerLeader  bool // the zone never had a claim, so no former holder
	members         map[string]*member
	departed        map[string]time.Duration
	claimCeiling    Shares // claims to be reduced to this once it is in force
	claimPlannedAt  time.Duration
	ledgerPlannedAt time.Duration
	reserve         map[string]*reserve
	loans           []zoneLoan
	endedLoans      map[GrantNumber]endedLoan
	grantSeq        uint64
}

// NewZone returns a duty holder that acts while duty is held.
func NewZone(opts Options, zone string, lease Duty) *Zone {
	z := &Zone{opts: opts.withDefaults(), zone: zone, lease: lease}
	z.claims = storedObject[Claims]{name: claimsName, decode: DecodeClaims}
	z.ledger = storedObject[Ledger]{name: LedgerName(zone), decode: DecodeLedger}
	return z
}

// Err returns the last error met in a stored object.
func (z *Zone) Err() error { return z.err }

// Step applies a message at now and returns what to send, read and write.
func (z *Zone) Step(now time.Duration, msg Message) []Action {
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
	case Request:
		out = z.serveRequest(now, m)
	case Gone:
		if mem := z.members[m.Incarnation]; mem != nil {
			// What it lent may be in force for a term longer.
			mem.endsAt = now + addDriftMargin(z.opts.LendTerm, z.opts.DriftPPM)
		}
	case Read:
		z.observe(now, m.Object.Name, func(s objectObserver) error { return s.observe(now, m.Object) })
	case Written:
		z.observe(now, m.Object.Name, func(s objectObserver) error { return s.observe(now, m.Object) })
	case WriteFailed:
		z.observe(now, m.Name, func(s objectObserver) error { s.markFailed(); return nil })
	}
	return append(out, z.maintain(now)...)
}

func (z *Zone) setLimits(m Limits) {
	if m.Version <= z.limitsVersion {
		return
	}
	z.limitsVersion = m.Version
	z.limits = m.Orgs
	z.orgNames = sortedKeys(m.Orgs)
}

// takeOver forgets the former tenure. Nothing is granted before both objects
// carry this tenure's fence, which kills writes of former holders that are
// still on their way, and no extra before the former holder's have lapsed.
func (z *Zone) takeOver(now time.Duration, fence uint64) {
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
	z.claimPlannedAt, z.ledgerPlannedAt = 0, 0
}

// expire drops bounds and loans whose terms are over on every clock.
func (z *Zone) expire(now time.Duration) {
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

func (z *Zone) observe(now time.Duration, name string, f func(objectObserver) error) {
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

// stamped reports whether both objects carry this tenure's fence.
func (z *Zone) fenceStored() bool {
	return z.claims.loaded && z.ledger.loaded &&
		z.claims.value.Zones[z.zone].Fence == z.fence && z.ledger.value.Fence == z.fence
}

// load takes the members from the ledger. A former holder may have renewed
// their base shares up to the time of the takeover.
func (z *Zone) loadMembers() {
	z.membersLoaded = true
	for inc, lm := range z.ledger.value.Members {
		if z.members[inc] == nil {
			z.members[inc] = &member{instance: lm.Instance}
		}
		z.members[inc].baseBound = maps.Clone(lm.Base)
		z.members[inc].baseExpires = z.leaderSince + addDriftMargin(z.opts.BaseTerm, z.opts.DriftPPM)
	}
}

// settled reports whether no extra or loan of a former holder is left: until
// then this one knows only a lower bound of what is in the members' hands.
func (z *Zone) formerGrantsExpired(now time.Duration) bool {
	return z.fenceStored() && (z.noFormerLeader || now >= z.leaderSince+addDriftMargin(z.opts.ExtraTerm, z.opts.DriftPPM))
}

// maintain polls and writes the objects and sizes the reserve.
func (z *Zone) maintain(now time.Duration) []Action {
	out := z.claims.nextCall(now, z.opts.MoveEvery)
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
