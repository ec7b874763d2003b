package limit

import (
	"math/bits"
	"time"
)

// microtokens is an amount in millionths of a token. The product of a share in
// parts per million and a limit in tokens is exact in this unit.
type microtokens = int64

// maxGenerations is the number of generations that a bucket keeps. Starting
// another one forfeits the refunds of the oldest.
const maxGenerations = 16

// generation is a sequence of charges that share one pool of refundable tokens.
// A charge is refunded only from the pool of its own generation.
type generation struct {
	refundable  microtokens // upper bound of what may still be refunded
	outstanding microtokens // total charge of the requests that have not ended
}

// bucket is a token bucket with worst-case charges and refunds.
//
// Invariant: level + refundable <= cap, where refundable is what may still be
// refunded to the charges in progress. A refill beyond that forfeits the oldest
// refunds. Otherwise a request admitted from the refilled bucket plus the refund
// of an earlier request would allow twice the burst at once.
type bucket struct {
	level      microtokens
	refundable microtokens
	cap        microtokens
	rate       microtokens // per second of the local clock, less the drift margin
	remainder  uint64      // of the last refill, in 1e-9 microtokens
	refilledAt time.Duration

	generations     [maxGenerations]generation
	oldestGen       uint64
	newestGen       uint64
	newestForfeited bool // refunds of the newest generation were forfeited
}

// resize sets the capacity and refill rate. A smaller capacity reduces the level
// and the refundable tokens; added capacity starts empty.
func (b *bucket) resize(s Share, l Limit, driftPPM int64) {
	b.cap = s.BurstPPM * l.Burst
	b.rate = mulDiv(s.RatePPM*l.Rate, PPM-driftPPM, PPM)
	b.enforceCapacity()
}

// refill adds the tokens that accrued up to now.
func (b *bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	hi, lo := bits.Mul64(uint64(b.rate), uint64(now-b.refilledAt))
	lo, carryOut := bits.Add64(lo, b.remainder, 0)
	hi += carryOut
	b.refilledAt = now
	if hi >= uint64(time.Second) {
		b.level = b.cap
	} else {
		gained, rest := bits.Div64(hi, lo, uint64(time.Second))
		b.remainder = rest
		b.level += microtokens(min(gained, uint64(b.cap)))
	}
	b.enforceCapacity()
}

func (b *bucket) enforceCapacity() {
	b.level = min(b.level, b.cap)
	if excess := b.level + b.refundable - b.cap; excess > 0 {
		b.forfeitRefunds(excess)
	}
}

// forfeitRefunds reduces the refundable tokens by amount, oldest generation
// first.
func (b *bucket) forfeitRefunds(amount microtokens) {
	for g := b.oldestGen; amount > 0 && g <= b.newestGen; g++ {
		gen := &b.generations[g%maxGenerations]
		taken := min(amount, gen.refundable)
		gen.refundable -= taken
		b.refundable -= taken
		amount -= taken
		if g == b.newestGen && taken > 0 {
			b.newestForfeited = true
		}
		if gen.refundable == 0 && g < b.newestGen {
			b.oldestGen = g + 1
		}
	}
}

// charge takes an amount that the level covers and returns the number of its
// generation.
func (b *bucket) charge(amount microtokens) uint64 {
	if b.newestForfeited {
		b.startGeneration()
	}
	gen := &b.generations[b.newestGen%maxGenerations]
	b.level -= amount
	b.refundable += amount
	gen.refundable += amount
	gen.outstanding += amount
	return b.newestGen
}

// startGeneration starts a generation and, if maxGenerations are in use,
// forfeits the refunds of the oldest.
func (b *bucket) startGeneration() {
	b.newestGen++
	if b.newestGen-b.oldestGen == maxGenerations {
		b.refundable -= b.generations[b.oldestGen%maxGenerations].refundable
		b.oldestGen++
	}
	b.generations[b.newestGen%maxGenerations] = generation{}
	b.newestForfeited = false
}

// chargeOverrun takes what a request used beyond its charge; the level may
// become negative.
func (b *bucket) chargeOverrun(amount microtokens) { b.level -= amount }

// settle ends a charge and refunds its unused part as far as it is still
// refundable. It returns the refunded amount.
func (b *bucket) settle(genNumber uint64, charged, unused microtokens) microtokens {
	if genNumber < b.oldestGen || genNumber > b.newestGen {
		return 0
	}
	gen := &b.generations[genNumber%maxGenerations]
	refund := min(unused, gen.refundable)
	gen.outstanding -= charged
	gen.refundable -= refund
	b.refundable -= refund
	b.level += refund
	if surplus := gen.refundable - gen.outstanding; surplus > 0 {
		gen.refundable -= surplus
		b.refundable -= surplus
	}
	return refund
}
