// Package limit keeps every organisation within its rate and burst, counted in
// tokens across the whole fleet, by escrow.
//
// # Shares
//
// An organisation's rate and burst are divided into shares, fractions in parts
// per million, fleet to zone to instance. The sum of all shares, what is
// unclaimed or unassigned included, never exceeds the whole, also while shares
// move:
//
//   - A zone claims only what no zone claims. Only its own conditional write
//     reduces its claim, after the reduction is in force inside it (Claims).
//   - The holder of the zone's duty gives each instance a base share under a
//     long lease, recorded in the zone's ledger first, and an extra share under
//     a short lease, by demand. It lends the rest, its reserve, charge by charge
//     (Zone). A bound is lowered only once the instance has said that the lower
//     grant is in force or when its term is over.
//   - Terms count for the instance from when it sent the request, on its own
//     monotonic clock, and for the duty holder from its grant, plus a margin for
//     drift. A new duty holder first writes its fence into both objects, which
//     kills writes of former holders still on their way, and waits out the
//     former's extras and loans before it gives away anything.
//   - An instance holds one token bucket per organisation, sized by its share
//     (Instance). A gained share starts empty; a lost one takes its level along.
//     A loan moves tokens with the burst share that they stand for; what its
//     request does not use goes back to the reserve.
//
// Because shares are fractions, a document with a lower rate needs no shares to
// move: each instance obeys it as soon as it applies it.
//
// # Charges and refunds
//
// A request is charged its worst case on admission. A refund must not return
// tokens that the bucket has refilled meanwhile: with rate 10/s and burst 100,
// charge 100, wait 10 s, charge 100, refund the first whole, charge 100 gives
// 200 actual tokens at one moment. So level plus refunds still owed never
// exceeds the capacity; refilling beyond that forfeits the oldest refunds.
// Then for every organisation and every window, the charges less refunds of the
// requests admitted in the window, and so their actual tokens, are at most
// rate x window + burst. Worst-case charges alone may exceed that, as a request
// that has ended inside the window makes room for another.
//
// # What a failure costs
//
//   - An instance that crashes: its level, its refunds, its extra share and loans
//     for ExtraTerm, its base share for BaseTerm, unless Gone says that its
//     process has ended. A restarted instance starts with empty buckets.
//   - Platform outage: extras lapse when the duty's lease does and base shares go
//     on until BaseTerm after the last request answered. What is not base is
//     unused meanwhile. The base share of an instance that crashes in the outage
//     is lost until the outage has ended and BaseTerm after that, or Gone.
//   - An instance that starts in an outage is granted nothing: its zone peers lend
//     it a part of their base shares (Lent).
//   - A zone cut off: the same; its claim has no term and is never taken. If it is
//     gone for good an operator removes it (Claims.Without).
//   - A new duty holder: extras and loans pause for ExtraTerm after it starts.
//
// A charge above an instance's own burst share is lent by the zone's reserve. A
// charge above the reserve makes the zone claim more burst, which fills at the
// reserve's rate; until then it is refused.
//
// # Ways weighed
//
// A central counter stops with the platform and costs a call per request.
// Eventually consistent counters overspend by what they have not yet heard of.
// Equal static division keeps the bound but refuses what others leave unused;
// it is kept as the baseline (StaticDivision).
package limit
