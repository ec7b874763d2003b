package evaluate

import "time"

// Limiter decides at an instance whether a request is within its
// organisation's rate and burst.
type Limiter interface {
	Admit(now time.Duration, instance, org, tokens int) bool
}

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

// exactLimiter has one bucket per organisation for the whole fleet. It is the
// oracle, which no fleet can have.
type exactLimiter struct {
	buckets []bucket
}

func newExactLimiter(w *Workload) *exactLimiter {
	l := &exactLimiter{}
	for i := range w.Organisations {
		l.buckets = append(l.buckets, bucket{rate: w.rate(i), burst: w.burst(i), level: w.burst(i)})
	}
	return l
}

// Admit implements Limiter.
func (l *exactLimiter) Admit(now time.Duration, _, org, tokens int) bool {
	return l.buckets[org].take(now, float64(tokens))
}

// dividedLimiter gives each instance an equal, fixed part.
type dividedLimiter struct {
	buckets [][]bucket
}

func newDividedLimiter(w *Workload) *dividedLimiter {
	l := &dividedLimiter{}
	n := float64(w.Instances)
	for range w.Instances {
		var own []bucket
		for i := range w.Organisations {
			own = append(own, bucket{rate: w.rate(i) / n, burst: w.burst(i) / n, level: w.burst(i) / n})
		}
		l.buckets = append(l.buckets, own)
	}
	return l
}

// Admit implements Limiter.
func (l *dividedLimiter) Admit(now time.Duration, instance, org, tokens int) bool {
	return l.buckets[instance][org].take(now, float64(tokens))
}

// openLimiter admits everything, as when the limits have failed.
type openLimiter struct{}

// Admit implements Limiter.
func (openLimiter) Admit(time.Duration, int, int, int) bool { return true }
