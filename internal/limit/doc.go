// Package limit enforces a token rate and burst per organisation across the
// whole fleet by escrow: each limit is divided into shares, and an instance
// admits requests against the shares that it holds without a remote call. The
// inputs are messages and the time on the caller's monotonic clock. The outputs
// are admission decisions and the messages, reads and writes that the caller has
// to perform; the package itself does no I/O.
//
// # Shares
//
// An organisation's rate and burst are divided into shares, fractions in parts
// per million, from the fleet to the zones and from each zone to its instances.
// The sum of all shares, including what is unclaimed or unassigned, never exceeds
// the whole, also while shares are reallocated:
//
//   - A zone adds to its claim only what is unclaimed. Only the zone's own
//     conditional write reduces its claim, and only after the reduction is in
//     force inside the zone (Claims).
//   - The zone leader, the instance that holds the zone's lease, grants each
//     instance a base share with a long term, which it first records in the
//     zone's ledger, and an extra share with a short term, sized by demand. It
//     lends the remainder, its reserve, for single charges (ZoneLeader). For each
//     instance it keeps an upper bound of the shares that the instance may hold.
//     It lowers the bound only once the instance has confirmed that a lower grant
//     is in force or when the term of the instance's last grant has ended.
//   - For the instance a term starts when it sent the share request, on its own
//     monotonic clock; for the leader it starts at the grant and lasts longer by
//     a margin for clock drift. A new leader first writes its fencing token into
//     the claims and the ledger, so that writes of former leaders still in flight
//     fail, and waits until the former leader's extra shares and loans have
//     expired before it allocates more than the recorded base shares.
//   - An instance has one token bucket per organisation, sized by its share
//     (InstanceLimiter). An added share starts empty; a removed share takes its
//     part of the level with it. A loan transfers tokens together with the burst
//     share that they represent; tokens that its request does not use return to
//     the reserve.
//
// Because shares are fractions, a configuration document with a lower rate does
// not require shares to be reallocated: each instance complies as soon as it
// applies the document.
//
// # Charges and refunds
//
// A request is charged its worst case on admission. A refund must not return
// tokens that the bucket has refilled in the meantime. For example, with rate
// 10/s and burst 100: charge 100, wait 10 s, charge 100, refund the first charge
// in full and charge 100 again. The last two requests could then use 200 actual
// tokens at one moment. Therefore the level plus the refundable tokens never
// exceeds the capacity; refilling beyond that forfeits the oldest refunds. For
// every organisation and every window, the charges less refunds of the requests
// admitted in the window, and so the tokens that they use, are then at most
// rate x window + burst. Worst-case charges alone may exceed that bound, because a
// request that has ended inside the window makes room for another.
//
// # Effects of failures
//
//   - A crashed instance loses its bucket levels and its refunds. Its extra
//     share and loans are unavailable for ExtraTerm and its base share for
//     BaseTerm, unless ProcessEnded reports that its process has ended. A
//     restarted instance starts with empty buckets.
//   - In a platform outage extra shares expire with the leader's lease, and base
//     shares stay in force until BaseTerm after the last share request that was
//     answered. The rest of the limit is unused meanwhile. The base share of an
//     instance that crashes during the outage is unavailable until BaseTerm after
//     the end of the outage, or until ProcessEnded.
//   - An instance that starts during an outage receives no grant: its zone peers
//     lend it a part of their base shares (LendReply).
//   - For a partitioned zone the same holds; its claim has no term and is never
//     taken by another zone. If the zone is lost for good an operator removes its
//     claim (Claims.WithoutZone).
//   - After a change of leader, extra shares and loans are suspended for
//     ExtraTerm.
//
// A charge above an instance's own burst share is covered by a loan from the
// zone's reserve. A charge above the reserve makes the zone claim more burst,
// which fills at the reserve's rate; until then the charge is refused.
//
// # Alternatives considered
//
// A central counter stops with the platform and costs a call per request.
// Eventually consistent counters overspend by the charges that have not been
// replicated yet. Equal static division keeps the bound but refuses requests
// that the unused shares of other instances could admit; it remains as the
// baseline (StaticDivision).
package limit
