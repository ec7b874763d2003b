package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
	"github.com/eelgrassbay/eelgrassbay/internal/relay"
)

const (
	// maxRelays is the number of relays that are tried for one attempt. Only one of them
	// sends the request.
	maxRelays = 3
	// maxRelayed bounds the requests that an instance relays at a time.
	maxRelayed = 512
	// maxRelayBytes bounds the body of a relayed request; the peer has applied the
	// operators' limit.
	maxRelayBytes = 64 << 20
)

// errNoRelay means that no peer is left that could relay a request.
var errNoRelay = errors.New("gateway: no peer to relay through")

// send sends the request of an attempt to its upstream, over the own link or through a peer.
func (x *exchange) send(a *attempt) {
	u := a.Decision.Upstream
	if x.g.links.relayed(linkOf(u), x.route.Repeatable()) {
		x.sendThroughPeer(a)
		return
	}
	own := way{address: u.Address}
	r := x.attemptRequest(a)
	r.OpenedAfter = x.sentAt[own]
	a.exchange, a.err = x.g.pool.Send(a.ctx, r)
	if !errors.Is(a.err, httpconn.ErrNotSent) {
		x.recordSent(own)
	}
	if a.err == nil {
		a.wait = x.g.links.sent(u)
		return
	}
	if !errors.Is(a.err, httpconn.ErrNoConnection) || a.ctx.Err() != nil {
		return
	}
	x.g.links.dialFailed(u, a.err)
	if x.g.links.relayed(linkOf(u), false) {
		x.sendThroughPeer(a)
	}
}

// sendThroughPeer sends the request of an attempt through a peer that was not tried for it.
// If there is none, the error of the last try stays. The request is made anew for each peer,
// since its headers have the time left, and earlier tries took some of it.
func (x *exchange) sendThroughPeer(a *attempt) {
	for len(a.relays) < maxRelays {
		p := x.g.links.pickFor(a.relays, x.job.Regions)
		if p == nil {
			break
		}
		a.relays = append(a.relays, p.Name)
		relayed := relay.Request(x.attemptRequest(a), linkOf(a.Decision.Upstream), p.PeerAddress)
		relay.SetRegions(relayed.Header, x.job.Regions)
		through := way{address: a.Decision.Upstream.Address, relay: p.Name}
		relay.SetSentBefore(relayed.Header, x.sentAt[through] != 0)
		a.exchange, a.err = x.g.links.pool.Send(a.ctx, relayed)
		if !errors.Is(a.err, httpconn.ErrNotSent) {
			x.recordSent(through)
		}
		if a.err == nil {
			x.g.links.begin(p.Name)
			a.relayEnded = false
			return
		}
		if !errors.Is(a.err, httpconn.ErrNoConnection) {
			return
		}
		x.g.links.avoid(p.Name)
	}
	if a.err == nil {
		a.err = errors.Join(httpconn.ErrNotSent, errNoRelay)
	}
}

// via returns the name of the peer through which the request was sent, empty for none.
func (a *attempt) via() string {
	if len(a.relays) == 0 {
		return ""
	}
	return a.relays[len(a.relays)-1]
}

// readHead reads the head of the upstream's answer, unless that was done. A request that a
// relay has not sent goes to the next one.
func (x *exchange) readHead(a *attempt) error {
	for a.err == nil && a.response == nil {
		a.response, a.err = a.exchange.Response()
		if a.via() == "" {
			if a.err != nil && a.ctx.Err() == nil && !errors.Is(a.err, errHandedOver) {
				x.g.links.broke(a.wait)
			}
			break
		}
		if a.err == nil {
			a.err = relay.Result(a.response)
		}
		if a.err == nil {
			break
		}
		x.endRelayed(a)
		if a.err = x.relayError(a); !errors.Is(a.err, relay.ErrRefused) {
			break
		}
		x.sendThroughPeer(a)
		if a.err == nil {
			x.watch(a)
		}
	}
	if errors.Is(a.err, relay.ErrRefused) { // by all that were asked
		x.g.links.relayFailed(a.Decision.Upstream)
	}
	return a.err
}

// relayError maps what a relay says to the errors of an own send.
func (x *exchange) relayError(a *attempt) error {
	err := a.err
	if a.response != nil {
		a.response.Finish(false)
		a.response = nil
	}
	switch {
	case errors.Is(err, relay.ErrRefused):
		x.g.links.avoid(a.via())
		return errors.Join(httpconn.ErrNotSent, err)
	case errors.Is(err, relay.ErrUnreached):
		x.g.links.relayFailed(a.Decision.Upstream)
		return errors.Join(httpconn.ErrNotSent, err)
	case errors.Is(err, relay.ErrUnknown):
		return errors.Join(httpconn.ErrExchangeFailed, err)
	}
	x.g.links.avoid(a.via())
	return err
}

// endRelayed records that a peer no longer has the request of an attempt.
func (x *exchange) endRelayed(a *attempt) {
	if name := a.via(); name != "" && !a.relayEnded {
		a.relayEnded = true
		x.g.links.end(name)
	}
}

// recordAnswer records over which way the upstream has answered.
func (x *exchange) recordAnswer(a *attempt) {
	if a.via() == "" {
		x.g.links.answered(a.Decision.Upstream, a.wait)
		return
	}
	if x.g.links.relayed(linkOf(a.Decision.Upstream), false) {
		x.g.links.relayAnswered(a.Decision.Upstream)
	}
}

// serveRelay sends a peer's request to an upstream over the own link, never through another
// peer.
func (l *links) serveRelay(w http.ResponseWriter, r *http.Request, key reach.Upstream) {
	err := l.relayOne(w, r, key)
	switch {
	case err == nil:
	case errors.Is(err, errAnswerBroken):
		panic(http.ErrAbortHandler) // the peer must see that the answer is incomplete
	default:
		relay.WriteFailure(w, err)
	}
}

// errAnswerBroken means that an answer broke after its head was passed on.
var errAnswerBroken = errors.New("gateway: relayed answer broken")

func (l *links) relayOne(w http.ResponseWriter, r *http.Request, key reach.Upstream) error {
	u, ok := l.listed(key)
	defer l.relaying.Add(-1)
	if l.relaying.Add(1) > maxRelayed || !ok || l.relayed(key, false) || l.g.evacuations.pending() || l.g.shutdown.began.Load() {
		return relay.ErrRefused
	}
	held := l.g.clients.Hold(r.Context())
	defer held.Release()
	body, err := held.ReadBody(w, r, maxRelayBytes)
	if err != nil {
		return relay.ErrRefused
	}
	began := l.g.now()
	request := &httpconn.Request{
		Address: u.Address, Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: relay.Forwarded(r.Header), Body: body,
		MaySend: func() error { return l.mayRelay(key, relay.Regions(r.Header)) },
	}
	if relay.SentBefore(r.Header) {
		request.OpenedAfter = boottime.Now() // this instance does not know what its connections carried
	}
	exchange, err := l.g.pool.Send(r.Context(), request)
	switch {
	case errors.Is(err, httpconn.ErrNoConnection):
		l.dialFailed(u, err)
		return relay.ErrUnreached
	case errors.Is(err, httpconn.ErrNotSent):
		return relay.ErrRefused
	case err != nil:
		return relay.ErrUnknown
	}
	sent := l.sent(u)
	defer l.ended(sent)
	resp, err := exchange.Response()
	if err != nil {
		if r.Context().Err() == nil {
			l.broke(sent)
		}
		return relay.ErrUnknown
	}
	l.answered(u, sent)
	l.recordNotice(u, resp, began)
	l.g.log.Debug("request relayed", "upstream", u.ID, "status", resp.Status, "head_ms", (l.g.now() - began).Milliseconds())
	err = l.g.proveEnd(r.Context(), u, resp, relay.CopyAnswer(w, resp))
	resp.Finish(err == nil)
	if err != nil {
		return errAnswerBroken
	}
	return nil
}

// recordNotice records what an upstream says of itself in the head of a relayed answer. What
// it does not say proves nothing, since the attempt is a peer's.
func (l *links) recordNotice(u *fleet.Upstream, resp *httpconn.Response, sentAt time.Duration) {
	n, err := l.g.codec.DecodeNotice(resp.Status, resp.Header)
	if err != nil {
		return // the peer logs it
	}
	n.LimitUnknown = n.LimitUnknown || !n.Limited
	n.Pause = 0 // is for the peer
	l.g.applyNotice(sentAt, u, n)
}

// mayRelay reports why a request of a peer may not be sent to an upstream now, nil if it may.
func (l *links) mayRelay(key reach.Upstream, regions []string) error {
	var err error
	l.g.dispatcher.update(func(now time.Duration, s *assign.Scheduler) {
		if !s.MayRelay(now, key.ID, key.StartedAtMS, regions) {
			err = errPlacementLapsed
		}
	})
	return err
}

// drain waits until no request of a peer is being relayed, or ctx ends.
func (l *links) drain(ctx context.Context) {
	for l.relaying.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(linkTickPeriod / 10):
		}
	}
}
