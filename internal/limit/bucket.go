package limit

import (
	"math/bits"
	"time"
)

// micro is a millionth of a token: a share in parts per million times a limit
// in tokens gives exact amounts.
type micro = int64

const generations = 16

// generation is a run of charges whose refunds are pooled. Refunds of later
// charges never come out of an earlier generation's pool or the reverse.
type generation struct {
	owed micro // may still be refunded
	open micro // charged by requests that have not ended
}

// bucket is a token bucket that takes worst-case charges and refunds.
//
// Invariant: level + owed <= capacity, where owed is what the charges under
// way may still be refunded. A refill beyond that takes from the oldest owed
// refunds. Without it a request admitted from a bucket that had refilled, plus
// the refund of an earlier one, would give twice the burst at once.
type bucket struct {
	level micro
	owed  micro
	cap   micro
	rate  micro // per second of the own clock, less the drift margin
	carry uint64
	last  time.Duration

	gens   [generations]generation
	oldest uint64
	newest uint64
	closed bool // refunds of the newest generation were taken from
}

// set changes what the bucket holds from now on. A smaller capacity takes
// from the level and from owed refunds; a larger one starts empty.
func (b *bucket) set(s Share, l Limit, driftPPM int64) {
	b.cap = s.BurstPPM * l.Burst
	b.rate = mulDiv(s.RatePPM*l.Rate, PPM-driftPPM, PPM)
	b.clamp()
}

// advance refills up to now.
func (b *bucket) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	hi, lo := bits.Mul64(uint64(b.rate), uint64(now-b.last))
	lo, over := bits.Add64(lo, b.carry, 0)
	hi += over
	b.last = now
	if hi >= uint64(time.Second) {
		b.level = b.cap
	} else {
		gained, rest := bits.Div64(hi, lo, uint64(time.Second))
		b.carry = rest
		b.level += micro(min(gained, uint64(b.cap)))
	}
	b.clamp()
}

func (b *bucket) clamp() {
	b.level = min(b.level, b.cap)
	if excess := b.level + b.owed - b.cap; excess > 0 {
		b.forfeit(excess)
	}
}

// forfeit takes from owed refunds, oldest first.
func (b *bucket) forfeit(amount micro) {
	for g := b.oldest; amount > 0 && g <= b.newest; g++ {
		gen := &b.gens[g%generations]
		part := min(amount, gen.owed)
		gen.owed -= part
		b.owed -= part
		amount -= part
		if g == b.newest && part > 0 {
			b.closed = true
		}
		if gen.owed == 0 && g < b.newest {
			b.oldest = g + 1
		}
	}
}

// charge takes an amount that the level covers and returns its generation.
func (b *bucket) charge(amount micro) uint64 {
	if b.closed {
		b.open()
	}
	gen := &b.gens[b.newest%generations]
	b.level -= amount
	b.owed += amount
	gen.owed += amount
	gen.open += amount
	return b.newest
}

// open starts a generation and forfeits the oldest if there is no room.
func (b *bucket) open() {
	b.newest++
	if b.newest-b.oldest == generations {
		b.owed -= b.gens[b.oldest%generations].owed
		b.oldest++
	}
	b.gens[b.newest%generations] = generation{}
	b.closed = false
}

// overrun takes what a request used beyond its charge; the level may fall below
// zero.
func (b *bucket) overrun(amount micro) { b.level -= amount }

// settle ends a charge and refunds its unused part as far as it is still owed.
// It returns what was refunded.
func (b *bucket) settle(number uint64, charged, unused micro) micro {
	if number < b.oldest || number > b.newest {
		return 0
	}
	gen := &b.gens[number%generations]
	refund := min(unused, gen.owed)
	gen.open -= charged
	gen.owed -= refund
	b.owed -= refund
	b.level += refund
	if settled := gen.owed - gen.open; settled > 0 {
		gen.owed -= settled
		b.owed -= settled
	}
	return refund
}
