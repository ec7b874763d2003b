package limit

import (
	"time"
)

const (
	requestsPerTerm   = 5           // share requests per term of an extra share
	maxLoanReports    = 64          // ended loans, and loan refunds, reported in one request
	sentHistory       = 8           // requests whose send times are kept
	defaultRetryAfter = time.Second // if no estimate is possible
	maxRetryAfter     = 30 * time.Second
)

// Decision is the outcome of InstanceLimiter.Admit.
type Decision struct {
	Admitted bool
	// RetryAfter estimates when the charge would be admitted, if it was not.
	RetryAfter time.Duration
	// LoanRequested reports that the next Step requests a loan of the missing
	// tokens from the zone leader. Retry the same charge once when the grant has
	// arrived.
	LoanRequested bool
	// Receipt is the argument of Refund when the request ends.
	Receipt Receipt
}

// Receipt identifies an admitted charge.
type Receipt struct {
	org        *orgState
	generation uint64
	charged    microtokens // from the instance's own bucket
	borrowed   microtokens // from a loan
	loan       GrantNumber
}

type loanState struct {
	id      GrantNumber
	amount  microtokens
	expires time.Duration
}

type orgState struct {
	name          string
	limit         Limit
	base          Share
	extra         Share
	lent          Share // part of base that is lent to zone peers
	borrowed      Share // borrowed from zone peers
	bucket        bucket
	loan          loanState
	shortfall     int64 // tokens missing for the largest charge refused since the last request
	offeredTokens int64 // tokens of all charges, also refused ones, since the last update of demand
	demand        demandAverage
}

func (o *orgState) share() Share {
	return o.base.sub(o.lent).max(Share{}).add(o.extra).add(o.borrowed)
}

// InstanceLimiter admits the charges of one entry instance against its shares. It
// is not safe for concurrent use.
type InstanceLimiter struct {
	opts          Options
	name          string
	incarnation   string
	limitsVersion uint64
	orgs          map[string]*orgState
	orgNames      []string

	appliedGrant  GrantNumber
	grantedShares map[string]OrgShare // by organisation, as of appliedGrant
	baseExpires   time.Duration
	extraExpires  time.Duration

	requestSeq      uint64
	sentRequests    [sentHistory]sentRequest
	lastRequestAt   time.Duration
	demandUpdatedAt time.Duration
	endedLoans      []GrantNumber
	loanRefunds     []LoanRefund
	leaving         bool

	lentTo             map[string]*peerLoan // by incarnation of the borrower
	borrowedFrom       map[string]*peerLoan // by incarnation of the lender
	nextBorrowedExpiry time.Duration        // when the next borrowed share expires; 0 for never
	borrowSeq          uint64
	sentBorrowRequests [sentHistory]sentRequest
}

type sentRequest struct {
	seq uint64
	at  time.Duration
}

// NewInstanceLimiter returns the limiter of an instance that has no shares yet.
// The incarnation must be unique to this run of the process.
func NewInstanceLimiter(opts Options, name, incarnation string) *InstanceLimiter {
	return &InstanceLimiter{
		opts: opts.withDefaults(), name: name, incarnation: incarnation, orgs: map[string]*orgState{},
		lentTo: map[string]*peerLoan{}, borrowedFrom: map[string]*peerLoan{},
	}
}

// Admit takes a charge in tokens, the worst case of the request, from the
// organisation's bucket. It does not allocate, and its cost does not depend on
// the number of organisations.
func (in *InstanceLimiter) Admit(now time.Duration, org string, charge int64) Decision {
	o := in.orgs[org]
	if o == nil || charge < 0 || charge > MaxTokens {
		return Decision{RetryAfter: defaultRetryAfter}
	}
	in.refill(now, o)
	o.offeredTokens += charge
	amount := charge * PPM
	if o.bucket.level >= amount && !in.leaving {
		return Decision{Admitted: true, Receipt: o.chargeBucket(amount)}
	}
	missing := amount - o.bucket.level
	if o.loan.amount >= missing && now < o.loan.expires && !in.leaving {
		return Decision{Admitted: true, Receipt: in.useLoan(o, amount, missing)}
	}
	return in.refuse(now, o, charge, missing)
}

func (o *orgState) chargeBucket(amount microtokens) Receipt {
	g := o.bucket.charge(amount)
	return Receipt{org: o, generation: g, charged: amount}
}

func (in *InstanceLimiter) useLoan(o *orgState, amount, missing microtokens) Receipt {
	id := o.loan.id
	in.endLoan(o)
	r := o.chargeBucket(amount - missing)
	r.borrowed, r.loan = missing, id
	return r
}

func (in *InstanceLimiter) endLoan(o *orgState) {
	if len(in.endedLoans) < cap(in.endedLoans) {
		in.endedLoans = append(in.endedLoans, o.loan.id)
	}
	o.loan = loanState{}
}

func (in *InstanceLimiter) refuse(now time.Duration, o *orgState, charge int64, missing microtokens) Decision {
	d := Decision{RetryAfter: defaultRetryAfter}
	if charge <= o.limit.Burst && now < in.extraExpires {
		d.LoanRequested = true
		o.shortfall = max(o.shortfall, (missing+PPM-1)/PPM)
	}
	if charge*PPM <= o.bucket.cap && o.bucket.rate > 0 {
		d.RetryAfter = time.Duration(mulDiv(missing, int64(time.Second), o.bucket.rate)) + time.Millisecond
	}
	d.RetryAfter = min(d.RetryAfter, maxRetryAfter)
	return d
}

// HalfFull reports whether the buckets of all organisations are at least half
// full; new shares start empty.
func (in *InstanceLimiter) HalfFull(now time.Duration) bool {
	for _, name := range in.orgNames {
		o := in.orgs[name]
		in.refill(now, o)
		if o.bucket.cap == 0 || 2*o.bucket.level < o.bucket.cap {
			return false
		}
	}
	return len(in.orgNames) > 0
}

// HasShares reports whether the instance has a share of any organisation's limit
// or there are no limits.
func (in *InstanceLimiter) HasShares() bool {
	for _, name := range in.orgNames {
		if in.orgs[name].share() != (Share{}) {
			return true
		}
	}
	return len(in.orgNames) == 0
}

// Rate returns this instance's current share of an organisation's rate, in tokens
// per second.
func (in *InstanceLimiter) Rate(org string) int64 {
	o := in.orgs[org]
	if o == nil {
		return 0
	}
	return mulDiv(o.share().RatePPM, o.limit.Rate, PPM)
}

// Refund ends an admitted request that used the given number of tokens and
// returns the rest of its charge to the bucket, except for tokens that the bucket
// has refilled since the charge. Call it once for each receipt. It returns an
// upper bound of the refund in millionths of a token; the unused part of a loan
// is reported to the zone leader. A request that used more than its charge,
// because its prompt was estimated too low, makes the level negative, and later
// charges wait until the bucket has refilled.
func (in *InstanceLimiter) Refund(now time.Duration, r Receipt, used int64) int64 {
	if r.org == nil {
		return 0
	}
	in.refill(now, r.org)
	if over := used*PPM - r.charged - r.borrowed; over > 0 {
		r.org.bucket.chargeOverrun(over)
	}
	unused := max(0, r.charged+r.borrowed-used*PPM)
	own := min(r.charged, unused)
	refunded := r.org.bucket.settle(r.generation, r.charged, own)
	if lent := (unused - own) / PPM; lent > 0 && len(in.loanRefunds) < cap(in.loanRefunds) {
		in.loanRefunds = append(in.loanRefunds, LoanRefund{ID: r.loan, Tokens: lent})
		refunded += lent * PPM
	}
	return refunded
}

// refill refills a bucket, counting each share only up to the end of its term.
func (in *InstanceLimiter) refill(now time.Duration, o *orgState) {
	in.expireBorrowedShares(now)
	if in.opts.Policy == Escrow {
		if o.extra != (Share{}) && now >= in.extraExpires {
			o.bucket.refill(in.extraExpires)
			o.extra = Share{}
			in.resizeBucket(o)
		}
		if o.base != (Share{}) && now >= in.baseExpires {
			o.bucket.refill(in.baseExpires)
			o.base = Share{}
			in.resizeBucket(o)
		}
	}
	o.bucket.refill(now)
}

func (in *InstanceLimiter) resizeBucket(o *orgState) {
	o.bucket.resize(o.share(), o.limit, in.opts.DriftPPM)
}

// Step applies a message at now and returns the messages to send.
func (in *InstanceLimiter) Step(now time.Duration, msg Message) []Action {
	switch m := msg.(type) {
	case Limits:
		in.setLimits(now, m)
	case Grant:
		in.applyGrant(now, m)
	case LendRequest:
		return in.handleLendRequest(now, m)
	case LendReply:
		in.acceptPeerLoan(now, m)
	case Stop:
		in.stop(now)
		return []Action{in.newRequest(now)}
	}
	return in.tick(now)
}

func (in *InstanceLimiter) tick(now time.Duration) []Action {
	if in.opts.Policy == StaticDivision {
		return nil
	}
	due := in.requestSeq == 0 || now-in.lastRequestAt >= in.opts.ExtraTerm/requestsPerTerm
	for _, name := range in.orgNames {
		o := in.orgs[name]
		if o.loan.id != (GrantNumber{}) && now >= o.loan.expires {
			in.endLoan(o)
		}
		due = due || o.shortfall > 0
	}
	if !due || len(in.orgNames) == 0 {
		return nil
	}
	return []Action{in.newRequest(now)}
}

func (in *InstanceLimiter) newRequest(now time.Duration) Action {
	in.reclaimPeerLoans(now)
	if in.requestSeq == 0 {
		in.demandUpdatedAt = now
	}
	in.requestSeq++
	in.sentRequests[in.requestSeq%sentHistory] = sentRequest{seq: in.requestSeq, at: now}
	in.lastRequestAt = now
	r := ShareRequest{
		Instance: in.name, Incarnation: in.incarnation, Seq: in.requestSeq, AppliedGrant: in.appliedGrant,
		Leaving: in.leaving && len(in.lentTo) == 0, EndedLoans: in.endedLoans, LoanRefunds: in.loanRefunds,
	}
	span := now - in.demandUpdatedAt
	in.endedLoans = make([]GrantNumber, 0, maxLoanReports)
	in.loanRefunds = make([]LoanRefund, 0, maxLoanReports)
	for _, name := range in.orgNames {
		o := in.orgs[name]
		if span >= in.opts.ExtraTerm/requestsPerTerm {
			o.demand.update(o.offeredTokens, span)
			o.offeredTokens = 0
		}
		if d := (Demand{Org: name, RatePPM: o.demand.ratePPM(o.limit), Shortfall: o.shortfall}); d.RatePPM > 0 || d.Shortfall > 0 {
			r.Demand = append(r.Demand, d)
		}
		o.shortfall = 0
	}
	if span >= in.opts.ExtraTerm/requestsPerTerm {
		in.demandUpdatedAt = now
	}
	return SendShareRequest{Request: r}
}

// stop releases all shares and loans; nothing is admitted afterwards. Later share
// requests return the shares by setting Leaving, once none of them is lent to a
// zone peer.
func (in *InstanceLimiter) stop(now time.Duration) {
	in.leaving = true
	for _, o := range in.orgs {
		in.refill(now, o)
	}
	in.dropBorrowedShares()
	for _, o := range in.orgs {
		o.base, o.extra, o.loan = Share{}, Share{}, loanState{}
		in.resizeBucket(o)
	}
}

// setLimits applies the limits of a configuration version and ignores one that is
// not newer than the version in force.
func (in *InstanceLimiter) setLimits(now time.Duration, m Limits) {
	if m.Version <= in.limitsVersion {
		return
	}
	in.limitsVersion = m.Version
	for name, o := range in.orgs {
		in.refill(now, o)
		if m.Orgs[name].Burst < o.limit.Burst && o.loan.id != (GrantNumber{}) {
			in.endLoan(o) // it was sized for the larger burst
		}
		o.limit = m.Orgs[name]
		in.resizeBucket(o)
	}
	for name, l := range m.Orgs {
		if in.orgs[name] == nil {
			in.addOrg(now, name, l)
		}
	}
	in.orgNames = sortedKeys(in.orgs)
	if in.endedLoans == nil {
		in.endedLoans = make([]GrantNumber, 0, maxLoanReports)
		in.loanRefunds = make([]LoanRefund, 0, maxLoanReports)
	}
}

func (in *InstanceLimiter) addOrg(now time.Duration, name string, l Limit) {
	o := &orgState{name: name, limit: l}
	o.bucket.refilledAt = now
	if in.opts.Policy == StaticDivision {
		part := PPM / int64(max(in.opts.Instances, 1))
		o.base = Share{RatePPM: part, BurstPPM: part}
	}
	in.orgs[name] = o
	in.resizeBucket(o)
}

// applyGrant puts a grant in force, unless it is for another incarnation, not
// newer than the one in force, or for a request whose send time is no longer
// kept.
func (in *InstanceLimiter) applyGrant(now time.Duration, g Grant) {
	sent := in.sentRequests[g.RequestSeq%sentHistory]
	if g.Incarnation != in.incarnation || in.leaving || sent.seq != g.RequestSeq || !g.Number.after(in.appliedGrant) {
		return
	}
	if g.DeltaOf != (GrantNumber{}) && g.DeltaOf != in.appliedGrant {
		return // the grant that the delta refers to was not applied
	}
	in.reclaimPeerLoans(now)
	if !in.coversLentShares(g) {
		return // ignored like a lost grant until the lent shares have expired
	}
	if g.DeltaOf == (GrantNumber{}) {
		in.grantedShares = map[string]OrgShare{}
	}
	for _, s := range g.Shares {
		in.grantedShares[s.Org] = s
	}
	for _, o := range in.orgs {
		in.refill(now, o)
		o.base, o.extra = in.grantedShares[o.name].Base, in.grantedShares[o.name].Extra
	}
	in.dropBorrowedShares()
	in.appliedGrant = g.Number
	in.extraExpires = sent.at + in.opts.ExtraTerm
	in.baseExpires = sent.at + in.opts.BaseTerm
	for _, o := range in.orgs {
		in.resizeBucket(o)
		in.refill(now, o) // the grant may have expired in transit
	}
	for _, l := range g.Loans {
		in.acceptLoan(now, l)
	}
}

func (in *InstanceLimiter) acceptLoan(now time.Duration, l Loan) {
	o := in.orgs[l.Org]
	if o == nil || now >= in.extraExpires || l.Burst > o.limit.Burst {
		return
	}
	if o.loan.id != (GrantNumber{}) {
		in.endLoan(o)
	}
	o.loan = loanState{id: l.ID, amount: l.Tokens * PPM, expires: in.extraExpires}
}
