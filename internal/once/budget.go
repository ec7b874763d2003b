package once

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRetryRatio    = 0.08
	DefaultReserve       = 5.0
	DefaultReserveRefill = 10 * time.Second
	DefaultMaxBalance    = 50.0
	DefaultBackoffBase   = 25 * time.Millisecond
	DefaultBackoffMax    = 2 * time.Second
)

// BudgetOptions configures a Budget. Zero fields take the defaults.
type BudgetOptions struct {
	RetryRatio    float64       // retries added to the balance per first attempt
	Reserve       float64       // retries available without traffic
	ReserveRefill time.Duration // time in which one retry is added back to the reserve
	MaxBalance    float64       // largest balance, in retries
	BackoffBase   time.Duration // upper bound of the first delay
	BackoffMax    time.Duration // upper bound of every delay
}

func (o BudgetOptions) withDefaults() BudgetOptions {
	o.RetryRatio = cmp.Or(o.RetryRatio, DefaultRetryRatio)
	o.Reserve = cmp.Or(o.Reserve, DefaultReserve)
	o.ReserveRefill = cmp.Or(o.ReserveRefill, DefaultReserveRefill)
	o.MaxBalance = cmp.Or(o.MaxBalance, DefaultMaxBalance)
	o.BackoffBase = cmp.Or(o.BackoffBase, DefaultBackoffBase)
	o.BackoffMax = cmp.Or(o.BackoffMax, DefaultBackoffMax)
	return o
}

// Budget limits the retries that an instance sends to one service to a fraction
// of its first attempts. Over n first attempts in a time t it allows at most
// RetryRatio*n + Reserve + t/ReserveRefill retries. It is safe for concurrent
// use.
type Budget struct {
	opts       BudgetOptions
	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	balance    float64
	refilledAt time.Duration
}

// NewBudget returns a budget whose balance is the full reserve at the time now.
func NewBudget(now time.Duration, opts BudgetOptions, rng *rand.Rand) *Budget {
	opts = opts.withDefaults()
	return &Budget{opts: opts, rng: rng, balance: opts.Reserve, refilledAt: now}
}

// First records a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.opts.RetryRatio, b.opts.MaxBalance)
}

// Retry deducts one retry from the balance and reports whether the balance
// allowed it.
func (b *Budget) Retry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Return gives back a retry that was deducted and not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+1, b.opts.MaxBalance)
}

// refill adds the retries that accrued since the last refill. It never raises
// the balance above the reserve.
func (b *Budget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	accrued := float64(now-b.refilledAt) / float64(b.opts.ReserveRefill)
	b.refilledAt = now
	if b.balance < b.opts.Reserve {
		b.balance = min(b.balance+accrued, b.opts.Reserve)
	}
}

// Backoff returns the delay before retry number n (from 1), drawn uniformly
// between zero and a bound that doubles with n (full jitter).
func (b *Budget) Backoff(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backoff(b.rng, b.opts.BackoffBase, b.opts.BackoffMax, n)
}

func backoff(rng *rand.Rand, base, maxDelay time.Duration, n int) time.Duration {
	bound := base
	for i := 1; i < n && bound < maxDelay; i++ {
		bound *= 2
	}
	return time.Duration(rng.Int64N(int64(min(bound, maxDelay)) + 1))
}
