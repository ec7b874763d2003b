package once

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRetryShare    = 0.08
	DefaultReserve       = 5.0
	DefaultReserveRefill = 10 * time.Second
	DefaultBudgetCap     = 50.0
	DefaultBackoffBase   = 25 * time.Millisecond
	DefaultBackoffMax    = 2 * time.Second
)

// BudgetOptions set how many retries an instance makes. Zero fields take the
// defaults.
type BudgetOptions struct {
	Share         float64       // retries deposited per first attempt
	Reserve       float64       // retries available without traffic
	ReserveRefill time.Duration // time in which one retry of the reserve returns
	Cap           float64       // largest balance, in retries
	BackoffBase   time.Duration // bound of the first wait
	BackoffMax    time.Duration // bound of every wait
}

func (o BudgetOptions) withDefaults() BudgetOptions {
	o.Share = cmp.Or(o.Share, DefaultRetryShare)
	o.Reserve = cmp.Or(o.Reserve, DefaultReserve)
	o.ReserveRefill = cmp.Or(o.ReserveRefill, DefaultReserveRefill)
	o.Cap = cmp.Or(o.Cap, DefaultBudgetCap)
	o.BackoffBase = cmp.Or(o.BackoffBase, DefaultBackoffBase)
	o.BackoffMax = cmp.Or(o.BackoffMax, DefaultBackoffMax)
	return o
}

// Budget bounds the retries of an instance towards one service by a share of
// its first attempts. Over n first attempts in a time t it allows at most
// Share*n + Reserve + t/ReserveRefill retries. Requests of many goroutines
// share it.
type Budget struct {
	opts    BudgetOptions
	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	balance float64
	filled  time.Duration
}

// NewBudget returns a budget that holds its reserve at the time now.
func NewBudget(now time.Duration, opts BudgetOptions, rng *rand.Rand) *Budget {
	opts = opts.withDefaults()
	return &Budget{opts: opts, rng: rng, balance: opts.Reserve, filled: now}
}

// First notes a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.opts.Share, b.opts.Cap)
}

// Retry takes one retry from the budget and reports whether there was one.
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

// refill returns the reserve; it never lifts the balance above the reserve.
func (b *Budget) refill(now time.Duration) {
	if now <= b.filled {
		return
	}
	back := float64(now-b.filled) / float64(b.opts.ReserveRefill)
	b.filled = now
	if b.balance < b.opts.Reserve {
		b.balance = min(b.balance+back, b.opts.Reserve)
	}
}

// Backoff returns the wait before retry number n (from 1): uniform between
// zero and a bound that doubles with n ("full jitter").
func (b *Budget) Backoff(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backoff(b.rng, b.opts.BackoffBase, b.opts.BackoffMax, n)
}

func backoff(rng *rand.Rand, base, most time.Duration, n int) time.Duration {
	bound := base
	for i := 1; i < n && bound < most; i++ {
		bound *= 2
	}
	return time.Duration(rng.Int64N(int64(min(bound, most)) + 1))
}
