package evaluate

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
)

// limiter decides at an instance whether a request is within its
// organisation's rate and burst.
type limiter interface {
	// admit calls done with the decision, possibly later.
	admit(j *job, done func(admitted bool))
	// refund returns the charge of a request that has not run.
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

// oracle has one exact token bucket per organisation for the whole fleet, which
// a distributed fleet cannot have.
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

// exactLimiter admits the requests that the oracle admits.
type exactLimiter struct {
	sim    *simulation
	oracle *oracle
}

func newExactLimiter(sim *simulation) limiter {
	return &exactLimiter{sim: sim, oracle: newOracle(sim.workload)}
}

func (l *exactLimiter) admit(j *job, done func(bool)) {
	done(l.oracle.take(l.sim.now, j.org, j.chargedTokens()))
}

func (l *exactLimiter) refund(j *job) {
	b := &l.oracle.buckets[j.org]
	b.level = min(b.burst, b.level+float64(j.chargedTokens()))
}

// unlimitedLimiter admits every request, as if the limits had failed.
type unlimitedLimiter struct{}

func newUnlimitedLimiter(*simulation) limiter { return unlimitedLimiter{} }

func (unlimitedLimiter) admit(_ *job, done func(bool)) { done(true) }
func (unlimitedLimiter) refund(*job)                   {}

// limitsOf returns the limits of the organisations of a workload.
func limitsOf(w *Workload) limit.Limits {
	limits := limit.Limits{Version: 1, Orgs: map[string]limit.Limit{}}
	for i, o := range w.Organisations {
		limits.Orgs[o.Name] = limit.Limit{Rate: int64(w.rate(i)), Burst: int64(w.burst(i))}
	}
	return limits
}

// instanceLimiter has one limit.InstanceLimiter for each entry instance and
// charges a request there.
type instanceLimiter struct {
	sim       *simulation
	instances []*limit.InstanceLimiter
}

// newDividedLimiter returns a limiter in which each instance has an equal, fixed
// part of the rates.
func newDividedLimiter(sim *simulation) limiter {
	l := &instanceLimiter{sim: sim}
	l.add(limit.Options{Policy: limit.StaticDivision, Instances: sim.workload.Instances})
	return l
}

func (l *instanceLimiter) add(opts limit.Options) {
	for i := range l.sim.workload.Instances {
		name := instanceName(i)
		in := limit.NewInstanceLimiter(opts, name, name)
		in.Step(0, limitsOf(l.sim.workload))
		l.instances = append(l.instances, in)
	}
}

// charge charges a request at its instance and keeps the receipt.
func (l *instanceLimiter) charge(j *job) limit.Decision {
	d := l.instances[j.instance].Admit(l.sim.now, l.sim.workload.Organisations[j.org].Name, int64(j.chargedTokens()))
	j.receipt = d.Receipt
	return d
}

func (l *instanceLimiter) admit(j *job, done func(bool)) { done(l.charge(j).Admitted) }

func (l *instanceLimiter) refund(j *job) {
	l.instances[j.instance].Refund(l.sim.now, j.receipt, 0)
}
