package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// maxPlainAnswerBytes bounds the answer of a plain service, which is buffered
// completely before any of it is sent to the caller.
const maxPlainAnswerBytes = 8 << 20

// plainModel returns the model name that the routing table uses for the plain
// upstreams of a service.
func plainModel(service string) string { return service + "/" }

// handleService forwards a call to a plain upstream of the service named in the
// path.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request, c *call) *Error {
	name := r.PathValue("service")
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	rt, err := s.findRoute(r, c, name, path)
	if err != nil {
		return err
	}
	body, err := s.readBody(w, r, c)
	if err != nil {
		return err
	}
	if err := c.checkKeyLeak(r, body); err != nil {
		return err
	}
	if !rt.Idempotent && s.opts.Record.Full() {
		return newRetryableError(http.StatusServiceUnavailable, CodeRecordFull, "the service record has no room", busyRetryAfter)
	}
	if err := s.admit(r.Context(), c, rt.CostTokens); err != nil {
		return err
	}
	p := &plainCall{server: s, call: c, route: rt, body: body, path: path, request: r, suspect: s.newSuspect(c, r, body, nil)}
	defer p.refundUnused()
	if r.URL.RawQuery != "" {
		p.path += "?" + r.URL.RawQuery
	}
	return p.run(w)
}

// findRoute finds the route for a method and path and checks that the caller may
// use it: a route that is not open needs a key of the service.
func (s *Server) findRoute(r *http.Request, c *call, name, path string) (*config.Route, *Error) {
	if hasKey(r) {
		if err := s.authorise(r, c); err != nil {
			return nil, err
		}
		if c.service.Service != name {
			return nil, newError(http.StatusForbidden, CodeUnauthorized, "the key belongs to another service")
		}
	}
	service, ok := c.snapshot.Services[name]
	if !ok {
		return nil, newError(http.StatusNotFound, CodeNotFound, "no such service")
	}
	rt, ok := matchRoute(service, r.Method, path)
	switch {
	case !ok:
		return nil, newError(http.StatusNotFound, CodeNotFound, "no route takes this method and path")
	case c.service == nil && !rt.Open:
		return nil, newError(http.StatusUnauthorized, CodeUnauthorized, "want a key as \"Authorization: Bearer KEY\"")
	case c.service == nil:
		return rt, c.setOrganisation(config.OrganisationID{Service: name, Organisation: config.AnonymousOrganisation})
	}
	return rt, nil
}

// matchRoute returns the route with the longest matching prefix among those that
// allow the method.
func matchRoute(service *config.Service, method, path string) (*config.Route, bool) {
	var best *config.Route
	for i := range service.Routes {
		rt := &service.Routes[i]
		if strings.HasPrefix(path, rt.Path) && allowsMethod(rt, method) && (best == nil || len(rt.Path) > len(best.Path)) {
			best = rt
		}
	}
	return best, best != nil
}

// allowsMethod reports whether a route allows the method.
func allowsMethod(rt *config.Route, method string) bool {
	for _, m := range rt.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// plainCall is a call to a plain service with the state that its attempts share.
type plainCall struct {
	server          *Server
	call            *call
	route           *config.Route
	body            []byte
	path            string
	request         *http.Request
	suspect         *crashwatch.Request
	ran             bool // an attempt may have run
	freshConnection bool // use a new connection: a pooled one was silent
}

// refundUnused refunds the charge of a call that has certainly not run.
func (p *plainCall) refundUnused() {
	usedTokens := p.route.CostTokens
	if !p.ran {
		usedTokens = 0
	}
	p.server.opts.Limiter.Refund(p.call.receipt, usedTokens)
}

// plainAnswer is a complete answer that has not been sent to the caller yet.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (p *plainCall) run(w http.ResponseWriter) *Error {
	deadline := p.call.received + time.Duration(p.route.DeadlineMS)*time.Millisecond
	ctx, cancel := context.WithTimeout(p.request.Context(), time.Duration(p.route.DeadlineMS)*time.Millisecond)
	defer cancel()
	req := once.NewRequest(once.RequestOptions{Idempotent: p.route.Idempotent, Deadline: deadline}, p.server.opts.Budget)
	claim, replayed, err := p.claimKey(ctx, w, req)
	if replayed || err != nil {
		return err
	}
	var answer *plainAnswer
	defer func() { p.settleClaim(claim, req, answer) }()
	next := &nextAttempt{server: p.server, call: p.call, req: req, suspect: p.suspect, slotRequest: dispatch.Request{
		Organisation: p.call.org.String(), Weight: p.call.fairWeight(), Class: p.call.class,
		Route: route.Request{Model: plainModel(p.call.service.Service), Deadline: deadline},
	}}
	defer next.release()
	acquire := func() (*dispatch.Slot, *Error) { return next.acquire(ctx) }
	err = p.server.runAttempts(ctx, req, p.suspect, acquire, func(id string, slot *dispatch.Slot) (outcome once.Outcome) {
		answer, outcome = p.attempt(ctx, next, id, slot)
		p.server.flow(p.call).Attempt(string(outcome))
		p.ran = p.ran || mayHaveRun(outcome)
		releaseSlot(slot, outcome, 0)
		return outcome
	})
	if err != nil {
		return err
	}
	upstream.CopyResponseHeader(w.Header(), answer.header)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
	return nil
}

// acquire waits for a slot and measures the time in the queue. An error is final. The wait
// ends at once when the request is held back.
func (s *Server) acquire(ctx context.Context, n *nextAttempt) (*dispatch.Slot, *Error) {
	requestedAt := s.opts.Now()
	defer func() { s.flow(n.call).QueueTime(s.opts.Now() - requestedAt) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.waiting.add(n.suspect, cancel)
	slot, err := s.opts.Dispatch.Acquire(ctx, n.slotRequest)
	s.waiting.remove(n.suspect)
	if err != nil && errors.Is(context.Cause(ctx), errHeldBack) {
		retryAfter, _ := n.suspect.Held()
		return nil, quarantinedError(retryAfter)
	}
	if err != nil {
		return nil, acquireError(err)
	}
	return slot, nil
}

// attempt sends the call to one upstream and reads the complete answer.
func (p *plainCall) attempt(ctx context.Context, next *nextAttempt, id string, slot *dispatch.Slot) (*plainAnswer, once.Outcome) {
	address, ok := addressOf(p.call.service, slot.Upstream)
	if !ok {
		return nil, once.NotSent
	}
	a := &upstream.Attempt{
		ID: id, Method: p.request.Method, Address: address, Path: p.path, Body: p.body,
		Header: upstream.CleanHeader(p.request.Header, p.call.keySecret), NewConnection: p.freshConnection || !p.route.Idempotent,
	}
	a.Header.Set(engine.HeaderAttempt, id)
	a.Header.Set(headerRequestID, p.call.id)
	if !p.suspect.Take() {
		return nil, once.RefusedBeforeRun
	}
	p.call.attempted = true
	p.server.recordAttempt(p.call, id, slot.Upstream)
	return p.send(ctx, next, a, slot.Upstream)
}

// attemptsPerDeadline is how many attempts without an answer fit into a call's
// deadline, so that there is time for another attempt when one gets no answer.
const attemptsPerDeadline = 3

// silenceInterval returns the time without an answer after which an attempt may be
// given up for another one, since the connection may have gone silent.
func (p *plainCall) silenceInterval() time.Duration {
	attemptMS := p.route.DeadlineMS / attemptsPerDeadline
	return time.Duration(max(1, min(attemptMS, p.call.service.Deadlines.ProgressMS))) * time.Millisecond
}

// send runs an attempt at the upstream with this name. Without an answer it is given up
// at the end of a silence interval at which another attempt can be reserved; else it is
// kept until ctx ends.
func (p *plainCall) send(ctx context.Context, next *nextAttempt, a *upstream.Attempt, name string) (answer *plainAnswer, outcome once.Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begunAt, broke := p.server.opts.Crashes.Now(), error(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		answer, outcome, broke = p.exchange(ctx, a, name)
	}()
	silence := time.NewTicker(p.silenceInterval())
	defer silence.Stop()
	for {
		select {
		case <-done:
			if outcome == once.Answered && answer.status < http.StatusInternalServerError {
				p.suspect.Sound(begunAt)
			}
			if outcome == once.Unknown && broke != nil && ctx.Err() == nil {
				p.server.recordBroken(p.suspect, incarnation(p.call.service, name), a.Address)
			}
			return answer, outcome
		case <-silence.C:
			if next.reserve() {
				p.server.closeIdle()
				p.freshConnection = true
				cancel()
				<-done
				return answer, outcome
			}
		}
	}
}

// closeIdle counts a silent connection and closes those that are idle, which may be
// silent too.
func (s *Server) closeIdle() {
	s.opts.Metrics.Count(metrics.SilentConnections)
	s.opts.Upstream.CloseIdle()
}

// exchange sends an attempt, reads the complete answer and classifies the
// outcome. broke is why the answer is not complete.
func (p *plainCall) exchange(ctx context.Context, a *upstream.Attempt, name string) (answer *plainAnswer, outcome once.Outcome, broke error) {
	resp, err := p.server.opts.Upstream.Do(ctx, a)
	if err != nil {
		p.server.opts.Log.Debug("attempt failed", "request", p.call.id, "attempt", a.ID, "error", err)
		return nil, once.Classify(once.Evidence{Sent: a.Sent.Load()}), err
	}
	defer resp.Body.Close()
	attemptMatches := resp.Header.Get(engine.HeaderAttempt) == a.ID
	if attemptMatches {
		p.server.opts.Crashes.Alive(incarnation(p.call.service, name))
	}
	body, err := upstream.ReadAll(resp.Body, maxPlainAnswerBytes)
	if !attemptMatches {
		p.server.opts.Metrics.Count(metrics.ForeignResponses)
		p.server.opts.Log.Warn("answer of another attempt dropped", "request", p.call.id, "attempt", a.ID, "upstream", a.Address)
	}
	outcome = once.Classify(once.Evidence{
		Sent: true, Complete: err == nil && attemptMatches, Status: resp.StatusCode, Ran: resp.Header.Get(engine.HeaderExecuted),
	})
	return &plainAnswer{status: resp.StatusCode, header: resp.Header, body: body}, outcome, err
}

// addressOf returns the address of an upstream from its service's document.
func addressOf(service *config.Service, name string) (string, bool) {
	_, upstreamName := inventory.SplitName(name)
	for _, u := range service.Upstreams {
		if u.Name == upstreamName {
			return u.Address, true
		}
	}
	return "", false
}
