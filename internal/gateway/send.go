package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
)

// begin sends the request to the upstream at which it was placed. concurrent is
// whether another attempt is still open. The request is charged to the organisation
// again if an earlier attempt may have run, because it then counts twice upstream.
func (x *exchange) begin(ctx context.Context, placed assign.QueueResult, concurrent bool) *attempt {
	a := &attempt{QueueResult: placed, begunAt: x.g.now(), retry: concurrent || x.arrivals() > 0, charged: (concurrent || x.mayHaveRun) && x.cost > 0}
	if a.charged {
		x.g.limiter.charge(x.org.Name, x.cost)
	}
	a.parent = ctx
	a.ctx, a.cancel = context.WithCancel(ctx)
	u := placed.Decision.Upstream
	if _, over := x.requestOver(); over { // a suspended process may find a placement after the deadline
		a.err = fmt.Errorf("%w: %w", httpconn.ErrNotSent, context.DeadlineExceeded)
		return a
	}
	if !x.suspect.Take() {
		a.err = fmt.Errorf("%w: %w", httpconn.ErrNotSent, errQuarantined)
		return a
	}
	if !x.g.dispatcher.maySend(a.Placement) {
		a.err = fmt.Errorf("%w: %w", httpconn.ErrNotSent, errPlacementLapsed)
		return a
	}
	x.job.TriedUpstreams = append(x.job.TriedUpstreams, u.ID)
	if !x.takeBytes(a) {
		a.err = fmt.Errorf("%w: %w", httpconn.ErrNotSent, errUpstreamBytes)
		return a
	}
	x.send(a)
	return a
}

// attemptRequest returns the request of an attempt as it is to be sent now.
func (x *exchange) attemptRequest(a *attempt) *httpconn.Request {
	r := x.upstreamRequest(a)
	r.MaySend = func() error { return x.mayStillSend(a) }
	return r
}

// recordSent records that at least a part of the request was sent on a way.
func (x *exchange) recordSent(w way) {
	if x.sentAt == nil {
		x.sentAt = map[way]time.Duration{}
	}
	x.sentAt[w] = boottime.Now()
}

// mayStillSend reports why the request may no longer be sent, nil if it may. Opening a
// connection takes time in which the upstream may leave and the deadline pass.
func (x *exchange) mayStillSend(a *attempt) error {
	if _, over := x.requestOver(); over {
		return context.DeadlineExceeded
	}
	if !x.g.dispatcher.beginSend(a.Placement) {
		return errPlacementLapsed
	}
	return nil
}

// errPlacementLapsed means that a request was not sent because its upstream has left, or
// takes no request from this instance, since it was placed there.
var errPlacementLapsed = errors.New("gateway: upstream no longer takes the request")

// organisation returns the name of the caller's organisation, empty on public routes.
func (x *exchange) organisation() string {
	if x.org == nil {
		return ""
	}
	return x.org.Name
}

// upstreamRequest returns the request of an attempt to send to its upstream.
func (x *exchange) upstreamRequest(a *attempt) *httpconn.Request {
	u := a.Decision.Upstream
	return &httpconn.Request{
		Address: u.Address, Method: x.r.Method, RequestURI: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: x.g.codec.ForwardedRequestHeader(x.r.Header, Forward{
			Organisation: x.organisation(), UpstreamID: u.ID, Remaining: x.job.Deadline - x.g.now(),
			Urgency: a.Placement.Urgency(), LastEventID: x.rec.stream.order.LastID(),
		}),
	}
}
