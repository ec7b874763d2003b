package evaluate

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
)

// limiter decides at an instance whether a request is within its
// organisation's rate and burst.
type limiter interface {
	// admit calls done once it is decided.
	admit(j *job, done func(admitted bool))
	// refund gives back the charge of a request that has not run.
	refund(j *job)
}

// bucket is an exact token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) take(now time.Duration, tokens float64) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// oracle has one exact bucket per organisation for the whole fleet, which no
// fleet can have.
type oracle struct {
	buckets []bucket
}

func newOracle(w *Workload) *oracle {
	o := &oracle{}
	for i := range w.Organisations {
		o.buckets = append(o.buckets, bucket{rate: w.rate(i), burst: w.burst(i), level: w.burst(i)})
	}
	return o
}

func (o *oracle) take(now time.Duration, org, tokens int) bool {
	return o.buckets[org].take(now, float64(tokens))
}

// exactLimiter admits what the oracle does.
type exactLimiter struct {
	x      *world
	oracle *oracle
}

func newExactLimiter(x *world) limiter { return &exactLimiter{x: x, oracle: newOracle(x.load)} }

func (l *exactLimiter) admit(j *job, done func(bool)) {
	done(l.oracle.take(l.x.now, j.org, j.tokensCharged()))
}

func (l *exactLimiter) refund(j *job) {
	b := &l.oracle.buckets[j.org]
	b.level = min(b.burst, b.level+float64(j.tokensCharged()))
}

// openLimiter admits everything, as when the limits have failed.
type openLimiter struct{}

func newOpenLimiter(*world) limiter { return openLimiter{} }

func (openLimiter) admit(_ *job, done func(bool)) { done(true) }
func (openLimiter) refund(*job)                   {}

// limitsOf are the organisations' limits of a workload.
func limitsOf(w *Workload) limit.Limits {
	limits := limit.Limits{Version: 1, Orgs: map[string]limit.Limit{}}
	for i, o := range w.Organisations {
		limits.Orgs[o.Name] = limit.Limit{Rate: int64(w.rate(i)), Burst: int64(w.burst(i))}
	}
	return limits
}

// instanceLimiter charges the limit.Instance of each entry instance.
type instanceLimiter struct {
	x         *world
	instances []*limit.Instance
}

// newDividedLimiter gives each instance an equal, fixed part.
func newDividedLimiter(x *world) limiter {
	l := &instanceLimiter{x: x}
	l.add(limit.Options{Policy: limit.StaticDivision, Instances: x.load.Instances})
	return l
}

func (l *instanceLimiter) add(opts limit.Options) {
	for i := range l.x.load.Instances {
		name := instanceName(i)
		in := limit.NewInstance(opts, name, name)
		in.Step(0, limitsOf(l.x.load))
		l.instances = append(l.instances, in)
	}
}

// try charges a request at its instance.
func (l *instanceLimiter) try(j *job) limit.Decision {
	d := l.instances[j.instance].Admit(l.x.now, l.x.load.Organisations[j.org].Name, int64(j.tokensCharged()))
	j.receipt = d.Receipt
	return d
}

func (l *instanceLimiter) admit(j *job, done func(bool)) { done(l.try(j).Admitted) }

func (l *instanceLimiter) refund(j *job) {
	l.instances[j.instance].Refund(l.x.now, j.receipt, 0)
}
