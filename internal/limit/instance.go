package limit

import (
	"time"
)

const (
	requestsATerm = 5  // requests per term of an extra share
	loansKept     = 64 // ended loans, and refunds of loans, told in one request
	sentKept      = 8  // requests whose sending times are remembered
	retryUnknown  = time.Second
	retryMax      = 30 * time.Second
)

// Decision is the outcome of Instance.Admit.
type Decision struct {
	Admitted bool
	// RetryAfter estimates when the charge would be admitted, if it was not.
	RetryAfter time.Duration
	// Borrowing says that the next Step asks the zone for the missing tokens:
	// try the same charge once more when the grant has arrived.
	Borrowing bool
	// Receipt is handed to Refund when the request ends.
	Receipt Receipt
}

// Receipt identifies an admitted charge.
type Receipt struct {
	org        *orgState
	generation uint64
	charged    micro // from the instance's own bucket
	borrowed   micro // from a loan
	loan       GrantNumber
}

type loanState struct {
	id     GrantNumber
	amount micro
	until  time.Duration
}

type orgState struct {
	name    string
	limit   Limit
	base    Share
	extra   Share
	lentOut Share // to zone peers, out of base
	lentIn  Share // from zone peers
	bucket  bucket
	loan    loanState
	need    int64 // tokens lacking for the largest charge refused since the last request
	offered int64 // tokens asked for since the last update of the averages
	demand  demand
}

func (o *orgState) share() Share {
	return o.base.sub(o.lentOut).max(Share{}).add(o.extra).add(o.lentIn)
}

// Instance admits charges of one entry instance against its shares. It is not
// safe for concurrent use.
type Instance struct {
	opts        Options
	name        string
	incarnation string
	version     uint64
	orgs        map[string]*orgState
	order       []string

	applied    GrantNumber
	granted    map[string]OrgShare // as of applied
	baseUntil  time.Duration
	extraUntil time.Duration

	seq         uint64
	sent        [sentKept]sentRequest
	lastSent    time.Duration
	averagedAt  time.Duration
	loansDone   []GrantNumber
	loanRefunds []LoanRefund
	leaving     bool

	lent        map[string]*lending // by borrower
	borrowed    map[string]*lending // by lender
	borrowedEnd time.Duration       // when the next of them ends; 0 for never
	borrowSeq   uint64
	borrowSent  [sentKept]sentRequest
}

type sentRequest struct {
	seq uint64
	at  time.Duration
}

// NewInstance returns an instance without shares. The incarnation is unique
// to this run of the process.
func NewInstance(opts Options, name, incarnation string) *Instance {
	return &Instance{
		opts: opts.withDefaults(), name: name, incarnation: incarnation, orgs: map[string]*orgState{},
		lent: map[string]*lending{}, borrowed: map[string]*lending{},
	}
}

// Admit takes a charge in tokens, the worst case of the request, from the
// organisation's bucket. It neither allocates nor depends on the number of
// organisations.
func (in *Instance) Admit(now time.Duration, org string, charge int64) Decision {
	o := in.orgs[org]
	if o == nil || charge < 0 || charge > MaxTokens {
		return Decision{RetryAfter: retryUnknown}
	}
	in.advance(now, o)
	o.offered += charge
	amount := charge * PPM
	if o.bucket.level >= amount && !in.leaving {
		return Decision{Admitted: true, Receipt: o.take(amount)}
	}
	missing := amount - o.bucket.level
	if o.loan.amount >= missing && now < o.loan.until && !in.leaving {
		return Decision{Admitted: true, Receipt: in.useLoan(o, amount, missing)}
	}
	return in.refuse(now, o, charge, missing)
}

func (o *orgState) take(amount micro) Receipt {
	g := o.bucket.charge(amount)
	return Receipt{org: o, generation: g, charged: amount}
}

func (in *Instance) useLoan(o *orgState, amount, missing micro) Receipt {
	id := o.loan.id
	in.endLoan(o)
	r := o.take(amount - missing)
	r.borrowed, r.loan = missing, id
	return r
}

func (in *Instance) endLoan(o *orgState) {
	if len(in.loansDone) < cap(in.loansDone) {
		in.loansDone = append(in.loansDone, o.loan.id)
	}
	o.loan = loanState{}
}

func (in *Instance) refuse(now time.Duration, o *orgState, charge int64, missing micro) Decision {
	d := Decision{RetryAfter: retryUnknown}
	if charge <= o.limit.Burst && now < in.extraUntil {
		d.Borrowing = true
		o.need = max(o.need, (missing+PPM-1)/PPM)
	}
	if charge*PPM <= o.bucket.cap && o.bucket.rate > 0 {
		d.RetryAfter = time.Duration(mulDiv(missing, int64(time.Second), o.bucket.rate)) + time.Millisecond
	}
	d.RetryAfter = min(d.RetryAfter, retryMax)
	return d
}

// Filled reports whether the buckets of all organisations hold at least half
// of what they can; new shares start empty.
func (in *Instance) Filled(now time.Duration) bool {
	for _, name := range in.order {
		o := in.orgs[name]
		in.advance(now, o)
		if o.bucket.cap == 0 || 2*o.bucket.level < o.bucket.cap {
			return false
		}
	}
	return len(in.order) > 0
}

// Shares reports whether the instance has a share of any organisation's limit,
// or there is no limit to share.
func (in *Instance) Shares() bool {
	for _, name := range in.order {
		if in.orgs[name].share() != (Share{}) {
			return true
		}
	}
	return len(in.order) == 0
}

// Rate returns the rate of an organisation that is in force here, in tokens per
// second.
func (in *Instance) Rate(org string) int64 {
	o := in.orgs[org]
	if o == nil {
		return 0
	}
	return mulDiv(o.share().RatePPM, o.limit.Rate, PPM)
}

// Refund ends an admitted request that used the given number of tokens and
// gives the rest of its charge back, as far as the bucket has not refilled in
// its place. Call it once for each receipt. It returns the most, in millionths
// of a token, that is given back; what was lent goes back to the zone. A
// request that used more than its charge, because its prompt was estimated too
// low, leaves a debt that later charges wait for.
func (in *Instance) Refund(now time.Duration, r Receipt, used int64) int64 {
	if r.org == nil {
		return 0
	}
	in.advance(now, r.org)
	if over := used*PPM - r.charged - r.borrowed; over > 0 {
		r.org.bucket.overrun(over)
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

// advance refills a bucket, with each share only up to the end of its lease.
func (in *Instance) advance(now time.Duration, o *orgState) {
	in.endBorrowed(now)
	if in.opts.Policy == Escrow {
		if o.extra != (Share{}) && now >= in.extraUntil {
			o.bucket.advance(in.extraUntil)
			o.extra = Share{}
			in.resize(o)
		}
		if o.base != (Share{}) && now >= in.baseUntil {
			o.bucket.advance(in.baseUntil)
			o.base = Share{}
			in.resize(o)
		}
	}
	o.bucket.advance(now)
}

func (in *Instance) resize(o *orgState) { o.bucket.set(o.share(), o.limit, in.opts.DriftPPM) }

// Step applies a message at now and returns what to send.
func (in *Instance) Step(now time.Duration, msg Message) []Action {
	switch m := msg.(type) {
	case Limits:
		in.setLimits(now, m)
	case Grant:
		in.apply(now, m)
	case LendRequest:
		return in.lend(now, m)
	case Lent:
		in.takeLent(now, m)
	case Stop:
		in.stop(now)
		return []Action{in.request(now)}
	}
	return in.tick(now)
}

func (in *Instance) tick(now time.Duration) []Action {
	if in.opts.Policy == StaticDivision {
		return nil
	}
	due := in.seq == 0 || now-in.lastSent >= in.opts.ExtraTerm/requestsATerm
	for _, name := range in.order {
		o := in.orgs[name]
		if o.loan.id != (GrantNumber{}) && now >= o.loan.until {
			in.endLoan(o)
		}
		due = due || o.need > 0
	}
	if !due || len(in.order) == 0 {
		return nil
	}
	return []Action{in.request(now)}
}

func (in *Instance) request(now time.Duration) Action {
	in.endLending(now)
	if in.seq == 0 {
		in.averagedAt = now
	}
	in.seq++
	in.sent[in.seq%sentKept] = sentRequest{seq: in.seq, at: now}
	in.lastSent = now
	r := Request{
		Instance: in.name, Incarnation: in.incarnation, Seq: in.seq, Applied: in.applied,
		Leaving: in.leaving && len(in.lent) == 0, LoansDone: in.loansDone, LoanRefunds: in.loanRefunds,
	}
	span := now - in.averagedAt
	in.loansDone = make([]GrantNumber, 0, loansKept)
	in.loanRefunds = make([]LoanRefund, 0, loansKept)
	for _, name := range in.order {
		o := in.orgs[name]
		if span >= in.opts.ExtraTerm/requestsATerm {
			o.demand.update(o.offered, span)
			o.offered = 0
		}
		if d := (Demand{Org: name, RatePPM: o.demand.ppm(o.limit), Need: o.need}); d.RatePPM > 0 || d.Need > 0 {
			r.Demand = append(r.Demand, d)
		}
		o.need = 0
	}
	if span >= in.opts.ExtraTerm/requestsATerm {
		in.averagedAt = now
	}
	return SendRequest{Request: r}
}

// stop returns everything that is not lent: nothing is admitted from here on.
func (in *Instance) stop(now time.Duration) {
	in.leaving = true
	for _, o := range in.orgs {
		in.advance(now, o)
	}
	in.dropBorrowed()
	for _, o := range in.orgs {
		o.base, o.extra, o.loan = Share{}, Share{}, loanState{}
		in.resize(o)
	}
}

// setLimits puts a configuration version in force; an older one is ignored.
func (in *Instance) setLimits(now time.Duration, m Limits) {
	if m.Version <= in.version {
		return
	}
	in.version = m.Version
	for name, o := range in.orgs {
		in.advance(now, o)
		if m.Orgs[name].Burst < o.limit.Burst && o.loan.id != (GrantNumber{}) {
			in.endLoan(o) // it was a part of the larger burst
		}
		o.limit = m.Orgs[name]
		in.resize(o)
	}
	for name, l := range m.Orgs {
		if in.orgs[name] == nil {
			in.add(now, name, l)
		}
	}
	in.order = sortedKeys(in.orgs)
	if in.loansDone == nil {
		in.loansDone = make([]GrantNumber, 0, loansKept)
		in.loanRefunds = make([]LoanRefund, 0, loansKept)
	}
}

func (in *Instance) add(now time.Duration, name string, l Limit) {
	o := &orgState{name: name, limit: l}
	o.bucket.last = now
	if in.opts.Policy == StaticDivision {
		part := PPM / int64(max(in.opts.Instances, 1))
		o.base = Share{RatePPM: part, BurstPPM: part}
	}
	in.orgs[name] = o
	in.resize(o)
}

// apply puts a grant in force, unless it is for another incarnation, older
// than the one in force, or for a request too old to know when it was sent.
func (in *Instance) apply(now time.Duration, g Grant) {
	sent := in.sent[g.Request%sentKept]
	if g.Incarnation != in.incarnation || in.leaving || sent.seq != g.Request || !g.Number.after(in.applied) {
		return
	}
	if g.Base != (GrantNumber{}) && g.Base != in.applied {
		return // what it builds on was lost
	}
	in.endLending(now)
	if !in.covers(g) {
		return // counts as lost until what is lent has ended
	}
	if g.Base == (GrantNumber{}) {
		in.granted = map[string]OrgShare{}
	}
	for _, s := range g.Shares {
		in.granted[s.Org] = s
	}
	for _, o := range in.orgs {
		in.advance(now, o)
		o.base, o.extra = in.granted[o.name].Base, in.granted[o.name].Extra
	}
	in.dropBorrowed()
	in.applied = g.Number
	in.extraUntil = sent.at + in.opts.ExtraTerm
	in.baseUntil = sent.at + in.opts.BaseTerm
	for _, o := range in.orgs {
		in.resize(o)
		in.advance(now, o) // the grant may have lapsed on its way
	}
	for _, l := range g.Loans {
		in.takeLoan(now, l)
	}
}

func (in *Instance) takeLoan(now time.Duration, l Loan) {
	o := in.orgs[l.Org]
	if o == nil || now >= in.extraUntil || l.Burst > o.limit.Burst {
		return
	}
	if o.loan.id != (GrantNumber{}) {
		in.endLoan(o)
	}
	o.loan = loanState{id: l.ID, amount: l.Tokens * PPM, until: in.extraUntil}
}
