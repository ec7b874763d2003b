package gateway

import (
	"slices"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
)

// askElsewhere places the request at another upstream, which can tell what follows the last event
// of its stream, and reports whether it did; x.placed is then the placement. The place is taken before the
// answer at hand is closed, and a second retry is reserved: if the other upstream rejects the request, the
// stream can go on, also at its first one.
func (x *exchange) askElsewhere(a *attempt) bool {
	if !x.mayGoElsewhere() || !x.endsInTime() || !x.takeReserve() {
		return false
	}
	placed, ok := x.placeElsewhere()
	if !ok {
		x.dropReserves()
		return false
	}
	x.job.TriedUpstreams = slices.DeleteFunc(x.job.TriedUpstreams, func(id string) bool { return id == a.Decision.Upstream.ID })
	x.placed, x.questioned = &placed, a.Placement
	return true
}

// mayGoElsewhere reports whether a request of which an attempt is open may go on at another upstream.
func (x *exchange) mayGoElsewhere() bool {
	return x.ran+1 < x.route.MaxAttempts && x.unsent < maxUnreachable && !x.suspect.Suspected() && x.rec.stream.order.MayResume()
}

// placeElsewhere takes a retry and places the request at an upstream that it has not tried, if one can take it
// at once.
func (x *exchange) placeElsewhere() (assign.QueueResult, bool) {
	if !x.takeRetry() {
		return assign.QueueResult{}, false
	}
	x.checkVersion()
	x.job.Retryable = false // a suspect upstream is not probed with this request
	placed, ok := x.g.dispatcher.placeNow(x.job)
	if !ok {
		x.returnRetry()
	}
	return placed, ok
}

// takeReserve reserves a retry for a later attempt, unless the request has one, and reports whether the budget had it.
func (x *exchange) takeReserve() bool {
	if x.reserved != nil {
		return true
	}
	reserved, ok := x.g.retryBudget.takeRetry(x.service)
	if ok {
		x.reserved = &reserved
	}
	return ok
}

// dropReserves returns the placement and the retry that were reserved and not used.
func (x *exchange) dropReserves() {
	if x.reserved != nil {
		x.g.retryBudget.returnRetry(x.service, *x.reserved)
		x.reserved = nil
	}
	if x.placed != nil {
		x.g.dispatcher.done(x.placed.Placement, assign.ResultUnknown)
		x.g.dispatcher.recordNotSent(x.placed.Placement)
		x.returnRetry()
		x.placed = nil
	}
}
