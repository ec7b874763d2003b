package limit

import (
	"math/bits"
	"time"
)

// micro is a millionth of a token: a share in parts per million times a limit
// in tokens gives exact amounts.
type microtokens = int64

const maxGenerations = 16

// generation is a run of charges whose refunds are pooled. Refunds of later
// charges never come out of an earlier generation's pool or the reverse.
type generation struct {
	refundable  microtokens // may still be refunded
	outstanding microtokens // charged by requests that have not ended
}

// bucket is a token bucket that takes worst-case charges and refunds.
//
// Invariant: level + owed <= capacity, where owed is what the charges under
// way may still be refunded. A refill beyond that takes from the oldest owed
// refunds. Without it a request admitted from a bucket that had refilled, plus
// the refund of an earlier one, would give twice the burst at once.
type bucket struct {
	level      microtokens
	refundable microtokens
	cap        microtokens
	rate       microtokens // per second of the own clock, less the drift margin
	remainder  uint64
	refilledAt time.Duration

	generations     [maxGenerations]generation
	oldestGen       uint64
	newestGen       uint64
	newestForfeited bool // refunds of the newest generation were taken from
}

// set changes what the bucket holds from now on. A smaller capacity takes
// from the level and from owed refunds; a larger one starts empty.
func (b *bucket) resize(s Share, l Limit, driftPPM int64) {
	b.cap = s.BurstPPM * l.Burst
	b.rate = mulDiv(s.RatePPM*l.Rate, PPM-driftPPM, PPM)
	b.enforceCapacity()
}

// advance refills up to now.
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

// forfeit takes from owed refunds, oldest first.
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

// charge takes an amount that the level covers and returns its generation.
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

// open starts a generation and forfeits the oldest if there is no room.
func (b *bucket) startGeneration() {
	b.newestGen++
	if b.newestGen-b.oldestGen == maxGenerations {
		b.refundable -= b.generations[b.oldestGen%maxGenerations].refundable
		b.oldestGen++
	}
	b.generations[b.newestGen%maxGenerations] = generation{}
	b.newestForfeited = false
}

// overrun takes what a request used beyond its charge; the level may fall below
// zero.
func (b *bucket) chargeOverrun(amount microtokens) { b.level -= amount }

// settle ends a charge and refunds its unused part as far as it is still owed.
// It returns what was refunded.
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
